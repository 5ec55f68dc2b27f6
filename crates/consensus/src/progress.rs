//! What a leader knows of one follower.

use std::time::Duration;

use wingspar_world::MonotonicTime;

/// How entries are sent to a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mode {
    /// One message at a time until the place where the logs are equal is found.
    Probe {
        /// Whether an answer is awaited.
        awaiting: bool,
    },
    /// Messages follow each other without waiting.
    Replicate,
    /// A snapshot is on its way.
    Snapshot,
}

/// State of replication to one follower, as of the current term.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    /// Highest index at which the follower's log is known to be equal.
    pub(crate) matched: u64,
    /// Next index to send.
    pub(crate) next: u64,
    /// How to send.
    pub(crate) mode: Mode,
    /// When entries or a snapshot were last sent.
    pub(crate) last_sent_at: MonotonicTime,
    /// Send time of the latest message the follower acknowledged in this term.
    pub(crate) acknowledged: Option<MonotonicTime>,
}

impl Progress {
    pub(crate) fn new(next: u64, now: MonotonicTime) -> Self {
        Self {
            matched: 0,
            next,
            mode: Mode::Probe { awaiting: false },
            last_sent_at: now,
            acknowledged: None,
        }
    }

    /// Notes that the follower, at the time it answered, had heard the leader at `echo` or later.
    pub(crate) fn acknowledge(&mut self, echo: MonotonicTime) {
        self.acknowledged = self.acknowledged.max(Some(echo));
    }

    /// Whether entries may be sent now.
    pub(crate) fn may_send(&self, last: u64, window: u64) -> bool {
        match self.mode {
            Mode::Probe { awaiting } => !awaiting,
            Mode::Replicate => self.next <= last && self.next - self.matched <= window,
            Mode::Snapshot => false,
        }
    }

    pub(crate) fn sent(&mut self, entries: u64, now: MonotonicTime) {
        self.last_sent_at = now;
        match self.mode {
            Mode::Probe { .. } => self.mode = Mode::Probe { awaiting: true },
            Mode::Replicate => self.next += entries,
            Mode::Snapshot => {}
        }
    }

    pub(crate) fn sent_snapshot(&mut self, index: u64, now: MonotonicTime) {
        self.last_sent_at = now;
        self.mode = Mode::Snapshot;
        self.next = index + 1;
    }

    /// The follower holds everything up to `matched`; `base` is the leader's log's base.
    pub(crate) fn accepted(&mut self, matched: u64, base: u64) {
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched + 1);
        match self.mode {
            Mode::Probe { .. } => {
                self.next = self.matched + 1;
                self.mode = Mode::Replicate;
            }
            // Once the snapshot has arrived, entries follow it; should the log have been cut beyond
            // it meanwhile, sending them finds that out and sends a newer snapshot.
            Mode::Snapshot if self.matched >= base || self.matched + 1 >= self.next => {
                self.next = self.matched + 1;
                self.mode = Mode::Replicate;
            }
            Mode::Snapshot | Mode::Replicate => {}
        }
    }

    /// The follower's log differs at `previous`; equal at most up to `hint`.
    pub(crate) fn rejected(&mut self, previous: u64, hint: u64) {
        match self.mode {
            Mode::Snapshot => {}
            Mode::Replicate => {
                if previous > self.matched {
                    self.resend();
                }
            }
            Mode::Probe { .. } => {
                if previous.saturating_add(1) == self.next && previous > self.matched {
                    self.next = hint.saturating_add(1).min(previous).max(self.matched + 1);
                    self.mode = Mode::Probe { awaiting: false };
                }
            }
        }
    }

    /// The follower answered something sent at `echo`: entries sent before and still not
    /// acknowledged are taken for lost.
    pub(crate) fn detect_loss(&mut self, echo: MonotonicTime) {
        if echo <= self.last_sent_at {
            return;
        }
        match self.mode {
            Mode::Replicate if self.next > self.matched + 1 => self.resend(),
            Mode::Probe { .. } => self.mode = Mode::Probe { awaiting: false },
            Mode::Replicate | Mode::Snapshot => {}
        }
    }

    /// Lets a probe or snapshot that stayed without answer be sent again.
    pub(crate) fn retry(
        &mut self,
        now: MonotonicTime,
        probe_after: Duration,
        snapshot_after: Duration,
    ) {
        let silent = now.since(self.last_sent_at);
        match self.mode {
            Mode::Probe { .. } if silent >= probe_after => {
                self.mode = Mode::Probe { awaiting: false };
            }
            Mode::Snapshot if silent >= snapshot_after => self.resend(),
            _ => {}
        }
    }

    fn resend(&mut self) {
        self.next = self.matched + 1;
        self.mode = Mode::Probe { awaiting: false };
    }
}
