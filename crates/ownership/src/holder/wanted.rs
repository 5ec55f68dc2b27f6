//! What the leader wants the target to hold, made into entries.

use super::*;

/// Refused grants that are remembered.
const MOST_OUTRANKED: usize = 64;

impl Holder {
    /// Takes in a leader's answer. Returns whether it was of the epoch that the holder obeys.
    pub fn lease(&mut self, now: Time, reply: &LeaseReply) -> bool {
        if reply.epoch < self.epoch {
            return false;
        }
        self.drop_expired(now);
        self.promise(reply.epoch);
        if reply.target != self.target {
            // The answer is about another life of the target.
            return true;
        }
        let until = reply.renewal_sent_at + Duration::from_millis(reply.lease_ms);
        self.lease_until = self.lease_until.max(until);
        // What an overtaken answer wants may be another's by now, and so may what an answer wants whose
        // renewal still told of keys that have lapsed since.
        let is_overtaken = reply.renewal_sent_at < self.answered.max(self.lapsed_at);
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

    /// Makes entries out of what is wanted; what isn't is released.
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
            self.take_on(now, want);
        }
    }

    /// Adds what of a wanted range isn't an entry yet, unless its fence was already given back.
    pub(super) fn take_on(&mut self, now: Time, want: &Wanted) {
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
                told: Told::No,
                misses: 0,
            });
        }
    }

    /// Whether the target refused such a grant.
    pub(super) fn is_outranked(&self, range: KeyRange, fence: Fence) -> bool {
        self.outranked
            .iter()
            .any(|(refused, known)| *known == fence && refused.overlaps(range))
    }

    /// The target has seen a higher fence on a range: the grant is given up, and all else that was given
    /// with it is given back, since the leader gives a grant's keys anew only together.
    pub(super) fn give_up_outranked(&mut self, now: Time, range: KeyRange, fence: Fence) {
        let mut entries = Vec::with_capacity(self.entries.len());
        for entry in self.entries.drain(..) {
            if entry.fence != fence || entry.phase == Phase::Releasing {
                entries.push(entry);
                continue;
            }
            self.outranked.push((entry.range, fence));
            let rest = entry.range.without(range).into_iter();
            entries.extend(rest.map(|range| entry.releasing(now, range)));
        }
        self.entries = entries;
        let surplus = self.outranked.len().saturating_sub(MOST_OUTRANKED);
        self.outranked.drain(..surplus);
    }
}
