//! Clocks of machines: the simulator's true time seen through an offset and a rate.

use std::time::Duration;

use wingspar_world::MonotonicTime;

/// Parts per million in one.
const MILLION: i128 = 1_000_000;

/// Clock of one machine. It runs on while the machine's process is paused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Clock {
    offset: Duration,
    rate_ppm: i32,
}

impl Clock {
    /// A clock that shows `offset` at the origin of true time and gains `rate_ppm` microseconds
    /// each true second (loses them when negative).
    pub const fn new(offset: Duration, rate_ppm: i32) -> Self {
        Self { offset, rate_ppm }
    }

    /// What the clock shows at a true time.
    pub fn local(&self, at: MonotonicTime) -> MonotonicTime {
        let elapsed = i128::from(at.as_micros()) * self.rate() / MILLION;
        let shown = i128::from(self.offset_micros()) + elapsed;
        MonotonicTime::from_micros(u64::try_from(shown).unwrap_or(u64::MAX))
    }

    /// First true time at which the clock shows `local` or more.
    pub fn true_time(&self, local: MonotonicTime) -> MonotonicTime {
        if local == MonotonicTime::MAX {
            return local;
        }
        let elapsed = i128::from(local.as_micros()) - i128::from(self.offset_micros());
        let scaled = elapsed.max(0) * MILLION;
        let rounded_up = (scaled + self.rate() - 1) / self.rate();
        MonotonicTime::from_micros(u64::try_from(rounded_up).unwrap_or(u64::MAX))
    }

    fn rate(&self) -> i128 {
        MILLION + i128::from(self.rate_ppm)
    }

    fn offset_micros(&self) -> u64 {
        u64::try_from(self.offset.as_micros()).unwrap_or(u64::MAX)
    }
}
