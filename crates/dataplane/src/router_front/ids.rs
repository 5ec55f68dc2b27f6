//! Request ids for callers that send none.

use std::hash::{BuildHasher, Hasher, RandomState};
use std::sync::atomic::{AtomicU64, Ordering};

/// Mints ids: a random number drawn at start and a running one.
#[derive(Debug)]
pub struct RequestIds {
    prefix: u64,
    next: AtomicU64,
}

impl RequestIds {
    /// Draws a new prefix.
    pub fn new() -> Self {
        Self {
            prefix: RandomState::new().build_hasher().finish(),
            next: AtomicU64::new(1),
        }
    }

    /// The next id.
    pub fn mint(&self) -> String {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}-{number:x}", self.prefix)
    }
}

impl Default for RequestIds {
    fn default() -> Self {
        Self::new()
    }
}
