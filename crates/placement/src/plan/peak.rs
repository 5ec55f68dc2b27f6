//! Whether a service is busy enough for its loads to say anything.

use std::time::Duration;

use wingspar_world::MonotonicTime;

/// Time in which the remembered peak falls to a half.
const HALF_LIFE: Duration = Duration::from_secs(12 * 3_600);

/// Part of the peak from which a service counts as busy.
const BUSY_PART: f64 = 0.25;

/// A decaying peak of a service's load.
///
/// The few requests of a night are a poor sample: to balance by them undoes what was learned by day.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Peak {
    load: f64,
    at: MonotonicTime,
}

impl Peak {
    /// Learns the present load; whether the service is busy.
    pub(super) fn is_busy(&mut self, now: MonotonicTime, load: f64) -> bool {
        let half_lives = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let faded = self.load * 0.5_f64.powf(half_lives);
        self.load = faded.max(load);
        self.at = now;
        load >= self.load * BUSY_PART
    }
}
