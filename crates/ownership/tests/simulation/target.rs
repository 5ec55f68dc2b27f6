//! Model of a target as specified by the platform, reduced to the keys it holds.

use wingspar_ownership::{Fence, KeyRange};

use crate::rows::Rows;

/// Number of keys that the checker watches; they are evenly spaced.
pub const WATCHED_KEYS: usize = 32;

/// Returns the watched key with this index.
pub fn key(index: usize) -> u16 {
    u16::try_from(index * 65_536 / WATCHED_KEYS + 1_000).expect("below 65536")
}

#[derive(Debug, Clone, Copy, Default)]
struct Held {
    seen: Fence,
    fence: Fence,
    until: u64,
    /// End of the hold by grants that arrived in time.
    until_in_time: u64,
}

/// One incarnation of a target.
#[derive(Debug, Clone)]
pub struct Target {
    /// Id of the incarnation.
    pub id: String,
    /// Whether the target is running.
    pub up: bool,
    keys: [Held; WATCHED_KEYS],
    /// Keys assigned in heartbeat responses.
    pub rows: Rows,
}

impl Target {
    /// Creates an incarnation that holds no keys.
    pub fn new(id: String) -> Self {
        Self {
            id,
            up: true,
            keys: [Held::default(); WATCHED_KEYS],
            rows: Rows::default(),
        }
    }

    fn indexes(range: KeyRange) -> impl Iterator<Item = usize> {
        (0..WATCHED_KEYS).filter(move |index| range.contains(key(*index)))
    }

    /// Accepts a grant unless a higher fence was seen; `is_late` if its caller has given it up.
    /// Returns the newly acquired keys.
    pub fn grant(
        &mut self,
        now: u64,
        range: KeyRange,
        fence: Fence,
        hold_ms: u64,
        is_late: bool,
    ) -> Option<Vec<usize>> {
        if Self::indexes(range).any(|index| self.keys[index].seen > fence) {
            return None;
        }
        let mut acquired = Vec::new();
        for index in Self::indexes(range) {
            let held = &mut self.keys[index];
            if held.until <= now || held.fence != fence {
                acquired.push(index);
            }
            // The target's clock may run 2% slow.
            let until = now + hold_ms * 102 / 100;
            *held = Held {
                seen: fence,
                fence,
                until,
                until_in_time: match is_late {
                    false => until,
                    true if held.fence == fence => held.until_in_time,
                    true => 0,
                },
            };
        }
        Some(acquired)
    }

    /// Releases keys. The platform's specification doesn't state that a release raises the fence
    /// required of later grants, so it doesn't here.
    pub fn release(&mut self, range: KeyRange) {
        for index in Self::indexes(range) {
            let held = &mut self.keys[index];
            held.until = 0;
            held.until_in_time = 0;
        }
    }

    /// Returns whether the target holds a watched key.
    pub fn holds(&self, now: u64, index: usize) -> bool {
        let called = now < self.keys[index].until;
        self.up && (called || self.rows.held(now, index).is_some())
    }

    /// Returns whether the target holds a watched key, apart from grants that arrived after their
    /// caller had given them up.
    pub fn holds_in_time(&self, now: u64, index: usize) -> bool {
        let called = now < self.keys[index].until_in_time;
        self.up && (called || self.rows.held(now, index).is_some())
    }

    /// Returns the fence under which the target holds a watched key.
    pub fn fence(&self, now: u64, index: usize) -> Fence {
        let told = self.rows.held(now, index);
        told.unwrap_or(self.keys[index].fence)
    }
}
