//! Keys, their hashes, and slices of the hash ring.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Name of the hash that places keys on the ring; a different hash is a different service layout.
pub const HASH_VERSION: &str = "xxh3-64/1";

/// Place of a key on the 64-bit ring.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyHash(pub u64);

impl KeyHash {
    /// Hashes a key with [`HASH_VERSION`].
    pub fn of(key: &[u8]) -> Self {
        Self(xxh3_64(key))
    }

    /// Reads the 16-digit hexadecimal form written by `Display`.
    pub fn parse(text: &str) -> Option<Self> {
        (text.len() == 16)
            .then(|| u64::from_str_radix(text, 16).ok())
            .flatten()
            .map(Self)
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// A slice's range of the ring, both ends included.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SliceRange {
    /// First hash of the slice.
    pub first: KeyHash,
    /// Last hash of the slice; never below `first`.
    pub last: KeyHash,
}

impl SliceRange {
    /// The whole ring.
    pub const FULL: Self = Self {
        first: KeyHash(0),
        last: KeyHash(u64::MAX),
    };

    /// Builds a range; `None` when the ends are the wrong way round.
    pub fn new(first: KeyHash, last: KeyHash) -> Option<Self> {
        (first <= last).then_some(Self { first, last })
    }

    /// The range that holds one key only.
    pub const fn single(key: KeyHash) -> Self {
        Self {
            first: key,
            last: key,
        }
    }

    /// Whether the key lies in the range.
    pub fn contains(&self, key: KeyHash) -> bool {
        self.first <= key && key <= self.last
    }

    /// Whether the ranges share a key.
    pub fn overlaps(&self, other: &Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Whether `other` lies wholly inside.
    pub fn covers(&self, other: &Self) -> bool {
        self.first <= other.first && other.last <= self.last
    }

    /// Keys in the range minus one (the full ring has 2^64 keys, one more than fits).
    pub fn span(&self) -> u64 {
        self.last.0 - self.first.0
    }

    /// Cuts the ring into `count` ranges of nearly equal width. `count` must not be zero.
    pub fn partition(count: u32) -> Vec<Self> {
        assert!(count > 0, "a ring is cut into at least one range");
        let cut = |position: u32| (u128::from(position) << 64) / u128::from(count);
        (0..count)
            .map(|position| Self {
                first: KeyHash(cut(position) as u64),
                last: KeyHash((cut(position + 1) - 1) as u64),
            })
            .collect()
    }
}

impl fmt::Display for SliceRange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.first, self.last)
    }
}

impl fmt::Debug for SliceRange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}
