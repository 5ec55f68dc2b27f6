//! What speaks against a request: the ends of targets at which it was in flight since its last good end.

use std::time::Duration;

use crate::TargetEnd;

/// Most ends that are kept of a request; the oldest goes first.
const MOST_ENDS: usize = 8;

/// What speaks against a request.
#[derive(Debug, Default)]
pub(crate) struct Suspicion {
    /// Ends since its last good one, and when.
    ends: Vec<(TargetEnd, Duration)>,
    good_at: Option<Duration>,
    /// How often it was refused for sure since its last good end.
    pub refusals: u32,
    /// Revision of the last verdict on it.
    pub revision: u32,
    /// Until when this must be remembered.
    pub keep_until: Duration,
}

impl Suspicion {
    /// It was in flight at an end. Returns whether that is news that speaks against it.
    pub fn add(&mut self, end: TargetEnd, at: Duration) -> bool {
        let known = self.ends.iter().any(|(known, _)| *known == end);
        if known || self.good_at.is_some_and(|good_at| at <= good_at) {
            return false;
        }
        if self.ends.len() == MOST_ENDS {
            self.ends.remove(0);
        }
        self.ends.push((end, at));
        true
    }

    /// It came to a good end: nothing before speaks against it.
    pub fn good_end(&mut self, at: Duration) {
        if self.good_at >= Some(at) {
            return;
        }
        self.good_at = Some(at);
        self.ends.retain(|(_, ended_at)| *ended_at > at);
        self.refusals = 0;
    }

    /// Ends that speak against it.
    pub fn ends(&self) -> usize {
        self.ends.len()
    }

    /// Whether it was in flight at that end.
    pub fn was_at(&self, end: TargetEnd) -> bool {
        self.ends.iter().any(|(known, _)| *known == end)
    }

    /// When the first of them was.
    pub fn first_end_at(&self) -> Option<Duration> {
        self.ends.iter().map(|(_, at)| *at).min()
    }

    /// When the last of them was.
    pub fn last_end_at(&self) -> Option<Duration> {
        self.ends.iter().map(|(_, at)| *at).max()
    }
}
