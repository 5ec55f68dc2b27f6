//! When this process saw versions of the state and of the configuration, by its own clock.

use std::collections::VecDeque;

use std::time::Duration;

use wingspar_wire::StateVersion;
use wingspar_world::{ConfigVersion, MonotonicTime};

/// Most observations kept of each kind.
const MOST_OBSERVATIONS: usize = 4_096;

/// Versions with the time at which they were first seen, both rising.
#[derive(Debug, Clone)]
pub(crate) struct VersionTimes<V> {
    seen: VecDeque<(V, MonotonicTime)>,
}

impl<V> Default for VersionTimes<V> {
    fn default() -> Self {
        Self {
            seen: VecDeque::new(),
        }
    }
}

impl<V: Copy + Ord> VersionTimes<V> {
    /// Notes that a version is in force now.
    pub(crate) fn see(&mut self, now: MonotonicTime, version: V) {
        if self.seen.back().is_some_and(|(last, _)| *last >= version) {
            return;
        }
        if self.seen.len() >= MOST_OBSERVATIONS {
            self.thin_out();
        }
        self.seen.push_back((version, now));
    }

    /// When a version was first seen. One that came between two observations counts as seen at the
    /// later, so ages are never overstated.
    pub(crate) fn seen_at(&self, version: V) -> Option<MonotonicTime> {
        let at = self.seen.partition_point(|(seen, _)| *seen < version);
        self.seen.get(at).map(|(_, time)| *time)
    }

    /// The newest version seen at or before a time.
    pub(crate) fn newest_at(&self, time: MonotonicTime) -> Option<V> {
        let after = self.seen.partition_point(|(_, seen)| *seen <= time);
        let newest = after.checked_sub(1)?;
        self.seen.get(newest).map(|(version, _)| *version)
    }

    /// Drops every other observation of the older half.
    fn thin_out(&mut self) {
        let half = self.seen.len() / 2;
        let mut position = 0;
        self.seen.retain(|_| {
            position += 1;
            position > half || position % 2 == 0
        });
    }
}

/// What this process saw and when.
#[derive(Debug, Default)]
pub(crate) struct Observed {
    pub(crate) state: VersionTimes<StateVersion>,
    pub(crate) configuration: VersionTimes<ConfigVersion>,
}

impl Observed {
    /// Age of a version of the state, as far as known here.
    pub(crate) fn age(&self, now: MonotonicTime, version: StateVersion) -> Duration {
        let seen = self.state.seen_at(version);
        seen.map_or(Duration::ZERO, |seen| now.since(seen))
    }
}
