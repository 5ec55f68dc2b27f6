//! The phases of a planned stop, which requests are still sent in them, and the condition under which the process may
//! exit.

use std::time::{Duration, Instant};

use crate::deadline::Deadline;

/// The phases of a planned stop, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// The process serves normally.
    Serving,
    /// The readiness check fails, but requests that still arrive are served. The node's keys are
    /// moved to other nodes.
    Leaving,
    /// Each connection is closed after its next response. Only requests that end before the process does are still sent;
    /// others are refused.
    Closing,
    /// Requests that are still in progress are given up, so that they get a response before the process exits.
    GivingUp,
}

/// The times of a planned stop.
#[derive(Debug, Clone, Copy)]
pub struct StopSchedule {
    /// When [`StopPhase::Closing`] begins.
    pub closing_at: tokio::time::Instant,
    /// When [`StopPhase::GivingUp`] begins.
    pub giving_up_at: Deadline,
}

impl StopSchedule {
    /// Whether requests are given up only after this deadline.
    pub fn ends_after(&self, deadline: Deadline) -> bool {
        deadline.left() <= self.giving_up_at.left()
    }

    /// Whether a request with this deadline may still be sent to a target. Until [`StopPhase::Closing`] begins, every
    /// request may: the rest of the grace period is left for it. After that, a request that may take longer than the
    /// process lives would be cut off while it runs.
    pub fn may_send(&self, phase: StopPhase, deadline: Deadline) -> bool {
        phase < StopPhase::Closing || self.ends_after(deadline)
    }

    /// Until when a request with this deadline may wait for a slot at another node, which starts it without asking
    /// again; at most until `wait_until`.
    pub fn limit_wait(
        &self,
        deadline: Deadline,
        wait_until: tokio::time::Instant,
    ) -> tokio::time::Instant {
        if self.ends_after(deadline) {
            wait_until
        } else {
            wait_until.min(self.closing_at)
        }
    }
}

/// Maximum time that the process waits for open connections to close after the last response has
/// ended and their peers have stopped sending, so that the bytes already written to them can be sent.
pub const FLUSH_TIME: Duration = Duration::from_millis(600);

/// The work that a stopping process still has to finish.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RemainingWork {
    /// Number of requests in progress, both those received here and those running at the target.
    pub requests: usize,
    /// Whether the target still holds keys.
    pub holds_keys: bool,
    /// Number of connections of which a part of a response is still to be written.
    pub blocked_writes: usize,
    /// Number of incoming connections that are in use, or whose last response may still be on its way.
    pub connections: usize,
    /// Total number of bytes that were discarded from connections that are being closed.
    pub discarded_bytes: u64,
    /// Whether the store still contains the node's registration.
    pub registered: bool,
}

/// How long each kind of work kept a stopping process from exiting, for the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkDurations {
    /// Until when requests were in progress.
    pub requests: Duration,
    /// Until when the target held keys.
    pub keys: Duration,
    /// Until when connections were open on which a response was still to be written or on its way.
    pub connections: Duration,
    /// Until when the store contained the node's registration.
    pub registration: Duration,
}

impl WorkDurations {
    /// Records the work that remains at a time after the stop signal.
    pub fn observe(&mut self, since_signal: Duration, remaining: RemainingWork) {
        let has_connections = remaining.connections > 0 || remaining.blocked_writes > 0;
        for (remains, duration) in [
            (remaining.requests > 0, &mut self.requests),
            (remaining.holds_keys, &mut self.keys),
            (has_connections, &mut self.connections),
            (remaining.registered, &mut self.registration),
        ] {
            if remains {
                *duration = since_signal;
            }
        }
    }
}

/// Decides when a process in [`StopPhase::Closing`] may exit.
///
/// While connections are in use, the rest of a request may still arrive on one of them, and the last
/// bytes of a response may still be on their way. Connections that are idle don't delay the exit: a
/// request that crosses it hasn't been read.
#[derive(Debug, Default)]
pub struct ExitCondition {
    /// Since when nothing but open connections has been left; `None` while other work remains.
    idle_since: Option<Instant>,
    /// Number of bytes that had been discarded at the last check.
    discarded_bytes: u64,
}

impl ExitCondition {
    /// Whether the process may exit now.
    pub fn is_met(&mut self, now: Instant, remaining: RemainingWork) -> bool {
        // Bytes that arrive once the process has exited reset their connection.
        let is_receiving = remaining.discarded_bytes != self.discarded_bytes;
        self.discarded_bytes = remaining.discarded_bytes;
        if remaining.requests > 0 || remaining.blocked_writes > 0 || remaining.holds_keys {
            self.idle_since = None;
            return false;
        }
        if is_receiving {
            self.idle_since = None;
        }
        let idle_since = *self.idle_since.get_or_insert(now);
        let is_flushed = now.duration_since(idle_since) >= FLUSH_TIME;
        (remaining.connections == 0 || is_flushed) && !remaining.registered
    }
}
