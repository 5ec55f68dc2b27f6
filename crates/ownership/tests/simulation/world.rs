//! The simulated world: nodes, their targets, a store, a network, and faults.

mod actions;
mod checker;
mod faults;
mod heartbeats;
mod lives;
mod options;
mod registration;
mod store;

pub use options::{FaultPlan, Options, Rule, Summary, Violation};

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::rc::Rc;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wingspar_ownership::{
    Action, Admission, ClaimResult, Datagram, Delivery, Fence, GrantResult, Incarnation,
    Leadership, NodeContext, NodeIdentity, NodeName, Order, OwnerZones, Participant,
    RegisteredNodes, Registration, RegistrationCall, RegistryPage, StoreEra, StorePosition, Stored,
    StoredRegistration, TableAnswer, TargetState, Time,
};

use wingspar_quota::Shard;

use crate::target::{Target, WATCHED_KEYS, key};

const NODES: usize = 6;
const SERVICE: &str = "stock";
const UNKEYED_SERVICE: &str = "orders";
/// Zones, assigned to the machines in turn.
const ZONES: [&str; 2] = ["a", "b"];
const ZONES_CHANGE_EVERY_MS: u64 = 5_000;
/// Interval between ticks of each participant, in milliseconds.
const TICK_INTERVAL_MS: u64 = 50;
/// Interval between checks of the invariants, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 10;

/// When faults begin and end, in milliseconds.
const FAULT_PERIOD_MS: (u64, u64) = (8_000, 40_000);
/// Time after the end of the faults within which every key must be served, in milliseconds.
const RECOVERY_TIMEOUT_MS: u64 = 20_000;
const END_MS: u64 = FAULT_PERIOD_MS.1 + RECOVERY_TIMEOUT_MS;

enum Event {
    Tick(usize, u64),
    Check,
    Datagram(usize, SocketAddr, Box<Datagram>),
    StoreArrives(usize, u64, StoreCall),
    /// With the store's era at the time of the answer; `None` if the store did not answer.
    StoreAnswers(usize, u64, StoreCall, StoreReply, Option<StoreEra>),
    OrderArrives(usize, u64, SentOrder),
    OrderAnswers(usize, u64, Order, Time, bool, Option<GrantResult>),
    TableArrives(usize, u64, Option<TableAnswer>),
    Heartbeat(heartbeats::Step),
    Fault,
    Scheduled(Box<dyn FnOnce(&mut World)>),
}

/// An order on its way to a target's address.
struct SentOrder {
    order: Order,
    sent_at: Time,
    /// The life of the target that the node knew when it sent the order.
    meant_for: Option<String>,
}

#[derive(Clone)]
enum StoreCall {
    Read(Time),
    ReadCached,
    Confirm(Time),
    Claim(Time, Option<u64>, Leadership),
    Rewrite(u64, Leadership),
    List,
    /// A call about the caller's own registration.
    Registration(registration::Purpose, RegistrationCall, Registration),
    WritePage(RegistryPage),
    RemovePage(String),
}

enum StoreReply {
    Failed,
    Object(Stored),
    Claimed(ClaimResult),
    Listed(RegisteredNodes),
    Registration(StoredRegistration),
    Written,
}

struct Machine {
    name: NodeName,
    address: SocketAddr,
    participant: Option<Participant>,
    life: u64,
    rate: f64,
    frozen_until: u64,
    /// For each suspension: when it ended, and how long it lasted, in milliseconds.
    suspensions: Vec<(u64, u64)>,
    /// Whether the process registers its node.
    registers_itself: bool,
    /// Where the store acknowledged the process's registration.
    registered_at: Option<StorePosition>,
    /// Whether the process has begun to remove its registration.
    removes_registration: bool,
    /// The store's era, as known to the process.
    known_era: StoreEra,
    leaving: bool,
    target: Target,
    lives: lives::KnownLives,
    /// Until when the target accepts no requests.
    paused_until: u64,
    /// The last heartbeat handled by the process: the target's id and the heartbeat's number.
    last_heartbeat: Option<(String, u64)>,
    store_unreachable: bool,
    gone: bool,
}

/// A simulation run.
pub struct World {
    rng: ChaCha8Rng,
    options: Options,
    now: u64,
    sequence: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<(u64, u64), Event>,
    machines: Vec<Machine>,
    cuts: BTreeSet<(usize, usize)>,
    object: Stored,
    /// Earlier versions of the leadership object, and when each was replaced. The store's caches
    /// may still return them.
    earlier_objects: Vec<(u64, Stored)>,
    revision: u64,
    /// Revision and content of the objects of nodes that register themselves, by object name.
    registered: BTreeMap<String, (u64, Registration)>,
    /// Registry pages by name.
    pages: BTreeMap<String, RegistryPage>,
    era: StoreEra,
    /// Earlier states of the store, and when each was replaced; kept only if the store is restored
    /// from copies.
    copies: Vec<(u64, store::StoreCopy)>,
    store_down_until: u64,
    /// For each watched key: since when several targets have held it.
    shared_since: [Option<u64>; WATCHED_KEYS],
    /// For each watched key: the highest fence under which each target incarnation held it.
    fences: Vec<BTreeMap<String, Fence>>,
    served_at: [u64; WATCHED_KEYS],
    last_owner: [Option<usize>; WATCHED_KEYS],
    /// When each shard last had an owner.
    shard_owned_at: BTreeMap<Shard, u64>,
    lost: Option<usize>,
    summary: Summary,
    violation: Option<Violation>,
    tracing: bool,
}

