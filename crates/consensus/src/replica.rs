//! One member of a control group: its state, construction, and entry points.

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wingspar_world::{GroupId, MonotonicTime, NodeId};

use crate::membership::MembershipHistory;
use crate::message::{Body, Message, SnapshotImage};
use crate::progress::Progress;
use crate::{Config, Counters, EntryId, Log, LogPosition, Membership, Output, StateMachine};

/// Message type of a state machine.
pub(crate) type MessageOf<S> = Message<<S as StateMachine>::Command, <S as StateMachine>::Snapshot>;
/// Message content type of a state machine.
pub(crate) type BodyOf<S> = Body<<S as StateMachine>::Command, <S as StateMachine>::Snapshot>;

/// What the replica is doing; learners are `Follower` here.
#[derive(Debug)]
pub(crate) enum Phase {
    Follower,
    PreCandidate(Campaign),
    Candidate(Campaign),
    Leader(Leadership),
    Removed,
}

/// A round of (pre-)votes.
#[derive(Debug)]
pub(crate) struct Campaign {
    pub(crate) granted: BTreeSet<NodeId>,
    pub(crate) answered: BTreeSet<NodeId>,
    pub(crate) retry_at: MonotonicTime,
    pub(crate) transfer: bool,
}

/// What only a leader keeps.
#[derive(Debug)]
pub(crate) struct Leadership {
    pub(crate) progress: BTreeMap<NodeId, Progress>,
    pub(crate) since: MonotonicTime,
    pub(crate) next_heartbeat: MonotonicTime,
    pub(crate) committed_own_term: bool,
    pub(crate) transfer: Option<Transfer>,
}

/// A leadership transfer that waits for its target to catch up.
#[derive(Debug)]
pub(crate) struct Transfer {
    pub(crate) to: NodeId,
    pub(crate) deadline: MonotonicTime,
}

/// One member of one generation of a control group.
///
/// The caller passes `now` of a clock that never goes back and runs on while the process is
/// stopped, hands in every message received, calls [`tick`](Self::tick) at
/// [`next_wake`](Self::next_wake) or earlier, and carries out the outputs in order.
pub struct Replica<S: StateMachine> {
    pub(crate) id: NodeId,
    pub(crate) group: GroupId,
    pub(crate) generation: u32,
    /// Where the generation's log began; unknown to a learner until a leader reaches it.
    pub(crate) origin: Option<LogPosition>,
    pub(crate) config: Config,
    pub(crate) random: ChaCha8Rng,
    /// Latest time seen.
    pub(crate) now: MonotonicTime,
    pub(crate) term: u64,
    pub(crate) voted_for: Option<NodeId>,
    pub(crate) leader: Option<NodeId>,
    pub(crate) last_leader_contact: Option<MonotonicTime>,
    pub(crate) election_deadline: MonotonicTime,
    pub(crate) phase: Phase,
    pub(crate) log: Log<S::Command>,
    pub(crate) memberships: MembershipHistory,
    pub(crate) commit: u64,
    pub(crate) applied: u64,
    /// Whether a committed membership has ever held this replica.
    pub(crate) confirmed_member: bool,
    pub(crate) machine: S,
    /// Snapshot on its way to followers; only a leader has one.
    pub(crate) image: Option<SnapshotImage<S::Snapshot>>,
    pub(crate) counters: Counters,
}

