//! The node beside a target: what the target holds, and what may start there now.

use std::time::Duration;

use crate::{Epoch, Fence, Holding, KeyRange, LeaseReply, Released, Time, Timing, Wanted};

/// Part of what is left of a lease that a target is told; covers a clock of the target 2% slow.
const HOLD_SHARE: f64 = 0.97;
/// Less than this isn't worth a grant.
const LEAST_HOLD: Duration = Duration::from_millis(150);
/// A grant that failed is tried again after this.
const GRANT_RETRY: Duration = Duration::from_millis(150);
/// A release that got no answer is sent again after this.
const RELEASE_RETRY: Duration = Duration::from_millis(400);
/// How long the leader is told what was given back.
const RELEASED_TOLD: Duration = Duration::from_secs(8);

/// Refused grants that are remembered.
const MOST_OUTRANKED: usize = 64;

/// A call to make to the target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Give it keys for a time.
    Grant {
        /// The keys.
        range: KeyRange,
        /// Fence of the grant.
        fence: Fence,
        /// How long, from the call's arrival.
        hold: Duration,
        /// What the last holder handed over.
        handover: Option<String>,
    },
    /// Take keys back.
    Release {
        /// The keys.
        range: KeyRange,
        /// Fence of the release.
        fence: Fence,
    },
    /// Take back whatever an earlier process of this node gave it.
    Clear {
        /// Fence of the release.
        fence: Fence,
    },
}

/// How a grant ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantResult {
    /// The target holds the keys.
    Granted,
    /// The target has seen a higher fence.
    Outranked,
    /// No answer, or none that says anything.
    Failed,
}

/// Whether a request for a key may start now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The target holds the key.
    Granted,
    /// The target is about to get it.
    Arriving,
    /// The target doesn't hold it.
    NotOwner,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Granting,
    Held,
    Releasing,
}

#[derive(Debug, Clone)]
struct Entry {
    range: KeyRange,
    fence: Fence,
    handover: Option<String>,
    phase: Phase,
    /// The target holds the keys at least until then.
    serve_until: Time,
    /// The target may hold the keys until then.
    may_hold_until: Time,
    in_flight: bool,
    next_call: Time,
}

/// What the target beside this node holds.
#[derive(Debug)]
pub struct Holder {
    timing: Timing,
    epoch: Epoch,
    lease_until: Time,
    /// When the newest renewal was sent that has been answered.
    answered: Time,
    applied: u64,
    clean: bool,
    clear: Option<(Fence, bool)>,
    target: Option<String>,
    entries: Vec<Entry>,
    released: Vec<(Released, Fence, Time)>,
    /// Grants that are on their way, or whose answers are.
    granting: Vec<(KeyRange, Fence)>,
    /// Grants that the target refused because it had seen a higher fence: they aren't sent again.
    outranked: Vec<(KeyRange, Fence)>,
}

impl Holder {
    /// A holder of a process that has just started. `clean` says that no earlier process can have
    /// given the target anything.
    pub fn new(timing: Timing, clean: bool) -> Self {
        Self {
            timing,
            epoch: Epoch::default(),
            lease_until: Time::default(),
            answered: Time::default(),
            applied: 0,
            clean,
            clear: None,
            target: None,
            entries: Vec::new(),
            released: Vec::new(),
            granting: Vec::new(),
            outranked: Vec::new(),
        }
    }

    /// The epoch that the holder obeys.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The last assignment taken on.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Whether nothing of an earlier process is left at the target.
    pub fn is_clean(&self) -> bool {
        self.clean
    }

    /// When the lease ends.
    pub fn lease_until(&self) -> Time {
        self.lease_until
    }

    /// Forgets everything when the lease has ended: the target's holds have too, and the keys may be
    /// another's by now.
    fn drop_expired(&mut self, now: Time) {
        if now >= self.lease_until {
            self.entries.clear();
        }
    }

