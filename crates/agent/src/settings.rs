//! Settings of the agent, with the defaults of the time bounds in the architecture page.

use std::time::Duration;

use wingspar_world::{GroupId, RequestClass};

/// Terms by which an agent works.
#[derive(Debug, Clone, PartialEq)]
pub struct AgentSettings {
    /// Control group that the machine belongs to.
    pub group: GroupId,
    /// Time between lease renewals.
    pub renewal_interval: Duration,
    /// Time after which an unanswered renewal is repeated while a session runs.
    pub retry_interval: Duration,
    /// Longest pause between tries without a session.
    pub backoff_limit: Duration,
    /// How long a draining target still serves slices that were not yet called back.
    pub drain_grace: Duration,
    /// Longest time between repeats of hand-over messages; the first repeats come sooner.
    pub hand_over_repeat: Duration,
    /// How long a part of the remembered requests is offered to a successor that doesn't answer.
    pub remember_timeout: Duration,
    /// Largest number of remembered requests.
    pub remembered_requests: usize,
    /// Largest sum of kept answer bodies in bytes.
    pub remembered_bytes: usize,
    /// Largest kept answer body in bytes.
    pub remembered_body_bytes: usize,
    /// Share of a target's slots that `checks` requests leave free for more urgent ones.
    pub checks_headroom: f64,
    /// Share of a target's slots that `bulk` requests leave free for more urgent ones.
    pub bulk_headroom: f64,
    /// Length of the interactive queue as a multiple of the slots.
    pub interactive_queue: f64,
    /// Length of the queues of checks and bulk as a multiple of the slots.
    pub other_queue: f64,
    /// Failures in a row after which a back end counts as down.
    pub failures_until_down: u32,
    /// Pause between trial requests to a back end that counts as down.
    pub trial_interval: Duration,
    /// Slices reported in one renewal, over all targets.
    pub reported_slices: usize,
    /// Hot keys reported in one renewal, over all targets.
    pub reported_hot_keys: usize,
}

impl Default for AgentSettings {
    fn default() -> Self {
        Self {
            group: GroupId::default(),
            renewal_interval: Duration::from_millis(400),
            retry_interval: Duration::from_millis(200),
            backoff_limit: Duration::from_secs(2),
            drain_grace: Duration::from_secs(1),
            hand_over_repeat: Duration::from_millis(200),
            remember_timeout: Duration::from_secs(3),
            remembered_requests: 200_000,
            remembered_bytes: 64 * 1024 * 1024,
            remembered_body_bytes: 4 * 1024,
            checks_headroom: 0.25,
            bulk_headroom: 0.4,
            interactive_queue: 1.0,
            other_queue: 0.25,
            failures_until_down: 5,
            trial_interval: Duration::from_millis(500),
            reported_slices: 6,
            reported_hot_keys: 3,
        }
    }
}

impl AgentSettings {
    /// Slots that a request of a class must leave free at a target.
    pub(crate) fn headroom(&self, class: RequestClass, slots: u32) -> u32 {
        let share = match class {
            RequestClass::Interactive => 0.0,
            RequestClass::Checks => self.checks_headroom,
            RequestClass::Bulk => self.bulk_headroom,
        };
        (f64::from(slots) * share) as u32
    }

    /// Longest queue of a class at a target.
    pub(crate) fn queue_limit(&self, class: RequestClass, slots: u32) -> usize {
        let multiple = match class {
            RequestClass::Interactive => self.interactive_queue,
            RequestClass::Checks | RequestClass::Bulk => self.other_queue,
        };
        ((f64::from(slots) * multiple) as usize).max(1)
    }
}
