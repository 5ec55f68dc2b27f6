//! Time during which keys could not be served, as their callers saw it.
//!
//! The ring is cut into buckets. A bucket is unavailable from the arrival of a request that failed, or
//! that waited longer than [`SLOW_US`], until a request of that bucket that arrived at or after this
//! one is served; waiting is counted, not only refusals.

use std::collections::BTreeMap;

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
pub(crate) struct Unavailable {
    /// Lengths of the intervals, in order of size.
    pub(crate) intervals_us: Vec<u64>,
}

impl Unavailable {
    /// Measures a service's keyed requests.
    pub(super) fn measure<'a>(records: impl Iterator<Item = &'a Record>) -> Self {
        Self::of_requests(records.filter_map(|record| {
            Some(Request {
                bucket: bucket(record.key?),
                due_us: record.due_us,
                end_us: record.end_us,
                served: record.outcome == Outcome::Ran,
            })
        }))
    }

    /// Measures requests that are told apart by their buckets only.
    pub(crate) fn of_requests(requests: impl Iterator<Item = Request>) -> Self {
        let mut buckets = BTreeMap::<usize, Vec<Request>>::new();
        for request in requests {
            buckets.entry(request.bucket).or_default().push(request);
        }
        let mut intervals_us = Vec::new();
        for mut bucket in buckets.into_values() {
            bucket.sort_by_key(|request| request.due_us);
            collect(&bucket, &mut intervals_us);
        }
        intervals_us.sort_unstable();
        Self { intervals_us }
    }

    /// The longest interval.
    pub(crate) fn longest_us(&self) -> u64 {
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

/// What matters of a request here.
pub(crate) struct Request {
    /// What it shares with the requests that are served if it is.
    pub(crate) bucket: usize,
    /// When it was due.
    pub(crate) due_us: u64,
    /// When its end was known.
    pub(crate) end_us: u64,
    /// Whether the whole answer came.
    pub(crate) served: bool,
}

impl Request {
    fn latency_us(&self) -> u64 {
        self.end_us.saturating_sub(self.due_us)
    }
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
fn collect(requests: &[Request], intervals_us: &mut Vec<u64>) {
    let mut open: Option<Open> = None;
    for request in requests {
        let served = request.served;
        let held_up = !served || request.latency_us() > SLOW_US;
        if let Some(interval) = &open {
            let earlier = interval.served_at.filter(|at| *at <= request.due_us);
            let now = (!held_up).then_some(request.end_us);
            let ends = [earlier, now, interval.served_at.filter(|_| !held_up)];
            if let Some(end) = ends.into_iter().flatten().min() {
                intervals_us.push(end.saturating_sub(interval.since));
                open = None;
            }
        }
        if held_up {
            let interval = open.get_or_insert(Open {
                since: request.due_us,
                served_at: None,
                last_end: request.end_us,
            });
            interval.last_end = interval.last_end.max(request.end_us);
            if served {
                let at = interval.served_at.unwrap_or(u64::MAX);
                interval.served_at = Some(at.min(request.end_us));
            }
        }
    }
    if let Some(interval) = open {
        let end = interval.served_at.unwrap_or(interval.last_end);
        intervals_us.push(end.saturating_sub(interval.since));
    }
}
