//! One node's part in ownership: renewals, elections, leadership and its table, as one state machine.
//!
//! Every input returns the actions that the node's I/O is to carry out; the results of some come back
//! as further inputs.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    Admission, Election, Epoch, GrantResult, Holder, Leader, LeaderReference, Leadership,
    LeaseReply, Life, LoadReport, Member, NodeName, Order, PeerView, Renewal, Step, Table,
    TableAnswer, TargetState, Time, Timing,
};

/// Two renewals that something hurried on are at least this far apart.
const HURRIED_RENEWALS: Duration = Duration::from_millis(40);
/// A renewal without an answer for this long is sent again; the time doubles with each.
const ANSWER_EXPECTED: Duration = Duration::from_millis(130);
/// Members of whom one millisecond must pass between two notices of a changed table.
const NOTICE_GAP_MS_A_MEMBER: u64 = 2;
/// Such a confirmation without an answer for this long is sent again.
const HURRIED_CONFIRMATION_GIVEN_UP: Duration = Duration::from_millis(350);
/// Peers that are asked whom they hear.
const PEERS_ASKED: usize = 5;
/// A leader that couldn't confirm for this long asks a node that reaches the store to take over.
const CONFIRM_TROUBLE: Duration = Duration::from_millis(3_500);
/// How often it asks.
const TAKE_OVER_EVERY: Duration = Duration::from_millis(1_000);
/// A confirmation that something waits for comes this long after the last.
const HURRIED_CONFIRMATION: Duration = Duration::from_millis(200);

/// What nodes tell each other in datagrams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A node asks its leader for a lease.
    Renew(Box<Renewal>),
    /// The leader answers.
    Lease(LeaderReference, LeaseReply),
    /// The node that was asked doesn't lead.
    NotLeading(Option<LeaderReference>),
    /// Whom do you hear?
    Ask,
    /// This one, that long ago in milliseconds.
    Tell(Option<LeaderReference>, u64),
    /// The leader asks a node to take over from its epoch.
    TakeOver(Epoch),
    /// The leader has changed the node's assignment: it should renew at once.
    Call(Epoch),
    /// The versions of the leader's table and configuration.
    Notice(LeaderReference, u64, u64),
}

/// What the node's I/O is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send(SocketAddr, Datagram),
    /// Read the leader's object; ends in [`Participant::leadership_read`].
    ReadLeadership,
    /// Replace the object of that revision, or create it; ends in [`Participant::claim_ended`].
    Claim(Option<u64>, Leadership),
    /// Replace the object of that revision; it doesn't matter whether that succeeds.
    Rewrite(u64, Leadership),
    /// List registered nodes; ends in [`Participant::registered_listed`].
    ListRegistered,
    /// Read the leader's object; ends in [`Participant::confirmed`].
    Confirm,
    /// Carry an order out at the target.
    Order(Order),
    /// Fetch the table of the node there; ends in [`Participant::table_fetched`].
    FetchTable(SocketAddr),
    /// Fetch the configuration of the node there.
    FetchConfiguration(SocketAddr),
    /// The table has changed.
    TableChanged,
    /// Something to log.
    Note(Note),
}

/// A change of what the node believes.
#[derive(Debug, Clone, PartialEq)]
pub enum Note {
    /// Another leader is followed.
    LeaderKnown(LeaderReference),
    /// This node leads; so many nodes are registered.
    LeadershipTaken(Epoch, usize),
    /// This node leads no longer.
    LeadershipLost(Epoch),
}

/// What the node knows besides.
#[derive(Debug, Clone, Default)]
pub struct Surroundings {
    /// The target beside it.
    pub target: Option<TargetState>,
    /// Whether the node is about to stop.
    pub leaving: bool,
    /// Whether the store has acknowledged its registration.
    pub registered: bool,
    /// Version of its configuration.
    pub configuration_version: u64,
    /// Whether its last call to the store succeeded.
    pub store_reachable: bool,
    /// Services whose keys have owners.
    pub keyed_services: BTreeSet<String>,
}

