//! Concurrency limit of the target: its slots, and the requests that wait for one; [`backlog`] decides which requests
//! wait and in which order.
//!
//! The target takes only few requests per second while it warms up after its start, and it may announce a rate limit
//! itself. Requests then wait under these limits too, and expected waits include them.

pub mod backlog;
mod demand;
mod run_times;
mod scheduling;
mod shares;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

use crate::clock::whole_millis;
use crate::start_rate::{StartCap, StartRate};
use backlog::{Backlog, Lane, Supply, Ticket};

pub use backlog::Refused;
pub use scheduling::{Scheduling, TenantScheduling};

/// Limit on starts while the target warms up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartLimit {
    /// Most requests that may start within a second.
    pub most: usize,
    /// When the limit ends; `None` if that isn't known.
    pub until: Option<Instant>,
}

/// The queue; each waiting request has a channel over which it receives its slot.
type Waiting = Backlog<oneshot::Sender<Slot>>;

/// The slots of one target.
pub struct Slots {
    capacity: Cell<usize>,
    start_limit: Cell<Option<StartLimit>>,
    /// The rate limit that the target announces; `None` while there is none.
    request_cap: Cell<Option<StartCap>>,
    starts: RefCell<StartRate>,
    /// When the queue is processed again, if the limits on starts delay the next request.
    next_dispatch: Cell<Option<Instant>>,
    running: Cell<usize>,
    backlog: RefCell<Waiting>,
    finished: Cell<u64>,
    busy_ms: Cell<u64>,
}

/// How often the decision on a waiting request is reviewed: more urgent requests may have arrived, or the target may
/// have become slower.
const REVIEW_INTERVAL: Duration = Duration::from_millis(200);

impl Slots {
    /// No slots until the target reports how many it has. `after_restart` is whether an earlier process of the node may
    /// have sent it requests right before this one started.
    pub fn new(after_restart: bool) -> Rc<Self> {
        Rc::new(Self {
            capacity: Cell::new(0),
            start_limit: Cell::new(None),
            request_cap: Cell::new(None),
            starts: RefCell::new(StartRate::new(Instant::now(), after_restart)),
            next_dispatch: Cell::new(None),
            running: Cell::new(0),
            backlog: RefCell::new(Backlog::new(Instant::now())),
            finished: Cell::new(0),
            busy_ms: Cell::new(0),
        })
    }

    /// Sets how many requests the target runs concurrently.
    pub fn set_capacity(self: &Rc<Self>, capacity: usize) {
        self.capacity.set(capacity);
        self.dispatch();
    }

    /// Sets or lifts the limit on starts while the target warms up.
    pub fn set_start_limit(self: &Rc<Self>, limit: Option<StartLimit>) {
        if self.start_limit.replace(limit) != limit {
            self.dispatch();
        }
    }

    /// Sets or lifts the rate limit that the target announces, in requests per second.
    pub fn set_request_limit(self: &Rc<Self>, requests_per_s: Option<f64>) {
        let cap = requests_per_s.map(StartCap::per_second);
        if self.request_cap.replace(cap) != cap {
            self.dispatch();
        }
    }

    /// Number of requests in slots.
    pub fn running(&self) -> usize {
        self.running.get()
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.backlog.borrow().len()
    }

    /// Number of requests answered by the target so far, and the time for which their slots were in use, in
    /// milliseconds.
    pub fn totals(&self) -> (u64, u64) {
        (self.finished.get(), self.busy_ms.get())
    }

    /// Waits for a slot, at most until `until`. Refuses at once if no slot is expected in time for an answer, and while
    /// waiting as soon as this becomes so.
    pub async fn acquire(
        self: &Rc<Self>,
        scheduling: Scheduling,
        until: Instant,
    ) -> Result<Slot, Refused> {
        let now = Instant::now();
        self.backlog.borrow_mut().arrived(now, scheduling);
        if self.backlog.borrow().is_empty() && self.may_start(now) {
            return Ok(self.slot(scheduling));
        }
        let mut lane = self.with_supply(now, |backlog, supply| {
            backlog.admit(now, scheduling, supply, until)
        })?;
        let (sender, mut receiver) = oneshot::channel();
        let ticket =
            self.backlog
                .borrow_mut()
                .enqueue(lane, scheduling, self.capacity.get(), sender);
        let _guard = BacklogGuard {
            slots: self,
            ticket,
        };
        self.dispatch();
        loop {
            let next_review = self.next_review(lane, scheduling).min(until);
            if let Ok(Ok(slot)) = timeout_at(next_review, &mut receiver).await {
                return Ok(slot);
            }
            let now = Instant::now();
            lane = self.with_supply(now, |backlog, supply| {
                backlog.reevaluate(now, ticket, supply, until)
            })?;
        }
    }

    /// Retry-After for a caller that is refused now.
    pub fn retry_after(&self) -> Duration {
        let now = Instant::now();
        self.with_supply(now, |backlog, supply| backlog.retry_after(now, supply))
    }

    /// When the decision on a waiting request is reviewed next.
    fn next_review(&self, lane: Lane, scheduling: Scheduling) -> Instant {
        let now = Instant::now();
        let latest = self.backlog.borrow().latest_start(lane, scheduling);
        if latest > now {
            latest.min(now + REVIEW_INTERVAL)
        } else {
            now + REVIEW_INTERVAL
        }
    }

