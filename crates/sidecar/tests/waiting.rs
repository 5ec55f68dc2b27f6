//! Who waits at a target and who is refused, under patterns of load in virtual time: one target, a backlog, callers
//! that come back as they are told.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use tokio::time::Instant;
use wingspar_sidecar::slots::Turn;
use wingspar_sidecar::slots::backlog::{Backlog, Lane, Supply, Ticket};

/// A reproducible source of numbers between 0 and 1.
struct Numbers(u64);

impl Numbers {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A time whose mean is `mean`, spread as waiting times are.
    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.next()).ln()
    }
}

/// One kind of request.
#[derive(Clone, Copy)]
struct Kind {
    priority: u8,
    run_s: f64,
    objective_s: f64,
    deadline_s: f64,
    returns: u32,
}

/// Slots of the target in all patterns.
const CAPACITY: usize = 6;
/// How long callers come.
const LENGTH_S: f64 = 20.0;

/// What arrives, and what the target can do.
struct Pattern {
    kinds: Vec<(Kind, f64)>,
    /// Factor on the arrivals at a time.
    load: fn(f64) -> f64,
    /// Factor on run times at a time.
    slowness: fn(f64) -> f64,
    /// Starts that the target withstands a second.
    starts_per_s: fn(f64) -> Option<f64>,
}

fn steadily(_: f64) -> f64 {
    1.0
}

fn no_limit(_: f64) -> Option<f64> {
    None
}

fn lookup() -> Kind {
    Kind {
        priority: 2,
        run_s: 0.09,
        objective_s: 0.3,
        deadline_s: 2.0,
        returns: 2,
    }
}

/// Arrivals a second of one kind that keep that share of the slots in use.
fn rate(kind: Kind, share: f64) -> f64 {
    share * CAPACITY as f64 / kind.run_s
}

/// Two ways to decide.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Way {
    /// A fixed part of the objective, one queue by due date, one time to come back.
    FixedPart,
    /// The backlog.
    Backlog,
}

/// What became of the callers.
#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    callers: u32,
    in_time: u32,
    late: u32,
    not_served: u32,
    /// Seconds that attempts waited which then were refused.
    held_in_vain_s: f64,
}

impl Outcome {
    fn share(&self, of: u32) -> f64 {
        f64::from(of) / f64::from(self.callers.max(1))
    }

    /// What callers have of it: an answer in time is worth most, a late one a part of it, none is a loss.
    fn value(&self) -> f64 {
        self.share(self.in_time) + LATE_WORTH * self.share(self.late) - self.share(self.not_served)
    }
}

#[derive(Clone, Copy)]
struct Caller {
    kind: Kind,
    came_s: f64,
    attempts: u32,
}

#[derive(Clone, Copy)]
struct Attempt {
    caller: Caller,
    since_s: f64,
    turn: Turn,
    until: Instant,
    ticket: Option<Ticket>,
    waits: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    New(usize),
    Back(usize),
    Look(usize),
    Ended(usize),
    Start,
}

/// Time in microseconds, so that events can be ordered.
fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

struct Trial<'a> {
    way: Way,
    pattern: &'a Pattern,
    numbers: Numbers,
    base: Instant,
    now_s: f64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    callers: Vec<Caller>,
    attempts: Vec<Attempt>,
    backlog: Backlog<usize>,
    /// For the fixed part: attempts that wait.
    queue: std::collections::BTreeSet<(u8, Instant, usize)>,
    mean_run_s: f64,
    running: usize,
    last_start_s: f64,
    outcome: Outcome,
}

impl<'a> Trial<'a> {
    fn run(way: Way, pattern: &'a Pattern, seed: u64) -> Outcome {
        let base = Instant::now();
        let mut trial = Trial {
            way,
            pattern,
            numbers: Numbers(seed),
            base,
            now_s: 0.0,
            events: BinaryHeap::new(),
            order: 0,
            callers: Vec::new(),
            attempts: Vec::new(),
            backlog: Backlog::new(base),
            queue: Default::default(),
            mean_run_s: 0.06,
            running: 0,
            last_start_s: -10.0,
            outcome: Outcome::default(),
        };
        for kind in 0..pattern.kinds.len() {
            trial.plan(0.0, Event::New(kind));
        }
        while let Some(Reverse((at, _, event))) = trial.events.pop() {
            trial.now_s = at as f64 / 1e6;
            trial.handle(event);
            trial.start();
        }
        trial.outcome
    }