/// The leader's object as it was read: its revision and whom it names.
pub type Stored = Option<(u64, Leadership)>;

/// How a claim ended.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimResult {
    /// The object names this node.
    Won,
    /// It was changed by another; this is what it holds, if that was told.
    Conflict(Stored),
    /// No answer, or a refusal.
    Failed,
}

/// Who a node is.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Its name.
    pub node: NodeName,
    /// Its process.
    pub life: Life,
    /// Its zone.
    pub zone: String,
    /// Where it listens for other nodes.
    pub address: SocketAddr,
}

/// One node's part in ownership.
#[derive(Debug)]
pub struct Participant {
    identity: Identity,
    timing: Timing,
    holder: Holder,
    election: Election,
    leader: Option<Leader>,
    table: Table,
    next_renewal: Time,
    last_renewal: Time,
    /// Renewals since the leader's last answer.
    unanswered: u32,
    confirming_since: Option<Time>,
    last_confirmation: Time,
    next_take_over: Time,
    fetching_table_since: Option<Time>,
    noticed: (Epoch, u64, u64),
    noticed_at: Time,
    /// A claim that was won, and when it was sent, while registered nodes are listed.
    won: Option<(Leadership, Time)>,
    /// Whether the object has been rewritten in this epoch, without earlier leaders.
    rewritten: Epoch,
    counter: u64,
}

/// A call between nodes, or to the store, is given up on after this.
const CALL_GIVEN_UP: Duration = Duration::from_millis(1_600);

impl Participant {
    /// A node whose process has just started. `clean` says that no earlier process can have given its
    /// target anything.
    pub fn new(identity: Identity, timing: Timing, clean: bool, now: Time) -> Self {
        let election = Election::new(identity.node.clone(), identity.life, timing, now);
        Self {
            identity,
            timing,
            holder: Holder::new(timing, clean),
            election,
            leader: None,
            table: Table::default(),
            next_renewal: now,
            last_renewal: Time::default(),
            unanswered: 0,
            confirming_since: None,
            last_confirmation: Time::default(),
            next_take_over: now,
            fetching_table_since: None,
            noticed: Default::default(),
            noticed_at: Time::default(),
            won: None,
            rewritten: Epoch::default(),
            counter: 0,
        }
    }

    /// Whom the node follows.
    pub fn followed(&self) -> Option<&LeaderReference> {
        self.election.leader()
    }