    /// Calls `decide` with the queue and what the target can take now.
    fn with_supply<Decision>(
        &self,
        now: Instant,
        decide: impl FnOnce(&mut Waiting, Supply<'_>) -> Decision,
    ) -> Decision {
        let start_after = |ahead| self.start_free_at(now, ahead).duration_since(now);
        let rates = self.caps(now).map(StartCap::starts_per_s);
        let supply = Supply {
            capacity: self.capacity.get(),
            running: self.running.get(),
            starts_per_s: rates.min_by(f64::total_cmp),
            start_after: &start_after,
        };
        decide(&mut self.backlog.borrow_mut(), supply)
    }

    /// The limits on starts that are in force.
    fn caps(&self, now: Instant) -> impl Iterator<Item = StartCap> {
        let warm_up = self.start_limit.get();
        let warm_up = warm_up.filter(|limit| limit.until.is_none_or(|until| now < until));
        let warm_up = warm_up.map(|limit| StartCap::within_a_second(limit.most));
        warm_up.into_iter().chain(self.request_cap.get())
    }

    /// When the limits on starts let a request start that has `ahead` others ahead of it.
    fn start_free_at(&self, now: Instant, ahead: usize) -> Instant {
        let mut starts = self.starts.borrow_mut();
        let free_at = |cap| starts.free_at(now, cap, ahead);
        self.caps(now).map(free_at).fold(now, Instant::max)
    }

    /// Whether the next request may start now.
    fn may_start(&self, now: Instant) -> bool {
        self.running.get() < self.capacity.get() && self.start_free_at(now, 0) <= now
    }

    /// Takes a slot for a request that starts now.
    fn slot(self: &Rc<Self>, scheduling: Scheduling) -> Slot {
        self.backlog.borrow_mut().started(scheduling);
        self.running.set(self.running.get() + 1);
        self.starts.borrow_mut().started(Instant::now());
        Slot {
            slots: self.clone(),
            scheduling,
            since: Instant::now(),
            is_answered: Cell::new(false),
        }
    }

    /// Gives free slots to waiting requests, as far as the limits on starts allow.
    fn dispatch(self: &Rc<Self>) {
        while self.running.get() < self.capacity.get() {
            if self.backlog.borrow().is_empty() {
                return;
            }
            let now = Instant::now();
            let free_at = self.start_free_at(now, 0);
            if free_at > now {
                return self.dispatch_at(free_at);
            }
            let Some((scheduling, sender)) = self.backlog.borrow_mut().pop() else {
                return;
            };
            let slot = self.slot(scheduling);
            if let Err(unused) = sender.send(slot) {
                // The waiting request has just been dropped. This releases the slot without starting a nested dispatch.
                // Its start stays counted, which errs on the safe side.
                unused.release_unused();
            }
        }
    }
}

impl Slots {
    /// Processes the queue again when the limits on starts let the next request start, or the warm-up limit ends.
    fn dispatch_at(self: &Rc<Self>, free_at: Instant) {
        let ends = self.start_limit.get().and_then(|limit| limit.until);
        let at = ends.map_or(free_at, |ends| ends.min(free_at));
        if self.next_dispatch.get().is_some_and(|next| next <= at) {
            return;
        }
        self.next_dispatch.set(Some(at));
        let slots = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep_until(at).await;
            // A limit that was raised meanwhile has replaced this pass by an earlier one.
            if slots.next_dispatch.get() == Some(at) {
                slots.next_dispatch.set(None);
                slots.dispatch();
            }
        });
    }
}

/// Removes a request from the backlog when this is dropped, since the request no longer waits.
struct BacklogGuard<'slots> {
    slots: &'slots Rc<Slots>,
    ticket: Ticket,
}

impl Drop for BacklogGuard<'_> {
    fn drop(&mut self) {
        self.slots.backlog.borrow_mut().leave(self.ticket);
    }
}

/// A slot in use; it is released when this is dropped.
pub struct Slot {
    slots: Rc<Slots>,
    scheduling: Scheduling,
    since: Instant,
    is_answered: Cell<bool>,
}

impl Slot {
    /// Notes that the target has answered, so that the slot's time counts as a run time.
    pub fn mark_answered(&self) {
        self.is_answered.set(true);
    }

    /// Releases a slot that was never used, without starting other requests.
    fn release_unused(self) {
        self.slots.running.set(self.slots.running.get() - 1);
        self.slots
            .backlog
            .borrow_mut()
            .released(self.scheduling, Duration::ZERO);
        std::mem::forget(self);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let slots = &self.slots;
        slots.running.set(slots.running.get() - 1);
        let time = self.since.elapsed();
        if self.is_answered.get() {
            slots.backlog.borrow_mut().ended(self.scheduling, time);
            slots.finished.set(slots.finished.get() + 1);
            let busy = whole_millis(time);
            slots.busy_ms.set(slots.busy_ms.get() + busy);
        } else {
            slots.backlog.borrow_mut().released(self.scheduling, time);
        }
        slots.dispatch();
    }
}
