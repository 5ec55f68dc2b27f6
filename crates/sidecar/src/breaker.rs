//! Circuit breaker of the node beside a target: a target that rejects every request gets only a probe now and then
//! until it accepts work again.
//!
//! A target that sheds load answers at once that it hasn't run a request. Its slots look free, so without a breaker it
//! is sent more requests, not fewer, and each rejection uses up one of the request's attempts. The node beside the
//! target notices first: after several rejections in a row it refuses requests itself and reports to routers for how
//! long to eject the target. Probes are let through now and then; the first that the target accepts closes the breaker.
//!
//! This module only decides: it reads no clock and sets no timers.

use std::collections::VecDeque;
use std::time::Duration;

use wingspar_ownership::Time;

/// Consecutive sends that open the breaker if all of them are rejected. A target that rejects two in three requests and
/// serves the third should hardly ever open it, since each opening costs what it would have served in the pause.
const REJECTIONS_TO_OPEN: usize = 24;
/// Pause before the first probe: the cost of opening by chance.
const INITIAL_PROBE_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between two probes, and thus until it is noticed that the target accepts work again.
const MAX_PROBE_PAUSE: Duration = Duration::from_millis(200);
/// Longest time for which routers eject the target. Each of many routers sends again after it, and all but a few of
/// their requests are refused here, so it is longer than the pause.
const MAX_EJECTION: Duration = Duration::from_millis(600);

/// Change of the breaker's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakerChange {
    /// No change.
    None,
    /// The breaker has opened: the target is ejected from now on.
    Opened,
    /// The breaker has closed: the target accepts work again.
    Closed,
}

/// Sequence number of a send to the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SendNumber(u64);

/// A send, and whether the target has rejected it. A rejection arrives at once, but an accepted request only shows when
/// it is done, so sends are evaluated in the order in which they went out.
#[derive(Debug, Clone, Copy)]
struct LastSend {
    number: SendNumber,
    is_rejected: bool,
}

/// The breaker of one target.
#[derive(Debug, Default)]
pub struct Breaker {
    /// Number of sends so far, and the number of the next one.
    sends: u64,
    /// The last sends, the newest at the end.
    last: VecDeque<LastSend>,
    /// `None` while the breaker is closed.
    open: Option<Open>,
}

/// State while the breaker is open.
#[derive(Debug, Clone, Copy)]
struct Open {
    /// The first send after the breaker opened.
    first: SendNumber,
    /// Pause between the last two probes.
    pause: Duration,
    next_probe_at: Time,
    /// For how long routers eject the target.
    ejection: Duration,
}

impl Breaker {
    /// Records that the target has rejected a send to shed load.
    pub fn rejected(&mut self, now: Time, number: SendNumber) -> BreakerChange {
        let send = self.last.iter_mut().find(|send| send.number == number);
        if let Some(send) = send {
            send.is_rejected = true;
        }
        let all_rejected =
            self.last.len() == REJECTIONS_TO_OPEN && self.last.iter().all(|send| send.is_rejected);
        if self.open.is_some() || !all_rejected {
            return BreakerChange::None;
        }
        self.open = Some(Open {
            first: SendNumber(self.sends),
            pause: INITIAL_PROBE_PAUSE,
            next_probe_at: now + INITIAL_PROBE_PAUSE,
            ejection: INITIAL_PROBE_PAUSE,
        });
        BreakerChange::Opened
    }

    /// Records that the target has accepted a send. One that went out before the breaker opened doesn't close it, since
    /// it doesn't show that the target still accepts work.
    pub fn accepted(&mut self, number: SendNumber) -> BreakerChange {
        if self.open.is_some_and(|open| number >= open.first) {
            self.open = None;
            self.last.clear();
            return BreakerChange::Closed;
        }
        BreakerChange::None
    }

    /// Resets the breaker, since a new life of the target has begun.
    pub fn new_life(&mut self) {
        self.open = None;
        self.last.clear();
    }

    /// Whether an arriving request is refused at once.
    pub fn refuses(&self, now: Time) -> bool {
        self.open.is_some_and(|open| now < open.next_probe_at)
    }

    /// Numbers a request that has its slot and is to be sent to the target; `None` if it is refused. While the breaker
    /// is open, only a probe may be sent, and the next one after a pause.
    pub fn allow_send(&mut self, now: Time) -> Option<SendNumber> {
        if let Some(open) = &mut self.open {
            if now < open.next_probe_at {
                return None;
            }
            open.pause = (open.pause * 2).min(MAX_PROBE_PAUSE);
            open.next_probe_at = now + open.pause;
            open.ejection = (open.ejection * 2).min(MAX_EJECTION);
        }
        let number = SendNumber(self.sends);
        self.sends += 1;
        if self.last.len() >= REJECTIONS_TO_OPEN {
            self.last.pop_front();
        }
        self.last.push_back(LastSend {
            number,
            is_rejected: false,
        });
        Some(number)
    }

    /// For how long routers should eject the target; zero while the breaker is closed.
    pub fn ejection_time(&self) -> Duration {
        self.open.map_or(Duration::ZERO, |open| open.ejection)
    }
}
