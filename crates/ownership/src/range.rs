//! Ranges of keys.

use serde::{Deserialize, Serialize};

/// A range of keys with both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyRange {
    /// First key.
    pub from: u16,
    /// Last key.
    pub to: u16,
}

impl KeyRange {
    /// All keys.
    pub const ALL: Self = Self {
        from: 0,
        to: u16::MAX,
    };

    /// Number of keys.
    pub fn count(self) -> u32 {
        u32::from(self.to) - u32::from(self.from) + 1
    }

    /// Whether the range contains the key.
    pub fn contains(self, key: u16) -> bool {
        self.from <= key && key <= self.to
    }

    /// Whether the ranges have a key in common.
    pub fn overlaps(self, other: Self) -> bool {
        self.from <= other.to && other.from <= self.to
    }

    /// The keys that are in both ranges; `None` if there are none.
    pub fn intersection(self, other: Self) -> Option<Self> {
        self.overlaps(other).then(|| Self {
            from: self.from.max(other.from),
            to: self.to.min(other.to),
        })
    }

    /// The keys of this range that aren't in the other: no, one or two ranges.
    pub fn without(self, other: Self) -> Vec<Self> {
        if !self.overlaps(other) {
            return vec![self];
        }
        let mut parts = Vec::new();
        if self.from < other.from {
            parts.push(Self {
                from: self.from,
                to: other.from - 1,
            });
        }
        if self.to > other.to {
            parts.push(Self {
                from: other.to + 1,
                to: self.to,
            });
        }
        parts
    }
}
