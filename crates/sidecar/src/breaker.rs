//! A circuit breaker beside the target: one that rejects whatever it is sent gets a trickle until it takes work again.
//!
//! A target that sheds its load answers at once that it hasn't run a request. Its slots look free, so without a breaker it
//! is asked more, not less, and each rejection costs its caller a send. The node beside it knows first: after a few
//! rejections in a row it refuses requests itself and tells routers for how long to leave the target out. One request now
//! and then goes through; the first that the target takes closes the breaker.
//!
//! Decisions only: no clock, no timers.

use std::time::Duration;

use wingspar_ownership::Time;

/// Rejections in a row that open the breaker. A target that rejects one in ten opens it once in a hundred thousand
/// requests; one that rejects half, and still serves half, once in some sixty.
const REJECTIONS_TO_OPEN: u32 = 5;
/// Pause before the first request goes through again: what opening by chance costs.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between two of them: so late at most is it noticed that the target takes work again.
const LONGEST_PAUSE: Duration = Duration::from_millis(200);
/// Longest time for which a router leaves the target out. Each of many routers asks again after that, and all but a few of
/// their requests are refused here; so it is longer than the pause.
const LONGEST_LEFT_OUT: Duration = Duration::from_millis(600);

/// What has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakerChange {
    /// Nothing.
    None,
    /// The target is left out from now on.
    Opened,
    /// It takes work again.
    Closed,
}

/// The breaker of one target.
#[derive(Debug, Default)]
pub struct Breaker {
    rejections_in_a_row: u32,
    open: Option<Open>,
}

/// While the target is left out.
#[derive(Debug, Clone, Copy)]
struct Open {
    pause: Duration,
    next_probe_at: Time,
    /// For how long routers leave the target out.
    left_out: Duration,
}

impl Breaker {
    /// The target has rejected a request since it sheds load.
    pub fn rejected(&mut self, now: Time) -> BreakerChange {
        self.rejections_in_a_row = self.rejections_in_a_row.saturating_add(1);
        if self.open.is_some() || self.rejections_in_a_row < REJECTIONS_TO_OPEN {
            return BreakerChange::None;
        }
        self.open = Some(Open {
            pause: FIRST_PAUSE,
            next_probe_at: now + FIRST_PAUSE,
            left_out: FIRST_PAUSE,
        });
        BreakerChange::Opened
    }

    /// The target has taken a request.
    pub fn took(&mut self) -> BreakerChange {
        self.rejections_in_a_row = 0;
        match self.open.take() {
            Some(_) => BreakerChange::Closed,
            None => BreakerChange::None,
        }
    }

    /// Another life of the target has begun, of which nothing is known.
    pub fn new_life(&mut self) {
        *self = Self::default();
    }

    /// Whether a request that arrives is refused.
    pub fn refuses(&self, now: Time) -> bool {
        self.open.is_some_and(|open| now < open.next_probe_at)
    }

    /// Lets a request that has its slot go to the target, or refuses it. While the target is left out, one that goes
    /// through is the only one for a while.
    pub fn let_through(&mut self, now: Time) -> bool {
        let Some(open) = &mut self.open else {
            return true;
        };
        if now < open.next_probe_at {
            return false;
        }
        open.pause = (open.pause * 2).min(LONGEST_PAUSE);
        open.next_probe_at = now + open.pause;
        open.left_out = (open.left_out * 2).min(LONGEST_LEFT_OUT);
        true
    }

    /// For how long routers should leave the target out.
    pub fn left_out_for(&self) -> Duration {
        self.open.map_or(Duration::ZERO, |open| open.left_out)
    }
}