    /// Everything that the target may hold.
    pub fn held(&mut self, now: Time) -> Vec<Holding> {
        self.drop_expired(now);
        self.entries
            .iter()
            .map(|entry| Holding {
                range: entry.range,
                fence: entry.fence,
            })
            .collect()
    }

    /// What was given back lately.
    pub fn released(&self) -> Vec<Released> {
        self.released
            .iter()
            .map(|(released, _, _)| released.clone())
            .collect()
    }

    /// Another life of the target answers: it holds nothing. Its first life leaves what a cleared
    /// target would.
    pub fn target_is(&mut self, id: &str) -> bool {
        if self.target.as_deref() == Some(id) {
            return false;
        }
        if self.target.is_some() {
            self.entries.clear();
            self.released.clear();
            self.outranked.clear();
            self.granting.clear();
            self.clean = true;
            self.clear = None;
        }
        self.target = Some(id.to_owned());
        true
    }

    /// Obeys an epoch from now on; lower ones are refused.
    pub fn promise(&mut self, epoch: Epoch) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.applied = 0;
        }
    }

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
        // What an overtaken answer wants may be another's by now.
        let is_overtaken = reply.renewal_sent_at < self.answered;
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
    fn reconcile(&mut self, now: Time, wanted: &[Wanted]) {
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
            entries.extend(rest.into_iter().map(|range| Entry {
                range,
                phase: Phase::Releasing,
                in_flight: false,
                next_call: now,
                ..entry.clone()
            }));
        }
        self.entries = entries;
        for want in wanted {
            self.take_on(now, want);
        }
    }

    /// Adds what of a wanted range isn't an entry yet, unless its fence was already given back.
    fn take_on(&mut self, now: Time, want: &Wanted) {
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
                in_flight: false,
                next_call: now,
            });
        }
    }

    /// Whether the target refused such a grant.
    fn is_outranked(&self, range: KeyRange, fence: Fence) -> bool {
        self.outranked
            .iter()
            .any(|(refused, known)| *known == fence && refused.overlaps(range))
    }

    /// The target has seen a higher fence on a range: the grant is given up, and what else was given
    /// with it is given back, so that the leader gives all of it anew under a higher fence.
    fn outranked(&mut self, now: Time, range: KeyRange, fence: Fence) {
        let mut entries = Vec::with_capacity(self.entries.len());
        for entry in self.entries.drain(..) {
            let concerned = entry.fence == fence && entry.range.overlaps(range);
            if !concerned || entry.phase == Phase::Releasing {
                entries.push(entry);
                continue;
            }
            self.outranked.push((entry.range, fence));
            entries.extend(entry.range.without(range).into_iter().map(|rest| Entry {
                range: rest,
                phase: Phase::Releasing,
                in_flight: false,
                next_call: now,
                ..entry.clone()
            }));
        }
        self.entries = entries;
        let surplus = self.outranked.len().saturating_sub(MOST_OUTRANKED);
        self.outranked.drain(..surplus);
    }

    /// Whether a request for a key may start now.
    pub fn admission(&self, now: Time, key: u16) -> Admission {
        let mut arriving = false;
        for entry in self
            .entries
            .iter()
            .filter(|entry| entry.range.contains(key))
        {
            match entry.phase {
                Phase::Held if now < entry.serve_until && now < self.lease_until => {
                    return Admission::Granted;
                }
                Phase::Held | Phase::Granting => arriving = true,
                Phase::Releasing => {}
            }
        }
        if arriving {
            Admission::Arriving
        } else {
            Admission::NotOwner
        }
    }

    /// Calls that are due at the target.
    pub fn orders(&mut self, now: Time) -> Vec<Order> {
        self.drop_expired(now);
        self.released
            .retain(|(_, _, at)| now.since(*at) < RELEASED_TOLD);
        self.entries.retain(|entry| {
            entry.phase != Phase::Releasing || now < entry.may_hold_until || entry.in_flight
        });
        let mut orders = Vec::new();
        if let Some((fence, in_flight)) = &mut self.clear
            && !*in_flight
        {
            *in_flight = true;
            orders.push(Order::Clear { fence: *fence });
        }
        let lease_left = self.lease_until.since(now);
        let releasing = self
            .entries
            .iter()
            .filter(|entry| entry.phase == Phase::Releasing)
            .map(|entry| entry.range)
            .collect::<Vec<_>>();
        for entry in &mut self.entries {
            if entry.in_flight || now < entry.next_call {
                continue;
            }
            if entry.phase == Phase::Releasing {
                // A grant that arrived after the release would give the keys back to the target.
                let mut granting = self.granting.iter();
                if granting.any(|(range, _)| range.overlaps(entry.range)) {
                    continue;
                }
                entry.in_flight = true;
                orders.push(Order::Release {
                    range: entry.range,
                    fence: entry.fence.for_release(),
                });
                continue;
            }
            let hold = lease_left.mul_f64(HOLD_SHARE).min(self.timing.max_hold);
            let waits = releasing.iter().any(|range| range.overlaps(entry.range));
            if hold < LEAST_HOLD || waits {
                continue;
            }
            entry.in_flight = true;
            self.granting.push((entry.range, entry.fence));
            entry.may_hold_until = self.lease_until;
            orders.push(Order::Grant {
                range: entry.range,
                fence: entry.fence,
                hold,
                handover: entry.handover.clone(),
            });
        }
        orders
    }

    /// A grant that was sent at `sent_at` has ended.
    pub fn granted(
        &mut self,
        now: Time,
        range: KeyRange,
        fence: Fence,
        sent_at: Time,
        hold: Duration,
        result: GrantResult,
    ) {
        let renew_every = self.timing.lease / 3;
        let ended = self
            .granting
            .iter()
            .position(|known| *known == (range, fence));
        if let Some(ended) = ended {
            self.granting.swap_remove(ended);
        }
        if result == GrantResult::Outranked {
            self.outranked(now, range, fence);
            return;
        }
        for entry in &mut self.entries {
            if entry.fence != fence
                || !entry.range.overlaps(range)
                || entry.phase == Phase::Releasing
            {
                continue;
            }
            entry.in_flight = false;
            if result == GrantResult::Granted {
                entry.phase = Phase::Held;
                entry.serve_until = entry.serve_until.max(sent_at + hold);
                entry.next_call = sent_at + renew_every;
                entry.handover = None;
            } else {
                entry.next_call = now + GRANT_RETRY;
            }
        }
    }

    /// A release has ended; `handover` is what the target gave for it.
    pub fn release_ended(
        &mut self,
        now: Time,
        range: KeyRange,
        fence: Fence,
        answered: bool,
        handover: Option<String>,
    ) {
        if !answered {
            for entry in &mut self.entries {
                if entry.phase == Phase::Releasing
                    && entry.fence.for_release() == fence
                    && entry.range == range
                {
                    entry.in_flight = false;
                    entry.next_call = now + RELEASE_RETRY;
                }
            }
            return;
        }
        let before = self.entries.len();
        self.entries.retain(|entry| {
            entry.phase != Phase::Releasing
                || entry.fence.for_release() != fence
                || entry.range != range
        });
        if self.entries.len() < before {
            self.released
                .push((Released { range, handover }, fence, now));
        }
    }

    /// The clearing of the target has ended.
    pub fn clear_ended(&mut self, now: Time, answered: bool, handover: Option<String>) {
        let Some((fence, _)) = self.clear.take() else {
            return;
        };
        if answered {
            self.clean = true;
            let released = Released {
                range: KeyRange::ALL,
                handover,
            };
            self.released.push((released, fence, now));
        }
    }

    /// The target said that it doesn't hold a key which this holder thinks it does: grant it again.
    pub fn denied_by_target(&mut self, now: Time, key: u16) {
        for entry in &mut self.entries {
            if entry.phase == Phase::Held && entry.range.contains(key) {
                entry.next_call = now;
            }
        }
    }
}
