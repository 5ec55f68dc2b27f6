//! Time during which keys could not be served, as their callers saw it.
//!
//! The ring is cut into buckets. A bucket is unavailable from the arrival of a request that failed, or
//! that waited longer than [`SLOW_US`], until a request of that bucket that arrived at or after this
//! one is served; waiting is counted, not only refusals.

use wingspar_world::KeyHash;

use crate::load::{Outcome, Record};

/// Buckets of a service's ring.
const BUCKETS: usize = 64;
/// Wait from which a served request counts as held up, in microseconds. Clients' delay and ordinary
/// queueing stay far below it.
const SLOW_US: u64 = 250_000;

/// Lengths of all unavailable intervals of a service's buckets, in microseconds, and their sum with
/// the time observed.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(super) struct Unavailable {
    /// Lengths of the intervals, in order of size.
    pub(super) intervals_us: Vec<u64>,
}

impl Unavailable {
    /// Measures a service's keyed requests.
    pub(super) fn measure<'a>(records: impl Iterator<Item = &'a Record>) -> Self {
        let mut buckets = vec![Vec::new(); BUCKETS];
        for record in records {
            if let Some(key) = record.key {
                buckets[bucket(key)].push(record);
            }
        }
        let mut intervals_us = Vec::new();
        for mut bucket in buckets {
            bucket.sort_by_key(|record| record.due_us);
            collect(&bucket, &mut intervals_us);
        }
        intervals_us.sort_unstable();
        Self { intervals_us }
    }

    /// The longest interval.
    pub(super) fn longest_us(&self) -> u64 {
        self.intervals_us.last().copied().unwrap_or(0)
    }

    /// The 99th percentile of the intervals.
    pub(super) fn p99_us(&self) -> u64 {
        let count = self.intervals_us.len();
        let place = (count as f64 * 0.99).ceil() as usize;
        let place = place.clamp(1, count.max(1)) - 1;
        self.intervals_us.get(place).copied().unwrap_or(0)
    }

    /// Mean unavailable time of a bucket, that is of a key, over the whole run.
    pub(super) fn mean_us(&self) -> u64 {
        self.intervals_us.iter().sum::<u64>() / BUCKETS as u64
    }
}

fn bucket(key: KeyHash) -> usize {
    (key.0 / (u64::MAX / BUCKETS as u64 + 1)) as usize
}

/// An interval that has begun.
struct Open {
    since: u64,
    /// When the first request that was held up was served.
    served_at: Option<u64>,
    /// When the last request in it ended.
    last_end: u64,
}

/// Walks a bucket's requests in order of arrival.
fn collect(records: &[&Record], intervals_us: &mut Vec<u64>) {
    let mut open: Option<Open> = None;
    for record in records {
        let served = record.outcome == Outcome::Ran;
        let held_up = !served || record.latency_us() > SLOW_US;
        if let Some(interval) = &open {
            let earlier = interval.served_at.filter(|at| *at <= record.due_us);
            let now = (!held_up).then_some(record.end_us);
            let ends = [earlier, now, interval.served_at.filter(|_| !held_up)];
            if let Some(end) = ends.into_iter().flatten().min() {
                intervals_us.push(end.saturating_sub(interval.since));
                open = None;
            }
        }
        if held_up {
            let interval = open.get_or_insert(Open {
                since: record.due_us,
                served_at: None,
                last_end: record.end_us,
            });
            interval.last_end = interval.last_end.max(record.end_us);
            if served {
                let at = interval.served_at.unwrap_or(u64::MAX);
                interval.served_at = Some(at.min(record.end_us));
            }
        }
    }
    if let Some(interval) = open {
        let end = interval.served_at.unwrap_or(interval.last_end);
        intervals_us.push(end.saturating_sub(interval.since));
    }
}
