//! Ways to keep slow checks from starving interactive requests, compared in virtual time.
//!
//! Three routers feed four targets with twenty slots each. Every policy runs the crate's own
//! router; what differs is the admission in front of the targets and the agents' queues.
//! Run with `cargo run --release -p wingspar-routing --example class_limits`.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wingspar_routing::{
    AgentRefusal, Attempt, AttemptResult, Decision, Input, LimitSettings, Next, Reason, Resolved,
    Router, RouterSettings,
};
use wingspar_wire::{Availability, StateVersion, TableUpdate, TargetEntry};
use wingspar_world::{
    ConfigVersion, Configuration, GroupId, MonotonicTime, RequestClass, ServiceName, TargetName,
};

const ROUTERS: usize = 3;
const TARGETS: usize = 4;
const SLOTS: usize = 20;
const QUEUE: usize = 10;
const SECONDS: u64 = 30;
const SEED: u64 = 11;
const CLASSES: [RequestClass; 3] = [
    RequestClass::Interactive,
    RequestClass::Checks,
    RequestClass::Bulk,
];

/// Arrivals a second and mean holding time in milliseconds, by class.
type Load = [(f64, f64); 3];
const CALM: Load = [(4_000.0, 5.0), (200.0, 20.0), (10.0, 1_000.0)];
const SLOW_CHECKS: Load = [(4_000.0, 5.0), (2_000.0, 100.0), (10.0, 1_000.0)];
const CHECKS_ALONE: Load = [(0.0, 5.0), (2_000.0, 100.0), (0.0, 1_000.0)];

/// Interactive requests that need all slots all the time, and twice that.
const CAPACITY: Load = [(16_000.0, 5.0), (0.0, 20.0), (0.0, 1_000.0)];
const TWICE_CAPACITY: Load = [(32_000.0, 5.0), (0.0, 20.0), (0.0, 1_000.0)];

#[derive(Clone, Copy)]
enum Policy {
    /// No admission at the router.
    Open,
    /// Each class has its own fixed share of the slots.
    StaticPartition,
    /// What the crate does: headroom per class, shrinking while agents refuse.
    Headroom,
    /// One limit for all classes that follows the observed latency.
    Adaptive,
}

/// One request under way.
struct Call {
    class: usize,
    router: usize,
    arrived: MonotonicTime,
    hold: Duration,
    attempt: Attempt,
    target: usize,
}

enum Event {
    Arrival(usize),
    Retry(u64),
    End(u64),
}

/// Slots that each class leaves free at a target whose agent keeps headroom.
const AGENT_HEADROOM: [usize; 3] = [0, 5, 8];

/// A target's slots and queues: one queue for all classes, or one each with headroom.
struct Target {
    has_headroom: bool,
    running: [usize; 3],
    queues: [VecDeque<u64>; 3],
}

impl Target {
    fn new(has_headroom: bool) -> Self {
        Self {
            has_headroom,
            running: [0; 3],
            queues: Default::default(),
        }
    }

    fn queue_of(&mut self, class: usize) -> &mut VecDeque<u64> {
        &mut self.queues[if self.has_headroom { class } else { 0 }]
    }

    /// As agents do it: a class leaves headroom to the more urgent ones, but may always have one.
    fn has_slot(&self, class: usize) -> bool {
        let running: usize = self.running.iter().sum();
        let headroom = match (self.has_headroom, self.running[class]) {
            (true, 1..) => AGENT_HEADROOM[class],
            _ => 0,
        };
        running + headroom < SLOTS
    }

    fn next(&mut self) -> Option<u64> {
        let waits = |class: &usize| self.has_slot(*class) && !self.queues[*class].is_empty();
        let is_starved = |class: usize| self.running[class] == 0;
        let classes = (0..3).filter(waits);
        let class = classes.min_by_key(|&class| (!is_starved(class), class))?;
        self.queues[class].pop_front()
    }
}

/// Admission in front of a router, for the policies that are not the crate's own.
struct Gate {
    policy: Policy,
    in_flight: [usize; 3],
    limit: f64,
    fastest: f64,
}

impl Gate {
    fn admits(&self, class: usize) -> bool {
        let slots = (TARGETS * SLOTS) as f64 / ROUTERS as f64;
        match self.policy {
            Policy::Open | Policy::Headroom => true,
            Policy::StaticPartition => {
                (self.in_flight[class] as f64) < slots * [0.6, 0.25, 0.15][class]
            }
            Policy::Adaptive => (self.in_flight.iter().sum::<usize>() as f64) < self.limit,
        }
    }

