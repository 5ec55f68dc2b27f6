//! Queue of requests that wait for a slot of the target: admission, order and load shedding.
//!
//! Requests that can still be answered by their due time wait in the *timely* lane, in the order of
//! [`Scheduling::rank`]. Those that can't wait in the *late* lane, behind all timely ones and as long as their deadline
//! allows: they get the slots that timely requests leave unused. Whether there will be such slots follows from the
//! target's load: while more work arrives than it can do, there are none, and a request that would be late is refused
//! at once. Requests that are short compared with others stay in the timely lane until their deadline: they delay
//! others little, and mostly work that has begun elsewhere waits for them.
//!
//! This module only decides: it reads no clock and sets no timers.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use tokio::time::Instant;

use super::demand::Demand;
use super::run_times::RunTimes;
use super::scheduling::{Rank, Scheduling};
use super::shares::Shares;

/// Share of the slots' time that an arriving request counts on. The rest is for what isn't known yet: more urgent
/// arrivals, and runs that take longer than most.
const ARRIVING_SLOT_SHARE: f64 = 0.5;
/// Share of the slots' time that a waiting request counts on: it is refused only once it can't be answered in time.
const WAITING_SLOT_SHARE: f64 = 1.0;
/// Most requests that wait: each holds up to 64 KB of its body in memory, and each decision scans those ahead of it.
const MAX_WAITING_REQUESTS: usize = 1_024;
/// Least share of the target's time that is assumed to work off the backlog. Below it the end of the backlog can't be
/// predicted, and Retry-After shouldn't exceed what callers can wait.
const MIN_SPARE_SHARE: f64 = 0.25;
/// Least Retry-After, so that refusing a request costs less than running it.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Longest Retry-After: few callers wait longer than this.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(2_000);

/// What the target can take at the moment.
#[derive(Clone, Copy)]
pub struct Supply<'a> {
    /// Slots of the target: the most requests that it runs concurrently.
    pub capacity: usize,
    /// Requests that the target runs now.
    pub running: usize,
    /// Requests that may start each second; `None` while that isn't limited.
    pub starts_per_s: Option<f64>,
    /// Time until the limits on starts let a request start that has this many others ahead of it; zero without a limit.
    pub start_after: &'a dyn Fn(usize) -> Duration,
}

/// The request is refused: it isn't expected to start in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused;

/// The part of the queue that a request waits in; all timely requests are ahead of all late ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lane {
    /// Requests that can be answered by their due time.
    Timely,
    /// Requests that can be answered by their deadline, but not by their due time.
    Late,
}

/// Place of a waiting request in the queue: its sort key, which the ticket makes unique.
type Place = (Lane, Rank, Ticket);

/// Identifies a waiting request until it leaves the queue; increases in the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// The queue for the slots of one target. `Waiter` is the caller's handle of a waiting request.
#[derive(Debug)]
pub struct Backlog<Waiter> {
    waiting: BTreeMap<Place, (Scheduling, Waiter)>,
    /// The place of each waiting request.
    places: HashMap<Ticket, Place>,
    next: u64,
    run_times: RunTimes,
    demand: Demand,
    shares: Shares,
}

