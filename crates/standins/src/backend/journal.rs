//! What a back end has run, for checkers of double ownership and double runs.

use std::collections::VecDeque;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use wingspar_world::{Fence, KeyHash};

use super::refusal::RefusalReason;
use super::terms::RequestTerms;

/// How a started request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JournalOutcome {
    /// Not finished; for a server that is gone: cut short without effect.
    Running,
    /// The work took effect at the time of its finish.
    Completed,
    /// The caller went away; no effect.
    Cancelled,
    /// Given up before the effect, for the entry's `reason`.
    Abandoned,
}

/// One request that was started. Times are in microseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Position in this server's journal, from 0.
    pub sequence: u64,
    /// Name of the server.
    pub server: String,
    /// Id of the request.
    pub request_id: String,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// Name of the service.
    pub service: String,
    /// Method of the request.
    pub method: String,
    /// Place of the key on the ring, 16 hexadecimal digits; `None` for unkeyed work.
    pub key_hash: Option<String>,
    /// Fence token that it ran under; `None` for unkeyed work.
    pub fence: Option<String>,
    /// When the work began.
    pub started_us: u64,
    /// When it ended.
    pub finished_us: Option<u64>,
    /// How it ended.
    pub outcome: JournalOutcome,
    /// Why it was given up.
    pub reason: Option<RefusalReason>,
}

/// A wall clock that never steps: it is read once and then follows the monotonic clock.
#[derive(Debug, Clone, Copy)]
struct SteadyWallClock {
    started: Instant,
    started_unix: Duration,
}

impl SteadyWallClock {
    fn new() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            started: Instant::now(),
            started_unix: since_epoch.unwrap_or_default(),
        }
    }

    fn now_us(&self) -> u64 {
        let now = self.started_unix + self.started.elapsed();
        u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
    }
}

/// The newest entries, in the order in which work was started.
#[derive(Debug)]
pub struct Journal {
    server: String,
    limit: usize,
    clock: SteadyWallClock,
    entries: VecDeque<JournalEntry>,
    next_sequence: u64,
}

impl Journal {
    /// An empty journal that keeps `limit` entries.
    #[must_use]
    pub fn new(server: &str, limit: usize) -> Self {
        Self {
            server: server.to_owned(),
            limit,
            clock: SteadyWallClock::new(),
            entries: VecDeque::new(),
            next_sequence: 0,
        }
    }

    /// Notes that work begins, and returns its sequence number.
    pub fn start(&mut self, terms: &RequestTerms) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.entries.push_back(JournalEntry {
            sequence,
            server: self.server.clone(),
            request_id: terms.request_id.clone(),
            idempotency_key: terms.idempotency_key.clone(),
            service: terms.service.clone(),
            method: terms.method.clone(),
            key_hash: terms.keyed.map(|keyed| KeyHash::to_string(&keyed.key)),
            fence: terms
                .keyed
                .map(|keyed| Fence::to_string(&keyed.grant.fence)),
            started_us: self.clock.now_us(),
            finished_us: None,
            outcome: JournalOutcome::Running,
            reason: None,
        });
        if self.entries.len() > self.limit {
            self.entries.pop_front();
        }
        sequence
    }

    /// Notes that work has ended.
    pub fn finish(
        &mut self,
        sequence: u64,
        outcome: JournalOutcome,
        reason: Option<RefusalReason>,
    ) {
        let now = self.clock.now_us();
        let first = self.dropped();
        let position = sequence
            .checked_sub(first)
            .and_then(|place| usize::try_from(place).ok());
        if let Some(entry) = position.and_then(|position| self.entries.get_mut(position)) {
            entry.finished_us = Some(now);
            entry.outcome = outcome;
            entry.reason = reason;
        }
    }

    /// Number of old entries that were dropped; an audit of the rest is incomplete unless it is 0.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.next_sequence - self.entries.len() as u64
    }

    /// The kept entries from a sequence number on.
    #[must_use]
    pub fn entries_from(&self, sequence: u64) -> Vec<JournalEntry> {
        self.entries
            .iter()
            .filter(|entry| entry.sequence >= sequence)
            .cloned()
            .collect()
    }
}
