//! Renewals: sending them with the load, and taking in their replies.

use std::net::SocketAddr;

use wingspar_wire::{
    Message, Pull, Renewal, RenewalReply, RenewalVerdict, StateVersion, TargetLoad,
};
use wingspar_world::{ConfigVersion, MonotonicTime};

use crate::session::ReplyEffect;
use crate::{Agent, AgentEvent, Output, SessionEnd};

/// Versions that the leader's last reply told of.
#[derive(Debug, Default)]
pub(crate) struct ToldOf {
    configuration: ConfigVersion,
    grants: StateVersion,
    table: StateVersion,
    /// It asked for a newer configuration before it renews.
    configuration_behind: bool,
}

impl Agent {
    pub(crate) fn renew_if_due(&mut self, now: MonotonicTime) {
        if self.drained || !self.session.is_due(now) {
            return;
        }
        self.send_renewal(now);
    }

    pub(crate) fn send_renewal(&mut self, now: MonotonicTime) {
        let session = self.session.held().map(|held| held.id);
        let Some(to) = self.session.begin_renewal(now) else {
            return;
        };
        let renewal = Renewal {
            group: self.settings.group,
            node: self.node.clone(),
            machine: self.machine.clone(),
            session,
            sent_at: now,
            config: self.configuration.version,
            grants: self.grants.version(),
            table: self.table_version,
            leaving: self.leaving_since.is_some(),
            finished: self.drained,
            targets: self.target_loads(now),
        };
        self.counters.renewals_sent += 1;
        self.send(to, Message::Renewal(renewal));
    }

    fn target_loads(&mut self, now: MonotonicTime) -> Vec<TargetLoad> {
        let count = self.local.len().max(1);
        let slices = (self.settings.reported_slices / count).max(1);
        let hot_keys = (self.settings.reported_hot_keys / count).max(1);
        let mut reported = Vec::with_capacity(self.local.len());
        for name in self.local.keys() {
            let mut load = TargetLoad::idle(name.clone());
            if let Some(state) = self.targets.get(name) {
                load.in_flight = state.running();
                load.queued = state.queued() as u32;
                load.healthy = state.is_healthy();
            }
            if let Some(meter) = self.loads.get_mut(name) {
                meter.decay(now);
                load.requests_per_second = meter.requests_per_second();
                load.slices = meter.busiest_slices(slices);
                load.hot_keys = meter.hot_keys(hot_keys);
            }
            reported.push(load);
        }
        reported
    }

    pub(crate) fn on_renewal_reply(
        &mut self,
        now: MonotonicTime,
        from: SocketAddr,
        reply: &RenewalReply,
    ) {
        if reply.group != self.settings.group {
            self.counters.messages_ignored += 1;
            return;
        }
        match self.session.on_reply(now, from, reply) {
            ReplyEffect::Ignored => self.counters.messages_ignored += 1,
            ReplyEffect::Begun(session) => {
                self.counters.renewals_granted += 1;
                let event = AgentEvent::SessionBegun { session };
                self.pending.push(Output::Event(event));
                self.pull_what_is_behind(from, &reply.verdict, true);
            }
            ReplyEffect::Renewed => {
                self.counters.renewals_granted += 1;
                self.pull_what_is_behind(from, &reply.verdict, false);
            }
            ReplyEffect::Over => {
                self.counters.sessions_ended += 1;
                self.end_session(now, SessionEnd::EndedByLeader);
            }
            ReplyEffect::ConfigurationBehind => {
                if std::mem::replace(&mut self.told_of.configuration_behind, true) {
                    self.pull_configuration(from);
                }
            }
            ReplyEffect::TryAgain => {}
        }
    }

    /// Asks for what the leader has newer. The leader sends news on its own, so it is asked only
    /// when an earlier reply told of the same already, or `at_once`.
    fn pull_what_is_behind(&mut self, from: SocketAddr, verdict: &RenewalVerdict, at_once: bool) {
        let RenewalVerdict::Renewed {
            session,
            config,
            grants,
            table,
            ..
        } = verdict
        else {
            return;
        };
        let told = std::mem::replace(
            &mut self.told_of,
            ToldOf {
                configuration: *config,
                grants: *grants,
                table: *table,
                configuration_behind: false,
            },
        );
        let due = |told_before| at_once || told_before;
        if *config > self.configuration.version && due(told.configuration == *config) {
            self.pull_configuration(from);
        }
        let lacks_grants = *grants > self.grants.version() || !self.grants.is_known();
        if lacks_grants && due(told.grants == *grants) {
            let node = self.node.clone();
            let session = *session;
            self.send(from, Message::Pull(Pull::Grants { node, session }));
        }
        let behind = self.table_version.filter(|have| table > have);
        if let Some(have) = behind.filter(|_| due(told.table == *table)) {
            self.send(from, Message::Pull(Pull::Table { have }));
        }
    }

    fn pull_configuration(&mut self, from: SocketAddr) {
        let have = self.configuration.version;
        self.send(from, Message::Pull(Pull::Configuration { have }));
    }
}
