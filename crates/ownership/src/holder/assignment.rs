//! Turns the leader's assignment into entries.

use super::*;

/// Most grants that are remembered as refused by the target because of a higher fence.
const MAX_OUTRANKED_GRANTS: usize = 64;

impl Holder {
    /// Handles a leader's reply. Returns whether the holder obeys the reply's epoch.
    pub fn lease(&mut self, now: Time, reply: &LeaseReply) -> bool {
        if reply.epoch < self.epoch {
            return false;
        }
        self.drop_expired(now);
        self.promise(reply.epoch);
        if reply.target != self.target {
            // The reply is about another process of the target.
            return true;
        }
        let until = reply.renewal_sent_at + Duration::from_millis(reply.lease_ms);
        self.lease_until = self.lease_until.max(until);
        // Keys in an overtaken reply may have another owner by now. So may keys in a reply whose
        // renewal still reported keys that have been dropped since.
        let is_overtaken = reply.renewal_sent_at < self.answered.max(self.dropped_at);
        self.answered = self.answered.max(reply.renewal_sent_at);
        if let Some(fence) = reply.clean_fence
            && !self.clean
            && self.clear.is_none()
        {
            self.clear = Some((fence, false));
        }
        if self.clean
            && !is_overtaken
            && reply.assignment >= self.applied
            && reply.target == self.target
            && self.target.is_some()
        {
            self.applied = reply.assignment;
            self.reconcile(now, &reply.wanted);
        }
        true
    }

    /// Updates the entries to what is wanted; everything else is released.
    pub(super) fn reconcile(&mut self, now: Time, wanted: &[Wanted]) {
        let mut entries = Vec::with_capacity(self.entries.len());
        for entry in self.entries.drain(..) {
            if entry.phase == Phase::Releasing {
                entries.push(entry);
                continue;
            }
            let mut rest = vec![entry.range];
            for want in wanted.iter().filter(|want| want.fence == entry.fence) {
                if let Some(kept) = entry.range.intersection(want.range) {
                    entries.push(Entry {
                        range: kept,
                        ..entry.clone()
                    });
                }
                rest = rest
                    .into_iter()
                    .flat_map(|part| part.without(want.range))
                    .collect();
            }
            entries.extend(rest.into_iter().map(|range| entry.releasing(now, range)));
        }
        self.entries = entries;
        for want in wanted {
            self.add_entries(now, want);
        }
    }

    /// Adds entries for the parts of a wanted range that have none, unless they were already
    /// released under its fence, or an earlier process of the target was granted keys under it.
    pub(super) fn add_entries(&mut self, now: Time, want: &Wanted) {
        if want.fence <= self.ended_fence {
            return;
        }
        self.highest_fence = self.highest_fence.max(want.fence);
        let given_back = |range: KeyRange| {
            self.released
                .iter()
                .any(|(released, fence, _)| *fence >= want.fence && released.range.overlaps(range))
        };
        let mut missing = vec![want.range];
        for entry in self
            .entries
            .iter()
            .filter(|entry| entry.fence == want.fence)
        {
            missing = missing
                .into_iter()
                .flat_map(|part| part.without(entry.range))
                .collect();
        }
        missing.retain(|range| !given_back(*range) && !self.is_outranked(*range, want.fence));
        for range in missing {
            self.entries.push(Entry {
                range,
                fence: want.fence,
                handover: want.handover.clone(),
                phase: Phase::Granting,
                serve_until: Time::default(),
                may_hold_until: Time::default(),
                serve_from: Time::default(),
                in_flight: false,
                next_call: now,
                told: Announcement::NotSent,
                misses: 0,
            });
        }
    }

    /// Whether the target refused a grant of this range under this fence.
    pub(super) fn is_outranked(&self, range: KeyRange, fence: Fence) -> bool {
        self.outranked
            .iter()
            .any(|(refused, known)| *known == fence && refused.overlaps(range))
    }

    /// Abandons the grants under a fence that the target has refused because it has seen a higher
    /// one. `is_free` tells for which entries the target has reported that it doesn't hold them;
    /// everything else is released, since the leader regrants the keys of one grant only together.
    pub(super) fn abandon_outranked(
        &mut self,
        now: Time,
        fence: Fence,
        is_free: impl Fn(&Entry) -> bool,
    ) {
        let mut entries = Vec::with_capacity(self.entries.len());
        for entry in self.entries.drain(..) {
            if entry.fence != fence || entry.phase == Phase::Releasing {
                entries.push(entry);
                continue;
            }
            self.outranked.push((entry.range, fence));
            if !is_free(&entry) {
                entries.push(entry.releasing(now, entry.range));
            }
        }
        self.entries = entries;
        let surplus = self.outranked.len().saturating_sub(MAX_OUTRANKED_GRANTS);
        self.outranked.drain(..surplus);
    }
}
