//! Processor time of the calling thread.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Reads that the cost of one reading is averaged over.
const CALIBRATION_READS: u32 = 20_000;

/// Processor time that this thread has used.
pub(crate) fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanoseconds)
}

/// Measures calls, without the cost of reading the clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CpuMeter {
    read_cost: Duration,
}

impl CpuMeter {
    /// Finds out what reading the clock costs.
    pub(crate) fn calibrated() -> Self {
        let start = thread_time();
        for _ in 0..CALIBRATION_READS {
            std::hint::black_box(thread_time());
        }
        let read_cost = (thread_time() - start) / CALIBRATION_READS;
        Self { read_cost }
    }

    /// Runs a call and tells its result and processor time.
    pub(crate) fn measure<T>(&self, call: impl FnOnce() -> T) -> (T, Duration) {
        let start = thread_time();
        let result = call();
        let used = thread_time().saturating_sub(start);
        (result, used.saturating_sub(self.read_cost))
    }
}
