//! Composition of the agent: messages, ticks, and the session's life.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use wingspar_wire::{
    GrantList, Message, Outbound, Pull, Remember, RememberReply, Renewal, RenewalReply,
    RenewalVerdict, SessionId, StateVersion, TargetLoad,
};
use wingspar_world::{
    ConfigVersion, Configuration, Lease, Machine, MonotonicTime, NodeId, ServiceName, Target,
    TargetName,
};

use crate::grants::{Grants, Holding};
use crate::guard::Guards;
use crate::handover::{HandOvers, Surroundings};
use crate::load::LoadMeter;
use crate::remembered::Remembered;
use crate::session::{ReplyEffect, Session};
use crate::target::TargetState;
use crate::work::WorkTable;
use crate::{AgentEvent, AgentSettings, Counters, Input, Output, SessionEnd, Ticket};

/// Authority on "may this target run this request now" for the targets of one machine, and the
/// machine's session with its control group.
///
/// Drive it by [`step`](Self::step), [`admit`](Self::admit), [`start`](Self::start) and
/// [`finish`](Self::finish); call `step` with [`Input::Tick`] when
/// [`next_wake`](Self::next_wake) has come. Every call first looks whether the lease still runs.
#[derive(Debug)]
pub struct Agent {
    pub(crate) settings: AgentSettings,
    node: NodeId,
    machine: Machine,
    pub(crate) session: Session,
    pub(crate) grants: Grants,
    pub(crate) configuration: Arc<Configuration>,
    /// Targets beside this agent, by the newest configuration.
    pub(crate) local: BTreeMap<TargetName, Target>,
    pub(crate) targets: BTreeMap<TargetName, TargetState>,
    pub(crate) loads: BTreeMap<TargetName, LoadMeter>,
    pub(crate) works: WorkTable,
    pub(crate) remembered: Remembered,
    pub(crate) guards: Guards,
    pub(crate) hand_overs: HandOvers,
    pub(crate) counters: Counters,
    pub(crate) leaving_since: Option<MonotonicTime>,
    drained: bool,
    table_version: Option<StateVersion>,
    /// Outputs of calls other than `step`, handed out by the next `step`.
    pub(crate) pending: Vec<Output>,
    /// Something changed that `step` must look at.
    pub(crate) look_now: bool,
}

impl Agent {
    /// An agent without session, grants or configuration. `seeds` are the internal-protocol
    /// addresses of control candidates.
    pub fn new(
        settings: AgentSettings,
        node: NodeId,
        machine: Machine,
        seeds: Vec<SocketAddr>,
        now: MonotonicTime,
    ) -> Self {
        let session = Session::new(&settings, seeds, node.incarnation.0, now);
        let remembered = Remembered::new(settings.remembered_requests, settings.remembered_bytes);
        Self {
            settings,
            node,
            machine,
            session,
            grants: Grants::default(),
            configuration: Arc::new(Configuration::default()),
            local: BTreeMap::new(),
            targets: BTreeMap::new(),
            loads: BTreeMap::new(),
            works: WorkTable::default(),
            remembered,
            guards: Guards::default(),
            hand_overs: HandOvers::default(),
            counters: Counters::default(),
            leaving_since: None,
            drained: false,
            table_version: None,
            pending: Vec::new(),
            look_now: false,
        }
    }

    /// Takes in one input and appends what is to be done.
    pub fn step(&mut self, now: MonotonicTime, input: Input, outputs: &mut Vec<Output>) {
        self.look_at_lease(now);
        match input {
            Input::Message {
                reply_to, message, ..
            } => self.on_message(now, reply_to, message),
            Input::Tick => {}
            Input::Leave => self.on_leave(now),
        }
        self.look_now = false;
        self.remembered.expire(now);
        self.step_hand_overs(now);
        self.renew_if_due(now);
        self.finish_leaving(now);
        outputs.append(&mut self.pending);
    }

    /// When `step` must be called again at the latest.
    pub fn next_wake(&self) -> MonotonicTime {
        if self.look_now || !self.pending.is_empty() {
            return MonotonicTime::ZERO;
        }
        let hand_overs = self.hand_overs.next_wake();
        if self.drained {
            return hand_overs;
        }
        self.session.next_wake().min(hand_overs)
    }

    /// The configuration in force.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// A target beside this agent, by the newest configuration.
    pub fn target(&self, name: &TargetName) -> Option<&Target> {
        self.local.get(name)
    }

