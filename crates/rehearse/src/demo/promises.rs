//! The promises of the system, checked from what callers and targets have seen.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use super::evidence::{Answer, Emptied, Evidence, Place, QuotaBound, Run};

/// Statuses that tell a caller that its request hasn't run.
pub(super) const NOT_RUN: [u16; 5] = [401, 408, 421, 429, 503];
pub(super) const SERVED: u16 = 200;
const MICROSECONDS: f64 = 1e6;

/// What callers and operators rely on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Promise {
    /// A key has one owner at a time.
    OneOwner,
    /// What isn't repeatable runs at most once.
    AtMostOnce,
    /// A request whose caller was told that it hasn't run hasn't run.
    NotRunIsTrue,
    /// An answer is the whole answer to its own request.
    OwnAnswer,
    /// A tenant's quota holds over all nodes together.
    Quota,
    /// Nothing new begins in an evacuated zone, or at a target that leaves, once the bound is over.
    Emptied,
}

impl fmt::Display for Promise {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::OneOwner => "one owner a key",
            Self::AtMostOnce => "at most once",
            Self::NotRunIsTrue => "\"not run\" is true",
            Self::OwnAnswer => "whole own answers",
            Self::Quota => "quota over all nodes",
            Self::Emptied => "nothing where it is emptied",
        })
    }
}

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub promise: Promise,
    /// When it was broken, in microseconds from the start of the load.
    pub at_us: u64,
    /// What was seen.
    pub detail: String,
}

/// All broken promises.
#[must_use]
pub fn violations(evidence: &Evidence) -> Vec<Violation> {
    let mut runs_by_id = HashMap::<&str, Vec<&Run>>::new();
    for run in &evidence.runs {
        runs_by_id.entry(&run.id).or_default().push(run);
    }
    let mut found = one_owner(&evidence.runs);
    for answer in &evidence.answers {
        let runs = runs_by_id.get(answer.id.as_str());
        found.extend(broken_for(answer, runs.map_or(&[], Vec::as_slice)));
    }
    for quota in &evidence.quotas {
        found.extend(over_quota(quota, &evidence.runs));
    }
    for emptied in &evidence.emptied {
        found.extend(not_empty(emptied, &evidence.runs));
    }
    found
}

/// Work on a key begins under fences that never fall, and one fence is one target's.
fn one_owner(runs: &[Run]) -> Vec<Violation> {
    let mut newest = BTreeMap::<u16, (u64, &str)>::new();
    let mut found = Vec::new();
    for run in runs {
        let (Some(key), Some(fence)) = (run.key, run.fence) else {
            continue;
        };
        if let Some((known, owner)) = newest.get(&key)
            && (fence < *known || fence == *known && *owner != run.target)
        {
            let (id, target) = (&run.id, &run.target);
            found.push(Violation {
                promise: Promise::OneOwner,
                at_us: run.at_us,
                detail: format!(
                    "{id} began on key {key} at {target} under fence {fence}, after {owner} had it under {known}"
                ),
            });
            continue;
        }
        newest.insert(key, (fence, &run.target));
    }
    found
}

/// What is wrong with one answer, given the runs of its request.
fn broken_for(answer: &Answer, runs: &[&Run]) -> Vec<Violation> {
    let mut found = Vec::new();
    let id = &answer.id;
    let mut add = |promise, detail| {
        found.push(Violation {
            promise,
            at_us: answer.end_us,
            detail,
        });
    };
    if !answer.repeatable && runs.len() > 1 {
        let times = runs.len();
        add(Promise::AtMostOnce, format!("{id} ran {times} times"));
    }
    let told_not_run = answer
        .status
        .is_some_and(|status| NOT_RUN.contains(&status));
    if !answer.repeatable && told_not_run && !runs.is_empty() {
        add(
            Promise::NotRunIsTrue,
            format!("{id} was told \"not run\" and ran"),
        );
    }
    if answer.status == Some(SERVED) && (!answer.own || runs.is_empty()) {
        add(
            Promise::OwnAnswer,
            format!("{id} got an answer that isn't its own or not whole"),
        );
    }
    found
}

/// The first window in which a tenant has had more run than its quota allows.
fn over_quota(quota: &QuotaBound, runs: &[Run]) -> Option<Violation> {
    let begun = runs
        .iter()
        .filter(|run| run.tenants.contains(&quota.tenant));
    let begun = begun.map(|run| run.at_us).collect::<Vec<_>>();
    let window_us = (quota.window_s * MICROSECONDS) as u64;
    let mut first = 0;
    for (last, at_us) in begun.iter().enumerate() {
        while begun[first] + window_us <= *at_us {
            first += 1;
        }
        let within = last - first + 1;
        if within as f64 > quota.most() {
            let (tenant, most, window) = (&quota.tenant, quota.most(), quota.window_s);
            return Some(Violation {
                promise: Promise::Quota,
                at_us: *at_us,
                detail: format!(
                    "{tenant} had {within} requests run within {window} s, where {most} are allowed"
                ),
            });
        }
    }
    None
}

/// Work that began where nothing new was to begin.
fn not_empty(emptied: &Emptied, runs: &[Run]) -> Vec<Violation> {
    let is_there = |run: &&Run| match &emptied.place {
        Place::Zone(zone) => run.zone == *zone,
        Place::Target(target) => run.target == *target,
    };
    let during = |run: &&Run| (emptied.from_us..emptied.until_us).contains(&run.at_us);
    let there = runs.iter().filter(is_there).filter(during);
    let violation = |run: &Run| Violation {
        promise: Promise::Emptied,
        at_us: run.at_us,
        detail: format!("{} began at {} in {}", run.id, run.target, run.zone),
    };
    there.map(violation).collect()
}
