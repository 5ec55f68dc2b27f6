//! How many requests may start at a target that withstands only few a second.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Starts are counted over this span. It is longer than the second over which the target counts arrivals by the time
/// for which the process may stand still between a start and the send: what was held up then arrives together with
/// what follows. A tenth of a second, for which a process stands still that has spent its share of the processor,
/// wasn't enough: 28 arrivals in a second where 25 starts in 1.1 s were allowed, seen once in eight runs of half a
/// minute, 1.7 s after a restart on a tenth of a core. It costs a sixth of what a slow target gets.
const WINDOW: Duration = Duration::from_millis(1_300);

/// Starts at a target within the last moment.
#[derive(Debug, Default)]
pub struct StartRate {
    starts: VecDeque<Instant>,
    /// Until when starts of an earlier process of the node may count at the target.
    unknown_until: Option<Instant>,
}

impl StartRate {
    /// The starts of a process that has just begun; `after_another` says that an earlier one may have sent requests
    /// right before.
    pub fn new(now: Instant, after_another: bool) -> Self {
        Self {
            starts: VecDeque::new(),
            unknown_until: after_another.then_some(now + WINDOW),
        }
    }

    /// Starts a second that a limit of so many within the window allows.
    pub fn per_s(most: usize) -> f64 {
        most.max(1) as f64 / WINDOW.as_secs_f64()
    }

    /// A request starts.
    pub fn started(&mut self, now: Instant) {
        self.forget(now);
        self.starts.push_back(now);
    }

    /// When one more request may start behind `ahead` others, if at most `most` may within the window.
    pub fn free_at(&mut self, now: Instant, most: usize, ahead: usize) -> Instant {
        self.forget(now);
        let earliest = self.unknown_until.unwrap_or(now).max(now);
        let most = most.max(1);
        // Each start may come once the one `most` places before it has left the window.
        let mut place = self.starts.len() + ahead;
        let mut windows = 0;
        while place >= self.starts.len() {
            if place < most {
                return earliest + WINDOW * windows;
            }
            place -= most;
            windows += 1;
        }
        (self.starts[place] + WINDOW * windows).max(earliest)
    }

    fn forget(&mut self, now: Instant) {
        while self
            .starts
            .front()
            .is_some_and(|started| now.duration_since(*started) >= WINDOW)
        {
            self.starts.pop_front();
        }
    }
}