impl<S: StateMachine> Replica<S> {
    /// Makes an initial member of a generation that starts from an empty log.
    ///
    /// Every initial member must be given the same voters and an equal state, and must never have
    /// been made before under the same id.
    #[expect(
        clippy::too_many_arguments,
        reason = "each is needed once, at the start"
    )]
    pub fn new_member(
        id: NodeId,
        group: GroupId,
        generation: u32,
        voters: BTreeSet<NodeId>,
        state: S,
        config: Config,
        seed: u64,
        now: MonotonicTime,
    ) -> Self {
        let origin = LogPosition {
            generation,
            ..LogPosition::default()
        };
        let base = EntryId::default();
        let membership = Membership::of_voters(voters);
        let parts = (id, group, generation, state, config);
        Self::build(parts, Some(origin), base, membership, seed, now)
    }

    /// Makes a process that joins empty. It takes part once the leader adds it as a learner, and
    /// stands for election only after the log made it a voter.
    pub fn new_learner(
        id: NodeId,
        group: GroupId,
        generation: u32,
        state: S,
        config: Config,
        seed: u64,
        now: MonotonicTime,
    ) -> Self {
        let parts = (id, group, generation, state, config);
        let base = EntryId::default();
        Self::build(parts, None, base, Membership::default(), seed, now)
    }

    /// Makes an initial member of a generation that starts from a stored snapshot of an earlier
    /// one. `position` is the snapshot's; the new log goes on at its index. Members that start
    /// from different positions refuse each other.
    #[expect(
        clippy::too_many_arguments,
        reason = "each is needed once, at the start"
    )]
    pub fn new_from_snapshot(
        id: NodeId,
        group: GroupId,
        generation: u32,
        voters: BTreeSet<NodeId>,
        position: LogPosition,
        snapshot: S::Snapshot,
        mut state: S,
        config: Config,
        seed: u64,
        now: MonotonicTime,
    ) -> Self {
        state.restore(snapshot);
        let base = EntryId {
            term: 0,
            index: position.index,
        };
        let membership = Membership::of_voters(voters);
        let parts = (id, group, generation, state, config);
        Self::build(parts, Some(position), base, membership, seed, now)
    }

    fn build(
        (id, group, generation, machine, config): (NodeId, GroupId, u32, S, Config),
        origin: Option<LogPosition>,
        base: EntryId,
        membership: Membership,
        seed: u64,
        now: MonotonicTime,
    ) -> Self {
        let mut replica = Self {
            confirmed_member: membership.contains(&id),
            id,
            group,
            generation,
            origin,
            config,
            random: ChaCha8Rng::seed_from_u64(seed),
            now,
            term: 0,
            voted_for: None,
            leader: None,
            last_leader_contact: None,
            election_deadline: now,
            phase: Phase::Follower,
            log: Log::new(base),
            memberships: MembershipHistory::new(base, membership),
            commit: base.index,
            applied: base.index,
            machine,
            image: None,
            counters: Counters::default(),
        };
        replica.reset_election_deadline();
        replica
    }

    /// Does what is due: campaigns, heartbeats, sending what was proposed, sending again what was
    /// lost, stepping down without a majority.
    pub fn tick(&mut self, now: MonotonicTime, out: &mut Vec<Output<S>>) {
        self.observe(now);
        match &self.phase {
            Phase::Leader(_) => self.tick_leader(out),
            Phase::Removed => {}
            Phase::Follower | Phase::PreCandidate(_) | Phase::Candidate(_) => {
                self.tick_campaign(out);
            }
        }
    }

    /// When [`tick`](Self::tick) has something to do next.
    pub fn next_wake(&self) -> MonotonicTime {
        match &self.phase {
            Phase::Removed => MonotonicTime::MAX,
            Phase::Leader(leadership) => self.next_leader_wake(leadership),
            Phase::PreCandidate(campaign) | Phase::Candidate(campaign) => {
                campaign.retry_at.min(self.election_deadline)
            }
            Phase::Follower if self.may_campaign() => self.election_deadline,
            Phase::Follower => MonotonicTime::MAX,
        }
    }

    /// Moves to a newer term as a follower.
    pub(crate) fn adopt_term(&mut self, term: u64, out: &mut Vec<Output<S>>) {
        match self.phase {
            Phase::Leader(_) => self.step_down(out),
            Phase::PreCandidate(_) | Phase::Candidate(_) => self.follow(),
            Phase::Follower | Phase::Removed => {}
        }
        self.term = term;
        self.voted_for = None;
        self.leader = None;
    }

    /// Leaves leadership without a change of term.
    pub(crate) fn step_down(&mut self, out: &mut Vec<Output<S>>) {
        out.push(Output::SteppedDown { term: self.term });
        self.leader = None;
        self.follow();
    }

    /// Becomes a follower and waits a full timeout.
    pub(crate) fn follow(&mut self) {
        self.phase = Phase::Follower;
        self.image = None;
        self.reset_election_deadline();
    }

    pub(crate) fn reset_election_deadline(&mut self) {
        let shortest = self.config.election_timeout_min;
        let longest = self.config.election_timeout_max.max(shortest);
        let timeout = self.random.random_range(shortest..=longest);
        self.election_deadline = self.now + timeout;
    }

    /// Notes the time; a clock that goes back is taken to stand still.
    pub(crate) fn observe(&mut self, now: MonotonicTime) {
        self.now = self.now.max(now);
    }

    /// Whether a process is in the membership in force or in the committed one.
    pub(crate) fn is_member(&self, id: &NodeId) -> bool {
        self.memberships.latest().contains(id) || self.memberships.at(self.commit).1.contains(id)
    }

    pub(crate) fn leadership(&self) -> Option<&Leadership> {
        match &self.phase {
            Phase::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    pub(crate) fn leadership_mut(&mut self) -> Option<&mut Leadership> {
        match &mut self.phase {
            Phase::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    pub(crate) fn send(&self, to: &NodeId, body: BodyOf<S>, out: &mut Vec<Output<S>>) {
        let message = Message {
            group: self.group,
            generation: self.generation,
            origin: self.origin,
            to: to.clone(),
            term: self.term,
            membership_at: self.memberships.latest_at(),
            body,
        };
        out.push(Output::Send {
            to: to.clone(),
            message,
        });
    }
}