    fn plan(&mut self, at_s: f64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((micros(at_s), self.order, event)));
    }

    fn instant(&self, at_s: f64) -> Instant {
        self.base + Duration::from_secs_f64(at_s)
    }

    fn now(&self) -> Instant {
        self.instant(self.now_s)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::New(kind) => self.new_caller(kind),
            Event::Back(caller) => self.attempt(caller),
            Event::Look(attempt) => self.look(attempt),
            Event::Ended(attempt) => self.ended(attempt),
            Event::Start => {}
        }
    }

    fn new_caller(&mut self, kind: usize) {
        let (what, per_s) = self.pattern.kinds[kind];
        let factor = (self.pattern.load)(self.now_s);
        let next = self.now_s + self.numbers.exponential(1.0 / (per_s * factor));
        if next < LENGTH_S {
            self.plan(next, Event::New(kind));
        }
        self.callers.push(Caller {
            kind: what,
            came_s: self.now_s,
            attempts: 0,
        });
        self.outcome.callers += 1;
        self.attempt(self.callers.len() - 1);
    }

    fn attempt(&mut self, caller: usize) {
        self.callers[caller].attempts += 1;
        let caller = self.callers[caller];
        let kind = caller.kind;
        let deadline = self.instant(caller.came_s + kind.deadline_s);
        let turn = Turn {
            priority: kind.priority,
            // The router can't tell a caller that comes back from a new one.
            due: self.instant(
                if self.way == Way::Backlog {
                    caller.came_s
                } else {
                    self.now_s
                } + kind.objective_s,
            ),
            deadline,
            objective: Duration::from_secs_f64(kind.objective_s),
        };
        let until = match self.way {
            Way::FixedPart => self.instant(self.now_s + 0.12 * kind.objective_s),
            Way::Backlog => deadline,
        };
        self.attempts.push(Attempt {
            caller,
            since_s: self.now_s,
            turn,
            until,
            ticket: None,
            waits: true,
        });
        let number = self.attempts.len() - 1;
        self.backlog.arrived(self.now(), turn);
        let admitted = self.admit(number);
        match admitted {
            None => self.refuse(number),
            Some(lane) => {
                match self.way {
                    Way::FixedPart => {
                        self.queue.insert((turn.priority, turn.due, number));
                    }
                    Way::Backlog => {
                        let ticket = self.backlog.enter(lane, turn, number);
                        self.attempts[number].ticket = Some(ticket);
                    }
                }
                self.plan_look(number, lane);
            }
        }
    }

    fn with_supply<T>(&mut self, decide: impl FnOnce(&mut Backlog<usize>, Supply<'_>) -> T) -> T {
        let per_s = (self.pattern.starts_per_s)(self.now_s);
        let since = self.now_s - self.last_start_s;
        let start_after = move |ahead: usize| {
            per_s.map_or(Duration::ZERO, |per_s| {
                Duration::from_secs_f64(((ahead as f64 + 1.0) / per_s - since).max(0.0))
            })
        };
        let supply = Supply {
            capacity: CAPACITY,
            running: self.running,
            starts_per_s: per_s,
            start_after: &start_after,
        };
        decide(&mut self.backlog, supply)
    }

    fn admit(&mut self, number: usize) -> Option<Lane> {
        let Attempt { turn, until, .. } = self.attempts[number];
        let now = self.now();
        if self.way == Way::Backlog {
            let free = self.running < CAPACITY && self.may_start();
            if free && self.backlog.is_empty() {
                return Some(Lane::Timely);
            }
            return self
                .with_supply(|backlog, supply| backlog.admit(now, turn, supply, until).ok());
        }
        let ahead = self
            .queue
            .range(..(turn.priority, turn.due, usize::MAX))
            .count();
        let wait = if self.running + ahead < CAPACITY {
            0.0
        } else {
            (ahead as f64 + 1.0) / CAPACITY as f64 * self.mean_run_s
        };
        (wait <= (until - now).as_secs_f64() * 1.5).then_some(Lane::Timely)
    }

    fn plan_look(&mut self, number: usize, lane: Lane) {
        let Attempt { turn, until, .. } = self.attempts[number];
        let at = match self.way {
            Way::FixedPart => until,
            Way::Backlog => {
                let latest = self.backlog.latest_start(lane, turn);
                let step = self.now() + Duration::from_millis(200);
                if latest > self.now() {
                    latest.min(step)
                } else {
                    step
                }
            }
        };
        let at_s = (at.min(until) - self.base).as_secs_f64();
        self.plan(at_s.max(self.now_s), Event::Look(number));
    }

    fn look(&mut self, number: usize) {
        let attempt = self.attempts[number];
        if !attempt.waits {
            return;
        }
        let now = self.now();
        if let (Way::Backlog, Some(ticket)) = (self.way, attempt.ticket) {
            let decided = self.with_supply(|backlog, supply| {
                backlog.reconsider(now, ticket, supply, attempt.until)
            });
            if let Ok(lane) = decided {
                self.plan_look(number, lane);
                return;
            }
        }
        self.queue
            .remove(&(attempt.turn.priority, attempt.turn.due, number));
        self.refuse(number);
    }

    fn refuse(&mut self, number: usize) {
        let attempt = &mut self.attempts[number];
        attempt.waits = false;
        let caller = attempt.caller;
        self.outcome.held_in_vain_s += self.now_s - attempt.since_s;
        let left = caller.came_s + caller.kind.deadline_s - self.now_s;
        if caller.attempts > caller.kind.returns || left < 0.05 {
            self.outcome.not_served += 1;
            return;
        }
        let now = self.now();
        let told = match self.way {
            Way::FixedPart => 0.15,
            Way::Backlog => {
                let told = self.with_supply(|backlog, supply| backlog.retry_after(now, supply));
                told.as_secs_f64() * (1.0 + 0.3 * self.numbers.next())
            }
        };
        self.callers.push(caller);
        let back = self.callers.len() - 1;
        self.plan(self.now_s + told.min(left / 3.0), Event::Back(back));
    }

    fn may_start(&self) -> bool {
        (self.pattern.starts_per_s)(self.now_s)
            .is_none_or(|per_s| self.now_s - self.last_start_s >= 0.999 / per_s)
    }

    fn start(&mut self) {
        while self.running < CAPACITY {
            if !self.may_start() {
                if !self.backlog.is_empty() || !self.queue.is_empty() {
                    let per_s = (self.pattern.starts_per_s)(self.now_s).unwrap_or(1.0);
                    let at = (self.last_start_s + 1.0 / per_s).max(self.now_s + 1e-4);
                    self.plan(at, Event::Start);
                }
                return;
            }
            let next = match self.way {
                Way::FixedPart => self.queue.pop_first().map(|(.., number)| number),
                Way::Backlog => self.backlog.pop().map(|(_, number)| number),
            };
            let Some(number) = next else {
                return;
            };
            self.attempts[number].waits = false;
            self.running += 1;
            self.last_start_s = self.now_s;
            let kind = self.attempts[number].caller.kind;
            // Half of a run is certain, the rest is spread.
            let run = kind.run_s / 2.0 + self.numbers.exponential(kind.run_s / 2.0);
            let run = run * (self.pattern.slowness)(self.now_s);
            self.mean_run_s += 0.05 * (run - self.mean_run_s);
            self.attempts[number].since_s = self.now_s;
            self.plan(self.now_s + run, Event::Ended(number));
        }
    }

    fn ended(&mut self, number: usize) {
        self.running -= 1;
        let attempt = self.attempts[number];
        let took = Duration::from_secs_f64(self.now_s - attempt.since_s);
        self.backlog.ended(attempt.turn.objective, took);
        let whole = self.now_s - attempt.caller.came_s;
        let kind = attempt.caller.kind;
        if whole <= kind.objective_s {
            self.outcome.in_time += 1;
        } else if whole <= kind.deadline_s {
            self.outcome.late += 1;
        } else {
            self.outcome.not_served += 1;
        }
    }
}