    /// The leader's state, if the node leads.
    pub fn leading(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// Nodes and owners, as last heard.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// When the lease ends.
    pub fn lease_until(&self) -> Time {
        self.holder.lease_until()
    }

    /// The epoch that the node obeys.
    pub fn epoch(&self) -> Epoch {
        self.holder.epoch()
    }

    /// Whether a request for a key may start now.
    pub fn admission(&self, now: Time, key: u16) -> Admission {
        self.holder.admission(now, key)
    }

    /// Whether the target may hold any keys.
    pub fn holds_any(&mut self, now: Time) -> bool {
        !self.holder.held(now).is_empty()
    }

    /// Another life of the target answers. Returns whether that is new.
    pub fn target_is(&mut self, id: &str) -> bool {
        self.holder.target_is(id)
    }

    /// The target said that it doesn't hold a key.
    pub fn denied_by_target(&mut self, now: Time, key: u16) {
        self.holder.denied_by_target(now, key);
    }

    /// Takes in an owner's load, if this node leads.
    pub fn load(&mut self, report: &LoadReport) {
        if let Some(leader) = &mut self.leader {
            leader.load(report);
        }
    }

    // --- time ---

    /// Something has changed that the leader should hear of.
    pub fn hurry(&mut self, now: Time, around: &Surroundings) -> Vec<Action> {
        let earliest = (self.last_renewal + HURRIED_RENEWALS).max(now);
        self.next_renewal = self.next_renewal.min(earliest);
        self.tick(now, around)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Time, around: &Surroundings) -> Vec<Action> {
        let mut actions = Vec::new();
        self.elect(now, around, &mut actions);
        self.lead(now, around, &mut actions);
        if now >= self.next_renewal {
            self.renew(now, around, &mut actions);
        }
        self.orders(now, &mut actions);
        actions
    }

    fn orders(&mut self, now: Time, actions: &mut Vec<Action>) {
        actions.extend(self.holder.orders(now).into_iter().map(Action::Order));
    }

    // --- the target ---

    /// A grant has ended.
    pub fn granted(&mut self, now: Time, order: &Order, sent_at: Time, result: GrantResult) {
        if let Order::Grant {
            range, fence, hold, ..
        } = order
        {
            self.holder
                .granted(now, *range, *fence, sent_at, *hold, result);
        }
    }

    /// A release, or the clearing of the target, has ended.
    pub fn released(&mut self, now: Time, order: &Order, answered: bool, handover: Option<String>) {
        match order {
            Order::Release { range, fence } => self
                .holder
                .release_ended(now, *range, *fence, answered, handover),
            Order::Clear { .. } => self.holder.clear_ended(now, answered, handover),
            Order::Grant { .. } => {}
        }
    }

    // --- renewals ---

    fn renewal(&mut self, now: Time, around: &Surroundings) -> Renewal {
        Renewal {
            node: self.identity.node.clone(),
            life: self.identity.life,
            zone: self.identity.zone.clone(),
            address: self.identity.address,
            sent_at: now,
            held: self.holder.held(now),
            epoch: self.holder.epoch(),
            applied: self.holder.applied(),
            clean: self.holder.is_clean(),
            released: self.holder.released(),
            target: around.target.clone(),
            leaving: around.leaving,
            registered: around.registered,
            configuration_version: around.configuration_version,
            store_reachable: around.store_reachable,
        }
    }

    fn renew(&mut self, now: Time, around: &Surroundings, actions: &mut Vec<Action>) {
        let expects_answer = now.since(self.election.heard_at()) < self.timing.suspect_after;
        let again = if expects_answer {
            let doubled = ANSWER_EXPECTED * 2_u32.pow(self.unanswered.min(4));
            doubled.min(self.timing.renew_every)
        } else {
            self.timing.renew_every
        };
        self.next_renewal = now + again;
        self.last_renewal = now;
        self.unanswered += 1;
        let Some(leader) = self.election.leader().cloned() else {
            return;
        };
        let renewal = self.renewal(now, around);
        if self.leader.is_none() {
            actions.push(Action::Send(
                leader.address,
                Datagram::Renew(Box::new(renewal)),
            ));
            return;
        }
        if let Some(reply) = self.lease(now, around, &renewal) {
            self.leased(now, around, &leader, &reply, actions);
        }
    }

    /// The leader's side of a renewal.
    fn lease(&mut self, now: Time, around: &Surroundings, renewal: &Renewal) -> Option<LeaseReply> {
        let mut reply = self.leader.as_mut()?.renewal(now, renewal)?;
        // A newer table is told to all at a bounded rate.
        reply.table_version = if self.noticed.0 == reply.epoch {
            self.noticed.1
        } else {
            0
        };
        reply.configuration_version = around.configuration_version;
        Some(reply)
    }

    /// The node's side of the leader's answer.
    fn leased(
        &mut self,
        now: Time,
        around: &Surroundings,
        leader: &LeaderReference,
        reply: &LeaseReply,
        actions: &mut Vec<Action>,
    ) {
        self.follow(now, leader, actions);
        if self
            .followed()
            .is_none_or(|known| known.epoch != leader.epoch)
        {
            return;
        }
        self.election.heard(now);
        self.unanswered = 0;
        if reply.renewal_sent_at >= self.last_renewal {
            self.next_renewal = self.last_renewal + self.timing.renew_every;
        }
        self.holder.lease(now, reply);
        self.orders(now, actions);
        self.catch_up(
            now,
            around,
            leader,
            reply.table_version,
            reply.configuration_version,
            actions,
        );
    }

    /// Fetches what the leader has and this node lacks.
    fn catch_up(
        &mut self,
        now: Time,
        around: &Surroundings,
        leader: &LeaderReference,
        table: u64,
        configuration: u64,
        actions: &mut Vec<Action>,
    ) {
        let behind = (self.table.epoch, self.table.version) < (leader.epoch, table);
        let fetching = self
            .fetching_table_since
            .is_some_and(|since| now.since(since) < CALL_GIVEN_UP);
        if behind && self.leader.is_none() && !fetching {
            self.fetching_table_since = Some(now);
            actions.push(Action::FetchTable(leader.address));
        }
        if configuration > around.configuration_version {
            actions.push(Action::FetchConfiguration(leader.address));
        }
    }

    /// The answer to a node that has a version of an epoch's table.
    pub fn table_since(&self, epoch: Epoch, version: u64) -> TableAnswer {
        match &self.leader {
            Some(leader) => leader.table_since(epoch, version),
            None => TableAnswer::Whole(self.table.clone()),
        }
    }

    /// A table, or what has changed in it, was fetched, or couldn't be.
    pub fn table_fetched(&mut self, answer: Option<TableAnswer>) -> Vec<Action> {
        self.fetching_table_since = None;
        let Some(next) = answer.and_then(|answer| self.table.advanced(answer)) else {
            return Vec::new();
        };
        self.table = next;
        vec![Action::TableChanged]
    }

    // --- datagrams ---

    /// A datagram has arrived.
    pub fn receive(
        &mut self,
        now: Time,
        around: &Surroundings,
        from: SocketAddr,
        datagram: Datagram,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        match datagram {
            Datagram::Renew(renewal) => {
                self.answer_renewal(now, around, &renewal, from, &mut actions)
            }
            Datagram::Lease(leader, reply) => {
                self.leased(now, around, &leader, &reply, &mut actions)
            }
            Datagram::NotLeading(leader) => {
                self.not_leading(now, around, leader.as_ref(), from, &mut actions)
            }
            Datagram::Ask => {
                let leading = self
                    .leader
                    .as_ref()
                    .is_some_and(|leader| leader.may_lease(now));
                let ago = if leading {
                    Duration::ZERO
                } else {
                    now.since(self.election.heard_at())
                };
                let ago = u64::try_from(ago.as_millis()).unwrap_or(u64::MAX);
                actions.push(Action::Send(
                    from,
                    Datagram::Tell(self.followed().cloned(), ago),
                ));
            }
            Datagram::Tell(leader, ago) => {
                if let Some(leader) = &leader {
                    self.follow(now, leader, &mut actions);
                }
                let heard_ago = Duration::from_millis(ago);
                self.election.peer(now, &PeerView { leader, heard_ago });
            }
            Datagram::TakeOver(epoch) => {
                if self.followed().is_some_and(|known| known.epoch == epoch) && !around.leaving {
                    self.election.vacant(now, true);
                    self.elect(now, around, &mut actions);
                }
            }
            Datagram::Call(epoch) => {
                if self.followed().is_some_and(|known| known.epoch == epoch) {
                    self.renew(now, around, &mut actions);
                }
            }
            Datagram::Notice(leader, table, configuration) => {
                let is_new = self.follow(now, &leader, &mut actions);
                if self
                    .followed()
                    .is_some_and(|known| known.epoch == leader.epoch)
                {
                    self.catch_up(now, around, &leader, table, configuration, &mut actions);
                }
                if is_new {
                    self.renew(now, around, &mut actions);
                }
            }
        }
        actions
    }

    fn answer_renewal(
        &mut self,
        now: Time,
        around: &Surroundings,
        renewal: &Renewal,
        from: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        let own = self.followed().cloned();
        if self.leader.is_none() {
            actions.push(Action::Send(from, Datagram::NotLeading(own)));
            return;
        }
        if renewal.configuration_version > around.configuration_version {
            actions.push(Action::FetchConfiguration(renewal.address));
        }
        if let Some(own) = &own
            && renewal.epoch < own.epoch
        {
            // It has yet to hear of this epoch.
            let notice = Datagram::Notice(own.clone(), 0, around.configuration_version);
            actions.push(Action::Send(from, notice));
            return;
        }
        let reply = self.lease(now, around, renewal);
        self.tell_changes(now, around, actions);
        if let (Some(leader), Some(reply)) = (own, reply) {
            actions.push(Action::Send(from, Datagram::Lease(leader, reply)));
        }
    }

    /// The node that was taken for the leader isn't, or not any more.
    fn not_leading(
        &mut self,
        now: Time,
        around: &Surroundings,
        known: Option<&LeaderReference>,
        from: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        if let Some(known) = known
            && self.follow(now, known, actions)
        {
            self.renew(now, around, actions);
            return;
        }
        if self.followed().is_some_and(|leader| leader.address == from) {
            self.election.vacant(now, false);
        }
    }

    /// Follows a leader if its epoch is later than the one known. Returns whether it is.
    fn follow(&mut self, now: Time, leader: &LeaderReference, actions: &mut Vec<Action>) -> bool {
        if !self.election.learn(now, leader) {
            return false;
        }
        actions.push(Action::Note(Note::LeaderKnown(leader.clone())));
        self.holder.promise(leader.epoch);
        if let Some(leading) = &self.leader
            && leading.epoch() < leader.epoch
        {
            actions.push(Action::Note(Note::LeadershipLost(leading.epoch())));
            self.leader = None;
        }
        self.next_renewal = now;
        true
    }

    // --- elections ---

    fn elect(&mut self, now: Time, around: &Surroundings, actions: &mut Vec<Action>) {
        if around.leaving && self.leader.is_none() {
            return;
        }
        let burdened = Self::is_burdened(around.target.as_ref(), around);
        self.election.set_burdened(burdened);
        let peers = self.table.members.len().saturating_sub(1);
        match self.election.tick(now, peers) {
            Some(Step::AskPeers) => self.ask_peers(actions),
            Some(Step::ReadObject) => actions.push(Action::ReadLeadership),
            Some(Step::Claim) | None => {}
        }
    }

    fn ask_peers(&mut self, actions: &mut Vec<Action>) {
        let others = self
            .table
            .members
            .iter()
            .filter(|member| member.node != self.identity.node);
        let others = others.map(|member| member.address).collect::<Vec<_>>();
        if others.is_empty() {
            return;
        }
        // Another start each time, so that all are asked after a few rounds.
        self.counter += 1;
        let start =
            (self.identity.life.0.wrapping_add(self.counter * 7) % others.len() as u64) as usize;
        for offset in 0..others.len().min(PEERS_ASKED) {
            let address = others[(start + offset) % others.len()];
            actions.push(Action::Send(address, Datagram::Ask));
        }
    }

    fn is_own(&self, leader: &LeaderReference) -> bool {
        leader.node == self.identity.node && leader.life == self.identity.life
    }

    /// The leader's object was read by a call sent at `sent_at`; an error if that failed.
    pub fn leadership_read(
        &mut self,
        now: Time,
        sent_at: Time,
        stored: Result<Stored, ()>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Ok(stored) = stored else {
            self.election.look_again(now);
            return actions;
        };
        if let Some((_, leadership)) = &stored {
            if self.is_own(&leadership.leader) && self.leader.is_none() {
                // An earlier claim was done after all: it held when this read was sent.
                self.won = Some((leadership.clone(), sent_at));
                return vec![Action::ListRegistered];
            }
            self.follow(now, &leadership.leader, &mut actions);
        }
        let named = stored.as_ref().map(|(_, leadership)| &leadership.leader);
        if self.election.object_read(now, named) == Some(Step::Claim) {
            let (revision, leadership) = self.next_leadership(stored);
            actions.push(Action::Claim(revision, leadership));
        }
        actions
    }

    /// What to replace the stored leadership with.
    fn next_leadership(&self, stored: Stored) -> (Option<u64>, Leadership) {
        let leader = |epoch| LeaderReference {
            epoch,
            node: self.identity.node.clone(),
            life: self.identity.life,
            address: self.identity.address,
        };
        match stored {
            Some((revision, before)) => {
                let next = leader(Epoch(before.leader.epoch.0 + 1));
                (Some(revision), before.succeeded_by(next))
            }
            None => {
                let first = Leadership {
                    leader: leader(Epoch(1)),
                    earlier: Some(Vec::new()),
                };
                (None, first)
            }
        }
    }

    /// A claim that was sent at `sent_at` has ended.
    pub fn claim_ended(
        &mut self,
        now: Time,
        around: &Surroundings,
        sent_at: Time,
        leadership: Leadership,
        result: ClaimResult,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        match result {
            ClaimResult::Won => {
                self.won = Some((leadership, sent_at));
                return vec![Action::ListRegistered];
            }
            ClaimResult::Conflict(Some((_, named))) => {
                if self.follow(now, &named.leader, &mut actions) {
                    self.renew(now, around, &mut actions);
                    return actions;
                }
            }
            ClaimResult::Conflict(None) | ClaimResult::Failed => {}
        }
        self.election.look_again(now);
        actions
    }

    /// The registered nodes were listed after a claim was won; nothing if that failed.
    pub fn registered_listed(
        &mut self,
        now: Time,
        around: &Surroundings,
        registered: Option<Vec<(NodeName, SocketAddr)>>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some((leadership, claimed_at)) = self.won.take() else {
            return actions;
        };
        let leader = leadership.leader.clone();
        let Some(registered) = registered else {
            self.election.look_again(now);
            return actions;
        };
        let known = self.followed().map(|known| known.epoch).unwrap_or_default();
        if known > leader.epoch || self.leader.is_some() {
            return actions;
        }
        self.follow(now, &leader, &mut actions);
        self.election.heard(now);
        let names = registered
            .iter()
            .map(|(name, _)| name.clone())
            .collect::<BTreeSet<_>>();
        actions.push(Action::Note(Note::LeadershipTaken(
            leader.epoch,
            names.len(),
        )));
        let known = self.table.clone();
        self.leader = Some(Leader::new(
            &leadership,
            self.timing,
            claimed_at,
            now,
            names,
            known,
        ));
        self.last_confirmation = claimed_at;
        let notice = Datagram::Notice(leader, 0, around.configuration_version);
        for (name, address) in registered {
            if name != self.identity.node {
                actions.push(Action::Send(address, notice.clone()));
            }
        }
        self.next_renewal = now;
        actions.extend(self.tick(now, around));
        actions
    }

    // --- leadership ---

    fn lead(&mut self, now: Time, around: &Surroundings, actions: &mut Vec<Action>) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        if around.configuration_version > 0 {
            leader.set_keyed_services(&around.keyed_services);
        }
        leader.tick(now);
        let since = now.since(self.last_confirmation);
        let hurried = since >= HURRIED_CONFIRMATION && leader.wants_confirmation(now);
        let patience = if hurried {
            HURRIED_CONFIRMATION_GIVEN_UP
        } else {
            CALL_GIVEN_UP
        };
        let confirming = self
            .confirming_since
            .is_some_and(|since| now.since(since) < patience);
        let trouble = now.since(leader.confirmed_at()) >= CONFIRM_TROUBLE;
        if (hurried || since >= self.timing.confirm_every) && !confirming {
            self.last_confirmation = now;
            self.confirming_since = Some(now);
            actions.push(Action::Confirm);
        }
        let burdened = leader.is_settled(now) && Self::is_burdened(around.target.as_ref(), around);
        if (trouble || burdened || around.leaving) && now >= self.next_take_over {
            self.next_take_over = now + TAKE_OVER_EVERY;
            let must = trouble || around.leaving;
            self.ask_to_take_over(now, around, must, actions);
        }
        self.tell_changes(now, around, actions);
    }

