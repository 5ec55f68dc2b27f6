//! Turns records and journals into results.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use wingspar_standins::backend::{JournalEntry, JournalOutcome};
use wingspar_world::TargetName;

use super::results::{KindResult, SecondResult};
use crate::load::{Outcome, Record};

/// Significant digits of latencies.
const DIGITS: u8 = 3;
/// Longest latency that is told apart, in microseconds: ten minutes.
const LONGEST_US: u64 = 600_000_000;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Counts outcomes and latencies.
#[derive(Debug, Clone)]
pub(super) struct Tally {
    ran: u64,
    not_run: u64,
    unknown: u64,
    latencies: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let latencies = Histogram::new_with_max(LONGEST_US, DIGITS);
        Self {
            ran: 0,
            not_run: 0,
            unknown: 0,
            latencies: latencies.expect("the bounds are valid"),
        }
    }
}

impl Tally {
    pub(super) fn add(&mut self, record: &Record) {
        match record.outcome {
            Outcome::Ran => {
                self.ran += 1;
                self.latencies.saturating_record(record.latency_us().max(1));
            }
            Outcome::NotRun => self.not_run += 1,
            Outcome::Unknown => self.unknown += 1,
        }
    }

    fn quantile_ms(&self, quantile: f64) -> f64 {
        milliseconds(self.latencies.value_at_quantile(quantile))
    }

    pub(super) fn kind(&self) -> KindResult {
        KindResult {
            requests: self.ran + self.not_run + self.unknown,
            ran: self.ran,
            not_run: self.not_run,
            unknown: self.unknown,
            p50_ms: self.quantile_ms(0.5),
            p99_ms: self.quantile_ms(0.99),
            max_ms: milliseconds(self.latencies.max()),
        }
    }

    fn second(&self) -> SecondResult {
        SecondResult {
            ran: self.ran,
            not_run: self.not_run,
            unknown: self.unknown,
            p50_ms: self.quantile_ms(0.5),
            p99_ms: self.quantile_ms(0.99),
        }
    }
}

/// Microseconds as milliseconds.
pub(super) fn milliseconds(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}

/// Results of each second, by when requests were due.
pub(super) fn by_second(records: &[Record]) -> Vec<SecondResult> {
    let mut order = records.iter().collect::<Vec<_>>();
    order.sort_by_key(|record| record.due_us);
    let mut seconds = Vec::new();
    let mut tally = Tally::default();
    for record in order {
        let second = (record.due_us / MICROS_PER_SECOND) as usize;
        while seconds.len() < second {
            seconds.push(std::mem::take(&mut tally).second());
        }
        tally.add(record);
    }
    seconds.push(tally.second());
    seconds
}

/// Effects by target of entries that were started before a time (microseconds since the Unix epoch).
pub(super) fn effects<'a>(
    journals: &'a [JournalEntry],
    service: &'a str,
    before_us: u64,
) -> BTreeMap<TargetName, u64> {
    let mut effects = BTreeMap::new();
    let entries = journals.iter().filter(|entry| {
        entry.outcome == JournalOutcome::Completed
            && entry.service == service
            && entry.started_us < before_us
    });
    for entry in entries {
        if let Ok(target) = TargetName::new(&entry.server) {
            *effects.entry(target).or_insert(0) += 1;
        }
    }
    effects
}

/// Highest over mean of a number of targets; targets without any effect count as well.
pub(super) fn imbalance(effects: &BTreeMap<TargetName, u64>, targets: usize) -> f64 {
    let sum: u64 = effects.values().sum();
    let highest = effects.values().max().copied().unwrap_or(0);
    match sum {
        0 => 1.0,
        _ => highest as f64 * targets as f64 / sum as f64,
    }
}
