//! The leader's side of replication: heartbeats, entries, snapshots, and the commit index.

use wingspar_world::{MonotonicTime, NodeId};

use crate::message::{AppendOutcome, Body};
use crate::progress::{Mode, Progress};
use crate::replica::{Leadership, Replica};
use crate::{Output, Payload, StateMachine};

impl<S: StateMachine> Replica<S> {
    pub(crate) fn tick_leader(&mut self, out: &mut Vec<Output<S>>) {
        if self.has_lost_quorum() {
            self.counters.quorum_losses += 1;
            self.step_down(out);
            return;
        }
        self.expire_transfer();
        self.send_due_heartbeats(out);
        self.advance_commit(out);
        self.retry_silent_followers();
        self.replicate_to_all(out);
        self.try_finish_transfer(out);
    }

    pub(crate) fn next_leader_wake(&self, leadership: &Leadership) -> MonotonicTime {
        let last = self.log.last().index;
        let window = self.config.max_entries_in_flight;
        let mut progress = leadership.progress.values();
        if self.committable().is_some() || progress.any(|progress| progress.may_send(last, window))
        {
            return self.now;
        }
        leadership.next_heartbeat
    }

    fn followers(&self) -> Vec<NodeId> {
        let leadership = self.leadership();
        leadership.map_or_else(Vec::new, |it| it.progress.keys().cloned().collect())
    }

    fn progress_mut(&mut self, peer: &NodeId) -> Option<&mut Progress> {
        self.leadership_mut()?.progress.get_mut(peer)
    }

    fn send_due_heartbeats(&mut self, out: &mut Vec<Output<S>>) {
        let next = self.now + self.config.heartbeat_interval;
        let now = self.now;
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        if now < leadership.next_heartbeat {
            return;
        }
        leadership.next_heartbeat = next;
        let Some(leadership) = self.leadership() else {
            return;
        };
        for (peer, progress) in &leadership.progress {
            let body = Body::Heartbeat {
                commit: self.commit.min(progress.matched),
                sent_at: now,
            };
            self.send(peer, body, out);
        }
    }

    fn retry_silent_followers(&mut self) {
        let (now, probe_after) = (self.now, self.config.heartbeat_interval);
        let snapshot_after = self.config.snapshot_retry;
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        let mut snapshot_needed = false;
        for progress in leadership.progress.values_mut() {
            snapshot_needed |= progress.mode == Mode::Snapshot;
            progress.retry(now, probe_after, snapshot_after);
        }
        if !snapshot_needed {
            self.image = None;
        }
    }

    fn replicate_to_all(&mut self, out: &mut Vec<Output<S>>) {
        for peer in self.followers() {
            self.replicate_to(&peer, out);
        }
    }

    /// Sends a follower what it lacks, as far as its window allows.
    fn replicate_to(&mut self, peer: &NodeId, out: &mut Vec<Output<S>>) {
        let last = self.log.last().index;
        let window = self.config.max_entries_in_flight;
        loop {
            let progress = self.leadership().and_then(|it| it.progress.get(peer));
            let Some(progress) = progress.filter(|it| it.may_send(last, window)) else {
                return;
            };
            let next = progress.next;
            if self.log.id_at(next - 1).is_some() {
                self.send_entries(peer, next, self.config.max_entries_per_message, out);
            } else {
                self.send_snapshot(peer, out);
            }
        }
    }

    fn send_entries(
        &mut self,
        peer: &NodeId,
        next: u64,
        max_entries: usize,
        out: &mut Vec<Output<S>>,
    ) {
        let Some(previous) = self.log.id_at(next - 1) else {
            return;
        };
        let max_bytes = self.config.max_bytes_per_message;
        let entries = self
            .log
            .copy_from(next, max_entries, max_bytes, payload_bytes::<S>);
        let count = entries.len() as u64;
        let now = self.now;
        if let Some(progress) = self.progress_mut(peer) {
            progress.sent(count, now);
        }
        let body = Body::Append {
            previous,
            entries,
            commit: self.commit,
            sent_at: now,
        };
        self.send(peer, body, out);
    }