    /// A confirmation that was sent at `sent_at` has ended: what the store holds, if it told.
    pub fn confirmed(&mut self, now: Time, sent_at: Time, stored: Stored) -> Vec<Action> {
        self.confirming_since = None;
        let mut actions = Vec::new();
        let Some((revision, leadership)) = stored else {
            return actions;
        };
        if !self.is_own(&leadership.leader) {
            self.follow(now, &leadership.leader, &mut actions);
            return actions;
        }
        let Some(leader) = &mut self.leader else {
            return actions;
        };
        if leader.epoch() != leadership.leader.epoch {
            return actions;
        }
        leader.confirm(sent_at);
        let is_alone = leadership.earlier.as_ref().is_some_and(Vec::is_empty);
        if leader.is_settled(now) && !is_alone && self.rewritten != leader.epoch() {
            // Later leaders needn't wait for those before this one.
            self.rewritten = leader.epoch();
            let earlier = Some(Vec::new());
            actions.push(Action::Rewrite(
                revision,
                Leadership {
                    earlier,
                    ..leadership
                },
            ));
        }
        actions
    }

    /// Whether a node with that target should lead only if no other can. A leader and an owner lost
    /// together leave keys unserved for longer, and a machine whose target is gone may go soon.
    fn is_burdened(target: Option<&TargetState>, around: &Surroundings) -> bool {
        target.is_none_or(|target| {
            !target.accepting || around.keyed_services.contains(&target.service)
        })
    }

