//! Time limits of a request: when it is given up, and how long it may wait for a node to run it.

use std::time::Duration;

use tokio::time::Instant;
use wingspar_routes::{Repeatability, Route};

use crate::deadline::Deadline;

/// Share of the objective for which a request waits for a node that can run it and tries one full target after another.
/// A caller that is refused then still has most of its objective left for a retry.
const WAIT_SHARE: f64 = 0.12;
/// A caller whose deadline is within this many objectives has no time to retry.
const URGENT_OBJECTIVES: f64 = 3.2;
/// A caller has no time to retry if its deadline is within this many objectives and the route's timeout leaves it only
/// one attempt.
const ONE_ATTEMPT_OBJECTIVES: f64 = 4.0;
/// Share of its timeout for which the request of a caller without time to retry may wait for its start.
const URGENT_WAIT_SHARE: f64 = 0.55;
/// The final answer is sent this much before the deadline, so that it arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(5);
/// Share of the objective after which a large answer should have begun to leave its machine.
const TRANSFER_SHARE: f64 = 0.3;
/// Fixed part of the time that a request waits at a full target while it could still be sent to another one;
/// [`SHORT_WAIT_SHARE`] of the objective is added.
const SHORT_WAIT_BASE: Duration = Duration::from_millis(8);
/// Share of the objective that is added to [`SHORT_WAIT_BASE`].
const SHORT_WAIT_SHARE: f64 = 0.06;

/// The time limits of a request.
#[derive(Debug, Clone, Copy)]
pub struct Times {
    /// The request is given up at this time.
    pub deadline: Deadline,
    /// Arrival plus objective, less the time that its caller had waited before.
    pub due: Instant,
    /// Latency objective of the route, or the caller's timeout if the route has none.
    pub objective: Duration,
    /// Until when the request waits for a node that can run it; after that it is refused if there is none.
    pub wait_until: Instant,
    /// When the answer to a download should have begun to leave the target's machine; `None` for other routes.
    pub transfer: Option<Instant>,
}

/// Computes the time limits of a request that came in at `arrived`, whose caller waits for `caller_timeout` and had
/// waited for `age` in earlier attempts.
pub fn times(route: &Route, caller_timeout: Duration, age: Duration, arrived: Instant) -> Times {
    let held = route
        .timeout
        .map_or(caller_timeout, |timeout| timeout.min(caller_timeout));
    let objective = route.objective.unwrap_or(caller_timeout);
    let longest_wait = if has_no_time_to_retry(route, caller_timeout, objective) {
        caller_timeout.mul_f64(URGENT_WAIT_SHARE)
    } else {
        objective.mul_f64(WAIT_SHARE)
    };
    let deadline = arrived + held.saturating_sub(ANSWER_MARGIN);
    Times {
        deadline: Deadline::at(deadline),
        due: (arrived + objective).checked_sub(age).unwrap_or(arrived),
        objective,
        wait_until: deadline.min(arrived + longest_wait),
        transfer: transfer_time(route, deadline, arrived),
    }
}

/// Whether a caller that is refused has no time to retry: its deadline is near, or the route's timeout is as long as
/// the caller waits in all.
fn has_no_time_to_retry(route: &Route, caller_timeout: Duration, objective: Duration) -> bool {
    let one_attempt = route
        .timeout
        .is_some_and(|timeout| timeout >= caller_timeout);
    let objectives = if one_attempt {
        ONE_ATTEMPT_OBJECTIVES
    } else {
        URGENT_OBJECTIVES
    };
    caller_timeout <= objective.mul_f64(objectives)
}

/// When the answer to a download should have begun to leave its machine; `None` for other routes.
fn transfer_time(route: &Route, deadline: Instant, arrived: Instant) -> Option<Instant> {
    let left = deadline.saturating_duration_since(arrived);
    let objective = route.objective.unwrap_or(left);
    let share = objective.min(left).mul_f64(TRANSFER_SHARE);
    (route.repeatability == Repeatability::Download).then(|| arrived + share)
}

/// Until when a request may wait at a full target while other targets could run it too.
pub fn short_wait_until(route: &Route, wait_until: Instant) -> Instant {
    let objective = route.objective.unwrap_or_default();
    let short_wait = SHORT_WAIT_BASE + objective.mul_f64(SHORT_WAIT_SHARE);
    wait_until.min(Instant::now() + short_wait)
}
