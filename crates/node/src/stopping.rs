//! The phases of a planned stop: callers, then back ends, then the control group.

use std::time::Duration;

use wingspar_world::MonotonicTime;

/// Longest time that the control candidate may take to pass its membership on.
const CONTROL_LIMIT: Duration = Duration::from_secs(12);

/// How far a node is on its way out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Not asked to stop.
    Running,
    /// The agent gives its slices up and lets work in flight end.
    Draining {
        /// When to go on without it.
        until: MonotonicTime,
    },
    /// The control candidate passes leadership and membership on.
    LeavingGroup {
        /// When to go on without it.
        until: MonotonicTime,
    },
    /// Nothing is left to do.
    Stopped,
}

impl Phase {
    /// The agent is to drain for at most `limit`.
    pub(crate) fn draining(now: MonotonicTime, limit: Duration) -> Self {
        Self::Draining { until: now + limit }
    }

    /// The control candidate is to leave.
    pub(crate) fn leaving_group(now: MonotonicTime) -> Self {
        Self::LeavingGroup {
            until: now + CONTROL_LIMIT,
        }
    }

    /// When the phase ends at the latest.
    pub(crate) fn limit(self) -> MonotonicTime {
        match self {
            Self::Draining { until } | Self::LeavingGroup { until } => until,
            Self::Running | Self::Stopped => MonotonicTime::MAX,
        }
    }
}
