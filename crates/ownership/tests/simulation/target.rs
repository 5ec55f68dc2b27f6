//! A target as the platform describes it, reduced to what it holds.

use wingspar_ownership::{Fence, KeyRange};

use crate::rows::Rows;

/// Keys that are watched, spread evenly.
pub const WATCHED: usize = 32;

/// The watched key of that number.
pub fn key(index: usize) -> u16 {
    u16::try_from(index * 65_536 / WATCHED + 1_000).expect("below 65536")
}

#[derive(Debug, Clone, Copy, Default)]
struct Held {
    seen: Fence,
    fence: Fence,
    until: u64,
}

/// One life of a target.
#[derive(Debug, Clone)]
pub struct Target {
    /// Id of the life.
    pub id: String,
    /// Whether it is up.
    pub up: bool,
    keys: [Held; WATCHED],
    /// What it holds if keys reach it in the answers to its heartbeats.
    pub rows: Rows,
}

impl Target {
    /// A life that holds nothing.
    pub fn new(id: String) -> Self {
        Self {
            id,
            up: true,
            keys: [Held::default(); WATCHED],
            rows: Rows::default(),
        }
    }

    fn indexes(range: KeyRange) -> impl Iterator<Item = usize> {
        (0..WATCHED).filter(move |index| range.contains(key(*index)))
    }

    /// Takes a grant unless a higher fence was seen. Returns the keys that are new to it.
    pub fn grant(
        &mut self,
        now: u64,
        range: KeyRange,
        fence: Fence,
        hold_ms: u64,
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
            *held = Held {
                seen: fence,
                fence,
                // Its clock may run 2% slow.
                until: now + hold_ms * 102 / 100,
            };
        }
        Some(acquired)
    }

    /// Gives keys back. The pages don't say that a release raises the fence that later grants must have, so
    /// it doesn't here.
    pub fn release(&mut self, range: KeyRange) {
        for index in Self::indexes(range) {
            let held = &mut self.keys[index];
            held.until = 0;
        }
    }

    /// Whether it holds a watched key.
    pub fn holds(&self, now: u64, index: usize) -> bool {
        let called = now < self.keys[index].until;
        self.up && (called || self.rows.held(now, index).is_some())
    }

    /// The fence it holds a watched key under.
    pub fn fence(&self, now: u64, index: usize) -> Fence {
        let told = self.rows.held(now, index);
        told.unwrap_or(self.keys[index].fence)
    }
}
