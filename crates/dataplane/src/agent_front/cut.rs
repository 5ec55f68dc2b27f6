//! Cutting answers that may not go on.

use std::sync::Arc;

use salvo::conn::ConnCtrl;
use tokio::time::Instant;

use super::FrontCounters;
use super::counters::count;
use super::running::Ended;
use super::shared::Signals;

/// Watches an answer that is being streamed: at the deadline, or when the lease lapses, the
/// caller's connection is cut, since a slow reader would otherwise hold the slot for ever.
pub(super) struct Cut {
    pub(super) deadline: Instant,
    pub(super) signals: Arc<Signals>,
    pub(super) ended: Ended,
    pub(super) control: Option<ConnCtrl>,
    pub(super) counters: Arc<FrontCounters>,
}

impl Cut {
    /// Runs until the answer has ended or is cut.
    pub(super) async fn watch(self) {
        let counter = tokio::select! {
            () = self.ended.notified() => return,
            () = tokio::time::sleep_until(self.deadline) => &self.counters.deadline_lapsed,
            () = self.signals.cancelled.notified() => &self.counters.lease_lost,
        };
        count(counter);
        count(&self.counters.answers_cut);
        if let Some(control) = self.control {
            control.abort();
        }
    }
}
