//! Retry-After for callers that are refused because no node can run their requests at the moment.
//!
//! The length of such an outage (no owner, no target, no configuration) depends mostly on its cause: a lost owner's
//! keys are reassigned when its lease has expired, a hand-over takes a few round trips. So the lengths of recent
//! outages are kept by cause, starting with values that follow from the timing of leases. Retry-After is the time after
//! which most of those outages had ended that lasted at least as long as the present one. If the caller can't wait for
//! that, it is the latest end for which it can; if it can wait for none, an earlier retry would fail too.
//!
//! This module only decides: it reads no clock and sets no timers.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use wingspar_ownership::{NodeName, Time, Timing};

/// Number of past outages whose lengths are kept for each cause: enough to distinguish short outages from long ones,
/// few enough to follow a change.
const OUTAGE_LENGTHS_PER_CAUSE: usize = 16;
/// Retry-After is the time by which this share of the past outages had ended. An earlier retry fails more often, a
/// later one makes most callers wait as long as the longest outages.
const RETRY_AFTER_QUANTILE: f64 = 0.9;
/// An outage that has lasted longer than all that are kept is expected to go on for this share of its length so far:
/// each failed retry is followed by a longer wait, and a caller is late by half of the outage at most.
const EXTENSION_SHARE: f64 = 0.5;
/// Least Retry-After, so that refusing a request costs less than running it.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Longest Retry-After, also in longer outages: a caller loses at most this much after its service has recovered, and
/// causes at most one refusal in this time.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(3_000);
/// Assumed length of a hand-over before any was measured: the release, the leader's answer to it and the grant, each
/// with its wait for a tick or a round trip.
const INITIAL_HANDOVER_TIME: Duration = Duration::from_millis(300);
/// Assumed time in which a node that has just started reads the configuration.
const INITIAL_CONFIGURATION_TIME: Duration = Duration::from_millis(500);
/// Assumed time until another target is known, before any was measured: a new target's heartbeat, and the distribution
/// of the tables that list it.
const INITIAL_NO_TARGET_TIME: Duration = Duration::from_millis(300);
/// Assumed time for which a target sheds load, before any was measured: some requests have finished there by then.
const INITIAL_REJECTION_TIME: Duration = Duration::from_millis(150);
/// Most outages and unresponsive nodes that are tracked; beyond them callers are sent the usual length.
const MAX_TRACKED_ENTRIES: usize = 4_096;
/// An outage that no request has met for this long is dropped, since its end wasn't observed.
const OUTAGE_EXPIRY: Duration = Duration::from_secs(10);

/// Why no node can run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageCause {
    /// This node has no configuration yet.
    NoConfiguration,
    /// No target of the service accepts work.
    NoTarget,
    /// The key's owner doesn't answer: its keys are reassigned when its lease has expired.
    OwnerLost,
    /// The key is being handed over to its next owner, or its owner's node reports that it can't serve the key.
    HandOver,
    /// The table has no owner for the key.
    NoOwner,
    /// The targets reject requests.
    Rejected,
}

impl OutageCause {
    const COUNT: usize = 6;
}

/// What an outage affects: a service or, if it is keyed, one key of it.
#[derive(Debug, Clone, Copy)]
pub struct OutageScope<'a> {
    /// The service.
    pub service: &'a str,
    /// The key; `None` if the service isn't keyed.
    pub key: Option<u16>,
}

/// A time during which no node could run requests for a service or key.
#[derive(Debug, Clone, Copy)]
struct Outage {
    cause: OutageCause,
    began_at: Time,
    /// When a request was last refused in it.
    met_at: Time,
}

impl Outage {
    /// Length of an outage whose end is observed now. If a request last met it long before, it may have ended at any
    /// time since, and half of that time is counted. If all of it were, outages that only one caller meets would seem
    /// to last as long as that caller's Retry-After, which would then grow with each of them.
    fn length(&self, now: Time) -> Duration {
        let length = now.since(self.began_at);
        let unobserved = now.since(self.met_at);
        if unobserved * 2 > length {
            length.saturating_sub(unobserved / 2)
        } else {
            length
        }
    }
}

