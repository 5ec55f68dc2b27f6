//! Reading a replica's state.

use std::collections::BTreeSet;

use wingspar_world::{GroupId, MonotonicTime, NodeId};

use crate::replica::{Phase, Replica};
use crate::{Config, Counters, InvariantViolation, Log, LogPosition, Role, StateMachine};

/// What a leader knows of one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatus {
    /// The member.
    pub id: NodeId,
    /// Whether it has a vote.
    pub voter: bool,
    /// Last index it is known to hold.
    pub matched: u64,
    /// Send time, on the leader's clock, of the latest message it acknowledged in this term.
    pub acknowledged: Option<MonotonicTime>,
}

impl<S: StateMachine> Replica<S> {
    /// The replica's own id.
    pub fn id(&self) -> &NodeId {
        &self.id
    }

    /// The group.
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// The generation of the group.
    pub fn generation(&self) -> u32 {
        self.generation
    }

    /// The settings.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// What the replica is at present.
    pub fn role(&self) -> Role {
        match self.phase {
            Phase::Removed => Role::Removed,
            Phase::Leader(_) => Role::Leader,
            Phase::Candidate(_) => Role::Candidate,
            Phase::PreCandidate(_) => Role::PreCandidate,
            Phase::Follower if self.may_campaign() => Role::Follower,
            Phase::Follower => Role::Learner,
        }
    }

    /// The leader of the current term as far as known.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader.clone()
    }

    /// When this replica won its present leadership.
    pub fn became_leader_at(&self) -> Option<MonotonicTime> {
        self.leadership().map(|leadership| leadership.since)
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Last index known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Last index applied.
    pub fn applied_index(&self) -> u64 {
        self.applied
    }

    /// Position of the last entry applied.
    pub fn applied_position(&self) -> LogPosition {
        let id = self.log.id_at(self.applied);
        let id = id.expect("the applied entry is the base or held");
        id.in_generation(self.generation)
    }

    /// Members with a vote, as of the last entry in the log.
    pub fn voters(&self) -> &BTreeSet<NodeId> {
        &self.memberships.latest().voters
    }

    /// Members without a vote, as of the last entry in the log.
    pub fn learners(&self) -> &BTreeSet<NodeId> {
        &self.memberships.latest().learners
    }

    /// The state machine.
    pub fn state(&self) -> &S {
        &self.machine
    }

    /// The entries held.
    pub fn log(&self) -> &Log<S::Command> {
        &self.log
    }

    /// Counts since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// What the leader knows of each other member; empty on other roles.
    pub fn peers(&self) -> Vec<PeerStatus> {
        let Some(leadership) = self.leadership() else {
            return Vec::new();
        };
        let voters = self.voters();
        let status = leadership.progress.iter().map(|(id, progress)| PeerStatus {
            id: id.clone(),
            voter: voters.contains(id),
            matched: progress.matched,
            acknowledged: progress.acknowledged,
        });
        status.collect()
    }

    /// The state as of the last applied entry, with the voters in force there, to be written
    /// behind to a store and given to [`new_from_snapshot`](Self::new_from_snapshot).
    pub fn export_snapshot(&self) -> (LogPosition, BTreeSet<NodeId>, S::Snapshot) {
        let voters = self.memberships.at(self.applied).1.voters.clone();
        (self.applied_position(), voters, self.machine.snapshot())
    }

    /// Checks what must hold after every step; a violation is a defect.
    pub fn check_invariants(&self) -> Result<(), InvariantViolation> {
        let (base, last) = (self.log.base(), self.log.last());
        let ensure = |holds: bool, what: &str| {
            if holds {
                return Ok(());
            }
            Err(InvariantViolation(format!("{}: {what}", self.id)))
        };
        ensure(
            base.index <= self.applied,
            "the base lies beyond the applied index",
        )?;
        ensure(
            self.applied == self.commit,
            "committed entries are not applied",
        )?;
        ensure(
            self.commit <= last.index,
            "the commit index lies beyond the log",
        )?;
        ensure(last.term <= self.term, "the log holds a term yet to come")?;
        let mut before = base;
        for entry in self.log.iter() {
            let follows = entry.id.index == before.index + 1 && entry.id.term >= before.term;
            ensure(follows, "entries are out of order")?;
            before = entry.id;
        }
        let membership_at = self.memberships.latest_at();
        let in_log = membership_at.index <= base.index
            || self.log.id_at(membership_at.index) == Some(membership_at);
        ensure(in_log, "the membership in force is not in the log")?;
        if let Some(leadership) = self.leadership() {
            ensure(
                last.term == self.term,
                "a leader's log ends in another term",
            )?;
            ensure(
                self.leader.as_ref() == Some(&self.id),
                "a leader names another",
            )?;
            ensure(
                !leadership.progress.contains_key(&self.id),
                "a leader follows itself",
            )?;
            let mut progress = leadership.progress.values();
            let within = progress.all(|it| it.matched <= last.index && it.next > it.matched);
            ensure(within, "a follower's progress lies beyond the log")?;
        }
        Ok(())
    }
}
