//! Slots of the target and the requests that wait for one: the most urgent first, then the one whose answer is due
//! first.
//!
//! While the target is slow after its start it withstands only few requests a second; then a request waits for its
//! turn under that limit too, and its expected wait knows it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

use crate::clock::whole_millis;
use crate::start_rate::StartRate;

/// No slot came free in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoSlot;

/// How many requests may start within a moment, while the target is slow after its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartLimit {
    /// Most of them in the window of [`StartRate`].
    pub most: usize,
    /// Until when that holds; nothing if it isn't known.
    pub until: Option<Instant>,
}

/// The order in which requests get a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Turn {
    /// 0 is the most urgent.
    pub priority: u8,
    /// When its answer is due. Earliest due date first serves short inner calls, on which work that has begun
    /// elsewhere waits, before long requests of the same priority: under overload 0.532 of the possible worth was
    /// earned, 0.500 by order of arrival.
    pub due: Instant,
}

/// A turn and, among equal ones, the order of arrival.
type Place = (Turn, u64);

/// Slots of one target.
pub struct Slots {
    capacity: Cell<usize>,
    start_limit: Cell<Option<StartLimit>>,
    starts: RefCell<StartRate>,
    /// Whether a task waits for the time at which the limit lets the next request start.
    awaits_start: Cell<bool>,
    running: Cell<usize>,
    next: Cell<u64>,
    waiting: RefCell<BTreeMap<Place, oneshot::Sender<Slot>>>,
    /// Smoothed time that a request keeps its slot, in milliseconds.
    service_time_ms: Cell<f64>,
    finished: Cell<u64>,
    busy_ms: Cell<u64>,
}

/// Weight of one request's time against what was known.
const SMOOTHING: f64 = 0.05;
/// Time that a request keeps its slot, before any was seen.
const FIRST_SERVICE_TIME_MS: f64 = 60.0;
/// A request waits although its wait is expected to outlast its patience by up to this factor: the expectation is a mean.
/// Chosen by hand; no round has varied it.
const EXPECTED_WAIT_SLACK: f64 = 1.5;

impl Slots {
    /// No slots until the target tells how many it has. `after_another` says that another process may have sent it
    /// requests right before this one began.
    pub fn new(after_another: bool) -> Rc<Self> {
        Rc::new(Self {
            capacity: Cell::new(0),
            start_limit: Cell::new(None),
            starts: RefCell::new(StartRate::new(Instant::now(), after_another)),
            awaits_start: Cell::new(false),
            running: Cell::new(0),
            next: Cell::new(0),
            waiting: RefCell::new(BTreeMap::new()),
            service_time_ms: Cell::new(FIRST_SERVICE_TIME_MS),
            finished: Cell::new(0),
            busy_ms: Cell::new(0),
        })
    }

    /// Sets how many requests the target works on at once.
    pub fn set_capacity(self: &Rc<Self>, capacity: usize) {
        self.capacity.set(capacity);
        self.pass_on();
    }

    /// Sets, or lifts, the limit on starts.
    pub fn set_start_limit(self: &Rc<Self>, limit: Option<StartLimit>) {
        if self.start_limit.replace(limit) != limit {
            self.pass_on();
        }
    }

