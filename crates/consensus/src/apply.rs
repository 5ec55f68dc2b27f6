//! Committing, applying, compaction, and the end of a membership.

use std::sync::Arc;

use crate::message::SnapshotImage;
use crate::replica::{Phase, Replica};
use crate::{EntryId, Output, Payload, StateMachine};

/// How many times the snapshot threshold the log may grow while a snapshot is on its way.
const THRESHOLDS_KEPT_FOR_SNAPSHOT: u64 = 4;

impl<S: StateMachine> Replica<S> {
    /// Applies entries up to an index known to be committed.
    pub(crate) fn commit_to(&mut self, index: u64, out: &mut Vec<Output<S>>) {
        let index = index.min(self.log.last().index);
        if index <= self.commit {
            return;
        }
        self.commit = index;
        while self.applied < self.commit {
            self.apply_next(out);
        }
        self.finish_commit(out);
    }

    fn apply_next(&mut self, out: &mut Vec<Output<S>>) {
        let index = self.applied + 1;
        let entry = self.log.get(index);
        let entry = entry.expect("committed entries above the base are held");
        let id = entry.id;
        self.applied = index;
        match &entry.payload {
            Payload::Noop => {}
            Payload::Command(command) => {
                let position = id.in_generation(self.generation);
                self.machine.apply(position, command);
                let command = command.clone();
                out.push(Output::Applied { position, command });
            }
            Payload::Membership(_) => self.report_membership(id, out),
        }
    }

    /// Reports the membership in force as of the applied index.
    pub(crate) fn report_membership(&mut self, at: EntryId, out: &mut Vec<Output<S>>) {
        let (_, membership) = self.memberships.at(self.applied);
        self.confirmed_member |= membership.contains(&self.id);
        out.push(Output::MembershipChanged {
            position: at.in_generation(self.generation),
            voters: membership.voters.clone(),
            learners: membership.learners.clone(),
        });
    }

    /// What follows once everything committed is applied.
    pub(crate) fn finish_commit(&mut self, out: &mut Vec<Output<S>>) {
        self.finish_commit_as_leader(out);
        let still_member = self.memberships.at(self.commit).1.contains(&self.id);
        if self.confirmed_member && !still_member {
            self.become_removed(out);
        }
        self.compact();
    }

    /// Ends all activity for good.
    pub(crate) fn become_removed(&mut self, out: &mut Vec<Output<S>>) {
        if matches!(self.phase, Phase::Leader(_)) {
            self.announce_commit_to_all(out);
            self.step_down(out);
        }
        self.phase = Phase::Removed;
        self.leader = None;
        out.push(Output::Removed);
    }

    /// Cuts the log once it is long; half the threshold stays for followers a little behind, and
    /// what a snapshot on its way needs to be followed by, within reason.
    fn compact(&mut self) {
        let threshold = self.config.snapshot_threshold_entries;
        if self.applied - self.log.base().index < threshold {
            return;
        }
        let mut base = self.applied - threshold / 2;
        let needed = threshold.saturating_mul(THRESHOLDS_KEPT_FOR_SNAPSHOT);
        let applied = self.applied;
        self.image
            .take_if(|image| applied - image.last.index > needed);
        if let Some(image) = &self.image {
            base = base.min(image.last.index);
        }
        self.log.compact_to(base);
        self.memberships.compact_to(base);
    }

    /// A snapshot that the entries held can follow; made anew only if the last one can't serve.
    pub(crate) fn snapshot_image(&mut self) -> SnapshotImage<S::Snapshot> {
        if let Some(image) = &self.image {
            return image.clone();
        }
        let (membership_at, membership) = self.memberships.at(self.applied).clone();
        let last = self.log.id_at(self.applied);
        let image = SnapshotImage {
            last: last.expect("the applied entry is the base or held"),
            membership,
            membership_at,
            state: Arc::new(self.machine.snapshot()),
        };
        self.image = Some(image.clone());
        image
    }
}
