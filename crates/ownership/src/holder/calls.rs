//! Granting and releasing keys by calls to the target.

use std::time::Duration;

use super::{Delivery, HOLD_SHARE, Holder, MIN_HOLD, Phase};
use crate::{Fence, KeyRange, Released, Time};

/// Delay before a failed grant is retried.
const GRANT_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Delay before a release that got no answer is sent again.
const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(400);

/// A call to make to the target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Grants the target keys for a time.
    Grant {
        /// The granted keys.
        range: KeyRange,
        /// The fence of the grant.
        fence: Fence,
        /// How long the target may hold the keys, from when the call arrives.
        hold: Duration,
        /// State that the previous holder handed over, if any.
        handover: Option<String>,
    },
    /// Takes keys back from the target.
    Release {
        /// The released keys.
        range: KeyRange,
        /// The fence of the release.
        fence: Fence,
    },
    /// Takes back whatever an earlier process of this node granted.
    Clear {
        /// The fence of the release.
        fence: Fence,
    },
}

/// The result of a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantResult {
    /// The target holds the keys.
    Granted,
    /// The target has seen a higher fence and refused.
    Outranked,
    /// The call got no answer, or one that shows neither result.
    Failed,
}

impl Holder {
    /// The calls to the target that are due.
    pub fn orders(&mut self, now: Time) -> Vec<Order> {
        self.drop_stale(now);
        if self.delivery != Delivery::Calls {
            return Vec::new();
        }
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
                let mut grants_in_flight = self.grants_in_flight.iter();
                if grants_in_flight.any(|(range, _)| range.overlaps(entry.range)) {
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
            if hold < MIN_HOLD || waits {
                continue;
            }
            entry.in_flight = true;
            self.grants_in_flight.push((entry.range, entry.fence));
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

    /// Handles the result of a grant that was sent at `sent_at`.
    pub fn granted(
        &mut self,
        now: Time,
        range: KeyRange,
        fence: Fence,
        sent_at: Time,
        hold: Duration,
        result: GrantResult,
    ) {
        let regrant_interval = self.timing.lease / 3;
        let ended = self
            .grants_in_flight
            .iter()
            .position(|known| *known == (range, fence));
        if let Some(ended) = ended {
            self.grants_in_flight.swap_remove(ended);
        }
        if result == GrantResult::Outranked {
            // The target refuses a grant because of one of its keys. It may hold the others, or all
            // of them under an earlier copy of the grant.
            self.abandon_outranked(now, fence, |_| false);
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
                entry.next_call = sent_at + regrant_interval;
                entry.handover = None;
            } else {
                entry.next_call = now + GRANT_RETRY_DELAY;
            }
        }
    }

    /// Handles the end of a release; `handover` is the state that the target handed over.
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
                    entry.next_call = now + RELEASE_RETRY_DELAY;
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

    /// Handles the end of the call that clears the target.
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
}