    fn send_snapshot(&mut self, peer: &NodeId, out: &mut Vec<Output<S>>) {
        self.counters.snapshots_sent += 1;
        let image = self.snapshot_image();
        let (now, index) = (self.now, image.last.index);
        if let Some(progress) = self.progress_mut(peer) {
            progress.sent_snapshot(index, now);
        }
        let sent_at = now;
        self.send(peer, Body::Snapshot { image, sent_at }, out);
    }

    pub(crate) fn on_append_response(
        &mut self,
        from: &NodeId,
        outcome: AppendOutcome,
        echo: MonotonicTime,
        out: &mut Vec<Output<S>>,
    ) {
        let (base, last, now) = (self.log.base().index, self.log.last().index, self.now);
        let Some(progress) = self.progress_mut(from) else {
            return;
        };
        progress.acknowledge(echo.min(now));
        match outcome {
            // A follower may hold more than this leader sent, but not more than it has.
            AppendOutcome::Accepted { matched } => progress.accepted(matched.min(last), base),
            AppendOutcome::Rejected {
                previous_index,
                hint,
            } => progress.rejected(previous_index, hint),
        }
        self.advance_commit(out);
        self.replicate_to(from, out);
        self.try_finish_transfer(out);
    }

    pub(crate) fn on_heartbeat_response(
        &mut self,
        from: &NodeId,
        echo: MonotonicTime,
        out: &mut Vec<Output<S>>,
    ) {
        let now = self.now;
        let Some(progress) = self.progress_mut(from) else {
            return;
        };
        progress.acknowledge(echo.min(now));
        progress.detect_loss(echo);
        self.replicate_to(from, out);
        self.try_finish_transfer(out);
    }

    /// Commits what a majority holds, provided it ends in an entry of the own term: entries of
    /// earlier terms alone could still be replaced.
    pub(crate) fn advance_commit(&mut self, out: &mut Vec<Output<S>>) {
        if let Some(index) = self.committable() {
            self.commit_to(index, out);
        }
    }

    fn committable(&self) -> Option<u64> {
        let index = self.majority_matched()?;
        let own_term = self.log.id_at(index)?.term == self.term;
        (own_term && index > self.commit).then_some(index)
    }

    /// Highest index that a majority of the membership in force holds.
    fn majority_matched(&self) -> Option<u64> {
        let leadership = self.leadership()?;
        let membership = self.memberships.latest();
        let mut matched: Vec<u64> = membership
            .voters
            .iter()
            .map(|voter| match leadership.progress.get(voter) {
                Some(progress) => progress.matched,
                None if *voter == self.id => self.log.last().index,
                None => 0,
            })
            .collect();
        matched.sort_unstable_by(|left, right| right.cmp(left));
        matched.get(membership.majority() - 1).copied()
    }

    pub(crate) fn finish_commit_as_leader(&mut self, out: &mut Vec<Output<S>>) {
        let own_term = self
            .log
            .id_at(self.commit)
            .is_some_and(|id| id.term == self.term);
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        leadership.committed_own_term |= own_term;
        for peer in self.followers() {
            if !self.is_member(&peer) {
                self.announce_commit(&peer, out);
            }
        }
        self.update_progress_members();
    }

    pub(crate) fn announce_commit_to_all(&mut self, out: &mut Vec<Output<S>>) {
        for peer in self.followers() {
            self.announce_commit(&peer, out);
        }
    }

    /// Tells a follower the commit index at once, with whatever entries it lacks up to there.
    fn announce_commit(&mut self, peer: &NodeId, out: &mut Vec<Output<S>>) {
        let progress = self.leadership().and_then(|it| it.progress.get(peer));
        if let Some(next) = progress.map(|progress| progress.next) {
            self.send_entries(peer, next, self.config.max_entries_per_message, out);
        }
    }
}

fn payload_bytes<S: StateMachine>(payload: &Payload<S::Command>) -> usize {
    match payload {
        Payload::Command(command) => S::command_bytes(command),
        Payload::Noop | Payload::Membership(_) => size_of::<Payload<S::Command>>(),
    }
}
