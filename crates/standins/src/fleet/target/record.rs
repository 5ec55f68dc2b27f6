//! The record of what each life of a target was granted, and how it ended.

use std::time::Instant;

use super::grants::Grant;

/// A change of the keys that a target holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyEvent {
    /// When it happened.
    pub at: Instant,
    /// Number of the target's life, from zero.
    pub life: u32,
    /// What happened.
    pub change: KeyChange,
}

/// What changed the keys that a target holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyChange {
    /// It took a range under a fence, or a renewal of it, until a moment.
    Granted(KeySpan, Instant),
    /// It let go of the keys of a range.
    Released(u64, u64),
    /// A heartbeat of this life was acknowledged for the first time.
    Acknowledged,
    /// The life ended.
    Ended,
}

/// A range of keys under a fence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeySpan {
    /// The first key.
    pub from: u64,
    /// The last key.
    pub to: u64,
    /// The fence.
    pub fence: u64,
}

impl KeySpan {
    /// The part that lies within a range.
    #[must_use]
    pub fn within(&self, from: u64, to: u64) -> Option<Self> {
        let part = Self {
            from: self.from.max(from),
            to: self.to.min(to),
            ..*self
        };
        (part.from <= part.to).then_some(part)
    }

    /// The parts before and behind a range.
    #[must_use]
    pub fn outside(&self, from: u64, to: u64) -> Vec<Self> {
        let before = from.checked_sub(1).and_then(|last| self.within(0, last));
        let behind = self.within(to.saturating_add(1), u64::MAX);
        before.into_iter().chain(behind).collect()
    }
}

/// The events of all lives of a target.
#[derive(Debug, Default)]
pub(super) struct Record {
    events: Vec<KeyEvent>,
    life: u32,
    is_acknowledged: bool,
}

impl Record {
    pub(super) fn events(&self) -> Vec<KeyEvent> {
        self.events.clone()
    }

    pub(super) fn granted(&mut self, grant: &Grant) {
        self.add(KeyChange::Granted(grant.span, grant.until));
    }

    pub(super) fn released(&mut self, from: u64, to: u64) {
        self.add(KeyChange::Released(from, to));
    }

    pub(super) fn acknowledged(&mut self, life: u32) {
        if life == self.life && !self.is_acknowledged {
            self.is_acknowledged = true;
            self.add(KeyChange::Acknowledged);
        }
    }

    pub(super) fn ended(&mut self) {
        self.add(KeyChange::Ended);
        self.life += 1;
        self.is_acknowledged = false;
    }

    fn add(&mut self, change: KeyChange) {
        self.events.push(KeyEvent {
            at: Instant::now(),
            life: self.life,
            change,
        });
    }
}
