//! Counters of the agent's HTTP front.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts since the process began.
#[derive(Debug, Default)]
pub struct FrontCounters {
    pub(super) malformed: AtomicU64,
    pub(super) unforwardable: AtomicU64,
    pub(super) no_connection: AtomicU64,
    pub(super) connection_lost: AtomicU64,
    pub(super) deadline_lapsed: AtomicU64,
    pub(super) lease_lost: AtomicU64,
    pub(super) refused_by_back_end: AtomicU64,
    pub(super) answers_cut: AtomicU64,
    pub(super) wrong_answers: AtomicU64,
}

pub(super) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl FrontCounters {
    /// Names and values, in a fixed order.
    pub fn entries(&self) -> impl Iterator<Item = (&'static str, u64)> + use<> {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        [
            ("malformed", read(&self.malformed)),
            ("unforwardable", read(&self.unforwardable)),
            ("no_connection", read(&self.no_connection)),
            ("connection_lost", read(&self.connection_lost)),
            ("deadline_lapsed", read(&self.deadline_lapsed)),
            ("lease_lost", read(&self.lease_lost)),
            ("refused_by_back_end", read(&self.refused_by_back_end)),
            ("answers_cut", read(&self.answers_cut)),
            ("wrong_answers", read(&self.wrong_answers)),
        ]
        .into_iter()
    }
}
