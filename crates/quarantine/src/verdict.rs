//! Verdicts on requests, which all nodes converge to.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::{Callers, Fingerprint};

/// The decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Standing {
    /// The request isn't run.
    Refused,
    /// The request may run again: it completed successfully, or an operator released it.
    Released,
}

/// A verdict as sent between nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Increases with each change; the verdict with the highest revision wins.
    pub revision: u32,
    /// The decision.
    pub standing: Standing,
    /// Number of target terminations that the decision is based on.
    pub ends: u8,
    /// Time since the first of these terminations, in milliseconds.
    pub first_end_ms_ago: u64,
    /// Time until the verdict expires, in milliseconds.
    pub left_ms: u64,
    /// Callers whose requests aren't refused, because they have been served.
    #[serde(default, skip_serializing_if = "Callers::is_empty")]
    pub served: Callers,
}

/// A verdict as stored on a node, with times on its own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LocalVerdict {
    pub revision: u32,
    pub standing: Standing,
    pub ends: u8,
    pub first_end_at: Duration,
    pub until: Duration,
    pub served: Callers,
}

impl LocalVerdict {
    /// Converts a verdict received at `now`.
    pub fn from_wire(now: Duration, told: &Verdict) -> Self {
        Self {
            revision: told.revision,
            standing: told.standing,
            ends: told.ends,
            first_end_at: now.saturating_sub(Duration::from_millis(told.first_end_ms_ago)),
            until: now + Duration::from_millis(told.left_ms),
            served: told.served,
        }
    }

    /// Converts the verdict for sending at `now`.
    pub fn told(&self, now: Duration, fingerprint: Fingerprint) -> Verdict {
        Verdict {
            fingerprint,
            revision: self.revision,
            standing: self.standing,
            ends: self.ends,
            first_end_ms_ago: whole_millis(now.saturating_sub(self.first_end_at)),
            left_ms: whole_millis(self.until.saturating_sub(now)),
            served: self.served,
        }
    }

    /// Returns whether this verdict replaces another one on the same request.
    pub fn outranks(&self, other: &Self) -> bool {
        (self.revision, self.standing) > (other.revision, other.standing)
    }

    /// Returns whether this is the same decision as another one, apart from the callers that are served.
    pub fn ranks_like(&self, other: &Self) -> bool {
        (self.revision, self.standing) == (other.revision, other.standing)
    }

    /// Returns the contribution of this verdict to the digest of all verdicts.
    pub fn digest(&self, fingerprint: Fingerprint) -> u64 {
        let mut bytes = [0; 13];
        bytes[..8].copy_from_slice(&fingerprint.0.to_le_bytes());
        bytes[8..12].copy_from_slice(&self.revision.to_le_bytes());
        bytes[12] = u8::from(self.standing == Standing::Released);
        let mut hash = Xxh3::new();
        hash.update(&bytes);
        for caller in self.served.iter() {
            hash.update(&caller.0.to_le_bytes());
        }
        hash.digest()
    }
}

/// Returns a duration in whole milliseconds, capped at `u64::MAX`.
pub(crate) fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