    /// Additive increase while answers take their usual time, multiplicative decrease otherwise.
    /// The usual time is the class's mean, which a real router would have to learn.
    fn learn(&mut self, latency: Duration, usual: Duration) {
        let stretch = latency.as_secs_f64() / usual.as_secs_f64();
        self.fastest = 0.99 * self.fastest + 0.01 * stretch;
        if self.fastest > 1.5 {
            self.limit = (self.limit * 0.98).max(1.0);
        } else {
            self.limit = (self.limit + 1.0 / self.limit).min(200.0);
        }
    }
}

struct Run {
    now: MonotonicTime,
    random: ChaCha8Rng,
    load: Load,
    events: BinaryHeap<Reverse<(MonotonicTime, u64)>>,
    pending: HashMap<u64, Event>,
    next_event: u64,
    calls: HashMap<u64, Call>,
    next_call: u64,
    routers: Vec<Router>,
    gates: Vec<Gate>,
    targets: Vec<Target>,
    refusals: u64,
    latencies: [Vec<Duration>; 3],
    refused: [u64; 3],
}

fn main() {
    let columns = "interactive/s  p50 / p99 ms, refused   checks/s  bulk/s  refusals/s";
    println!("{:<17} {:<14} {columns}", "policy", "load");
    for (name, policy, has_headroom) in [
        ("single queue", Policy::Open, false),
        ("static partition", Policy::StaticPartition, false),
        ("adaptive", Policy::Adaptive, false),
        ("headroom, routers", Policy::Headroom, false),
        ("headroom, agents", Policy::Open, true),
        ("headroom, both", Policy::Headroom, true),
    ] {
        let loads = [
            ("calm", CALM),
            ("slow checks", SLOW_CHECKS),
            ("checks alone", CHECKS_ALONE),
            ("capacity", CAPACITY),
            ("twice capacity", TWICE_CAPACITY),
        ];
        for (load_name, load) in loads {
            let mut run = Run::new(policy, has_headroom, load);
            run.play();
            println!("{name:<17} {load_name:<14} {}", run.summary());
        }
    }
}

impl Run {
    fn new(policy: Policy, has_headroom: bool, load: Load) -> Self {
        let gate = |_| Gate {
            policy,
            in_flight: [0; 3],
            limit: 20.0,
            fastest: 1.0,
        };
        let mut run = Self {
            now: MonotonicTime::ZERO,
            random: ChaCha8Rng::seed_from_u64(SEED),
            load,
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            next_event: 0,
            calls: HashMap::new(),
            next_call: 0,
            routers: (0..ROUTERS)
                .map(|number| router(policy, number as u64))
                .collect(),
            gates: (0..ROUTERS).map(gate).collect(),
            targets: (0..TARGETS).map(|_| Target::new(has_headroom)).collect(),
            refusals: 0,
            latencies: Default::default(),
            refused: [0; 3],
        };
        for class in 0..CLASSES.len() {
            run.schedule_arrival(class);
        }
        run
    }

    fn play(&mut self) {
        let end = MonotonicTime::from_millis(SECONDS * 1_000);
        while let Some(Reverse((at, id))) = self.events.pop() {
            if at >= end {
                return;
            }
            self.now = at;
            match self.pending.remove(&id).expect("scheduled once") {
                Event::Arrival(class) => self.arrive(class),
                Event::Retry(call) => self.send(call),
                Event::End(call) => self.end(call),
            }
        }
    }

    fn schedule(&mut self, at: MonotonicTime, event: Event) {
        self.next_event += 1;
        self.pending.insert(self.next_event, event);
        self.events.push(Reverse((at, self.next_event)));
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let uniform: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        Duration::from_secs_f64(-uniform.ln() * mean)
    }

    fn schedule_arrival(&mut self, class: usize) {
        let rate = self.load[class].0;
        if rate > 0.0 {
            let gap = self.exponential(1.0 / rate);
            self.schedule(self.now + gap, Event::Arrival(class));
        }
    }

    fn arrive(&mut self, class: usize) {
        self.schedule_arrival(class);
        let router = self.random.random_range(0..ROUTERS);
        let hold = self.exponential(self.load[class].1 / 1e3);
        let begun = if self.gates[router].admits(class) {
            self.routers[router]
                .begin(self.now, resolved(CLASSES[class]))
                .ok()
        } else {
            None
        };
        let Some(attempt) = begun else {
            self.refused[class] += 1;
            return;
        };
        self.gates[router].in_flight[class] += 1;
        self.next_call += 1;
        let call = Call {
            class,
            router,
            arrived: self.now,
            hold,
            attempt,
            target: 0,
        };
        self.calls.insert(self.next_call, call);
        self.send(self.next_call);
    }