    /// Asks a node that reaches the store to lead, since this one doesn't, or stops, or owns keys.
    fn ask_to_take_over(
        &mut self,
        now: Time,
        around: &Surroundings,
        must: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(leader) = &self.leader else {
            return;
        };
        let heirs = leader
            .members()
            .iter()
            .filter(|(name, member)| {
                **name != self.identity.node && member.store_reachable && !member.view.leaving
            })
            .filter(|(_, member)| now.since(member.heard_at) < self.timing.suspect_after)
            .map(|(_, member)| member)
            .collect::<Vec<_>>();
        let is_free = |member: &&Member| !Self::is_burdened(member.view.target.as_ref(), around);
        let lighter = heirs.iter().copied().filter(is_free).collect::<Vec<_>>();
        let heirs = if must && lighter.is_empty() {
            heirs
        } else {
            lighter
        };
        if heirs.is_empty() {
            return;
        }
        self.counter += 1;
        let chosen =
            (self.identity.life.0.wrapping_add(self.counter) % heirs.len() as u64) as usize;
        actions.push(Action::Send(
            heirs[chosen].view.address,
            Datagram::TakeOver(leader.epoch()),
        ));
    }

    /// Tells the members that the table or the configuration has changed.
    fn tell_changes(&mut self, now: Time, around: &Surroundings, actions: &mut Vec<Action>) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let epoch = leader.epoch();
        let calls = leader.to_call(now).into_iter();
        actions.extend(calls.map(|address| Action::Send(address, Datagram::Call(epoch))));
        let version = (epoch, leader.table().version, around.configuration_version);
        if self.noticed == version {
            return;
        }
        let gap = Duration::from_millis(leader.members().len() as u64 * NOTICE_GAP_MS_A_MEMBER);
        let urgent = self.noticed.0 != version.0 || self.noticed.2 != version.2;
        if !urgent && now.since(self.noticed_at) < gap {
            return;
        }
        self.noticed = version;
        self.noticed_at = now;
        if self.table != *leader.table() {
            self.table = leader.table().clone();
            actions.push(Action::TableChanged);
        }
        let Some(reference) = self.election.leader().cloned() else {
            return;
        };
        let notice = Datagram::Notice(reference, version.1, version.2);
        for (name, member) in leader.members() {
            if *name != self.identity.node && now.since(member.heard_at) < self.timing.leadership {
                actions.push(Action::Send(member.view.address, notice.clone()));
            }
        }
    }
}