fn patterns() -> Vec<(&'static str, Pattern)> {
    let plain = |share| Pattern {
        kinds: vec![(lookup(), rate(lookup(), share))],
        load: steadily,
        slowness: steadily,
        starts_per_s: no_limit,
    };
    let patient = Kind {
        run_s: 0.16,
        objective_s: 0.8,
        deadline_s: 2.0,
        returns: 1,
        ..lookup()
    };
    let inner = Kind {
        priority: 0,
        run_s: 0.022,
        objective_s: 0.1,
        deadline_s: 0.25,
        returns: 0,
    };
    let payment = Kind {
        priority: 1,
        run_s: 0.12,
        objective_s: 0.5,
        deadline_s: 3.0,
        returns: 2,
    };
    vec![
        ("most of the slots", plain(0.8)),
        ("steady overload 1.2", plain(1.2)),
        ("steady overload 2", plain(2.0)),
        (
            "burst of 3 s",
            Pattern {
                load: |at| if (8.0..11.0).contains(&at) { 2.0 } else { 1.0 },
                ..plain(0.7)
            },
        ),
        (
            "burst of 0.5 s",
            Pattern {
                load: |at| if at % 4.0 < 0.5 { 3.0 } else { 1.0 },
                ..plain(0.6)
            },
        ),
        (
            "hot key",
            Pattern {
                load: |at| if (5.0..10.0).contains(&at) { 5.0 } else { 1.0 },
                ..plain(0.5)
            },
        ),
        (
            "cold target",
            Pattern {
                starts_per_s: |at| (at < 4.0).then_some(15.0),
                ..plain(0.6)
            },
        ),
        (
            "slow target",
            Pattern {
                slowness: |at| if (5.0..11.0).contains(&at) { 5.0 } else { 1.0 },
                ..plain(0.5)
            },
        ),
        (
            "long objective, 1.2",
            Pattern {
                kinds: vec![(patient, rate(patient, 1.2))],
                ..plain(1.0)
            },
        ),
        (
            "long objective, burst",
            Pattern {
                kinds: vec![(patient, rate(patient, 0.7))],
                load: |at| if (8.0..11.0).contains(&at) { 2.0 } else { 1.0 },
                ..plain(1.0)
            },
        ),
        (
            "calls beside payments, 1.3",
            Pattern {
                kinds: vec![(inner, rate(inner, 0.4)), (payment, rate(payment, 0.9))],
                ..plain(1.0)
            },
        ),
    ]
}

