//! What the router counts.

use std::collections::BTreeMap;

use crate::outcome::Outcome;
use crate::reason::Reason;

/// Names of the router's counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Counter {
    /// Requests admitted.
    Requests,
    /// Requests that can't be resolved, by reason.
    Rejected,
    /// Answers of back ends passed on.
    Ran,
    /// Requests given up as *not run*, by reason.
    NotRun,
    /// Requests given up as *unknown*, by reason.
    Unknown,
    /// Callers that went away before their answer.
    Cancelled,
    /// Forwardings after the first, by the reason of the one before.
    Retries,
    /// Retries not made for want of budget.
    RetryBudgetEmpty,
    /// Waits for a change of the table.
    Waits,
    /// Refusals by agents and back ends, by reason.
    Refusals,
    /// Targets ejected for failing.
    Ejections,
    /// Table updates taken in whole.
    TableUpdates,
    /// Table updates that built on a version the router lacks.
    TableGaps,
    /// Pulls of the table.
    Pulls,
}

impl Counter {
    /// Name in the operators' metrics, without prefix.
    pub fn name(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Rejected => "rejected",
            Self::Ran => "ran",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Cancelled => "cancelled",
            Self::Retries => "retries",
            Self::RetryBudgetEmpty => "retry_budget_empty",
            Self::Waits => "waits",
            Self::Refusals => "refusals",
            Self::Ejections => "ejections",
            Self::TableUpdates => "table_updates",
            Self::TableGaps => "table_gaps",
            Self::Pulls => "pulls",
        }
    }
}

/// Counts since start, with a reason where a counter has one.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    plain: BTreeMap<Counter, u64>,
    by_reason: BTreeMap<(Counter, Reason), u64>,
}

/// Different reasons kept; agents' words beyond that count under one name.
const MAX_REASONS: usize = 200;

impl Counters {
    /// All counts: counter, reason if it has one, value.
    pub fn iter(&self) -> impl Iterator<Item = (Counter, Option<&str>, u64)> {
        let plain = self.plain.iter();
        let plain = plain.map(|(counter, &value)| (*counter, None, value));
        let by_reason = self.by_reason.iter();
        let by_reason =
            by_reason.map(|((counter, reason), &value)| (*counter, Some(reason.as_str()), value));
        plain.chain(by_reason)
    }

    /// Sum of a counter over its reasons.
    pub fn get(&self, counter: Counter) -> u64 {
        let same = self.iter().filter(|(one, _, _)| *one == counter);
        same.map(|(_, _, value)| value).sum()
    }

    pub(crate) fn add(&mut self, counter: Counter) {
        *self.plain.entry(counter).or_default() += 1;
    }

    pub(crate) fn add_for(&mut self, counter: Counter, reason: &Reason) {
        let key = (counter, reason.clone());
        if !self.by_reason.contains_key(&key) && self.by_reason.len() >= MAX_REASONS {
            let other = (counter, Reason::fixed("other"));
            *self.by_reason.entry(other).or_default() += 1;
            return;
        }
        *self.by_reason.entry(key).or_default() += 1;
    }

    pub(crate) fn add_outcome(&mut self, outcome: Outcome, reason: &Reason) {
        match outcome {
            Outcome::Ran => self.add(Counter::Ran),
            Outcome::NotRun(_) => self.add_for(Counter::NotRun, reason),
            Outcome::Unknown => self.add_for(Counter::Unknown, reason),
        }
    }
}
