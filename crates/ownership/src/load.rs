//! The observed load over the keys of one service.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{KeyRange, NodeName};

/// Number of buckets in which requests are counted. Buckets are so small that one target can serve
/// all keys of any bucket.
pub const BUCKETS: usize = 32_768;
/// Keys per bucket.
pub const KEYS_PER_BUCKET: u32 = 65_536 / BUCKETS as u32;
/// Time constant, in seconds, of the short-term rate. It spans three reports, so that a jump is
/// noticed within a second.
const SHORT_TIME_CONSTANT_S: f64 = 1.2;
/// Time constant, in seconds, of the long-term rate. It covers enough requests that owners don't
/// look uneven by chance.
const LONG_TIME_CONSTANT_S: f64 = 5.0;
/// A bucket's short-term rate is used if it differs from the long-term rate by this many standard
/// deviations of a Poisson count; fewer than one bucket in a thousand does so by chance.
const JUMP_DEVIATIONS: f64 = 3.0;
/// Number of finished requests whose mean service time weighs as much as the previous estimate. The
/// mean of that many is within about a tenth of the true value.
const SERVICE_TIME_REQUESTS: f64 = 60.0;
/// Share of the load that is spread evenly over all keys, so that idle keys are balanced too.
const EVEN_LOAD_SHARE: f64 = 0.05;
/// Fewest slots that a target counts for; a capacity of zero couldn't be compared.
const MIN_TARGET_SLOTS: f64 = 0.01;
/// Assumed service time in seconds before any target has reported one.
const DEFAULT_SERVICE_TIME_S: f64 = 0.1;

/// The bucket in which a key is counted.
pub fn bucket_of(key: u16) -> usize {
    (u32::from(key) / KEYS_PER_BUCKET) as usize
}

/// The load that one owner has observed since its last report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The owner that reports.
    pub node: NodeName,
    /// The service whose keys the load is on.
    pub service: String,
    /// The reported period in milliseconds.
    pub span_ms: u64,
    /// Number of requests that arrived, by bucket; empty buckets are left out.
    pub arrivals: Vec<(u16, u32)>,
    /// Number of requests that the target finished.
    pub finished: u32,
    /// Sum of the times that slots were in use, in milliseconds.
    pub busy_ms: u64,
}

/// The smoothed load of one service.
#[derive(Debug, Clone)]
pub struct Load {
    parts: Vec<BucketLoad>,
    service_times: BTreeMap<NodeName, f64>,
}

/// Requests per second for the keys of one bucket.
#[derive(Debug, Clone, Copy, Default)]
struct BucketLoad {
    /// Rate smoothed with [`SHORT_TIME_CONSTANT_S`].
    short: f64,
    /// Rate smoothed with [`LONG_TIME_CONSTANT_S`].
    long: f64,
    /// Seconds covered by reports so far, at most [`LONG_TIME_CONSTANT_S`].
    seen: f64,
}

impl BucketLoad {
    /// Adds the rate over a span in seconds. Until the reports cover a time constant, each counts
    /// in proportion to its length.
    fn observe(&mut self, rate: f64, span: f64) {
        self.seen = (self.seen + span).min(LONG_TIME_CONSTANT_S);
        let weight = |window: f64| (span / self.seen.min(window)).min(1.0);
        let (short, long) = (weight(SHORT_TIME_CONSTANT_S), weight(LONG_TIME_CONSTANT_S));
        self.short += short * (rate - self.short);
        self.long += long * (rate - self.long);
    }

    /// Whether the short-term rate differs from the long-term rate by more than chance.
    fn has_jumped(&self) -> bool {
        let difference = (self.short - self.long).abs() * SHORT_TIME_CONSTANT_S;
        difference > JUMP_DEVIATIONS * (self.long * SHORT_TIME_CONSTANT_S + 1.0).sqrt()
    }
}

impl Default for Load {
    fn default() -> Self {
        Self {
            parts: vec![BucketLoad::default(); BUCKETS],
            service_times: BTreeMap::new(),
        }
    }
}