    /// Requests in slots.
    pub fn running(&self) -> usize {
        self.running.get()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Requests finished and the time their slots were in use, in milliseconds, so far.
    pub fn totals(&self) -> (u64, u64) {
        (self.finished.get(), self.busy_ms.get())
    }

    /// Waits for a slot until `patience`, behind those whose turn comes before. Refuses at once if the queue is too
    /// long for it.
    pub async fn acquire(self: &Rc<Self>, turn: Turn, patience: Instant) -> Result<Slot, NoSlot> {
        if self.waiting.borrow().is_empty() && self.may_start(Instant::now()) {
            return Ok(self.slot());
        }
        let expected = self.expected_wait_ms(turn);
        let left = patience
            .saturating_duration_since(Instant::now())
            .as_secs_f64()
            * 1000.0;
        if left <= 0.0 || expected > left * EXPECTED_WAIT_SLACK {
            return Err(NoSlot);
        }
        let key = (turn, self.next.get());
        self.next.set(key.1 + 1);
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(key, sender);
        self.pass_on();
        let leave = LeaveQueue { slots: self, key };
        let outcome = timeout_at(patience, receiver).await;
        drop(leave);
        match outcome {
            Ok(Ok(slot)) => Ok(slot),
            _ => Err(NoSlot),
        }
    }

    fn expected_wait_ms(&self, turn: Turn) -> f64 {
        let waiting = self.waiting.borrow();
        let ahead = waiting.range(..(turn, u64::MAX)).count();
        let capacity = self.capacity.get().max(1) as f64;
        let for_slot = if self.running.get() + ahead < self.capacity.get() {
            0.0
        } else {
            (ahead as f64 + 1.0) / capacity * self.service_time_ms.get()
        };
        let now = Instant::now();
        let for_start = self.limit(now).map_or(0.0, |limit| {
            let free_at = self.starts.borrow_mut().free_at(now, limit.most, ahead);
            free_at.duration_since(now).as_secs_f64() * 1000.0
        });
        for_slot.max(for_start)
    }

    /// The limit on starts, if one is in force.
    fn limit(&self, now: Instant) -> Option<StartLimit> {
        self.start_limit
            .get()
            .filter(|limit| limit.until.is_none_or(|until| now < until))
    }

    /// When the limit on starts lets one more request start.
    fn start_free_at(&self, now: Instant) -> Instant {
        match self.limit(now) {
            Some(limit) => self.starts.borrow_mut().free_at(now, limit.most, 0),
            None => now,
        }
    }

    /// Whether a request that is the next may start.
    fn may_start(&self, now: Instant) -> bool {
        self.running.get() < self.capacity.get() && self.start_free_at(now) <= now
    }

    fn slot(self: &Rc<Self>) -> Slot {
        self.running.set(self.running.get() + 1);
        self.starts.borrow_mut().started(Instant::now());
        Slot {
            slots: self.clone(),
            since: std::time::Instant::now(),
            worked: Cell::new(false),
        }
    }

    fn pass_on(self: &Rc<Self>) {
        while self.running.get() < self.capacity.get() {
            if self.waiting.borrow().is_empty() {
                return;
            }
            let now = Instant::now();
            let free_at = self.start_free_at(now);
            if free_at > now {
                return self.pass_on_at(free_at);
            }
            let Some((_, sender)) = self.waiting.borrow_mut().pop_first() else {
                return;
            };
            let slot = self.slot();
            if let Err(unused) = sender.send(slot) {
                // Its requester has just left; the slot is freed without passing on twice. Its start stays counted,
                // which errs on the safe side.
                unused.forget();
            }
        }
    }
}

impl Slots {
    /// Looks at the queue again when the limit on starts lets the next request start, or ends.
    fn pass_on_at(self: &Rc<Self>, free_at: Instant) {
        if self.awaits_start.replace(true) {
            return;
        }
        let ends = self.start_limit.get().and_then(|limit| limit.until);
        let wakes_at = ends.map_or(free_at, |ends| ends.min(free_at));
        let slots = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep_until(wakes_at).await;
            slots.awaits_start.set(false);
            slots.pass_on();
        });
    }
}

/// Takes a request out of the queue when it stops waiting.
struct LeaveQueue<'slots> {
    slots: &'slots Rc<Slots>,
    key: Place,
}

impl Drop for LeaveQueue<'_> {
    fn drop(&mut self) {
        self.slots.waiting.borrow_mut().remove(&self.key);
    }
}

/// A slot in use; it is free again when this is dropped.
pub struct Slot {
    slots: Rc<Slots>,
    since: std::time::Instant,
    worked: Cell<bool>,
}

impl Slot {
    /// The target has answered from this slot; its time counts.
    pub fn worked(&self) {
        self.worked.set(true);
    }

    fn forget(self) {
        self.slots.running.set(self.slots.running.get() - 1);
        std::mem::forget(self);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let slots = &self.slots;
        slots.running.set(slots.running.get() - 1);
        if self.worked.get() {
            let time = self.since.elapsed();
            let known = slots.service_time_ms.get();
            slots
                .service_time_ms
                .set(known + SMOOTHING * (time.as_secs_f64() * 1000.0 - known));
            slots.finished.set(slots.finished.get() + 1);
            let busy = whole_millis(time);
            slots.busy_ms.set(slots.busy_ms.get() + busy);
        }
        slots.pass_on();
    }
}