    /// Targets beside this agent.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.local.values()
    }

    /// Tells the version of the slice table that this machine's router holds; `None` without a
    /// router. The agent pulls newer ones.
    pub fn set_table_version(&mut self, version: Option<StateVersion>) {
        self.table_version = version;
    }

    /// Internal-protocol address of the control leader, as far as known.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.session.leader()
    }

    /// The session, while its lease runs.
    pub fn session(&self, now: MonotonicTime) -> Option<SessionId> {
        self.session.running(now).map(|held| held.id)
    }

    /// The lease, while it runs.
    pub fn lease(&self, now: MonotonicTime) -> Option<Lease> {
        self.session.running(now).map(|held| held.lease)
    }

    /// The grants that may be used at `now`, for checks and operators: slices served, by the
    /// session and lease that run at that instant.
    pub fn served(&self, now: MonotonicTime) -> Vec<wingspar_world::Grant> {
        let Some(held) = self.session.running(now) else {
            return Vec::new();
        };
        let owned = self.grants.owned().filter(|entry| {
            let place = entry.grant.range.first;
            let holding = self.grants.lookup(held.id, &entry.grant.service, place);
            matches!(holding, Holding::Owned(_))
        });
        owned.map(|entry| entry.grant.clone()).collect()
    }

    /// Counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Requests sent to a back end and not ended.
    pub fn in_flight(&self) -> usize {
        self.works.started()
    }

    /// Requests remembered.
    pub fn remembered(&self) -> usize {
        self.remembered.len()
    }

    /// Ends the session if its lease has run out.
    pub(crate) fn look_at_lease(&mut self, now: MonotonicTime) {
        let lapsed = |lease: &Lease| !lease.is_valid(now);
        if self.session.held().is_some_and(|held| lapsed(&held.lease)) {
            self.counters.leases_lapsed += 1;
            self.end_session(now, SessionEnd::LeaseLapsed);
        }
    }

    /// Drops session and grants; what runs under them is cancelled, what waits is woken to be
    /// refused.
    fn end_session(&mut self, now: MonotonicTime, cause: SessionEnd) {
        self.session.drop_session(now);
        self.grants.clear();
        self.hand_overs.clear();
        let running = self.works.started_keyed();
        self.counters.in_flight_at_lapse += running.len() as u64;
        let in_flight = running.len();
        self.pending
            .push(Output::Event(AgentEvent::SessionEnded { cause, in_flight }));
        self.pending.push(Output::LeaseLost);
        if !running.is_empty() {
            self.pending.push(Output::Cancel { tickets: running });
        }
        self.wake_refused(now);
    }

    /// Wakes queued requests that would be refused now, so that they are told at once.
    pub(crate) fn wake_refused(&mut self, now: MonotonicTime) {
        let queued = self.works.queued();
        let tickets: Vec<Ticket> = queued
            .into_iter()
            .filter(|(_, admission)| self.check(now, admission).is_err())
            .map(|(ticket, _)| ticket)
            .collect();
        if !tickets.is_empty() {
            self.pending.push(Output::Wake { tickets });
        }
    }

    fn on_message(&mut self, now: MonotonicTime, reply_to: SocketAddr, message: Message) {
        match message {
            Message::RenewalReply(reply) => self.on_renewal_reply(now, reply_to, &reply),
            Message::Configuration(configuration) => self.on_configuration(now, *configuration),
            Message::Grants(list) => self.on_grants(now, &list),
            Message::Remember(remember) => self.on_remember(now, reply_to, &remember),
            Message::RememberReply(reply) => {
                if !self.hand_overs.on_reply(&reply) {
                    self.counters.messages_ignored += 1;
                }
            }
            _ => self.counters.messages_ignored += 1,
        }
    }

    fn on_renewal_reply(&mut self, now: MonotonicTime, from: SocketAddr, reply: &RenewalReply) {
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

    pub(crate) fn send(&mut self, to: SocketAddr, message: Message) {
        self.pending.push(Output::Send(Outbound { to, message }));
    }

    /// Takes in a newer configuration; an older one never replaces what is in force.
    fn on_configuration(&mut self, now: MonotonicTime, configuration: Configuration) {
        if configuration.version <= self.configuration.version {
            self.counters.messages_ignored += 1;
            return;
        }
        let version = configuration.version;
        self.configuration = Arc::new(configuration);
        self.follow_targets(now);
        let event = AgentEvent::ConfigurationApplied { version };
        self.pending.push(Output::Event(event));
        self.wake_refused(now);
        // The leader may hold the lease back until it hears that this version is in force.
        self.session.hurry(now);
    }

    fn follow_targets(&mut self, now: MonotonicTime) {
        let machine = &self.machine.name;
        let targets = self.configuration.targets.values();
        self.local = targets
            .map(|(_, target)| target)
            .filter(|target| target.machine == *machine)
            .map(|target| (target.name.clone(), target.clone()))
            .collect();
        for target in self.local.values() {
            let state = self.targets.entry(target.name.clone());
            let state = state.or_insert_with(|| TargetState::new(target.slots));
            state.set_slots(target.slots);
            state.draining_since = target.draining.then(|| state.draining_since.unwrap_or(now));
        }
        let local = &self.local;
        self.targets
            .retain(|name, state| local.contains_key(name) || !state.is_idle());
        self.loads.retain(|name, _| local.contains_key(name));
    }

    fn on_grants(&mut self, now: MonotonicTime, list: &GrantList) {
        let session = self.session.running(now).map(|held| held.id);
        let meant = list.group == self.settings.group && list.node == self.node;
        let taken = session.filter(|_| meant);
        if !taken.is_some_and(|session| self.grants.apply(session, list)) {
            self.counters.messages_ignored += 1;
            return;
        }
        self.raise_guards(now);
        self.follow_hand_overs();
        self.report_grants(list.version);
        self.wake_refused(now);
        self.session.hurry(now);
    }

    fn report_grants(&mut self, version: StateVersion) {
        let owned = self.grants.owned().count();
        let releasing = self
            .grants
            .owned()
            .filter(|entry| matches!(entry.state, wingspar_wire::GrantState::Release { .. }));
        let releasing = releasing.count();
        self.pending.push(Output::Event(AgentEvent::GrantsChanged {
            version,
            held: owned - releasing,
            releasing,
            incoming: self.grants.incoming().count(),
        }));
    }

    fn follow_hand_overs(&mut self) {
        let own_address = self.machine.control_address;
        let gone = self.hand_overs.follow(self.grants.owned(), own_address);
        for slice in gone {
            if !self.grants.serves_any(&slice.service, slice.range) {
                self.remembered.forget_range(&slice.service, slice.range);
                self.guards.lift(&slice.service, slice.range);
            }
        }
    }

    fn step_hand_overs(&mut self, now: MonotonicTime) {
        let Some(held) = self.session.running(now) else {
            return;
        };
        if self.hand_overs.is_empty() {
            return;
        }
        let works = &self.works;
        let is_running =
            |service: &ServiceName, range| works.started_in(service, range).next().is_some();
        let surroundings = Surroundings {
            group: self.settings.group,
            node: &self.node,
            own_address: self.machine.control_address,
            session: held.id,
            leader: self.session.destination(),
            repeat: self.settings.hand_over_repeat,
            remember_timeout: self.settings.remember_timeout,
            remembered: &self.remembered,
            guards: &self.guards,
            is_running: &is_running,
        };
        let mut outputs = Vec::new();
        self.hand_overs.step(now, &surroundings, &mut outputs);
        self.count_released(&outputs);
        self.pending.append(&mut outputs);
    }

    fn count_released(&mut self, outputs: &[Output]) {
        for output in outputs {
            let Output::Event(AgentEvent::SliceReleased {
                remembered_moved, ..
            }) = output
            else {
                continue;
            };
            self.counters.slices_released += 1;
            self.counters.remembered_lost += u64::from(!remembered_moved);
        }
    }

    /// Takes in remembered requests of a slice that this agent expects.
    fn on_remember(&mut self, now: MonotonicTime, reply_to: SocketAddr, remember: &Remember) {
        let ordered = remember.range.first <= remember.range.last;
        if !ordered || !self.expects(remember) || !self.take_in(now, remember) {
            self.counters.messages_ignored += 1;
            return;
        }
        let reply = RememberReply {
            hand_over: remember.hand_over,
            service: remember.service.clone(),
            range: remember.range,
            part: remember.part,
        };
        self.send(reply_to, Message::RememberReply(reply));
    }

    fn expects(&self, remember: &Remember) -> bool {
        self.grants.incoming().any(|entry| {
            entry.grant.service == remember.service
                && entry.grant.fence == remember.fence
                && entry.grant.range.covers(&remember.range)
        })
    }

    fn take_in(&mut self, now: MonotonicTime, remember: &Remember) -> bool {
        if remember.guard_remaining_ms > 0 {
            let rest = std::time::Duration::from_millis(remember.guard_remaining_ms);
            self.guards
                .raise(&remember.service, remember.range, now + rest);
        }
        let window = self.window(&remember.service);
        for request in &remember.requests {
            if !remember.range.contains(request.key) {
                return false;
            }
            let ended_at = now - std::time::Duration::from_millis(request.age_ms);
            let id = (request.key, request.id);
            let outcome = request.outcome.clone();
            let taken = self
                .remembered
                .end(&remember.service, id, outcome, ended_at, window);
            if !taken {
                return false;
            }
            self.counters.remembered_taken_in += 1;
        }
        true
    }

    fn on_leave(&mut self, now: MonotonicTime) {
        if self.leaving_since.is_some() {
            return;
        }
        self.leaving_since = Some(now);
        self.pending.push(Output::Event(AgentEvent::Leaving));
        self.session.hurry(now);
        self.wake_refused(now);
    }

    fn renew_if_due(&mut self, now: MonotonicTime) {
        if self.drained || !self.session.is_due(now) {
            return;
        }
        self.send_renewal(now);
    }

    fn send_renewal(&mut self, now: MonotonicTime) {
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

    /// Ends the session once nothing is left after a `Leave`.
    fn finish_leaving(&mut self, now: MonotonicTime) {
        let idle = self.works.is_empty() && self.grants.is_empty();
        if self.leaving_since.is_none() || self.drained || !idle {
            return;
        }
        self.drained = true;
        if self.session.running(now).is_some() {
            self.send_renewal(now);
        }
        self.pending.push(Output::Drained);
    }

    /// Version of the configuration in force.
    pub fn config_version(&self) -> ConfigVersion {
        self.configuration.version
    }
}
