//! Refusals and the pauses advised with them.

use std::time::Duration;

use crate::{Refusal, RefusalReason};

/// Pause advised when another owner should already be known to routers.
pub(crate) const ROUTE_AGAIN: Duration = Duration::from_millis(50);
/// Pause advised while a session is being established.
pub(crate) const SESSION_WAIT: Duration = Duration::from_millis(500);
/// Pause advised for what only a change of configuration can mend.
pub(crate) const CONFIGURATION_WAIT: Duration = Duration::from_secs(1);
/// Longest pause advised while the memory is full.
pub(crate) const MEMORY_WAIT_LIMIT: Duration = Duration::from_secs(5);

/// A refusal with its advice.
pub(crate) fn refusal(reason: RefusalReason, retry_after: Duration) -> Refusal {
    Refusal {
        reason,
        retry_after,
    }
}
