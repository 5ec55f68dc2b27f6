//! Slots of the target and the requests that wait for one, the most urgent first.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

/// No slot came free in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoSlot;

/// Slots of one target.
pub struct Slots {
    capacity: Cell<usize>,
    running: Cell<usize>,
    next: Cell<u64>,
    waiting: RefCell<BTreeMap<(u8, u64), oneshot::Sender<Slot>>>,
    /// Smoothed time that a request keeps its slot, in milliseconds.
    service_time_ms: Cell<f64>,
    finished: Cell<u64>,
    busy_ms: Cell<u64>,
}

/// Weight of one request's time against what was known.
const SMOOTHING: f64 = 0.05;
/// Time that a request keeps its slot, before any was seen.
const FIRST_SERVICE_TIME_MS: f64 = 60.0;

impl Slots {
    /// No slots until the target tells how many it has.
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            capacity: Cell::new(0),
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

    /// Waits for a slot until `patience`. Requests with a lower `priority` number come first, then
    /// those that have waited longer. Refuses at once if the queue is too long for it.
    pub async fn acquire(self: &Rc<Self>, priority: u8, patience: Instant) -> Result<Slot, NoSlot> {
        if self.running.get() < self.capacity.get() {
            return Ok(self.slot());
        }
        let expected = self.expected_wait_ms(priority);
        let left = patience
            .saturating_duration_since(Instant::now())
            .as_secs_f64()
            * 1000.0;
        if left <= 0.0 || expected > left * 1.5 {
            return Err(NoSlot);
        }
        let key = (priority, self.next.get());
        self.next.set(key.1 + 1);
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(key, sender);
        let leave = LeaveQueue { slots: self, key };
        let outcome = timeout_at(patience, receiver).await;
        drop(leave);
        match outcome {
            Ok(Ok(slot)) => Ok(slot),
            _ => Err(NoSlot),
        }
    }

    fn expected_wait_ms(&self, priority: u8) -> f64 {
        let waiting = self.waiting.borrow();
        let ahead = waiting.range(..(priority, u64::MAX)).count();
        let capacity = self.capacity.get().max(1) as f64;
        (ahead as f64 + 1.0) / capacity * self.service_time_ms.get()
    }

    fn slot(self: &Rc<Self>) -> Slot {
        self.running.set(self.running.get() + 1);
        Slot {
            slots: self.clone(),
            since: std::time::Instant::now(),
            worked: Cell::new(false),
        }
    }

    fn pass_on(self: &Rc<Self>) {
        while self.running.get() < self.capacity.get() {
            let Some((_, sender)) = self.waiting.borrow_mut().pop_first() else {
                return;
            };
            let slot = self.slot();
            if let Err(unused) = sender.send(slot) {
                // Its requester has just left; the slot is freed without passing on twice.
                unused.forget();
            }
        }
    }
}

/// Takes a request out of the queue when it stops waiting.
struct LeaveQueue<'slots> {
    slots: &'slots Rc<Slots>,
    key: (u8, u64),
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
            let busy = u64::try_from(time.as_millis()).unwrap_or(0);
            slots.busy_ms.set(slots.busy_ms.get() + busy);
        }
        slots.pass_on();
    }
}
