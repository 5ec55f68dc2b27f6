//! Many seeds on several threads, and what they measured.

use std::collections::BTreeMap;
use std::fmt;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use crate::callers::CallerCounts;
use crate::checker::LossKind;
use crate::report::Report;
use crate::scenario::{Preset, Scenario};
use crate::simulation::Simulation;

/// Failures that are kept whole.
const KEPT_FAILURES: usize = 20;

/// Plays one seed of a preset, printing each change of state to standard error.
pub fn replay(preset: Preset, seed: u64) -> Report {
    Simulation::new(Scenario::of(preset, seed)).echo().run()
}

/// Plays a range of seeds of a preset on some threads; each seed runs on one.
pub fn soak(preset: Preset, seeds: Range<u64>, threads: usize) -> SoakReport {
    let next = AtomicU64::new(seeds.start);
    let total = Mutex::new(SoakReport::new(preset));
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| play_seeds(preset, &next, seeds.end, &total));
        }
    });
    let mut total = total.into_inner().unwrap_or_else(PoisonError::into_inner);
    total.failures.sort_by_key(|report| report.seed);
    total
}

fn play_seeds(preset: Preset, next: &AtomicU64, end: u64, total: &Mutex<SoakReport>) {
    loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= end {
            return;
        }
        let report = Simulation::new(Scenario::of(preset, seed)).run();
        let mut total = total.lock().unwrap_or_else(PoisonError::into_inner);
        total.add(report);
    }
}

/// Sum of many runs.
#[derive(Debug, Clone)]
pub struct SoakReport {
    /// The kind of runs.
    pub preset: Preset,
    /// Number of runs.
    pub runs: u64,
    /// Number of runs that broke a promise.
    pub failed: u64,
    /// The first of them.
    pub failures: Vec<Report>,
    /// Requests that back ends started.
    pub started: u64,
    /// Events of all runs.
    pub events: u64,
    /// Virtual time of all runs, in seconds.
    pub virtual_seconds: u64,
    /// What callers were told.
    pub callers: CallerCounts,
    gaps_ms: BTreeMap<LossKind, Vec<u64>>,
    in_force_ms: Vec<u64>,
}

/// Distribution of times in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct GapStatistics {
    /// Number of samples.
    pub count: usize,
    /// Median.
    pub p50: u64,
    /// 99th percentile.
    pub p99: u64,
    /// Largest.
    pub max: u64,
}

impl SoakReport {
    fn new(preset: Preset) -> Self {
        Self {
            preset,
            runs: 0,
            failed: 0,
            failures: Vec::new(),
            started: 0,
            events: 0,
            virtual_seconds: 0,
            callers: CallerCounts::default(),
            gaps_ms: BTreeMap::new(),
            in_force_ms: Vec::new(),
        }
    }

    /// Whether every run kept every promise.
    pub fn is_clean(&self) -> bool {
        self.failed == 0
    }

    /// Unserved time by kind of loss.
    pub fn gaps(&self) -> BTreeMap<LossKind, GapStatistics> {
        let kinds = self.gaps_ms.iter();
        kinds
            .map(|(kind, times)| (*kind, statistics(times)))
            .collect()
    }

    /// Time until configurations were in force.
    pub fn in_force(&self) -> GapStatistics {
        statistics(&self.in_force_ms)
    }

    fn add(&mut self, report: Report) {
        self.runs += 1;
        self.started += report.started;
        self.events += report.events;
        self.virtual_seconds += report.virtual_time.as_secs();
        self.callers.sent += report.callers.sent;
        self.callers.ran += report.callers.ran;
        self.callers.not_run += report.callers.not_run;
        self.callers.unknown += report.callers.unknown;
        self.in_force_ms.extend(&report.in_force_ms);
        for gap in &report.gaps {
            let millis = u64::try_from(gap.length.as_millis()).unwrap_or(u64::MAX);
            self.gaps_ms.entry(gap.cause).or_default().push(millis);
        }
        if report.failure.is_some() {
            self.failed += 1;
            if self.failures.len() < KEPT_FAILURES {
                self.failures.push(report);
            }
        }
    }
}

fn statistics(times: &[u64]) -> GapStatistics {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    let Some(max) = sorted.last().copied() else {
        return GapStatistics::default();
    };
    let at = |share: f64| {
        let position = (sorted.len() as f64 * share).ceil() as usize;
        sorted[position.clamp(1, sorted.len()) - 1]
    };
    GapStatistics {
        count: sorted.len(),
        p50: at(0.5),
        p99: at(0.99),
        max,
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let preset = self.preset;
        writeln!(
            formatter,
            "{preset}: {} runs, {} failed",
            self.runs, self.failed
        )?;
        let callers = &self.callers;
        writeln!(
            formatter,
            "  {} events over {} virtual seconds; {} requests: {} ran, {} not run, {} unknown",
            self.events,
            self.virtual_seconds,
            callers.sent,
            callers.ran,
            callers.not_run,
            callers.unknown
        )?;
        for (kind, gaps) in self.gaps() {
            writeln!(formatter, "  unserved after {kind:?}: {gaps}")?;
        }
        writeln!(formatter, "  configuration in force: {}", self.in_force())?;
        for report in &self.failures {
            writeln!(formatter, "{report}")?;
        }
        Ok(())
    }
}

impl fmt::Display for GapStatistics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "n={} p50 {} ms, p99 {} ms, max {} ms",
            self.count, self.p50, self.p99, self.max
        )
    }
}
