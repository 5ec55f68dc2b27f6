//! How long keys are unserved, and why.

use std::collections::BTreeMap;
use std::time::Duration;

use wingspar_world::{KeyHash, MonotonicTime};

use super::Violation;

/// Why keys may be unserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LossKind {
    /// Nothing was lost: a planned hand-over.
    HandOver,
    /// The machine of an owner was lost.
    Owner,
    /// The control leader was lost.
    Leader,
    /// The leader and an owner were lost together.
    LeaderAndOwner,
    /// A whole zone was lost.
    Zone,
    /// Any other fault or mix of faults.
    Mixed,
}

/// One closed interval in which a key was unserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gap {
    /// The key.
    pub key: KeyHash,
    /// When it began.
    pub from: MonotonicTime,
    /// How long it lasted.
    pub length: Duration,
    /// Why.
    pub cause: LossKind,
}

/// Unserved intervals of the watched keys.
#[derive(Debug, Clone)]
pub struct Availability {
    open: BTreeMap<KeyHash, MonotonicTime>,
    ever_served: BTreeMap<KeyHash, bool>,
    cause: LossKind,
    bound: Option<Duration>,
    gaps: Vec<Gap>,
}

impl Default for Availability {
    fn default() -> Self {
        Self {
            open: BTreeMap::new(),
            ever_served: BTreeMap::new(),
            cause: LossKind::HandOver,
            bound: None,
            gaps: Vec::new(),
        }
    }
}

impl Availability {
    /// Sets why keys are unserved from now on, and the bound that then holds.
    pub fn set_cause(&mut self, cause: LossKind, bound: Option<Duration>) {
        self.cause = cause;
        self.bound = bound;
    }

    /// Takes in whether a key can be served now.
    ///
    /// # Errors
    /// When it has been unserved for longer than the bound.
    pub fn sample(
        &mut self,
        now: MonotonicTime,
        key: KeyHash,
        is_served: bool,
    ) -> Result<(), Violation> {
        if is_served {
            self.ever_served.insert(key, true);
            self.close(now, key);
            return Ok(());
        }
        if !self.ever_served.contains_key(&key) {
            return Ok(());
        }
        let from = *self.open.entry(key).or_insert(now);
        self.check_bound(key, now.since(from))
    }

    /// Keys that have been unserved for at least some time, or were never served.
    pub fn unserved<'a>(
        &'a self,
        now: MonotonicTime,
        keys: &'a [KeyHash],
        at_least: Duration,
    ) -> impl Iterator<Item = KeyHash> + 'a {
        let is_unserved = move |key: &&KeyHash| {
            let since = self.open.get(*key);
            let is_open = since.is_some_and(|since| now.since(*since) >= at_least);
            is_open || !self.ever_served.contains_key(*key)
        };
        keys.iter().filter(is_unserved).copied()
    }

    /// The closed intervals.
    pub fn gaps(&self) -> &[Gap] {
        &self.gaps
    }

    fn close(&mut self, now: MonotonicTime, key: KeyHash) {
        if let Some(from) = self.open.remove(&key) {
            self.gaps.push(Gap {
                key,
                from,
                length: now.since(from),
                cause: self.cause,
            });
        }
    }

    fn check_bound(&self, key: KeyHash, unserved: Duration) -> Result<(), Violation> {
        match self.bound {
            Some(bound) if unserved > bound => Err(Violation::Unserved {
                key,
                unserved_ms: millis(unserved),
                bound_ms: millis(bound),
            }),
            _ => Ok(()),
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
