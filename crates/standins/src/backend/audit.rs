//! Checks journals of several back ends for double ownership and double runs.

use std::collections::BTreeMap;
use std::time::Duration;

use wingspar_world::Fence;

use super::journal::{JournalEntry, JournalOutcome};

/// A broken promise that journals prove.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// Two servers worked on one key at the same time, and both had an effect.
    Overlap {
        /// The entry that started first.
        first: Box<JournalEntry>,
        /// The entry that started before the first was finished.
        second: Box<JournalEntry>,
    },
    /// Two servers had an effect on one key under the same fence.
    SharedFence {
        /// One server's entry.
        first: Box<JournalEntry>,
        /// The other server's entry.
        second: Box<JournalEntry>,
    },
    /// An effect under a lower fence came after one under a higher fence.
    FenceWentBack {
        /// The effect under the higher fence.
        first: Box<JournalEntry>,
        /// The later effect under the lower fence.
        second: Box<JournalEntry>,
    },
    /// Work with one idempotency key had its effect more than once.
    RanTwice {
        /// The first effect.
        first: Box<JournalEntry>,
        /// The second effect.
        second: Box<JournalEntry>,
    },
}

/// Finds every violation between neighbouring effects. Clocks of different servers may differ by up
/// to `clock_tolerance`, so an overlap or disorder that is not longer than that doesn't count.
#[must_use]
pub fn audit(entries: &[JournalEntry], clock_tolerance: Duration) -> Vec<Violation> {
    let tolerance_us = u64::try_from(clock_tolerance.as_micros()).unwrap_or(u64::MAX);
    let effects = entries
        .iter()
        .filter(|entry| entry.outcome == JournalOutcome::Completed);
    let mut by_key: BTreeMap<(&str, &str), Vec<&JournalEntry>> = BTreeMap::new();
    let mut by_idempotency: BTreeMap<(&str, &str), Vec<&JournalEntry>> = BTreeMap::new();
    for effect in effects {
        if let Some(key) = &effect.key_hash {
            by_key
                .entry((&effect.service, key))
                .or_default()
                .push(effect);
        }
        if let Some(id) = &effect.idempotency_key {
            by_idempotency
                .entry((&effect.service, id))
                .or_default()
                .push(effect);
        }
    }
    let mut violations = Vec::new();
    for effects in by_key.into_values() {
        check_key(effects, tolerance_us, &mut violations);
    }
    for effects in by_idempotency.into_values() {
        check_idempotency(effects, &mut violations);
    }
    violations
}

fn check_key(mut effects: Vec<&JournalEntry>, tolerance_us: u64, violations: &mut Vec<Violation>) {
    check_overlaps(&mut effects, tolerance_us, violations);
    check_fences(&mut effects, tolerance_us, violations);
    check_shared_fences(&effects, violations);
}

/// Compares each effect with the one before it that reaches furthest.
fn check_overlaps(
    effects: &mut [&JournalEntry],
    tolerance_us: u64,
    violations: &mut Vec<Violation>,
) {
    effects.sort_by_key(|effect| effect.started_us);
    let mut furthest: BTreeMap<&str, &JournalEntry> = BTreeMap::new();
    for effect in effects.iter() {
        for (server, before) in &furthest {
            let end = finished(before);
            if *server != effect.server && effect.started_us.saturating_add(tolerance_us) < end {
                let (first, second) = pair(before, effect);
                violations.push(Violation::Overlap { first, second });
            }
        }
        let mine = furthest.entry(&effect.server).or_insert(effect);
        if finished(mine) < finished(effect) {
            *mine = effect;
        }
    }
}

/// Compares each effect with the one before it that has the highest fence.
fn check_fences(effects: &mut [&JournalEntry], tolerance_us: u64, violations: &mut Vec<Violation>) {
    effects.sort_by_key(|effect| finished(effect));
    let mut highest: Option<&JournalEntry> = None;
    for effect in effects.iter() {
        if let Some(before) = highest {
            let later = finished(effect) > finished(before).saturating_add(tolerance_us);
            let same_server = effect.server == before.server;
            if fence(effect) < fence(before) && (later || same_server) {
                let (first, second) = pair(before, effect);
                violations.push(Violation::FenceWentBack { first, second });
            }
        }
        if highest.is_none_or(|before| fence(before) < fence(effect)) {
            highest = Some(effect);
        }
    }
}

fn check_shared_fences(effects: &[&JournalEntry], violations: &mut Vec<Violation>) {
    let mut owners: BTreeMap<Fence, &JournalEntry> = BTreeMap::new();
    for effect in effects {
        let owner = owners.entry(fence(effect)).or_insert(effect);
        if owner.server != effect.server {
            let (first, second) = pair(owner, effect);
            violations.push(Violation::SharedFence { first, second });
        }
    }
}

fn check_idempotency(mut effects: Vec<&JournalEntry>, violations: &mut Vec<Violation>) {
    effects.sort_by_key(|effect| finished(effect));
    for neighbours in effects.windows(2) {
        let (first, second) = pair(neighbours[0], neighbours[1]);
        violations.push(Violation::RanTwice { first, second });
    }
}

fn finished(entry: &JournalEntry) -> u64 {
    entry.finished_us.unwrap_or(u64::MAX)
}

fn fence(entry: &JournalEntry) -> Fence {
    entry
        .fence
        .as_deref()
        .and_then(Fence::parse)
        .unwrap_or_default()
}

fn pair(first: &JournalEntry, second: &JournalEntry) -> (Box<JournalEntry>, Box<JournalEntry>) {
    (Box::new(first.clone()), Box::new(second.clone()))
}
