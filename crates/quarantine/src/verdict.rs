//! Which requests are refused, as all nodes are to know it.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::Fingerprint;

/// What is decided of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Standing {
    /// It isn't run.
    Refused,
    /// It came to a good end, or an operator let it through.
    Released,
}

/// A decision on a request, as it is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Rises with each change; the higher one holds.
    pub revision: u32,
    /// The decision.
    pub standing: Standing,
    /// Ends of targets that it rests on.
    pub ends: u8,
    /// How long ago the first of them was, in milliseconds.
    pub first_end_ms_ago: u64,
    /// How much longer it holds, in milliseconds.
    pub left_ms: u64,
}

/// A decision on a request, as a node keeps it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Kept {
    pub revision: u32,
    pub standing: Standing,
    pub ends: u8,
    pub first_end_at: Duration,
    pub until: Duration,
}

impl Kept {
    /// A verdict as it was told at `now`.
    pub fn from_told(now: Duration, told: &Verdict) -> Self {
        Self {
            revision: told.revision,
            standing: told.standing,
            ends: told.ends,
            first_end_at: now.saturating_sub(Duration::from_millis(told.first_end_ms_ago)),
            until: now + Duration::from_millis(told.left_ms),
        }
    }

    /// The verdict as it is told at `now`.
    pub fn told(&self, now: Duration, fingerprint: Fingerprint) -> Verdict {
        Verdict {
            fingerprint,
            revision: self.revision,
            standing: self.standing,
            ends: self.ends,
            first_end_ms_ago: whole_millis(now.saturating_sub(self.first_end_at)),
            left_ms: whole_millis(self.until.saturating_sub(now)),
        }
    }

    /// Whether this holds against another on the same request.
    pub fn outranks(&self, other: &Self) -> bool {
        (self.revision, self.standing) > (other.revision, other.standing)
    }

    /// Its part in the digest of all.
    pub fn digest(&self, fingerprint: Fingerprint) -> u64 {
        let mut bytes = [0; 13];
        bytes[..8].copy_from_slice(&fingerprint.0.to_le_bytes());
        bytes[8..12].copy_from_slice(&self.revision.to_le_bytes());
        bytes[12] = u8::from(self.standing == Standing::Released);
        xxh3_64(&bytes)
    }
}

/// Whole milliseconds of a time; the longest that can be told for one that is longer.
pub(crate) fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
