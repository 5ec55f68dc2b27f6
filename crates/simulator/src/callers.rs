//! Callers: an open loop of requests of every kind, retried as their contract allows.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha12Rng;

use crate::backend::{RequestId, WorkId};
use crate::checker::CallerOutcome;
use crate::request::CallerRequest;
use crate::topology::Topology;

/// Time within which callers want their answers.
const DEADLINE: Duration = Duration::from_millis(3_000);
/// Requests that a caller sends for one piece of work at most.
const MOST_ATTEMPTS: u32 = 4;
/// Pause before a caller's retry.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Counts of outcomes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CallerCounts {
    /// Requests sent, retries included.
    pub sent: u64,
    /// Answered whole.
    pub ran: u64,
    /// Told "not run".
    pub not_run: u64,
    /// Told "unknown", or nothing.
    pub unknown: u64,
}

/// The callers of one run.
#[derive(Debug)]
pub struct Callers {
    topology: Topology,
    keys: Vec<String>,
    last_request: u64,
    last_work: u64,
    counts: CallerCounts,
}

impl Callers {
    /// Callers of a topology's services.
    pub fn new(topology: Topology) -> Self {
        Self {
            topology,
            keys: Topology::keys(),
            last_request: 0,
            last_work: 0,
            counts: CallerCounts::default(),
        }
    }

    /// What they were told so far.
    pub fn counts(&self) -> CallerCounts {
        self.counts
    }

    /// Draws a new request: half of them reads, half work that must not be repeated, most of it
    /// with an idempotency key and numbered attempts.
    pub fn draw(&mut self, random: &mut ChaCha12Rng) -> CallerRequest {
        let kind = random.random_range(0..10);
        let is_keyed = kind < 8;
        let key = is_keyed.then(|| self.keys[random.random_range(0..self.keys.len())].clone());
        let has_work = (4..7).contains(&kind);
        let is_numbered = has_work && kind != 6;
        self.last_work += u64::from(has_work);
        let service = if is_keyed {
            &self.topology.keyed
        } else {
            &self.topology.unkeyed
        };
        let request = CallerRequest {
            id: RequestId(0),
            work: has_work.then_some(WorkId(self.last_work)),
            attempt: is_numbered.then_some(1),
            service: service.clone(),
            key,
            repeatable: matches!(kind, 0..4 | 8),
            deadline: DEADLINE,
        };
        self.number(request)
    }

    /// Takes in an outcome; returns the caller's retry and the pause before it.
    pub fn told(
        &mut self,
        request: &CallerRequest,
        outcome: CallerOutcome,
    ) -> Option<(Duration, CallerRequest)> {
        match outcome {
            CallerOutcome::Ran(_) => self.counts.ran += 1,
            CallerOutcome::NotRun => self.counts.not_run += 1,
            CallerOutcome::Unknown => self.counts.unknown += 1,
        }
        let is_harmless = request.repeatable || request.work.is_some();
        let may_retry = match outcome {
            CallerOutcome::Ran(_) => false,
            CallerOutcome::NotRun => true,
            CallerOutcome::Unknown => is_harmless,
        };
        let attempt = request.attempt.unwrap_or(1);
        if !may_retry || attempt >= MOST_ATTEMPTS {
            return None;
        }
        let mut retry = request.clone();
        retry.attempt = request.attempt.map(|number| number + 1);
        let is_last_resort = request.attempt.is_none() && request.id.0.is_multiple_of(4);
        (!is_last_resort).then(|| (RETRY_PAUSE, self.number(retry)))
    }

    fn number(&mut self, mut request: CallerRequest) -> CallerRequest {
        self.last_request += 1;
        self.counts.sent += 1;
        request.id = RequestId(self.last_request);
        request
    }
}
