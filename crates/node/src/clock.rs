//! The clock of a process.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use wingspar_dataplane::clock::Clock;
use wingspar_world::MonotonicTime;

const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;
const SECONDS_PER_MINUTE: u64 = 60;
const MINUTES_PER_DAY: u64 = 24 * 60;

/// A monotonic clock that runs on while the machine is suspended: a lease must not outlive a
/// suspend that its holder slept through.
pub fn boot_clock() -> Clock {
    Arc::new(|| {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
        MonotonicTime::from_micros(seconds * MICROS_PER_SECOND + nanos / NANOS_PER_MICRO)
    })
}

/// Minute of the day (UTC), 0 to 1439, for quiet windows.
pub(crate) fn minute_of_day() -> u16 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let seconds = since_epoch.map_or(0, |elapsed| elapsed.as_secs());
    let minute = seconds / SECONDS_PER_MINUTE % MINUTES_PER_DAY;
    u16::try_from(minute).expect("a day has fewer minutes than 2^16")
}