/// A time during which a node didn't answer.
#[derive(Debug, Clone, Copy)]
struct Unresponsive {
    began_at: Time,
    /// When a request last went unanswered.
    met_at: Time,
}

/// Tracks the outages that this node's requests meet and the lengths of past ones, and estimates when callers may
/// retry.
#[derive(Debug)]
pub struct OutageTracker {
    timing: Timing,
    /// Lengths of the last outages by cause.
    lengths: [VecDeque<Duration>; OutageCause::COUNT],
    /// Outages that haven't ended, by service and key.
    outages: HashMap<String, HashMap<Option<u16>, Outage>>,
    /// Number of outages in `outages`.
    tracked: usize,
    /// Nodes that don't answer.
    silent: HashMap<NodeName, Unresponsive>,
    /// When old outages were dropped last.
    dropped_at: Time,
}

impl OutageTracker {
    /// A tracker without observations, for leases with this timing.
    pub fn new(timing: Timing) -> Self {
        // A lost owner has renewed its lease shortly before, and its keys are reassigned when that has expired.
        let owner_lost = timing.lease + timing.lease_margin;
        let mut lengths = <[VecDeque<Duration>; OutageCause::COUNT]>::default();
        for (cause, first) in [
            (OutageCause::NoConfiguration, INITIAL_CONFIGURATION_TIME),
            (OutageCause::NoTarget, INITIAL_NO_TARGET_TIME),
            (OutageCause::OwnerLost, owner_lost),
            (OutageCause::HandOver, INITIAL_HANDOVER_TIME),
            (OutageCause::NoOwner, INITIAL_HANDOVER_TIME),
            (OutageCause::Rejected, INITIAL_REJECTION_TIME),
        ] {
            lengths[cause as usize].push_back(first);
        }
        Self {
            timing,
            lengths,
            outages: HashMap::new(),
            tracked: 0,
            silent: HashMap::new(),
            dropped_at: Time::default(),
        }
    }

    /// The timing of leases that the estimates assume.
    pub fn timing(&self) -> Timing {
        self.timing
    }

    /// Records that a node hasn't answered a request.
    pub fn silent(&mut self, now: Time, node: &NodeName) {
        if self.silent.len() >= MAX_TRACKED_ENTRIES {
            self.silent.clear();
        }
        let new = Unresponsive {
            began_at: now,
            met_at: now,
        };
        let silence = self.silent.entry(node.clone()).or_insert(new);
        if is_stale(now, silence.met_at) {
            *silence = new;
        }
        silence.met_at = now;
    }

    /// Records that a node has answered a request.
    pub fn answered(&mut self, node: &NodeName) {
        if !self.silent.is_empty() {
            self.silent.remove(node);
        }
    }

    /// Records that a request was refused for this cause; `owner` is the node that should have run it, if there is one.
    pub fn refused(
        &mut self,
        now: Time,
        wanted: OutageScope<'_>,
        cause: OutageCause,
        owner: Option<&NodeName>,
    ) {
        self.drop_stale(now);
        let known = self.outages.get_mut(wanted.service);
        if let Some(outage) = known.and_then(|outages| outages.get_mut(&wanted.key))
            && !is_stale(now, outage.met_at)
        {
            outage.met_at = now;
            // A hand-over after the loss of an owner is the last part of that outage.
            if cause != OutageCause::HandOver {
                outage.cause = cause;
            }
            return;
        }
        if self.tracked >= MAX_TRACKED_ENTRIES {
            return;
        }
        let silence = owner.and_then(|owner| self.silent.get(owner));
        let outage = Outage {
            cause,
            began_at: silence.map_or(now, |silence| silence.began_at),
            met_at: now,
        };
        let outages = self.outages.entry(wanted.service.to_owned()).or_default();
        if outages.insert(wanted.key, outage).is_none() {
            self.tracked += 1;
        }
    }

