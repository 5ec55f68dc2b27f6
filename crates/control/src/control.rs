//! The composition of all parts of a control candidate.

use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wingspar_consensus::{Replica, Role};
use wingspar_store::Answer;
use wingspar_wire::{Message, Outbound};
use wingspar_world::{ConfigVersion, Machine, MonotonicTime, NodeId};

use crate::candidates::Candidates;
use crate::group::GroupKnowledge;
use crate::leading::Leading;
use crate::observed::Observed;
use crate::recovery::Recovery;
use crate::store_io::{Purpose, StoreRequests, is_reply, lost_answer};
use crate::{
    ControlCounters, ControlEvent, ControlSettings, GroupState, Input, Output, StoreReply,
};

/// A control candidate: spare, learner, voter or leader of one control group.
pub struct Control {
    pub(crate) settings: ControlSettings,
    pub(crate) node: NodeId,
    pub(crate) machine: Machine,
    pub(crate) random: ChaCha8Rng,
    pub(crate) now: MonotonicTime,
    pub(crate) next_tick: MonotonicTime,
    pub(crate) next_presence: MonotonicTime,
    /// Turns of announcing this process to others.
    pub(crate) announcements: u64,
    pub(crate) minute_of_day: Option<u16>,
    pub(crate) counters: ControlCounters,
    pub(crate) candidates: Candidates,
    pub(crate) store: StoreRequests,
    pub(crate) store_reachable: bool,
    pub(crate) group: GroupKnowledge,
    pub(crate) recovery: Recovery,
    pub(crate) replica: Option<Replica<GroupState>>,
    /// When the present id was taken.
    pub(crate) id_since: MonotonicTime,
    /// When the replica last received anything.
    pub(crate) replication_at: MonotonicTime,
    /// Something was proposed and not yet handed to the replication.
    pub(crate) proposed: bool,
    pub(crate) observed: Observed,
    pub(crate) leading: Option<Leading>,
    /// When this process was asked to stop.
    pub(crate) leaving_since: Option<MonotonicTime>,
    /// When to try to pass leadership on again.
    pub(crate) next_transfer: MonotonicTime,
    pub(crate) stopped: bool,
}

