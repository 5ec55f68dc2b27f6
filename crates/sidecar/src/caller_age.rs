//! Estimates how long a caller has already waited, from its remaining time.
//!
//! The callers of a route usually all allow the same time for a response. A caller that retries after a rejection, or
//! whose own caller has waited, passes on what is left of it. A request that has waited is due earlier: if it were
//! served as if it had just arrived, it would take the place of one that can still be answered in time, and would be
//! late nevertheless. A caller that chooses a shorter time is mistaken for one that has waited; this costs it a place
//! behind the others while a target is overloaded, and nothing otherwise.

use std::collections::HashMap;
use std::time::Duration;

use http::HeaderMap;
use wingspar_platform::headers;

/// Timeout of a client that names no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// Upper bound for the timeout that a caller may name. No connection stays open longer, and clocks can't represent
/// every time that a header can express.
const MAX_TIMEOUT: Duration = Duration::from_secs(3_600);
/// How much a request with the usual timeout adds to that timeout's score (`standing`); every other request
/// subtracts 1. A timeout thus stays the usual one while more than a quarter of the requests have it: even if each
/// caller is rejected twice, a third of the requests are first attempts.
const MATCH_SCORE: u32 = 3;
/// Maximum score of a timeout, so that a new one replaces it within a few hundred requests when callers change
/// theirs.
const MAX_STANDING: u32 = 300;
/// Minimum score for a timeout to count as the usual one: ten requests in a row.
const MIN_STANDING: u32 = 30;
/// Maximum number of routes for which a timeout is kept. One node never has more in use at once, and the map must not
/// grow with every route that any configuration has named.
const MAX_ROUTES: usize = 4_096;

/// The time that a caller allows for the response.
pub fn requested_timeout(headers: &HeaderMap) -> Duration {
    headers
        .get(headers::DEADLINE_MS)
        .and_then(|value| value.to_str().ok()?.trim().parse::<f64>().ok())
        .and_then(|millis| Duration::try_from_secs_f64(millis / 1000.0).ok())
        .map_or(DEFAULT_DEADLINE, |timeout| timeout.min(MAX_TIMEOUT))
}

/// The timeout that most callers of a route use, and its score.
#[derive(Debug, Clone, Copy)]
struct UsualTimeout {
    usual_timeout: Duration,
    standing: u32,
}

/// The timeout that most callers use, by route.
#[derive(Debug, Default)]
pub struct CallerAges {
    usual: HashMap<String, UsualTimeout>,
}

impl CallerAges {
    /// Estimates how long a caller with this timeout has waited.
    pub fn age(&mut self, route: &str, timeout: Duration) -> Duration {
        if let Some(usual) = self.usual.get_mut(route) {
            return usual.age(timeout);
        }
        if self.usual.len() >= MAX_ROUTES {
            self.usual.clear();
        }
        let usual = UsualTimeout {
            usual_timeout: timeout,
            standing: MATCH_SCORE,
        };
        self.usual.insert(route.to_owned(), usual);
        Duration::ZERO
    }
}

impl UsualTimeout {
    fn age(&mut self, timeout: Duration) -> Duration {
        if timeout == self.usual_timeout {
            self.standing = (self.standing + MATCH_SCORE).min(MAX_STANDING);
            return Duration::ZERO;
        }
        if self.standing <= 1 {
            *self = Self {
                usual_timeout: timeout,
                standing: MATCH_SCORE,
            };
            return Duration::ZERO;
        }
        self.standing -= 1;
        if self.standing < MIN_STANDING {
            return Duration::ZERO;
        }
        self.usual_timeout.saturating_sub(timeout)
    }
}