    /// Records that a request was run, which ends the outage if there was one.
    pub fn served(&mut self, now: Time, wanted: OutageScope<'_>) {
        if self.tracked == 0 {
            return;
        }
        let Some(outages) = self.outages.get_mut(wanted.service) else {
            return;
        };
        let Some(outage) = outages.remove(&wanted.key) else {
            return;
        };
        self.tracked -= 1;
        if !is_stale(now, outage.met_at) {
            let lengths = &mut self.lengths[outage.cause as usize];
            if lengths.len() >= OUTAGE_LENGTHS_PER_CAUSE {
                lengths.pop_front();
            }
            lengths.push_back(outage.length(now));
        }
    }

    /// Retry-After for a caller that is refused for this cause and waits for `caller_wait` at most. `leader_contact_at`
    /// is when this node last had contact with the leader; without a leader no key gets another owner.
    pub fn retry_after(
        &self,
        now: Time,
        wanted: OutageScope<'_>,
        cause: OutageCause,
        caller_wait: Duration,
        leader_contact_at: Time,
    ) -> Duration {
        let outages = self.outages.get(wanted.service);
        let outage = outages.and_then(|outages| outages.get(&wanted.key));
        let cause = outage.map_or(cause, |outage| outage.cause);
        let lasted = outage.map_or(Duration::ZERO, |outage| now.since(outage.began_at));
        remaining_time(&self.lengths[cause as usize], lasted, caller_wait)
            .max(self.until_leader(now, cause, leader_contact_at))
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Least time until a leader can give a key to another owner; zero if the cause needs no leader or there is one.
    fn until_leader(&self, now: Time, cause: OutageCause, leader_contact_at: Time) -> Duration {
        let silent_for = now.since(leader_contact_at);
        let needs_leader = matches!(cause, OutageCause::OwnerLost | OutageCause::NoOwner);
        if !needs_leader || silent_for < self.timing.suspect_after {
            return Duration::ZERO;
        }
        // The next leader is elected once the old one is suspected, and nodes report what they hold with their next
        // renewal.
        let elected = self.timing.suspect_after + self.timing.renew_interval * 2;
        elected.saturating_sub(silent_for)
    }

    /// Number of outages that are tracked.
    pub fn tracked(&self) -> usize {
        self.tracked
    }

    /// Drops outages that no request has met for long, at most once in [`OUTAGE_EXPIRY`].
    fn drop_stale(&mut self, now: Time) {
        if now.since(self.dropped_at) < OUTAGE_EXPIRY {
            return;
        }
        self.dropped_at = now;
        self.outages.retain(|_, outages| {
            outages.retain(|_, outage| !is_stale(now, outage.met_at));
            !outages.is_empty()
        });
        self.tracked = self.outages.values().map(HashMap::len).sum();
    }
}

fn is_stale(now: Time, met_at: Time) -> bool {
    now.since(met_at) >= OUTAGE_EXPIRY
}

/// Expected rest of an outage that has lasted for `lasted`, by the lengths of others, for a caller that waits for
/// `caller_wait` at most.
fn remaining_time(
    lengths: &VecDeque<Duration>,
    lasted: Duration,
    caller_wait: Duration,
) -> Duration {
    let longer = lengths.iter().filter(|length| **length > lasted);
    let mut left = longer.map(|length| *length - lasted).collect::<Vec<_>>();
    if left.is_empty() {
        return lasted.mul_f64(EXTENSION_SHARE);
    }
    left.sort_unstable();
    let ended = (left.len() as f64 * RETRY_AFTER_QUANTILE).ceil() as usize;
    let told = left[ended.clamp(1, left.len()) - 1];
    let within_wait = left.iter().rev().find(|left| **left < caller_wait);
    match within_wait {
        Some(latest) if told >= caller_wait => *latest,
        _ => told,
    }
}
