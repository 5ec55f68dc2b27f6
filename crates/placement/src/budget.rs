//! The churn budget: how much of the ring elective moves may take in any hour.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use wingspar_world::{MonotonicTime, SliceRange};

/// Time over which the budget counts.
const WINDOW: Duration = Duration::from_secs(3_600);

/// Moves closer together than this are one entry, which bounds the entries kept.
const ENTRY_WIDTH: Duration = Duration::from_secs(60);

/// Least charge of a move as a share of the ring: a hand-over has a price however few keys it takes.
/// About the width of a slice where there are a million.
const LEAST_CHARGE: f64 = 1.0e-6;

/// Keys on the ring.
const RING: f64 = 18_446_744_073_709_551_616.0;

/// Share of the ring that a slice covers, above 0 up to 1.
pub fn ring_share(range: &SliceRange) -> f64 {
    (range.span() as f64 + 1.0) / RING
}

/// What moving a slice costs the budget, as a share of the ring.
pub fn move_charge(range: &SliceRange) -> f64 {
    ring_share(range).max(LEAST_CHARGE)
}

/// Shares of the ring that elective moves took within the last hour.
///
/// The sum over any hour never exceeds the policy's `churn_per_hour`. Times are of one process's
/// clock; use [`ChurnRecord`] to carry a budget to another process.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ChurnBudget {
    /// Oldest first.
    entries: VecDeque<Entry>,
}

/// Moves made close together.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Entry {
    /// Time of its first move.
    from: MonotonicTime,
    /// Time of its last move; the whole entry counts until this one is out of the window.
    to: MonotonicTime,
    /// Share of the ring that they took.
    share: f64,
}

impl Entry {
    fn is_live(&self, now: MonotonicTime) -> bool {
        now.since(self.to) < WINDOW
    }
}

/// A budget's spending in a form that means the same to every process.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ChurnRecord {
    /// Spending, oldest first.
    pub spending: Vec<ChurnSpending>,
}

/// One entry of a [`ChurnRecord`].
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ChurnSpending {
    /// Age in milliseconds when the record was made.
    pub age_ms: u64,
    /// Share of the ring.
    pub share: f64,
}

impl ChurnBudget {
    /// A budget of which nothing is spent.
    pub fn new() -> Self {
        Self::default()
    }

    /// Continues a recorded budget. The time between the making of the record and `now` counts as
    /// zero, so that the budget is never more generous than it was.
    pub fn restore(record: &ChurnRecord, now: MonotonicTime) -> Self {
        let entry = |one: &ChurnSpending| {
            let at = now - Duration::from_millis(one.age_ms);
            Entry {
                from: at,
                to: at,
                share: one.share,
            }
        };
        Self {
            entries: record.spending.iter().map(entry).collect(),
        }
    }

    /// Records the budget for another process.
    pub fn record(&self, now: MonotonicTime) -> ChurnRecord {
        let live = self.entries.iter().filter(|entry| entry.is_live(now));
        let spending = live.map(|entry| ChurnSpending {
            age_ms: u64::try_from(now.since(entry.to).as_millis()).unwrap_or(u64::MAX),
            share: entry.share,
        });
        ChurnRecord {
            spending: spending.collect(),
        }
    }

    /// Share of the ring spent within the last hour.
    pub fn spent(&self, now: MonotonicTime) -> f64 {
        let live = self.entries.iter().filter(|entry| entry.is_live(now));
        live.map(|entry| entry.share).sum()
    }

    /// Share of the ring left to spend under an hourly limit.
    pub fn left(&self, now: MonotonicTime, churn_per_hour: f64) -> f64 {
        (churn_per_hour - self.spent(now)).max(0.0)
    }

    /// Spends a share of the ring.
    pub fn spend(&mut self, now: MonotonicTime, share: f64) {
        self.entries.retain(|entry| entry.is_live(now));
        match self.entries.back_mut() {
            Some(entry) if now.since(entry.from) < ENTRY_WIDTH => {
                entry.to = now;
                entry.share += share;
            }
            _ => self.entries.push_back(Entry {
                from: now,
                to: now,
                share,
            }),
        }
    }

    /// Gives back what a planned move was charged that was never begun.
    pub fn refund(&mut self, share: f64) {
        if let Some(entry) = self.entries.back_mut() {
            entry.share = (entry.share - share).max(0.0);
        }
    }
}
