//! Renewals: sending them with the load, and taking in their replies.

use std::net::SocketAddr;

use wingspar_wire::{Message, Pull, Renewal, RenewalReply, RenewalVerdict, TargetLoad};
use wingspar_world::MonotonicTime;

use crate::session::ReplyEffect;
use crate::{Agent, AgentEvent, Output, SessionEnd};

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
                self.pull_what_is_behind(from, &reply.verdict);
            }
            ReplyEffect::Renewed => {
                self.counters.renewals_granted += 1;
                self.pull_what_is_behind(from, &reply.verdict);
            }
            ReplyEffect::Over => {
                self.counters.sessions_ended += 1;
                self.end_session(now, SessionEnd::EndedByLeader);
            }
            ReplyEffect::ConfigurationBehind => self.pull_configuration(from),
            ReplyEffect::TryAgain => {}
        }
    }

    fn pull_what_is_behind(&mut self, from: SocketAddr, verdict: &RenewalVerdict) {
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
        if *config > self.configuration.version {
            self.pull_configuration(from);
        }
        if *grants > self.grants.version() || !self.grants.is_known() {
            let node = self.node.clone();
            let session = *session;
            self.send(from, Message::Pull(Pull::Grants { node, session }));
        }
        if let Some(have) = self.table_version.filter(|have| table > have) {
            self.send(from, Message::Pull(Pull::Table { have }));
        }
    }

    fn pull_configuration(&mut self, from: SocketAddr) {
        let have = self.configuration.version;
        self.send(from, Message::Pull(Pull::Configuration { have }));
    }
}