    fn send(&mut self, id: u64) {
        let call = self.calls.get_mut(&id).expect("under way");
        let router = &mut self.routers[call.router];
        let Decision::Forward(forward) = router.route(self.now, &mut call.attempt) else {
            return self.leave(id, false);
        };
        call.target = usize::from(forward.agent.port()) - 1;
        let target = &mut self.targets[call.target];
        let queue_length = target.queue_of(call.class).len();
        if queue_length == 0 && target.has_slot(call.class) {
            target.running[call.class] += 1;
            let at = self.now + call.hold;
            self.schedule(at, Event::End(id));
        } else if queue_length < QUEUE {
            target.queue_of(call.class).push_back(id);
        } else {
            self.refusals += 1;
            let result = AttemptResult::Refused {
                refusal: AgentRefusal::ByAgent,
                reason: Reason::OVERLOADED,
                retry_after: Some(Duration::from_millis(20)),
            };
            match router.after(self.now, &mut call.attempt, result) {
                Next::Retry { at } => self.schedule(at, Event::Retry(id)),
                _ => self.leave(id, false),
            }
        }
    }

    fn end(&mut self, id: u64) {
        let call = self.calls.get_mut(&id).expect("under way");
        let answered = AttemptResult::Answered { status: 200 };
        self.routers[call.router].after(self.now, &mut call.attempt, answered);
        let target = &mut self.targets[call.target];
        target.running[call.class] -= 1;
        if let Some(next) = target.next() {
            let next_call = &self.calls[&next];
            target.running[next_call.class] += 1;
            let at = self.now + next_call.hold;
            self.schedule(at, Event::End(next));
        }
        self.leave(id, true);
    }

    fn leave(&mut self, id: u64, ran: bool) {
        let call = self.calls.remove(&id).expect("under way");
        let latency = self.now.since(call.arrived);
        let gate = &mut self.gates[call.router];
        gate.in_flight[call.class] -= 1;
        if ran {
            gate.learn(
                latency,
                Duration::from_secs_f64(self.load[call.class].1 / 1e3),
            );
            self.latencies[call.class].push(latency);
        } else {
            self.refused[call.class] += 1;
        }
        self.routers[call.router].finish(self.now, call.attempt);
    }

    fn summary(&mut self) -> String {
        let rate = |ran: &Vec<Duration>| ran.len() as f64 / SECONDS as f64;
        let (checks, bulk) = (rate(&self.latencies[1]), rate(&self.latencies[2]));
        let interactive = &mut self.latencies[0];
        interactive.sort();
        let quantile = |share: f64| {
            let index = (interactive.len() as f64 * share) as usize;
            interactive
                .get(index)
                .map_or(0.0, |latency| latency.as_secs_f64() * 1e3)
        };
        let all = (interactive.len() as u64 + self.refused[0]).max(1);
        let refused = 100.0 * self.refused[0] as f64 / all as f64;
        let (median, tail) = (quantile(0.5), quantile(0.99));
        let refusals = self.refusals as f64 / SECONDS as f64;
        let ran = interactive.len() as f64 / SECONDS as f64;
        let latency = format!("{ran:13.0} {median:6.1} / {tail:5.1} {refused:7.1} %");
        format!("{latency} {checks:10.0} {bulk:7.1} {refusals:11.0}")
    }
}

fn service() -> ServiceName {
    ServiceName::new("tal").expect("valid")
}

fn resolved(class: RequestClass) -> Resolved {
    Resolved {
        service: service(),
        key: None,
        class,
        repeatable: true,
        deadline: Duration::from_secs(10),
        has_idempotency_key: false,
        config: ConfigVersion(1),
    }
}

fn router(policy: Policy, seed: u64) -> Router {
    let off = LimitSettings {
        total: 1e6,
        checks: 1e6,
        bulk: 1e6,
        ..LimitSettings::default()
    };
    let limits = match policy {
        Policy::Headroom => LimitSettings::default(),
        _ => off,
    };
    let mut router = Router::new(
        RouterSettings {
            limits,
            ..RouterSettings::default()
        },
        seed,
    );
    let target = |number: usize| TargetEntry {
        target: TargetName::new(&format!("t{number}")).expect("valid"),
        service: service(),
        agent: Some(SocketAddr::from(([127, 0, 0, 1], number as u16 + 1))),
        availability: Availability::Serving,
    };
    let update = TableUpdate {
        group: GroupId(0),
        since: None,
        version: StateVersion {
            generation: 1,
            sequence: 1,
        },
        slices: Vec::new(),
        targets: (0..TARGETS).map(target).collect(),
        more: false,
    };
    let mut outputs = Vec::new();
    let configuration = Arc::new(Configuration::default());
    router.step(
        MonotonicTime::ZERO,
        Input::Configuration(configuration),
        &mut outputs,
    );
    router.step(MonotonicTime::ZERO, Input::Table(update), &mut outputs);
    router
}
