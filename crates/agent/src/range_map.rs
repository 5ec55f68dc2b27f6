//! A map from ranges of the key ring to values, without overlaps.

use std::collections::BTreeMap;

use wingspar_world::{KeyHash, SliceRange};

/// Values by range; inserting over part of an older range trims the older one.
#[derive(Debug, Clone)]
pub(crate) struct RangeMap<T> {
    by_first: BTreeMap<KeyHash, (KeyHash, T)>,
}

impl<T> Default for RangeMap<T> {
    fn default() -> Self {
        Self {
            by_first: BTreeMap::new(),
        }
    }
}

impl<T: Clone> RangeMap<T> {
    /// The value at a key.
    pub(crate) fn get(&self, key: KeyHash) -> Option<&T> {
        let (_, (last, value)) = self.by_first.range(..=key).next_back()?;
        (key <= *last).then_some(value)
    }

    /// Ranges and values that overlap `range`, trimmed to it.
    pub(crate) fn overlapping(&self, range: SliceRange) -> impl Iterator<Item = (SliceRange, &T)> {
        let before = self.by_first.range(..range.first).next_back();
        let within = self.by_first.range(range.first..=range.last);
        before
            .into_iter()
            .chain(within)
            .filter(move |(_, (last, _))| *last >= range.first)
            .map(move |(first, (last, value))| {
                let trimmed = SliceRange {
                    first: (*first).max(range.first),
                    last: (*last).min(range.last),
                };
                (trimmed, value)
            })
    }

    /// Sets a range, overriding what was there.
    pub(crate) fn insert(&mut self, range: SliceRange, value: T) {
        self.remove(range);
        self.by_first.insert(range.first, (range.last, value));
    }

    /// Empties a range, trimming what reaches into it.
    pub(crate) fn remove(&mut self, range: SliceRange) {
        let touched: Vec<KeyHash> = {
            let before = self.by_first.range(..range.first).next_back();
            let within = self.by_first.range(range.first..=range.last);
            before
                .into_iter()
                .chain(within)
                .filter(|(_, (last, _))| *last >= range.first)
                .map(|(first, _)| *first)
                .collect()
        };
        for first in touched {
            let Some((last, value)) = self.by_first.remove(&first) else {
                continue;
            };
            if last > range.last {
                let rest = KeyHash(range.last.0 + 1);
                self.by_first.insert(rest, (last, value.clone()));
            }
            if first < range.first {
                let end = KeyHash(range.first.0 - 1);
                self.by_first.insert(first, (end, value));
            }
        }
    }

    /// Keeps the ranges whose value satisfies a condition.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(&T) -> bool) {
        self.by_first.retain(|_, (_, value)| keep(value));
    }

    /// Values in order of range.
    pub(crate) fn values(&self) -> impl Iterator<Item = &T> {
        self.by_first.values().map(|(_, value)| value)
    }

    /// Whether there is nothing.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_first.is_empty()
    }
}
