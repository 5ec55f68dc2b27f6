//! Composition of the agent: messages, ticks, and the session's life.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use wingspar_wire::{Message, Outbound, SessionId, StateVersion};
use wingspar_world::{
    ConfigVersion, Configuration, Lease, Machine, MonotonicTime, NodeId, Target, TargetName,
};

use crate::grants::{Grants, Holding};
use crate::guard::Guards;
use crate::handover::HandOvers;
use crate::load::LoadMeter;
use crate::remembered::Remembered;
use crate::renew::ToldOf;
use crate::session::Session;
use crate::target::TargetState;
use crate::unsettled::Unsettled;
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
    pub(crate) node: NodeId,
    pub(crate) machine: Machine,
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
    pub(crate) unsettled: Unsettled,
    pub(crate) counters: Counters,
    pub(crate) leaving_since: Option<MonotonicTime>,
    pub(crate) drained: bool,
    pub(crate) table_version: Option<StateVersion>,
    pub(crate) told_of: ToldOf,
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
            unsettled: Unsettled::default(),
            counters: Counters::default(),
            leaving_since: None,
            drained: false,
            table_version: None,
            told_of: ToldOf::default(),
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
        self.unsettled.settle(now);
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
        let hand_overs = if self.hand_overs.is_empty() {
            MonotonicTime::MAX
        } else {
            self.hand_overs.next_wake().min(self.unsettled.next_wake())
        };
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
    pub(crate) fn end_session(&mut self, now: MonotonicTime, cause: SessionEnd) {
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

    pub(crate) fn send(&mut self, to: SocketAddr, message: Message) {
        self.pending.push(Output::Send(Outbound { to, message }));
    }

    /// Largest answer body that is kept for replay, in bytes.
    pub fn kept_body_limit(&self) -> usize {
        self.settings.remembered_body_bytes
    }

    /// Version of the configuration in force.
    pub fn config_version(&self) -> ConfigVersion {
        self.configuration.version
    }
}
