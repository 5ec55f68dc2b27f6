//! Load observed over the keys of one service.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{KeyRange, NodeName};

/// Parts that the keys are counted in: so small that one target can carry the keys of any of them.
pub const BUCKETS: usize = 32_768;
/// Keys of one part.
pub const KEYS_PER_BUCKET: u32 = 65_536 / BUCKETS as u32;
/// Rates are smoothed over about these times, in seconds. The short one is three reports, so that a jump is seen
/// within a second; the long one rests on enough requests that owners don't seem uneven by chance.
const SHORT_MEMORY: f64 = 1.2;
const LONG_MEMORY: f64 = 5.0;
/// A part's short-term rate counts where it differs from the long-term one by this many standard deviations of a
/// Poisson count: less than one part in a thousand does so by chance.
const JUMP_DEVIATIONS: f64 = 3.0;
/// Requests whose mean service time weighs as much as what was known; the mean of so many is within about a tenth
/// of the true one.
const SERVICE_TIME_REQUESTS: f64 = 60.0;
/// Share of the load that is spread evenly over all keys, so that idle ones are dealt too.
const EVEN_SHARE: f64 = 0.05;
/// A target counts for so much of a slot at least: a capacity of nothing couldn't be compared.
const LEAST_SLOTS: f64 = 0.01;
/// Service time of a target that hasn't been seen at work, in seconds.
const DEFAULT_SERVICE_TIME: f64 = 0.1;

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
    parts: Vec<PartLoad>,
    service_times: BTreeMap<NodeName, f64>,
}

/// Requests a second for one part of the keys.
#[derive(Debug, Clone, Copy, Default)]
struct PartLoad {
    /// Smoothed over the short memory.
    short: f64,
    /// Smoothed over the long one.
    long: f64,
    /// Seconds of reports seen, up to the long memory.
    seen: f64,
}

impl PartLoad {
    /// Takes in the rate over a span, in seconds. What little is known at first counts as much as what follows.
    fn observe(&mut self, rate: f64, span: f64) {
        self.seen = (self.seen + span).min(LONG_MEMORY);
        let weight = |memory: f64| (span / self.seen.min(memory)).min(1.0);
        let (short, long) = (weight(SHORT_MEMORY), weight(LONG_MEMORY));
        self.short += short * (rate - self.short);
        self.long += long * (rate - self.long);
    }

    /// Whether the short-term rate differs from the long-term one by more than chance.
    fn has_jumped(&self) -> bool {
        let difference = (self.short - self.long).abs() * SHORT_MEMORY;
        difference > JUMP_DEVIATIONS * (self.long * SHORT_MEMORY + 1.0).sqrt()
    }
}

impl Default for Load {
    fn default() -> Self {
        Self {
            parts: vec![PartLoad::default(); BUCKETS],
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
        for bucket in owned.into_iter().flatten() {
            // Neighbouring ranges may share a part.
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

    /// Takes in how long requests kept their slots, by as much as the requests of the report tell.
    fn record_service_time(&mut self, report: &LoadReport) {
        if report.finished == 0 {
            return;
        }
        let finished = f64::from(report.finished);
        let time = report.busy_ms as f64 / 1000.0 / finished;
        // A target that hasn't been seen at work is likely to be as the others are.
        let expected = if self.knows_capacities() {
            self.typical_service_time()
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

    /// The last of some parts up to which half of their load lies.
    pub fn middle_of(&self, buckets: std::ops::RangeInclusive<usize>) -> usize {
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

    /// Requests a second in each bucket, idle ones included. How the load lies over the keys is taken from the long
    /// memory, except where it has jumped; how much it is in all from the short one.
    pub fn weights(&self) -> Vec<f64> {
        let calm = self.parts.iter().filter(|part| !part.has_jumped());
        let (short, long) = calm.fold((0.0, 0.0), |(short, long), part| {
            (short + part.short, long + part.long)
        });
        let level = if long > 0.0 { short / long } else { 1.0 };
        let rate = |part: &PartLoad| {
            if part.has_jumped() {
                part.short
            } else {
                part.long * level
            }
        };
        let rates = self.parts.iter().map(rate).collect::<Vec<_>>();
        let total = rates.iter().sum::<f64>().max(1.0);
        let even = total * EVEN_SHARE / BUCKETS as f64;
        rates.into_iter().map(|rate| rate + even).collect()
    }

    /// Requests that the known rate of one of several owners rests on, at least one.
    pub fn requests_behind(&self, owners: usize) -> f64 {
        let total = self.parts.iter().map(|part| part.long).sum::<f64>();
        (total * LONG_MEMORY / owners.max(1) as f64).max(1.0)
    }

    /// Requests a second that a node's target can finish.
    pub fn capacity(&self, node: &NodeName, slots: f64) -> f64 {
        slots.max(LEAST_SLOTS) / self.service_time(node)
    }

    /// Slots of a node's target that so many requests a second keep in use: less than one, if they are few.
    pub fn slots_in_use(&self, node: &NodeName, requests_per_s: u32) -> f64 {
        f64::from(requests_per_s) * self.service_time(node)
    }

    /// Seconds that a request keeps a slot of a node's target.
    fn service_time(&self, node: &NodeName) -> f64 {
        let known = self.service_times.get(node).copied();
        let time = known.unwrap_or_else(|| self.typical_service_time());
        time.max(0.001)
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