impl<Waiter> Backlog<Waiter> {
    /// An empty queue.
    pub fn new(now: Instant) -> Self {
        Self {
            waiting: BTreeMap::new(),
            places: HashMap::new(),
            next: 0,
            run_times: RunTimes::default(),
            demand: Demand::new(now),
            shares: Shares::new(now),
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Records the arrival of a request, whether it will wait or not.
    pub fn arrived(&mut self, now: Instant, scheduling: Scheduling) {
        let work = self.run_times.mean_of(scheduling.objective);
        self.shares.demanded(now, scheduling.share_key(), work);
        if self.latest_start(Lane::Timely, scheduling) > now {
            self.demand.arrived(now, work);
        }
    }

    /// Records the start of a request; its tenant is charged with the mean run time of its kind.
    pub fn started(&mut self, scheduling: Scheduling) {
        let expected = self.run_times.mean_of(scheduling.objective);
        self.shares.used(scheduling.share_key(), expected);
    }

    /// Records that the target has answered a request that kept its slot for `took`.
    pub fn ended(&mut self, scheduling: Scheduling, took: Duration) {
        self.released(scheduling, took);
        self.run_times.observe(scheduling.objective, took);
    }

    /// Records that a request left its slot after `took` without an answer of the target. Its tenant is charged with
    /// the difference to the expected time, which is negative if the target rejected the request at once.
    pub fn released(&mut self, scheduling: Scheduling, took: Duration) {
        let expected = self.run_times.mean_of(scheduling.objective);
        let beyond_expected = took.as_secs_f64() - expected;
        self.shares.used(scheduling.share_key(), beyond_expected);
    }

    /// Decides in which lane an arriving request may wait; `until` is the latest start that its router accepts.
    pub fn admit(
        &self,
        now: Instant,
        scheduling: Scheduling,
        supply: Supply<'_>,
        until: Instant,
    ) -> Result<Lane, Refused> {
        if self.len() >= MAX_WAITING_REQUESTS {
            return Err(Refused);
        }
        self.decide(now, scheduling, supply, until, ARRIVING_SLOT_SHARE)
    }

    /// Decides in which lane a request may wait that counts on `share` of the slots' time; `until` is the latest start
    /// that its router accepts.
    fn decide(
        &self,
        now: Instant,
        scheduling: Scheduling,
        supply: Supply<'_>,
        until: Instant,
        share: f64,
    ) -> Result<Lane, Refused> {
        let time_left = |lane| time_to(now, until.min(self.latest_start(lane, scheduling)));
        let timely = self.expected_wait(
            self.ahead(Lane::Timely, scheduling, supply.capacity),
            supply,
            share,
        );
        if now < until && timely <= time_left(Lane::Timely) {
            return Ok(Lane::Timely);
        }
        let spare = self.spare(now, supply).max(0.0);
        let late = self.expected_wait(
            self.ahead(Lane::Late, scheduling, supply.capacity),
            supply,
            share,
        ) / spare;
        if now < until && late <= time_left(Lane::Late) {
            return Ok(Lane::Late);
        }
        Err(Refused)
    }

    /// Retry-After for a caller that is refused now: the expected time to work off the queue, within bounds.
    pub fn retry_after(&self, now: Instant, supply: Supply<'_>) -> Duration {
        let spare = self.spare(now, supply).max(MIN_SPARE_SHARE);
        let waits = self.expected_wait(self.waiting.len(), supply, 1.0);
        Duration::try_from_secs_f64(waits / spare)
            .unwrap_or(MAX_RETRY_AFTER)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Adds a request to a lane, at a target with `capacity` slots.
    pub fn enqueue(
        &mut self,
        lane: Lane,
        scheduling: Scheduling,
        capacity: usize,
        waiter: Waiter,
    ) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        self.insert(ticket, lane, scheduling, capacity, waiter);
        ticket
    }

    /// Removes a request and returns it, if it still waits.
    pub fn leave(&mut self, ticket: Ticket) -> Option<(Scheduling, Waiter)> {
        let place = self.places.remove(&ticket)?;
        self.waiting.remove(&place)
    }

    /// Decides again on a waiting request, since time has passed: it stays in its lane, moves to the other, or is
    /// refused.
    pub fn reevaluate(
        &mut self,
        now: Instant,
        ticket: Ticket,
        supply: Supply<'_>,
        until: Instant,
    ) -> Result<Lane, Refused> {
        let Some((scheduling, waiter)) = self.leave(ticket) else {
            // It has just been given its slot.
            return Ok(Lane::Timely);
        };
        let lane = self.decide(now, scheduling, supply, until, WAITING_SLOT_SHARE)?;
        self.insert(ticket, lane, scheduling, supply.capacity, waiter);
        Ok(lane)
    }

    /// Removes and returns the next request to get a slot.
    pub fn pop(&mut self) -> Option<(Scheduling, Waiter)> {
        let ((.., ticket), next) = self.waiting.pop_first()?;
        self.places.remove(&ticket);
        Some(next)
    }

    /// The latest start at which a request is likely to be answered by its due time (timely) or its deadline (late, or
    /// short compared with others).
    pub fn latest_start(&self, lane: Lane, scheduling: Scheduling) -> Instant {
        let end = match lane {
            Lane::Timely if !self.run_times.is_short(scheduling.objective) => {
                scheduling.due.min(scheduling.deadline)
            }
            Lane::Timely | Lane::Late => scheduling.deadline,
        };
        let allowance = self.run_times.allowance(scheduling.objective);
        end.checked_sub(allowance).unwrap_or(end)
    }

    /// The order of a request within its lane now, at a target with `capacity` slots.
    fn rank(&self, scheduling: Scheduling, capacity: usize) -> Rank {
        if self.run_times.is_short(scheduling.objective) {
            scheduling.rank_of_short()
        } else {
            scheduling.rank(self.shares.is_over(scheduling.share_key(), capacity))
        }
    }

    /// Number of waiting requests that are ahead of such a request in a lane, those of equal rank included.
    fn ahead(&self, lane: Lane, scheduling: Scheduling, capacity: usize) -> usize {
        let behind_equals = (lane, self.rank(scheduling, capacity), Ticket(u64::MAX));
        self.waiting.range(..behind_equals).count()
    }

    /// Share of the target's time, or of its starts if these are scarcer, that timely requests leave unused; negative
    /// while the target is overloaded.
    fn spare(&self, now: Instant, supply: Supply<'_>) -> f64 {
        let slots = self.demand.slots(now) / supply.capacity.max(1) as f64;
        let starts = supply
            .starts_per_s
            .map_or(0.0, |per_s| self.demand.requests_per_s(now) / per_s);
        1.0 - slots.max(starts)
    }

    /// Expected time, in seconds, until a request with `ahead` others ahead of it has started, if the target's slots
    /// spend `share` of their time on these requests.
    fn expected_wait(&self, ahead: usize, supply: Supply<'_>, share: f64) -> f64 {
        let slots = supply.capacity.max(1) as f64 * share;
        let for_slot = if supply.running + ahead < supply.capacity {
            0.0
        } else {
            (ahead as f64 + 1.0) / slots * self.run_times.mean()
        };
        for_slot.max((supply.start_after)(ahead).as_secs_f64())
    }

    fn insert(
        &mut self,
        ticket: Ticket,
        lane: Lane,
        scheduling: Scheduling,
        capacity: usize,
        waiter: Waiter,
    ) {
        let place = (lane, self.rank(scheduling, capacity), ticket);
        self.places.insert(ticket, place);
        self.waiting.insert(place, (scheduling, waiter));
    }
}

/// Time from `now` to `then`, in seconds; 0 if that has passed.
fn time_to(now: Instant, then: Instant) -> f64 {
    then.saturating_duration_since(now).as_secs_f64()
}