/// What became of the callers of ten runs.
fn sum_of_runs(way: Way, pattern: &Pattern) -> Outcome {
    (0..10).fold(Outcome::default(), |sum, seed| {
        let one = Trial::run(way, pattern, seed);
        Outcome {
            callers: sum.callers + one.callers,
            in_time: sum.in_time + one.in_time,
            late: sum.late + one.late,
            not_served: sum.not_served + one.not_served,
            held_in_vain_s: sum.held_in_vain_s + one.held_in_vain_s,
        }
    })
}

/// What a late answer is worth to a caller, against one in time.
const LATE_WORTH: f64 = 0.3;
/// Shares of callers may differ by so much between ways of the same worth.
const NOISE: f64 = 0.015;

#[test]
fn the_backlog_is_worth_more_to_callers_than_a_fixed_part_of_the_objective() {
    for (name, pattern) in patterns() {
        let fixed = sum_of_runs(Way::FixedPart, &pattern);
        let backlog = sum_of_runs(Way::Backlog, &pattern);
        for (way, outcome) in [("fixed part", fixed), ("backlog", backlog)] {
            println!(
                "{name:28} {way:10}: in time {:.3}, late {:.3}, not served {:.3}, held in vain {:.1} ms a caller",
                outcome.share(outcome.in_time),
                outcome.share(outcome.late),
                outcome.share(outcome.not_served),
                outcome.held_in_vain_s * 1000.0 / f64::from(outcome.callers)
            );
        }
        let value = backlog.value() - fixed.value();
        assert!(value > -NOISE, "{name}: {value:.3} of the value");
        let not_served = backlog.share(backlog.not_served) - fixed.share(fixed.not_served);
        assert!(not_served < NOISE, "{name}: {not_served:.3} not served");
    }
}

