//! The node's record of what the target beside it holds, and which requests may start there.
//!
//! Keys reach the target either by [`calls`] to it or in the answers to its [`heartbeats`]; the
//! targets of a deployment support one of these. Assignments, holdings and releases are tracked
//! alike for both.

mod assignment;
mod calls;
mod heartbeats;

pub use calls::{GrantResult, Order};
pub use heartbeats::{KeyAssignment, KeyReport};

use std::time::Duration;

use crate::{Epoch, Fence, Holding, KeyRange, LeaseReply, Released, Time, Timing, Wanted};

/// Share of the remaining lease for which keys are granted to the target; allows for a target's
/// clock that runs 2% slow.
const HOLD_SHARE: f64 = 0.97;
/// Shortest hold that is granted.
const MIN_HOLD: Duration = Duration::from_millis(150);
/// How long a release is reported to the leader after it ended.
const RELEASE_REPORT_TIME: Duration = Duration::from_secs(8);

/// Whether a request for a key may start at the target now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The target holds the key.
    Granted,
    /// The key is assigned to the target, which doesn't hold it yet.
    Pending,
    /// The target doesn't hold the key.
    NotOwner,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The target is to get the keys.
    Granting,
    /// The target holds the keys.
    Held,
    /// The target is to release the keys.
    Releasing,
}

/// How far an entry's phase has been announced to a target that gets its keys in answers to
/// heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Announcement {
    /// No answer has been sent in this phase, or a later heartbeat contradicted it.
    NotSent,
    /// An answer has announced the phase to the target.
    Sent,
    /// A heartbeat that was sent after the answer has confirmed the phase.
    Confirmed,
}

/// A range of keys that the target holds, or is to get or release, under one fence.
#[derive(Debug, Clone)]
struct Entry {
    range: KeyRange,
    fence: Fence,
    handover: Option<String>,
    phase: Phase,
    /// Until when the target certainly holds the keys.
    serve_until: Time,
    /// Until when the target may hold the keys.
    may_hold_until: Time,
    /// From when requests may be sent to the target.
    serve_from: Time,
    /// Whether a call about the entry is in flight.
    in_flight: bool,
    /// When the next call about the entry is due.
    next_call: Time,
    /// How far the phase has been announced in answers to heartbeats.
    told: Announcement,
    /// Consecutive heartbeats without the range after an answer that listed it.
    misses: u8,
}

impl Entry {
    /// A part of the entry that the target is to release.
    fn releasing(&self, now: Time, range: KeyRange) -> Self {
        Self {
            range,
            phase: Phase::Releasing,
            in_flight: false,
            next_call: now,
            told: Announcement::NotSent,
            ..self.clone()
        }
    }
}

/// How keys reach the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Delivery {
    /// By calls to the target.
    #[default]
    Calls,
    /// In the answers to the target's heartbeats.
    HeartbeatAnswers,
}

/// Tracks the keys of the target beside this node under the node's lease.
#[derive(Debug)]
pub struct Holder {
    timing: Timing,
    delivery: Delivery,
    epoch: Epoch,
    lease_until: Time,
    /// When the latest answered renewal was sent.
    answered: Time,
    /// When entries were last dropped because the lease had expired or the target's process had
    /// changed.
    dropped_at: Time,
    /// Number of the last assignment that was applied.
    applied: u64,
    /// Whether the target holds nothing that an earlier process granted.
    clean: bool,
    /// When every lease of an earlier process of the node has expired.
    earlier_leases_until: Time,
    /// The fence under which the target is to be cleared, and whether that call is in flight.
    clear: Option<(Fence, bool)>,
    /// Whether an answer to a heartbeat has been sent that makes the target release what an earlier
    /// process granted.
    is_clearing: bool,
    /// Id of the target's process; `None` before the target is first seen.
    target: Option<String>,
    entries: Vec<Entry>,
    /// Recent releases with their fences and when they ended.
    released: Vec<(Released, Fence, Time)>,
    /// Grants that are in flight.
    grants_in_flight: Vec<(KeyRange, Fence)>,
    /// The highest fence that was wanted for the target.
    highest_fence: Fence,
    /// The highest fence that was wanted for an earlier process of the target. A later process gets
    /// keys only under higher fences.
    ended_fence: Fence,
    /// Grants that the target refused because it had seen a higher fence; they aren't sent again.
    outranked: Vec<(KeyRange, Fence)>,
}

