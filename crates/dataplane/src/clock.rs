//! The process's monotonic clock as a value that can be handed around.

use std::sync::Arc;
use std::time::Duration;

use wingspar_world::MonotonicTime;

/// Reads the monotonic clock that all parts of a process share.
pub type Clock = Arc<dyn Fn() -> MonotonicTime + Send + Sync>;

/// Sleeps are cut at this length, so that "never" does not overflow a timer.
const LONGEST_SLEEP: Duration = Duration::from_secs(3_600);

/// Returns when the clock has reached `at`.
pub async fn sleep_until(clock: &Clock, at: MonotonicTime) {
    loop {
        let remaining = clock().until(at);
        if remaining.is_zero() {
            return;
        }
        tokio::time::sleep(remaining.min(LONGEST_SLEEP)).await;
    }
}
