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
    /// Last snapshot made for a follower, kept while it can still be followed by entries.
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

    /// Takes in a message. Whatever it holds, the replica stays intact.
    pub fn receive(
        &mut self,
        now: MonotonicTime,
        from: NodeId,
        message: MessageOf<S>,
        out: &mut Vec<Output<S>>,
    ) {
        self.observe(now);
        if !self.admit(&from, &message, out) {
            return;
        }
        if !self.settle_term(&from, &message, out) {
            return;
        }
        self.dispatch(from, message, out);
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

    /// Whether the message is meant for this replica and its sender may still speak.
    fn admit(&mut self, from: &NodeId, message: &MessageOf<S>, out: &mut Vec<Output<S>>) -> bool {
        let origins_differ = match (self.origin, message.origin) {
            (Some(mine), Some(theirs)) => mine != theirs,
            _ => false,
        };
        let counter = if message.group != self.group {
            &mut self.counters.wrong_group
        } else if message.generation != self.generation {
            &mut self.counters.wrong_generation
        } else if message.to != self.id {
            &mut self.counters.wrong_recipient
        } else if origins_differ {
            &mut self.counters.wrong_origin
        } else if matches!(self.phase, Phase::Removed) {
            &mut self.counters.after_removal
        } else if self.excludes(from, message.membership_at) {
            self.tell_excluded(from, &message.body, out);
            &mut self.counters.excluded_sender
        } else if is_answer(&message.body) && !self.is_member(from) {
            &mut self.counters.unknown_sender
        } else {
            return true;
        };
        *counter += 1;
        false
    }

    /// Whether a process is excluded by a committed membership it doesn't know of. A process that
    /// became a member later knows a later membership and isn't excluded.
    fn excludes(&self, from: &NodeId, their_membership_at: EntryId) -> bool {
        let (committed_at, committed) = self.memberships.at(self.commit);
        !committed.voters.is_empty()
            && !self.is_member(from)
            && their_membership_at <= *committed_at
    }

    fn tell_excluded(&mut self, from: &NodeId, body: &BodyOf<S>, out: &mut Vec<Output<S>>) {
        if matches!(body, Body::PreVote { .. } | Body::Vote { .. }) {
            let (excluded_at, _) = *self.memberships.at(self.commit);
            self.send(from, Body::NotMember { excluded_at }, out);
        }
    }

    /// Brings the terms of sender and receiver together; false when the message ends here.
    fn settle_term(
        &mut self,
        from: &NodeId,
        message: &MessageOf<S>,
        out: &mut Vec<Output<S>>,
    ) -> bool {
        if message.term > self.term {
            return self.settle_newer_term(message, out);
        }
        if message.term < self.term {
            return self.settle_older_term(from, &message.body, out);
        }
        true
    }

    fn settle_newer_term(&mut self, message: &MessageOf<S>, out: &mut Vec<Output<S>>) -> bool {
        match &message.body {
            Body::PreVote { .. } | Body::NotMember { .. } => {}
            Body::Vote { transfer, .. } if !transfer && self.hears_leader() => {
                self.counters.refused_for_lease += 1;
                return false;
            }
            _ => self.adopt_term(message.term, out),
        }
        true
    }

    fn settle_older_term(
        &mut self,
        from: &NodeId,
        body: &BodyOf<S>,
        out: &mut Vec<Output<S>>,
    ) -> bool {
        let answer = match body {
            // Pre-votes bind nobody, so answers of voters behind in term count.
            Body::PreVoteResponse { .. } | Body::NotMember { .. } => return true,
            Body::Append { sent_at, .. }
            | Body::Heartbeat { sent_at, .. }
            | Body::Snapshot { sent_at, .. } => Body::HeartbeatResponse { echo: *sent_at },
            Body::PreVote { next_term, .. } => Body::PreVoteResponse {
                next_term: *next_term,
                granted: false,
            },
            Body::Vote { .. } => Body::VoteResponse { granted: false },
            _ => {
                self.counters.stale_term += 1;
                return false;
            }
        };
        self.counters.stale_term += 1;
        self.send(from, answer, out);
        false
    }

    fn dispatch(&mut self, from: NodeId, message: MessageOf<S>, out: &mut Vec<Output<S>>) {
        let origin = message.origin;
        match message.body {
            Body::PreVote { next_term, last } => self.on_pre_vote(&from, next_term, last, out),
            Body::PreVoteResponse { next_term, granted } => {
                self.on_pre_vote_response(from, next_term, granted, out);
            }
            Body::Vote { last, transfer } => self.on_vote(&from, last, transfer, out),
            Body::VoteResponse { granted } => self.on_vote_response(from, granted, out),
            Body::Append {
                previous,
                entries,
                commit,
                sent_at,
            } => {
                if self.hear_leader(&from, origin) {
                    self.on_append(&from, (previous, entries), commit, sent_at, out);
                }
            }
            Body::Heartbeat { commit, sent_at } => {
                if self.hear_leader(&from, origin) {
                    self.on_heartbeat(&from, commit, sent_at, out);
                }
            }
            Body::Snapshot { image, sent_at } => {
                if self.hear_leader(&from, origin) {
                    self.on_snapshot(&from, image, sent_at, out);
                }
            }
            Body::AppendResponse { outcome, echo } => {
                self.on_append_response(&from, outcome, echo, out);
            }
            Body::HeartbeatResponse { echo } => self.on_heartbeat_response(&from, echo, out),
            Body::TimeoutNow => self.on_timeout_now(&from, out),
            Body::NotMember { excluded_at } => self.on_not_member(&from, excluded_at, out),
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

/// Whether a message answers one that only members are sent.
fn is_answer<C, P>(body: &Body<C, P>) -> bool {
    matches!(
        body,
        Body::PreVoteResponse { .. }
            | Body::VoteResponse { .. }
            | Body::AppendResponse { .. }
            | Body::HeartbeatResponse { .. }
            | Body::NotMember { .. }
    )
}
