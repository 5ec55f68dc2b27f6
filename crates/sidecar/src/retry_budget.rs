//! Retry budget: limits how often requests are sent to a further target, by service.

use std::collections::HashMap;

use wingspar_ownership::Time;

/// Number of one-second buckets: the window of the budget is at most this many seconds long.
const BUCKETS: usize = 10;
/// Share of the allowed ratio that this node uses, since retries cause retries at other nodes.
const RATIO_SHARE: f64 = 0.5;
/// Share of the fixed allowance that all nodes together use.
const EXTRA_SHARE: f64 = 0.6;

/// Requests and retries of one service over the last seconds.
#[derive(Debug, Default, Clone)]
struct Window {
    /// Requests and retries by second; a second's bucket is its number modulo the number of buckets.
    buckets: [(u32, u32); BUCKETS],
    /// The second of the newest bucket.
    newest: u64,
}

impl Window {
    /// Clears the buckets of the seconds since the newest one.
    fn advance(&mut self, second: u64) {
        if second.saturating_sub(self.newest) >= BUCKETS as u64 {
            self.buckets = Default::default();
            self.newest = second;
        }
        while self.newest < second {
            self.newest += 1;
            self.buckets[self.newest as usize % BUCKETS] = (0, 0);
        }
    }

    fn current(&mut self) -> &mut (u32, u32) {
        &mut self.buckets[self.newest as usize % BUCKETS]
    }

    /// Requests and retries in the window.
    fn sums(&self) -> (f64, f64) {
        self.buckets
            .iter()
            .fold((0.0, 0.0), |(requests, extra), bucket| {
                (requests + f64::from(bucket.0), extra + f64::from(bucket.1))
            })
    }
}

/// Counts requests and retries by service, and limits the retries.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    extra: f64,
    windows: HashMap<String, Window>,
}

impl RetryBudget {
    /// A budget that allows all nodes together `ratio` retries per request, plus `extra` within the window.
    pub fn new(ratio: f64, extra: f64) -> Self {
        Self {
            ratio,
            extra,
            windows: HashMap::new(),
        }
    }

    /// Counts a request for a service.
    pub fn request(&mut self, now: Time, service: &str) {
        self.window(now, service).current().0 += 1;
    }

    /// Whether a retry is allowed; if so, it is counted. `nodes` nodes share the fixed allowance.
    pub fn spend(&mut self, now: Time, service: &str, nodes: usize) -> bool {
        let ratio = self.ratio * RATIO_SHARE;
        let allowance = self.extra * EXTRA_SHARE / nodes.max(1) as f64;
        let window = self.window(now, service);
        let (requests, extra) = window.sums();
        if extra + 1.0 > requests * ratio + allowance {
            return false;
        }
        window.current().1 += 1;
        true
    }

    fn window(&mut self, now: Time, service: &str) -> &mut Window {
        if !self.windows.contains_key(service) {
            self.windows.insert(service.to_owned(), Window::default());
        }
        let window = self.windows.entry(service.to_owned()).or_default();
        window.advance(now.0 / 1000);
        window
    }
}
