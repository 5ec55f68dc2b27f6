//! Slots, queues and observed health of one target.

use std::collections::VecDeque;
use std::time::Duration;

use wingspar_world::{MonotonicTime, RequestClass};

use crate::{AgentSettings, Ticket};

/// Classes from the most to the least urgent.
const CLASSES: [RequestClass; 3] = [
    RequestClass::Interactive,
    RequestClass::Checks,
    RequestClass::Bulk,
];
/// Assumed service time before anything was observed.
const FIRST_SERVICE_TIME: Duration = Duration::from_millis(50);
/// Weight of a new observation in the mean service time.
const SERVICE_TIME_WEIGHT: f64 = 0.125;

/// Where a request may go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Place {
    Slot,
    Queue,
    Full,
}

#[derive(Debug)]
pub(crate) struct TargetState {
    slots: u32,
    running: [u32; 3],
    queues: [VecDeque<Ticket>; 3],
    mean_service: f64,
    failures: u32,
    next_trial: Option<MonotonicTime>,
    /// Since when the target has been seen draining.
    pub(crate) draining_since: Option<MonotonicTime>,
}

fn index(class: RequestClass) -> usize {
    class as usize
}

impl TargetState {
    pub(crate) fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            running: [0; 3],
            queues: Default::default(),
            mean_service: FIRST_SERVICE_TIME.as_secs_f64(),
            failures: 0,
            next_trial: None,
            draining_since: None,
        }
    }

    pub(crate) fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    pub(crate) fn running(&self) -> u32 {
        self.running.iter().sum()
    }

    pub(crate) fn queued(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.running() == 0 && self.queued() == 0
    }

    /// Whether a class may take a slot: enough stay free for more urgent ones, or the class has
    /// none at all, so that none starves.
    fn has_slot(&self, settings: &AgentSettings, class: RequestClass) -> bool {
        let running = self.running();
        if running >= self.slots {
            return false;
        }
        let headroom = settings.headroom(class, self.slots);
        self.running[index(class)] == 0 || running + headroom < self.slots
    }

    /// Where a new request of a class goes.
    pub(crate) fn place(&self, settings: &AgentSettings, class: RequestClass) -> Place {
        let queue = &self.queues[index(class)];
        if queue.is_empty() && self.has_slot(settings, class) {
            return Place::Slot;
        }
        if queue.len() < settings.queue_limit(class, self.slots) {
            return Place::Queue;
        }
        Place::Full
    }

    /// Estimated wait of a request that joins the queue of a class now.
    pub(crate) fn expected_wait(&self, class: RequestClass) -> Duration {
        let ahead: usize = self.queues[..=index(class)].iter().map(VecDeque::len).sum();
        let turns = (ahead + 1) as f64 / f64::from(self.slots);
        Duration::from_secs_f64(self.mean_service * turns)
    }

    pub(crate) fn mean_service(&self) -> Duration {
        Duration::from_secs_f64(self.mean_service)
    }

    pub(crate) fn take_slot(&mut self, class: RequestClass) {
        self.running[index(class)] += 1;
    }

    pub(crate) fn enqueue(&mut self, class: RequestClass, ticket: Ticket) {
        self.queues[index(class)].push_back(ticket);
    }

    pub(crate) fn free_slot(&mut self, class: RequestClass) {
        let running = &mut self.running[index(class)];
        *running = running.saturating_sub(1);
    }

    /// Takes a ticket out of its queue; false when it isn't there any more.
    pub(crate) fn leave_queue(&mut self, class: RequestClass, ticket: Ticket) -> bool {
        let queue = &mut self.queues[index(class)];
        let position = queue.iter().position(|one| *one == ticket);
        position.and_then(|place| queue.remove(place)).is_some()
    }

    /// Moves the next queued request into a free slot.
    pub(crate) fn promote(&mut self, settings: &AgentSettings) -> Option<Ticket> {
        let waits = |class: &RequestClass| {
            !self.queues[index(*class)].is_empty() && self.has_slot(settings, *class)
        };
        let starved = |class: &RequestClass| self.running[index(*class)] == 0;
        let class = CLASSES
            .iter()
            .copied()
            .filter(waits)
            .min_by_key(|class| (!starved(class), index(*class)))?;
        let ticket = self.queues[index(class)].pop_front()?;
        self.take_slot(class);
        Some(ticket)
    }

    /// Takes in how long a request ran.
    pub(crate) fn observe_service_time(&mut self, time: Duration) {
        let difference = time.as_secs_f64() - self.mean_service;
        self.mean_service += SERVICE_TIME_WEIGHT * difference;
    }

    pub(crate) fn is_healthy(&self) -> bool {
        self.next_trial.is_none()
    }

    /// Whether a request may be tried; spends the trial when the back end counts as down.
    pub(crate) fn try_health(
        &mut self,
        now: MonotonicTime,
        interval: Duration,
    ) -> Result<(), Duration> {
        match self.next_trial {
            None => Ok(()),
            Some(at) if now >= at => {
                self.next_trial = Some(now + interval);
                Ok(())
            }
            Some(at) => Err(now.until(at)),
        }
    }

    /// Takes in a success. Returns whether the target counts as up only from now on.
    pub(crate) fn observe_success(&mut self) -> bool {
        self.failures = 0;
        self.next_trial.take().is_some()
    }

    /// Takes in a failure. Returns whether the target counts as down only from now on.
    pub(crate) fn observe_failure(&mut self, now: MonotonicTime, settings: &AgentSettings) -> bool {
        self.failures = self.failures.saturating_add(1);
        if self.failures < settings.failures_until_down {
            return false;
        }
        let fresh = self.next_trial.is_none();
        self.next_trial = Some(now + settings.trial_interval);
        fresh
    }
}