impl Load {
    /// Records a report of the owner of `ranges`.
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
        for bucket in owned.into_iter().flatten() {
            // Adjacent ranges may share a bucket.
            if bucket < next {
                continue;
            }
            next = bucket + 1;
            while let Some((other, rate)) = arrived.next_if(|(other, _)| **other < bucket) {
                self.observe(*other, *rate, span);
            }
            let here = arrived.next_if(|(other, _)| **other == bucket);
            self.observe(bucket, here.map_or(0.0, |(_, rate)| *rate), span);
        }
        for (other, rate) in arrived {
            self.observe(*other, *rate, span);
        }
        self.record_service_time(report);
    }

    /// Updates the time that requests occupy a slot, weighted by the number of requests in the
    /// report.
    fn record_service_time(&mut self, report: &LoadReport) {
        if report.finished == 0 {
            return;
        }
        let finished = f64::from(report.finished);
        let time = report.busy_ms as f64 / 1000.0 / finished;
        // The first estimate for a target is the mean of the others.
        let expected = if self.has_service_times() {
            self.mean_service_time()
        } else {
            time
        };
        let known = self
            .service_times
            .entry(report.node.clone())
            .or_insert(expected);
        *known += finished / (finished + SERVICE_TIME_REQUESTS) * (time - *known);
    }

    fn observe(&mut self, bucket: usize, rate: f64, span: f64) {
        if let Some(part) = self.parts.get_mut(bucket) {
            part.observe(rate, span);
        }
    }

    /// The first bucket at which half of the buckets' load is reached.
    pub fn load_midpoint(&self, buckets: std::ops::RangeInclusive<usize>) -> usize {
        let weights = self.weights();
        let weights = &weights[buckets.clone()];
        let half = weights.iter().sum::<f64>() / 2.0;
        let mut passed = 0.0;
        for (bucket, weight) in buckets.clone().zip(weights) {
            passed += weight;
            if passed >= half {
                return bucket;
            }
        }
        *buckets.end()
    }

    /// Requests per second in each bucket, with a minimum for idle ones. The distribution over the
    /// keys comes from the long-term rates, except where the rate has jumped; the total comes from
    /// the short-term rates.
    pub fn weights(&self) -> Vec<f64> {
        let calm = self.parts.iter().filter(|part| !part.has_jumped());
        let (short, long) = calm.fold((0.0, 0.0), |(short, long), part| {
            (short + part.short, long + part.long)
        });
        let level = if long > 0.0 { short / long } else { 1.0 };
        let rate = |part: &BucketLoad| {
            if part.has_jumped() {
                part.short
            } else {
                part.long * level
            }
        };
        let rates = self.parts.iter().map(rate).collect::<Vec<_>>();
        let total = rates.iter().sum::<f64>().max(1.0);
        let even = total * EVEN_LOAD_SHARE / BUCKETS as f64;
        rates.into_iter().map(|rate| rate + even).collect()
    }

    /// Number of requests that the estimated rate of each of `owners` owners is based on; at least
    /// one.
    pub fn sample_size(&self, owners: usize) -> f64 {
        let total = self.parts.iter().map(|part| part.long).sum::<f64>();
        (total * LONG_TIME_CONSTANT_S / owners.max(1) as f64).max(1.0)
    }

    /// Requests per second that a node's target can finish.
    pub fn capacity(&self, node: &NodeName, slots: f64) -> f64 {
        slots.max(MIN_TARGET_SLOTS) / self.service_time(node)
    }

    /// Number of slots of a node's target that this rate of requests keeps in use; less than one at
    /// low rates.
    pub fn slots_in_use(&self, node: &NodeName, requests_per_s: u32) -> f64 {
        f64::from(requests_per_s) * self.service_time(node)
    }

    /// Seconds that a request occupies a slot of a node's target.
    fn service_time(&self, node: &NodeName) -> f64 {
        let known = self.service_times.get(node).copied();
        let time = known.unwrap_or_else(|| self.mean_service_time());
        time.max(0.001)
    }

    /// Whether any target has reported finished requests; otherwise capacities are based on the
    /// default service time.
    pub fn has_service_times(&self) -> bool {
        !self.service_times.is_empty()
    }

    fn mean_service_time(&self) -> f64 {
        if self.service_times.is_empty() {
            return DEFAULT_SERVICE_TIME_S;
        }
        self.service_times.values().sum::<f64>() / self.service_times.len() as f64
    }

    /// Drops the service time of a node whose target was replaced.
    pub fn forget_service_time(&mut self, node: &NodeName) {
        self.service_times.remove(node);
    }
}