impl Holder {
    /// The holder of a process that has just started. `clean` is true if no earlier process can
    /// have granted the target anything.
    pub fn new(timing: Timing, clean: bool) -> Self {
        Self {
            timing,
            delivery: Delivery::default(),
            epoch: Epoch::default(),
            lease_until: Time::default(),
            answered: Time::default(),
            dropped_at: Time::default(),
            applied: 0,
            clean,
            earlier_leases_until: Time::default(),
            clear: None,
            is_clearing: false,
            target: None,
            entries: Vec::new(),
            released: Vec::new(),
            grants_in_flight: Vec::new(),
            highest_fence: Fence::default(),
            ended_fence: Fence::default(),
            outranked: Vec::new(),
        }
    }

    /// Sets when the process started, which is when any earlier process had ended.
    pub fn with_start(self, started_at: Time) -> Self {
        let earlier_leases_until = started_at + self.timing.lease + self.timing.lease_margin;
        Self {
            earlier_leases_until,
            ..self
        }
    }

    /// Sets how keys reach the target; calls to the target are the default.
    pub fn with_delivery(self, delivery: Delivery) -> Self {
        Self { delivery, ..self }
    }

    /// The epoch that the holder obeys: the highest one that it has seen.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Number of the last assignment that was applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Whether the target holds nothing that an earlier process granted.
    pub fn is_clean(&self) -> bool {
        self.clean
    }

    /// When the lease ends.
    pub fn lease_until(&self) -> Time {
        self.lease_until
    }

    /// Drops all entries when the lease has expired: the target's holds have expired too, and the
    /// keys may have other owners by now.
    fn drop_expired(&mut self, now: Time) {
        if now >= self.lease_until && !self.entries.is_empty() {
            self.entries.clear();
            self.dropped_at = now;
        }
    }

    /// Drops what has expired: entries under an expired lease, releasing entries whose holds have
    /// run out, and releases that have been reported for long enough.
    fn drop_stale(&mut self, now: Time) {
        self.drop_expired(now);
        self.released
            .retain(|(_, _, at)| now.since(*at) < RELEASE_REPORT_TIME);
        self.entries.retain(|entry| {
            entry.phase != Phase::Releasing || now < entry.may_hold_until || entry.in_flight
        });
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

    /// Recent releases, to report to the leader.
    pub fn released(&self) -> Vec<Released> {
        self.released
            .iter()
            .map(|(released, _, _)| released.clone())
            .collect()
    }

    /// Records the id of the target's process, which shows that every earlier process has ended.
    /// The first id that is seen changes nothing else. `None` if the id is known already; otherwise
    /// the number of key ranges that an earlier process held, or may have held.
    pub fn observe_target(&mut self, now: Time, id: &str) -> Option<usize> {
        if self.target.as_deref() == Some(id) {
            return None;
        }
        self.drop_stale(now);
        let ranges = self.entries.len();
        if self.target.is_some() {
            self.end_earlier_process(now);
        }
        self.target = Some(id.to_owned());
        Some(ranges)
    }

    /// Gives up the keys of the target's earlier process.
    fn end_earlier_process(&mut self, now: Time) {
        // Replies to renewals from before may list keys that have another owner by now.
        self.dropped_at = now;
        // A new leader may want the target to keep keys that this node reports until they are
        // released.
        self.ended_fence = self.highest_fence;
        self.outranked.clear();
        self.is_clearing = false;
        match self.delivery {
            // The new process may have taken grants that were sent before its id was known.
            Delivery::Calls => {
                let mut granted = std::mem::take(&mut self.entries);
                granted.retain(|entry| entry.may_hold_until > Time::default());
                self.entries = granted
                    .into_iter()
                    .map(|entry| match entry.phase {
                        Phase::Releasing => entry,
                        Phase::Granting | Phase::Held => entry.releasing(now, entry.range),
                    })
                    .collect();
            }
            // The answers to heartbeats reached only the process that had sent them.
            Delivery::HeartbeatAnswers => self.entries.clear(),
        }
    }

    /// Obeys an epoch from now on; lower epochs are refused.
    pub fn promise(&mut self, epoch: Epoch) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.applied = 0;
        }
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
                Phase::Held
                    if now >= entry.serve_from
                        && now < entry.serve_until
                        && now < self.lease_until =>
                {
                    return Admission::Granted;
                }
                Phase::Held | Phase::Granting => arriving = true,
                Phase::Releasing => {}
            }
        }
        if arriving {
            Admission::Pending
        } else {
            Admission::NotOwner
        }
    }

    /// The target denied holding a key that this holder takes it to hold: the key is granted again.
    pub fn key_denied_by_target(&mut self, now: Time, key: u16) {
        for entry in &mut self.entries {
            if entry.phase != Phase::Held || !entry.range.contains(key) {
                continue;
            }
            match self.delivery {
                Delivery::Calls => entry.next_call = now,
                Delivery::HeartbeatAnswers => {
                    entry.phase = Phase::Granting;
                    entry.told = Announcement::NotSent;
                }
            }
        }
    }
}