impl Control {
    /// Makes a candidate that runs on `machine`. `seeds` are internal addresses of candidates to
    /// begin with; `random_seed` spreads election timeouts and must differ between processes.
    pub fn new(
        settings: ControlSettings,
        node: NodeId,
        machine: Machine,
        seeds: Vec<SocketAddr>,
        random_seed: u64,
        now: MonotonicTime,
    ) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(random_seed);
        let nonce = random.random_range(1..u64::MAX);
        Self {
            candidates: Candidates::new(node.clone(), seeds),
            group: GroupKnowledge::new(now, nonce),
            settings,
            node,
            machine,
            random,
            now,
            next_tick: now,
            next_presence: now,
            announcements: 0,
            minute_of_day: None,
            counters: ControlCounters::default(),
            store: StoreRequests::default(),
            store_reachable: true,
            recovery: Recovery::default(),
            replica: None,
            id_since: now,
            replication_at: now,
            proposed: false,
            observed: Observed::default(),
            leading: None,
            leaving_since: None,
            next_transfer: now,
            stopped: false,
        }
    }

    /// Takes in one input and appends what is to be done. `now` never goes back.
    pub fn step(&mut self, now: MonotonicTime, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Message {
                reply_to, message, ..
            } => self.on_message(reply_to, message, out),
            Input::Tick => {}
            Input::Store(reply) => self.on_store_reply(reply, out),
            Input::Operator { id, request } => self.on_operator(id, request, out),
            Input::Leave => self.on_leave(),
            Input::WallClock { minute_of_day } => self.minute_of_day = Some(minute_of_day),
        }
        self.run(out);
    }

    /// When `step` must be called with `Tick` at the latest.
    pub fn next_wake(&self) -> MonotonicTime {
        let replica = self.replica.as_ref();
        let replica = replica.map_or(MonotonicTime::MAX, Replica::next_wake);
        let own = self.next_tick.min(self.next_presence);
        own.min(replica).min(self.store.next_expiry())
    }

    /// Id under which this process is a candidate or member. It begins as the process's own; one
    /// that was removed from a group goes on under a new id, for the old one can't come back.
    pub fn id(&self) -> &NodeId {
        &self.node
    }

    /// Running totals.
    pub fn counters(&self) -> &ControlCounters {
        &self.counters
    }

    /// The replica, while this process belongs to a group.
    pub fn replica(&self) -> Option<&Replica<GroupState>> {
        self.replica.as_ref()
    }

    /// Whether this process leads the group and holds a valid leader lease at its last step.
    pub fn is_leader(&self) -> bool {
        self.leading.is_some() && self.holds_leader_lease()
    }

    /// Checks what must hold after every step.
    ///
    /// # Errors
    /// Tells the broken invariant, which is a defect.
    pub fn check_invariants(&self) -> Result<(), String> {
        let Some(replica) = &self.replica else {
            return Ok(());
        };
        replica.check_invariants().map_err(|it| it.to_string())?;
        replica
            .state()
            .check_invariants()
            .map_err(|it| it.to_string())
    }

    /// Newest configuration version known here.
    pub fn configuration_version(&self) -> ConfigVersion {
        let version = |replica: &Replica<GroupState>| replica.state().configuration().version;
        self.replica
            .as_ref()
            .map_or(ConfigVersion::default(), version)
    }

    fn on_message(&mut self, reply_to: SocketAddr, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::Renewal(renewal) => self.on_renewal(renewal, reply_to, out),
            Message::Pull(pull) => self.on_pull(pull, reply_to, out),
            Message::Released(released) => self.on_released(&released),
            Message::Presence(presence) => self.on_presence(&presence, out),
            Message::Replication(replication) => {
                self.candidates.note_address(&replication.from, reply_to);
                self.on_replication(replication, out);
            }
            Message::RenewalReply(_)
            | Message::Configuration(_)
            | Message::Grants(_)
            | Message::Table(_)
            | Message::Remember(_)
            | Message::RememberReply(_) => self.counters.malformed += 1,
        }
    }

    fn on_store_reply(&mut self, reply: StoreReply, out: &mut Vec<Output>) {
        let Some(purpose) = self.store.take(reply.id) else {
            return;
        };
        self.on_store_answer(purpose, reply.answer, out);
    }

    fn on_store_answer(&mut self, purpose: Purpose, answer: Answer, out: &mut Vec<Output>) {
        let reachable = is_reply(&answer);
        if !reachable {
            self.counters.store_failures += 1;
        }
        if reachable != self.store_reachable {
            self.store_reachable = reachable;
            out.push(Output::Event(ControlEvent::StoreReachable(reachable)));
        }
        match purpose {
            Purpose::ReadGroup => self.on_group_read(answer, out),
            Purpose::FoundGroup => self.on_group_founded(),
            Purpose::ReadOrigin => self.on_origin_read(answer, out),
            Purpose::ReadMachines => self.on_machines(answer),
            Purpose::RecordMembers => self.on_members_recorded(answer, out),
            Purpose::ReadSnapshot => self.on_snapshot_read(answer),
            Purpose::WriteSnapshot => self.on_snapshot_written(answer),
            Purpose::ListConfiguration => self.on_listing(answer, out),
            Purpose::WatchConfiguration | Purpose::CatchUp => self.on_watch(purpose, answer, out),
            Purpose::Write(token) => self.on_write_answer(token, answer, out),
        }
    }

    /// Does what is due after each input.
    fn run(&mut self, out: &mut Vec<Output>) {
        for purpose in self.store.take_expired(self.now) {
            let answer = lost_answer(self.settings.store_timeout);
            self.on_store_answer(purpose, answer, out);
        }
        self.tick_replica(out);
        if self.now >= self.next_presence {
            self.next_presence = self.now + self.settings.presence_interval;
            self.announce(out);
            self.tend_id();
            self.tend_group(out);
        }
        if self.leading.is_some() {
            self.lead(out);
        } else if self.now >= self.next_tick {
            self.next_tick = self.now + self.settings.tick_interval;
        }
        if self.proposed {
            self.proposed = false;
            self.tick_replica(out);
        }
        self.tend_leave(out);
    }

    /// The role of the replica, if there is one.
    pub(crate) fn role(&self) -> Option<Role> {
        self.replica.as_ref().map(Replica::role)
    }

    pub(crate) fn holds_leader_lease(&self) -> bool {
        let lease = self.replica.as_ref().and_then(Replica::leader_lease_until);
        lease.is_some_and(|until| self.now < until)
    }

    pub(crate) fn send(to: SocketAddr, message: Message, out: &mut Vec<Output>) {
        out.push(Output::Send(Outbound { to, message }));
    }
}

impl std::fmt::Debug for Control {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Control")
            .field("node", &self.node)
            .field("generation", &self.group.generation)
            .field("role", &self.role())
            .finish_non_exhaustive()
    }
}
