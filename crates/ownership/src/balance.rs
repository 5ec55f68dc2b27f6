//! Load observed over the keys of one service.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{KeyRange, NodeName};

/// Parts that the keys are counted in: so small that one target can carry the keys of any of them.
pub const BUCKETS: usize = 32_768;
/// Keys of one part.
pub const KEYS_PER_BUCKET: u32 = 65_536 / BUCKETS as u32;
/// Rates are smoothed over about this time, in seconds.
const RATE_MEMORY: f64 = 1.2;
/// Weight of a new report's service time against what was known.
const SERVICE_TIME_SMOOTHING: f64 = 0.15;
/// Share of the load that is spread evenly over all keys, so that idle ones are dealt too.
const EVEN_SHARE: f64 = 0.05;
/// Service time of a target that hasn't been seen at work, in seconds.
const DEFAULT_SERVICE_TIME: f64 = 0.1;
/// Requests in a report below which its service time isn't believed.
const FEWEST_FOR_SERVICE_TIME: f64 = 6.0;

/// The part that a key is counted in.
pub fn bucket_of(key: u16) -> usize {
    (u32::from(key) / KEYS_PER_BUCKET) as usize
}

/// What one owner has seen since its last report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The owner.
    pub node: NodeName,
    /// The service.
    pub service: String,
    /// Time covered, in milliseconds.
    pub span_ms: u64,
    /// Requests that arrived, by bucket; empty ones left out.
    pub arrivals: Vec<(u16, u32)>,
    /// Requests that the target finished.
    pub finished: u32,
    /// Sum of the times that slots were in use, in milliseconds.
    pub busy_ms: u64,
}

/// Smoothed load of one service.
#[derive(Debug, Clone)]
pub struct Load {
    rates: Vec<f64>,
    /// Seconds of reports seen of each bucket, up to the memory.
    seen: Vec<f64>,
    service_times: BTreeMap<NodeName, f64>,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            rates: vec![0.0; BUCKETS],
            seen: vec![0.0; BUCKETS],
            service_times: BTreeMap::new(),
        }
    }
}

impl Load {
    /// Takes in a report of the owner of `ranges`.
    pub fn record(&mut self, report: &LoadReport, ranges: &[KeyRange]) {
        if report.span_ms == 0 {
            return;
        }
        let span = report.span_ms as f64 / 1000.0;
        let arrivals = report.arrivals.iter();
        let arrivals = arrivals
            .map(|(bucket, count)| (usize::from(*bucket), f64::from(*count) / span))
            .collect::<BTreeMap<_, _>>();
        let mut arrived = arrivals.iter().peekable();
        let mut owned = ranges
            .iter()
            .map(|range| bucket_of(range.from)..=bucket_of(range.to))
            .collect::<Vec<_>>();
        owned.sort_by_key(|buckets| *buckets.start());
        let mut next = 0;
        let forgets = 1.0 - (-span / RATE_MEMORY).exp();
        for bucket in owned.into_iter().flatten() {
            // Neighbouring ranges may share a part.
            if bucket < next {
                continue;
            }
            next = bucket + 1;
            while let Some((other, rate)) = arrived.next_if(|(other, _)| **other < bucket) {
                self.observe(*other, *rate, span, forgets);
            }
            let here = arrived.next_if(|(other, _)| **other == bucket);
            self.observe(bucket, here.map_or(0.0, |(_, rate)| *rate), span, forgets);
        }
        for (other, rate) in arrived {
            self.observe(*other, *rate, span, forgets);
        }
        let finished = f64::from(report.finished);
        if finished >= FEWEST_FOR_SERVICE_TIME {
            let time = report.busy_ms as f64 / 1000.0 / finished;
            let known = self
                .service_times
                .entry(report.node.clone())
                .or_insert(time);
            *known += SERVICE_TIME_SMOOTHING * (time - *known);
        }
    }

    /// Takes in the rate of one part over a span, in seconds; `forgets` is what that leaves behind of the old.
    fn observe(&mut self, bucket: usize, rate: f64, span: f64, forgets: f64) {
        if bucket >= BUCKETS {
            return;
        }
        // What little is known at first counts as much as each report that follows.
        self.seen[bucket] = (self.seen[bucket] + span).min(RATE_MEMORY);
        let weight = forgets.max(span / self.seen[bucket]).min(1.0);
        self.rates[bucket] += weight * (rate - self.rates[bucket]);
    }

    /// The last of some parts up to which half of their load lies.
    pub fn middle_of(&self, buckets: std::ops::RangeInclusive<usize>) -> usize {
        let rates = &self.rates[buckets.clone()];
        let even = self.rates.iter().sum::<f64>().max(1.0) * EVEN_SHARE / BUCKETS as f64;
        let half = rates.iter().map(|rate| rate + even).sum::<f64>() / 2.0;
        let mut passed = 0.0;
        for (bucket, rate) in buckets.clone().zip(rates) {
            passed += rate + even;
            if passed >= half {
                return bucket;
            }
        }
        *buckets.end()
    }

    /// Requests a second in each bucket, idle ones included.
    pub fn weights(&self) -> Vec<f64> {
        let total = self.rates.iter().sum::<f64>().max(1.0);
        let even = total * EVEN_SHARE / BUCKETS as f64;
        self.rates.iter().map(|rate| rate + even).collect()
    }

    /// Requests that the known rate of one of several owners rests on, at least one.
    pub fn requests_behind(&self, owners: usize) -> f64 {
        let total = self.rates.iter().sum::<f64>();
        (total * RATE_MEMORY / owners.max(1) as f64).max(1.0)
    }

    /// Requests a second that a node's target can finish.
    pub fn capacity(&self, node: &NodeName, slots: u32) -> f64 {
        let known = self.service_times.get(node).copied();
        let time = known.unwrap_or_else(|| self.typical_service_time());
        f64::from(slots.max(1)) / time.max(0.001)
    }

    /// Whether any target has been seen at work, so that capacities are more than a guess.
    pub fn knows_capacities(&self) -> bool {
        !self.service_times.is_empty()
    }

    fn typical_service_time(&self) -> f64 {
        if self.service_times.is_empty() {
            return DEFAULT_SERVICE_TIME;
        }
        self.service_times.values().sum::<f64>() / self.service_times.len() as f64
    }

    /// Forgets how fast a node's target was, after it was replaced.
    pub fn forget(&mut self, node: &NodeName) {
        self.service_times.remove(node);
    }
}