/// A backlog of a target with one slot in use, which knows that requests take 100 ms.
fn busy_backlog(now: Instant) -> Backlog<&'static str> {
    let mut backlog = Backlog::new(now);
    for _ in 0..200 {
        backlog.ended(Duration::from_millis(400), Duration::from_millis(100));
    }
    backlog
}

fn turn(now: Instant, due_ms: u64, deadline_ms: u64) -> Turn {
    Turn {
        priority: 1,
        due: now + Duration::from_millis(due_ms),
        deadline: now + Duration::from_millis(deadline_ms),
        objective: Duration::from_millis(400),
    }
}

const ONE_SLOT: Supply<'static> = Supply {
    capacity: 1,
    running: 1,
    starts_per_s: None,
    start_after: &|_| Duration::ZERO,
};

#[test]
fn who_would_be_late_takes_nobody_elses_place() {
    let now = Instant::now();
    let mut backlog = busy_backlog(now);
    let late = turn(now, 50, 2_000);
    let lane = backlog.admit(now, late, ONE_SLOT, late.deadline);
    assert_eq!(lane, Ok(Lane::Late));
    backlog.enter(Lane::Late, late, "late");
    let timely = turn(now, 400, 2_000);
    let lane = backlog.admit(now, timely, ONE_SLOT, timely.deadline);
    assert_eq!(lane, Ok(Lane::Timely));
    backlog.enter(Lane::Timely, timely, "timely");
    assert_eq!(backlog.pop().map(|(_, who)| who), Some("timely"));
    assert_eq!(backlog.pop().map(|(_, who)| who), Some("late"));
}

#[test]
fn nobody_waits_to_be_late_while_the_target_is_overloaded() {
    let now = Instant::now();
    let mut backlog = busy_backlog(now);
    let late = turn(now, 50, 2_000);
    for _ in 0..40 {
        backlog.arrived(now, turn(now, 400, 2_000));
    }
    assert!(backlog.admit(now, late, ONE_SLOT, late.deadline).is_err());
    // The burst is over.
    let after = now + Duration::from_secs(10);
    let late = turn(after, 50, 2_000);
    let lane = backlog.admit(after, late, ONE_SLOT, late.deadline);
    assert_eq!(lane, Ok(Lane::Late));
}

#[test]
fn who_can_no_longer_be_in_time_moves_behind_or_leaves() {
    let now = Instant::now();
    let mut backlog = busy_backlog(now);
    let patient = turn(now, 400, 3_000);
    let ticket = backlog.enter(Lane::Timely, patient, "patient");
    let hasty = turn(now, 400, 450);
    let other = backlog.enter(Lane::Timely, hasty, "hasty");
    let later = now + Duration::from_millis(380);
    let moved = backlog.reconsider(later, ticket, ONE_SLOT, patient.deadline);
    assert_eq!(moved, Ok(Lane::Late));
    let left = backlog.reconsider(later, other, ONE_SLOT, hasty.deadline);
    assert!(left.is_err());
    assert_eq!(backlog.len(), 1);
}

#[test]
fn short_requests_stay_in_front_until_their_deadline() {
    let now = Instant::now();
    let mut backlog = busy_backlog(now);
    let objective = Duration::from_millis(100);
    for _ in 0..200 {
        backlog.ended(objective, Duration::from_millis(20));
    }
    let call = Turn {
        objective,
        ..turn(now, 1, 500)
    };
    let lane = backlog.admit(now, call, ONE_SLOT, call.deadline);
    assert_eq!(lane, Ok(Lane::Timely));
}

#[test]
fn a_longer_queue_sends_callers_away_for_longer() {
    let now = Instant::now();
    let mut backlog = busy_backlog(now);
    let short = backlog.retry_after(now, ONE_SLOT);
    for _ in 0..5 {
        backlog.enter(Lane::Timely, turn(now, 400, 2_000), "one of five");
    }
    let long = backlog.retry_after(now, ONE_SLOT);
    assert!(short >= Duration::from_millis(90), "{short:?}");
    assert!(long > short * 4, "{long:?} after {short:?}");
}