impl World {
    /// Creates the world of a seed.
    pub fn new(seed: u64, options: Options) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let machines = (0..NODES)
            .map(|index| Machine {
                name: NodeName::from(format!("node-{index}").as_str()),
                address: SocketAddr::from(([10, 0, 0, index as u8 + 1], 7000)),
                participant: None,
                life: 0,
                rate: 1.0 + rng.random_range(-1.0..1.0) * options.drift,
                frozen_until: 0,
                suspensions: Vec::new(),
                registers_itself: false,
                registered_at: None,
                removes_registration: false,
                known_era: StoreEra::default(),
                leaving: false,
                target: Target::new(format!("t{index}-0")),
                lives: lives::KnownLives::default(),
                paused_until: 0,
                last_heartbeat: None,
                store_unreachable: false,
                gone: false,
            })
            .collect();
        let mut world = Self {
            rng,
            options,
            now: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            machines,
            cuts: BTreeSet::new(),
            object: None,
            earlier_objects: Vec::new(),
            revision: 0,
            registered: BTreeMap::new(),
            pages: BTreeMap::new(),
            era: StoreEra::default(),
            copies: Vec::new(),
            store_down_until: 0,
            shared_since: [None; WATCHED_KEYS],
            fences: vec![BTreeMap::new(); WATCHED_KEYS],
            served_at: [FAULT_PERIOD_MS.0; WATCHED_KEYS],
            last_owner: [None; WATCHED_KEYS],
            shard_owned_at: BTreeMap::new(),
            lost: None,
            summary: Summary::default(),
            violation: None,
            tracing: std::env::var("TRACE").is_ok_and(|value| !value.is_empty()),
        };
        for index in 0..NODES {
            world.start(index, true);
            world.begin_heartbeats(index);
        }
        world.after(CHECK_INTERVAL_MS, Event::Check);
        world.schedule_faults();
        world
    }

    /// Runs the simulation to its end or to the first violation.
    pub fn play(mut self) -> Result<Summary, Violation> {
        while let Some(Reverse(at)) = self.queue.pop() {
            self.now = at.0;
            if self.now > END_MS || self.violation.is_some() {
                break;
            }
            if let Some(event) = self.events.remove(&at) {
                self.handle(event);
            }
        }
        match self.violation {
            Some(violation) => Err(violation),
            None => Ok(self.summary),
        }
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        let at = (self.now + delay, self.sequence);
        self.queue.push(Reverse(at));
        self.events.insert(at, event);
    }

    fn leader(&self) -> Option<usize> {
        let named = &self.object.as_ref()?.1.leader;
        self.machines
            .iter()
            .position(|machine| machine.name == named.node)
    }

    fn start(&mut self, index: usize, first: bool) {
        if self.machines[index].gone || self.machines[index].participant.is_some() {
            return;
        }
        let life = self.rng.next_u64();
        let now = self.clock(index);
        let machine = &mut self.machines[index];
        machine.life = life;
        machine.registers_itself = self.options.nodes_register_themselves;
        machine.registered_at = None;
        machine.removes_registration = false;
        machine.known_era = StoreEra::default();
        machine.leaving = false;
        machine.lives = lives::KnownLives::default();
        machine.last_heartbeat = None;
        let identity = NodeIdentity {
            node: machine.name.clone(),
            life: Incarnation(life),
            zone: ZONES[index % ZONES.len()].to_owned(),
            address: machine.address,
        };
        let participant = Participant::new(identity, self.options.timing, first, now)
            .with_delivery(self.options.delivery);
        machine.participant = Some(participant);
        self.after(0, Event::Tick(index, life));
        self.register(index);
        self.contact_target_after_start(index, first);
    }

    fn kill(&mut self, index: usize) {
        self.machines[index].participant = None;
        self.machines[index].life = 0;
    }

    /// Returns the service of a machine's target.
    fn service_of(&self, index: usize) -> &'static str {
        if index < self.options.unkeyed_nodes {
            UNKEYED_SERVICE
        } else {
            SERVICE
        }
    }

    fn clock(&self, index: usize) -> Time {
        let machine = &self.machines[index];
        let over = machine.suspensions.iter();
        let over = over.filter(|(woke_at, _)| *woke_at <= self.now);
        let slept = over.map(|(_, slept)| slept).sum::<u64>();
        let uncounted = if self.options.clocks_stop_while_suspended {
            slept
        } else {
            0
        };
        Time(1_000_000 + ((self.now - uncounted) as f64 * machine.rate) as u64)
    }

    /// Returns the zones in which keys may be owned. The operator changes them regularly, between
    /// each zone and both.
    fn owner_zones(&self) -> Rc<OwnerZones> {
        if !self.options.owner_zones_change || self.now >= FAULT_PERIOD_MS.1 {
            return Rc::default();
        }
        let zones =
            [&ZONES[..1], &ZONES[1..], &ZONES][(self.now / ZONES_CHANGE_EVERY_MS) as usize % 3];
        let zones = zones.iter().map(|zone| (*zone).to_owned());
        let by_service = BTreeMap::from([(SERVICE.to_owned(), zones.collect())]);
        Rc::new(OwnerZones::new(by_service))
    }

    fn context(&self, index: usize) -> NodeContext {
        let machine = &self.machines[index];
        let registered_at = machine
            .registered_at
            .filter(|at| at.era == machine.known_era);
        let state = machine.lives.current.as_ref().map(|id| TargetState {
            id: id.clone(),
            service: self.service_of(index).to_owned(),
            accepting: self.accepts(index),
            slots: 18,
            starts_per_s: None,
        });
        NodeContext {
            target: state,
            leaving: machine.leaving,
            service: (!self.options.nodes_register_themselves)
                .then(|| self.service_of(index).to_owned()),
            registered_for: registered_at.map(|_| self.service_of(index).to_owned()),
            registered_in: registered_at.unwrap_or_default().era,
            registered_revision: registered_at.unwrap_or_default().revision,
            configuration_version: 1,
            configuration_bytes: 0,
            configuration_checked_ago: None,
            evacuations: None,
            quarantine: Default::default(),
            store_reachable: !machine.store_unreachable && self.now >= self.store_down_until,
            link_mbps: None,
            keyed_services: BTreeSet::from([SERVICE.to_owned()]),
            owner_zones: self.owner_zones(),
            has_quotas: self.options.has_quotas,
        }
    }

    /// Passes an input to a running participant and performs the resulting actions. A frozen
    /// process gets the input when it thaws.
    fn input(
        &mut self,
        index: usize,
        life: u64,
        give: impl FnOnce(&mut Participant, Time, &NodeContext) -> Vec<Action>,
    ) {
        if self.machines[index].life != life {
            return;
        }
        let context = self.context(index);
        let now = self.clock(index);
        let Some(participant) = &mut self.machines[index].participant else {
            return;
        };
        let actions = give(participant, now, &context);
        for action in actions {
            self.perform(index, life, action);
        }
    }

    fn handle(&mut self, event: Event) {
        let process = match &event {
            Event::Tick(index, _)
            | Event::Datagram(index, ..)
            | Event::StoreAnswers(index, ..)
            | Event::OrderAnswers(index, ..)
            | Event::TableArrives(index, ..) => Some(*index),
            Event::Heartbeat(step) => Self::handling_node(step),
            _ => None,
        };
        if let Some(index) = process
            && self.now < self.machines[index].frozen_until
        {
            let delay = self.machines[index].frozen_until - self.now;
            return self.after(delay, event);
        }
        match event {
            Event::Tick(index, life) => {
                if self.machines[index].life == life {
                    self.input(index, life, |participant, now, context| {
                        participant.tick(now, context)
                    });
                    self.after(TICK_INTERVAL_MS, Event::Tick(index, life));
                }
            }
            Event::Check => {
                self.check();
                self.after(CHECK_INTERVAL_MS, Event::Check);
            }
            Event::Datagram(index, from, datagram) => {
                let life = self.machines[index].life;
                self.input(index, life, |participant, now, context| {
                    participant.receive(now, context, from, *datagram)
                });
            }
            Event::StoreArrives(index, life, call) => self.store_arrives(index, life, call),
            Event::StoreAnswers(index, life, call, reply, era) => {
                self.store_answers(index, life, call, reply, era);
            }
            Event::OrderArrives(index, life, sent) => self.order_arrives(index, life, sent),
            Event::OrderAnswers(index, life, order, sent_at, answered, result) => {
                self.input(index, life, |participant, now, context| {
                    match result {
                        Some(result) => participant.granted(now, &order, sent_at, result),
                        None => {
                            participant.released(now, &order, answered, Some("token".to_owned()))
                        }
                    }
                    participant.renew_soon(now, context)
                });
            }
            Event::TableArrives(index, life, table) => {
                self.input(index, life, |participant, _, _| {
                    participant.table_fetched(table)
                });
            }
            Event::Fault => {
                if self.now < FAULT_PERIOD_MS.1 - 6_000 {
                    self.inject_random_fault();
                    let delay = self.rng.random_range(200..2_500);
                    self.after(delay, Event::Fault);
                }
            }
            Event::Heartbeat(step) => self.heartbeat_step(step),
            Event::Scheduled(run) => run(self),
        }
    }

    /// Prints a line if `TRACE` is set.
    fn trace(&self, line: impl Fn() -> String) {
        if self.tracing {
            eprintln!("{:>6} {}", self.now, line());
        }
    }
}
