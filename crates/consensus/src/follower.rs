//! The follower's side of replication.

use std::sync::Arc;

use wingspar_world::{MonotonicTime, NodeId};

use crate::membership::MembershipHistory;
use crate::message::{AppendOutcome, Body, SnapshotImage};
use crate::replica::{Phase, Replica};
use crate::{Entry, EntryId, LogPosition, Output, Payload, Splice, SpliceError, StateMachine};

impl<S: StateMachine> Replica<S> {
    /// Notes a sign of life of the current term's leader; false if the sender can't be it.
    pub(crate) fn hear_leader(&mut self, from: &NodeId, origin: Option<LogPosition>) -> bool {
        let other_leader = self.leader.as_ref().is_some_and(|leader| leader != from);
        if other_leader || matches!(self.phase, Phase::Leader(_)) || origin.is_none() {
            self.counters.malformed += 1;
            return false;
        }
        self.origin = origin;
        self.leader = Some(from.clone());
        self.last_leader_contact = Some(self.now);
        self.follow();
        true
    }

    pub(crate) fn on_append(
        &mut self,
        from: &NodeId,
        (previous, entries): (EntryId, Vec<Entry<S::Command>>),
        commit: u64,
        sent_at: MonotonicTime,
        out: &mut Vec<Output<S>>,
    ) {
        let spliced = self.log.splice(previous, entries, self.commit, self.term);
        let outcome = match spliced {
            Ok(splice) => {
                self.follow_splice(&splice);
                self.commit_to(commit.min(splice.matched), out);
                AppendOutcome::Accepted {
                    matched: splice.matched,
                }
            }
            Err(SpliceError::Mismatch { hint }) => AppendOutcome::Rejected {
                previous_index: previous.index,
                hint,
            },
            Err(SpliceError::Malformed | SpliceError::CommittedConflict(_)) => {
                self.counters.malformed += 1;
                return;
            }
        };
        let echo = sent_at;
        self.send(from, Body::AppendResponse { outcome, echo }, out);
    }

    /// Brings the memberships in line with entries dropped and added.
    fn follow_splice(&mut self, splice: &Splice) {
        self.counters.entries_truncated += splice.truncated;
        if let Some(index) = splice.truncated_from {
            self.memberships.truncate_from(index);
        }
        let Some(first) = splice.appended_from else {
            return;
        };
        for index in first..=self.log.last().index {
            let entry = self.log.get(index);
            if let Some(Entry {
                id,
                payload: Payload::Membership(membership),
            }) = entry
            {
                self.memberships.push(*id, membership.clone());
            }
        }
    }

    pub(crate) fn on_heartbeat(
        &mut self,
        from: &NodeId,
        commit: u64,
        sent_at: MonotonicTime,
        out: &mut Vec<Output<S>>,
    ) {
        self.commit_to(commit, out);
        self.send(from, Body::HeartbeatResponse { echo: sent_at }, out);
    }

    pub(crate) fn on_snapshot(
        &mut self,
        from: &NodeId,
        image: SnapshotImage<S::Snapshot>,
        sent_at: MonotonicTime,
        out: &mut Vec<Output<S>>,
    ) {
        if image.membership_at.index > image.last.index || image.last.term > self.term {
            self.counters.malformed += 1;
            return;
        }
        if image.last.index > self.commit {
            self.take_in(image, out);
        }
        let outcome = AppendOutcome::Accepted {
            matched: self.commit,
        };
        let echo = sent_at;
        self.send(from, Body::AppendResponse { outcome, echo }, out);
    }

    fn take_in(&mut self, image: SnapshotImage<S::Snapshot>, out: &mut Vec<Output<S>>) {
        if self.log.id_at(image.last.index) == Some(image.last) {
            self.commit_to(image.last.index, out);
            return;
        }
        self.counters.snapshots_installed += 1;
        self.log.reset(image.last);
        self.machine.restore(Arc::unwrap_or_clone(image.state));
        self.commit = image.last.index;
        self.applied = image.last.index;
        self.image = None;
        let position = image.last.in_generation(self.generation);
        out.push(Output::Restored { position });
        self.memberships = MembershipHistory::new(image.membership_at, image.membership);
        self.report_membership(image.membership_at, out);
        self.finish_commit(out);
    }
}
