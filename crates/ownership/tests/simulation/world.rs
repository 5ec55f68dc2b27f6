//! Nodes, their targets, a store, a network, and what goes wrong with them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wingspar_ownership::{
    Action, Admission, ClaimResult, Datagram, Delivery, Fence, GrantResult, Identity, Leadership,
    Life, NodeName, Order, Participant, RegisteredNode, Stored, Surroundings, TableAnswer,
    TargetState, Time, Timing,
};

use crate::target::{Target, WATCHED, key};

const NODES: usize = 6;
const SERVICE: &str = "stock";
const PLAIN_SERVICE: &str = "orders";
const TICK_MS: u64 = 50;
const CHECK_MS: u64 = 10;
mod heartbeats;

/// Faults begin and end at these times.
const FAULTS: (u64, u64) = (8_000, 40_000);
/// Every key must be served this long after the faults.
const SERVED_AGAIN_MS: u64 = 20_000;
const END_MS: u64 = FAULTS.1 + SERVED_AGAIN_MS;

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultPlan {
    /// Anything, at any time.
    Random,
    /// One node that doesn't lead loses power for good, with its target.
    OneOwnerLost,
    /// The leader's process is killed and starts again later.
    LeaderLost,
    /// The leader's machine is lost for good, and nobody reaches the store for a time.
    LeaderGoneAndStoreDown {
        /// How long, in milliseconds.
        for_ms: u64,
    },
    /// Nobody reaches the store for a time.
    StoreDown {
        /// How long, in milliseconds.
        for_ms: u64,
    },
    /// All processes are killed at once; the targets live on.
    AllKilled,
    /// The same, and one machine that doesn't lead never comes back.
    AllKilledOneGone,
}

/// How a run is played.
#[derive(Debug, Clone)]
pub struct Options {
    /// Bounds given to all nodes.
    pub timing: Timing,
    /// What goes wrong.
    pub faults: FaultPlan,
    /// Removes a mechanism: agents pass work on whether or not their lease has ended.
    pub agents_ignore_leases: bool,
    /// Removes a mechanism: a new leader doesn't know whom to wait for.
    pub leaders_dont_wait: bool,
    /// Clocks differ by up to this part.
    pub drift: f64,
    /// Part of the calls to the store that are lost, and as many again that are done late.
    pub store_trouble: f64,
    /// Part of the orders to targets that get no answer and are carried out seconds later; of heartbeats that
    /// come late, and of their answers that are lost.
    pub late_orders: f64,
    /// The first so many machines have targets of a service whose keys have no owners.
    pub plain_nodes: usize,
    /// How keys reach the targets.
    pub delivery: Delivery,
    /// Removes a mechanism: heartbeats that a later one has overtaken count.
    pub late_heartbeats_count: bool,
}

impl Options {
    /// Nothing goes wrong but the plan's faults and what datagrams suffer.
    pub fn only(faults: FaultPlan) -> Self {
        Self {
            faults,
            store_trouble: 0.0,
            late_orders: 0.0,
            ..Self::default()
        }
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            timing: Timing::default(),
            faults: FaultPlan::Random,
            agents_ignore_leases: false,
            leaders_dont_wait: false,
            drift: 0.01,
            store_trouble: 0.03,
            late_orders: 0.02,
            plain_nodes: 0,
            delivery: Delivery::Calls,
            late_heartbeats_count: false,
        }
    }
}

/// What a run showed.
#[derive(Debug, Clone, Copy, Default)]
pub struct Summary {
    /// Longest time that a key went unserved after the start.
    pub longest_unserved_ms: u64,
    /// The same for keys that weren't at a node that was lost.
    pub longest_unserved_elsewhere_ms: u64,
}

enum Event {
    Tick(usize, u64),
    Check,
    Datagram(usize, SocketAddr, Box<Datagram>),
    StoreArrives(usize, u64, StoreCall),
    StoreAnswers(usize, u64, StoreCall, StoreReply),
    OrderArrives(usize, u64, String, Order, Time),
    OrderAnswers(usize, u64, Order, Time, bool, Option<GrantResult>),
    TableArrives(usize, u64, Option<TableAnswer>),
    Heartbeat(heartbeats::Step),
    Fault,
    Heal(Box<dyn FnOnce(&mut World)>),
}

#[derive(Clone)]
enum StoreCall {
    Read(Time),
    Confirm(Time),
    Claim(Time, Option<u64>, Leadership),
    Rewrite(u64, Leadership),
    List,
    Register,
}

enum StoreReply {
    Failed,
    Object(Stored),
    Claimed(ClaimResult),
    Listed(Vec<RegisteredNode>),
    Registered,
}

struct Machine {
    name: NodeName,
    address: SocketAddr,
    participant: Option<Participant>,
    life: u64,
    rate: f64,
    frozen_until: u64,
    registered: bool,
    leaving: bool,
    target: Target,
    target_known: bool,
    /// The last heartbeat that its process has taken in.
    heard: Option<(String, u64)>,
    store_cut: bool,
    gone: bool,
}

/// One run.
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
    revision: u64,
    registered: BTreeMap<NodeName, RegisteredNode>,
    store_down_until: u64,
    /// For each key: the highest fence that each target life held it under.
    fences: Vec<BTreeMap<String, Fence>>,
    served_at: [u64; WATCHED],
    last_owner: [Option<usize>; WATCHED],
    lost: Option<usize>,
    summary: Summary,
    problem: Option<String>,
    tracing: bool,
}

impl World {
    /// A world of that seed.
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
                registered: false,
                leaving: false,
                target: Target::new(format!("t{index}-0")),
                target_known: true,
                heard: None,
                store_cut: false,
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
            revision: 0,
            registered: BTreeMap::new(),
            store_down_until: 0,
            fences: vec![BTreeMap::new(); WATCHED],
            served_at: [FAULTS.0; WATCHED],
            last_owner: [None; WATCHED],
            lost: None,
            summary: Summary::default(),
            problem: None,
            tracing: std::env::var("TRACE").is_ok(),
        };
        for index in 0..NODES {
            world.start(index, true);
            world.begin_heartbeats(index);
        }
        world.after(CHECK_MS, Event::Check);
        world.plan_faults();
        world
    }

    /// Plays to the end.
    pub fn play(mut self) -> Result<Summary, String> {
        while let Some(Reverse(at)) = self.queue.pop() {
            self.now = at.0;
            if self.now > END_MS || self.problem.is_some() {
                break;
            }
            if let Some(event) = self.events.remove(&at) {
                self.handle(event);
            }
        }
        match self.problem {
            Some(problem) => Err(problem),
            None => Ok(self.summary),
        }
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        let at = (self.now + delay, self.sequence);
        self.queue.push(Reverse(at));
        self.events.insert(at, event);
    }

    fn plan_faults(&mut self) {
        match self.options.faults {
            FaultPlan::Random => self.after(FAULTS.0, Event::Fault),
            FaultPlan::OneOwnerLost => self.heal_at(FAULTS.0, |world| {
                let leader = world.leader();
                let index = (0..NODES)
                    .find(|index| Some(*index) != leader)
                    .expect("others");
                world.lost = Some(index);
                world.kill(index);
                world.machines[index].target.up = false;
                world.machines[index].gone = true;
            }),
            FaultPlan::LeaderLost => self.heal_at(FAULTS.0, |world| {
                let index = world.leader().expect("a leader by now");
                world.lost = Some(index);
                world.kill(index);
                world.heal_at(1_000, move |world| world.start(index, false));
            }),
            FaultPlan::LeaderGoneAndStoreDown { for_ms } => self.heal_at(FAULTS.0, move |world| {
                world.store_down_until = world.now + for_ms;
                let index = world.leader().expect("a leader by now");
                world.kill(index);
                world.machines[index].target.up = false;
                world.machines[index].gone = true;
            }),
            FaultPlan::StoreDown { for_ms } => self.heal_at(FAULTS.0, move |world| {
                world.store_down_until = world.now + for_ms;
            }),
            FaultPlan::AllKilled | FaultPlan::AllKilledOneGone => self.heal_at(FAULTS.0, |world| {
                if world.options.faults == FaultPlan::AllKilledOneGone {
                    let leader = world.leader();
                    let gone = (0..NODES)
                        .find(|index| Some(*index) != leader)
                        .expect("others");
                    world.machines[gone].gone = true;
                    world.machines[gone].target.up = false;
                }
                for index in 0..NODES {
                    world.kill(index);
                    let delay = world.rng.random_range(100..600);
                    world.heal_at(delay, move |world| world.start(index, false));
                }
            }),
        }
    }

    fn heal_at(&mut self, delay: u64, heal: impl FnOnce(&mut World) + 'static) {
        self.after(delay, Event::Heal(Box::new(heal)));
    }

    fn leader(&self) -> Option<usize> {
        let named = &self.object.as_ref()?.1.leader;
        self.machines
            .iter()
            .position(|machine| machine.name == named.node)
    }

    // --- processes ---

    fn start(&mut self, index: usize, first: bool) {
        if self.machines[index].gone || self.machines[index].participant.is_some() {
            return;
        }
        let life = self.rng.next_u64();
        let now = self.clock(index);
        let machine = &mut self.machines[index];
        machine.life = life;
        machine.registered = false;
        machine.leaving = false;
        machine.target_known = first;
        machine.heard = None;
        let identity = Identity {
            node: machine.name.clone(),
            life: Life(life),
            zone: "a".to_owned(),
            address: machine.address,
        };
        let mut participant = Participant::new(identity, self.options.timing, first, now)
            .with_delivery(self.options.delivery);
        if first {
            participant.target_is(&machine.target.id);
        }
        machine.participant = Some(participant);
        self.after(0, Event::Tick(index, life));
        self.store_call(index, StoreCall::Register);
        if !first {
            let delay = self.rng.random_range(5..300);
            self.heal_at(delay, move |world| world.target_heard(index, life));
        }
    }

    fn begin_heartbeats(&mut self, index: usize) {
        if self.options.delivery == Delivery::HeartbeatAnswers {
            let id = self.machines[index].target.id.clone();
            let delay = self.rng.random_range(0..900);
            self.after(delay, Event::Heartbeat(heartbeats::Step::Due(index, id)));
        }
    }

    fn target_heard(&mut self, index: usize, life: u64) {
        let machine = &mut self.machines[index];
        if machine.life != life || !machine.target.up {
            return;
        }
        machine.target_known = true;
        let id = machine.target.id.clone();
        if let Some(participant) = &mut machine.participant {
            participant.target_is(&id);
        }
    }

    fn kill(&mut self, index: usize) {
        self.machines[index].participant = None;
        self.machines[index].life = 0;
    }

    /// The service of a machine's target.
    fn service_of(&self, index: usize) -> &'static str {
        if index < self.options.plain_nodes {
            PLAIN_SERVICE
        } else {
            SERVICE
        }
    }

    fn clock(&self, index: usize) -> Time {
        Time(1_000_000 + (self.now as f64 * self.machines[index].rate) as u64)
    }

    fn around(&self, index: usize) -> Surroundings {
        let machine = &self.machines[index];
        let state = TargetState {
            id: machine.target.id.clone(),
            service: self.service_of(index).to_owned(),
            accepting: machine.target.up && !machine.leaving,
            slots: 18,
        };
        Surroundings {
            target: machine.target_known.then_some(state),
            leaving: machine.leaving,
            registered_for: machine
                .registered
                .then(|| self.service_of(index).to_owned()),
            configuration_version: 1,
            store_reachable: !machine.store_cut && self.now >= self.store_down_until,
            link_mbps: None,
            keyed_services: BTreeSet::from([SERVICE.to_owned()]),
        }
    }

    /// Gives an input to a running participant and carries its actions out. A frozen process gets it
    /// when it thaws.
    fn input(
        &mut self,
        index: usize,
        life: u64,
        give: impl FnOnce(&mut Participant, Time, &Surroundings) -> Vec<Action>,
    ) {
        if self.machines[index].life != life {
            return;
        }
        let around = self.around(index);
        let now = self.clock(index);
        let Some(participant) = &mut self.machines[index].participant else {
            return;
        };
        let actions = give(participant, now, &around);
        for action in actions {
            self.carry_out(index, life, action);
        }
    }

    fn carry_out(&mut self, index: usize, life: u64, action: Action) {
        match action {
            Action::Send(to, datagram) => self.send(index, to, datagram),
            Action::ReadLeadership => self.store_call(index, StoreCall::Read(self.clock(index))),
            Action::Confirm => self.store_call(index, StoreCall::Confirm(self.clock(index))),
            Action::ListRegistered => self.store_call(index, StoreCall::List),
            Action::Claim(revision, leader) => {
                self.store_call(index, StoreCall::Claim(self.clock(index), revision, leader));
            }
            Action::Rewrite(revision, leadership) => {
                self.store_call(index, StoreCall::Rewrite(revision, leadership));
            }
            Action::Order(order) => {
                let id = self.machines[index].target.id.clone();
                let late = self.rng.random_bool(self.options.late_orders);
                let delay = if late {
                    self.rng.random_range(2_000..12_000)
                } else {
                    self.rng.random_range(1..8)
                };
                let sent_at = self.clock(index);
                if late {
                    // The caller gives it up long before it is done.
                    let failed =
                        matches!(order, Order::Grant { .. }).then_some(GrantResult::Failed);
                    self.after(
                        600,
                        Event::OrderAnswers(index, life, order.clone(), sent_at, false, failed),
                    );
                }
                self.after(delay, Event::OrderArrives(index, life, id, order, sent_at));
            }
            Action::FetchTable(from) => {
                let other = self.index_of(from);
                let table = other
                    .filter(|other| self.reaches(index, *other) && self.reaches(*other, index));
                let asked = self.machines[index]
                    .participant
                    .as_ref()
                    .map(Participant::table);
                let asked = asked
                    .map(|table| (table.epoch, table.version))
                    .unwrap_or_default();
                let table = table.and_then(|other| {
                    let participant = self.machines[other].participant.as_ref()?;
                    Some(participant.table_since(asked.0, asked.1))
                });
                let delay = self.rng.random_range(2..30);
                self.after(delay, Event::TableArrives(index, life, table));
            }
            Action::Note(note) => self.trace(|| format!("node {index}: {note:?}")),
            Action::FetchConfiguration(_) | Action::TableChanged => {}
        }
    }

    fn index_of(&self, address: SocketAddr) -> Option<usize> {
        self.machines
            .iter()
            .position(|machine| machine.address == address)
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        !self.cuts.contains(&(from, to))
    }

    fn send(&mut self, from: usize, to: SocketAddr, datagram: Datagram) {
        let Some(other) = self.index_of(to) else {
            return;
        };
        let lost = self.rng.random_bool(0.02);
        if lost || !self.reaches(from, other) {
            return;
        }
        let slow = self.rng.random_bool(0.03);
        let delay = if slow {
            self.rng.random_range(30..400)
        } else {
            self.rng.random_range(1..10)
        };
        let sender = self.machines[from].address;
        self.after(delay, Event::Datagram(other, sender, Box::new(datagram)));
    }

    // --- the store ---

    fn store_call(&mut self, index: usize, call: StoreCall) {
        let life = self.machines[index].life;
        let unreachable = self.machines[index].store_cut || self.now < self.store_down_until;
        let lost = self.rng.random_bool(self.options.store_trouble);
        if unreachable || lost {
            self.after(
                1_200,
                Event::StoreAnswers(index, life, call, StoreReply::Failed),
            );
            return;
        }
        let late = self.rng.random_bool(self.options.store_trouble);
        let delay = if late {
            self.rng.random_range(1_000..5_000)
        } else {
            self.rng.random_range(1..20)
        };
        if late {
            self.after(
                1_200,
                Event::StoreAnswers(index, life, call.clone(), StoreReply::Failed),
            );
        }
        self.after(
            delay,
            Event::StoreArrives(index, if late { 0 } else { life }, call),
        );
    }

    fn store_arrives(&mut self, index: usize, life: u64, call: StoreCall) {
        let name = self.machines[index].name.clone();
        let reply = match &call {
            StoreCall::Read(_) | StoreCall::Confirm(_) => StoreReply::Object(self.object.clone()),
            StoreCall::Claim(_, revision, leader) => {
                if self.object.as_ref().map(|(known, _)| *known) == *revision {
                    self.revision += 1;
                    self.object = Some((self.revision, leader.clone()));
                    StoreReply::Claimed(ClaimResult::Won)
                } else {
                    StoreReply::Claimed(ClaimResult::Conflict(self.object.clone()))
                }
            }
            StoreCall::Rewrite(revision, leadership) => {
                if self.object.as_ref().map(|(known, _)| known) == Some(revision) {
                    self.revision += 1;
                    self.object = Some((self.revision, leadership.clone()));
                }
                StoreReply::Failed
            }
            StoreCall::List if self.options.leaders_dont_wait => StoreReply::Listed(Vec::new()),
            StoreCall::List => StoreReply::Listed(self.registered.values().cloned().collect()),
            StoreCall::Register => {
                let known = RegisteredNode {
                    node: name.clone(),
                    address: self.machines[index].address,
                    service: Some(self.service_of(index).to_owned()),
                };
                self.registered.insert(name, known);
                StoreReply::Registered
            }
        };
        let delay = self.rng.random_range(1..20);
        self.after(delay, Event::StoreAnswers(index, life, call, reply));
    }

    fn store_answers(&mut self, index: usize, life: u64, call: StoreCall, reply: StoreReply) {
        match (call, reply) {
            (StoreCall::Register, StoreReply::Registered) if self.machines[index].life == life => {
                self.machines[index].registered = true;
            }
            (StoreCall::Rewrite(..), _) => {}
            (StoreCall::Register, _) => {
                if self.machines[index].life == life && life != 0 {
                    self.store_call(index, StoreCall::Register);
                }
            }
            (StoreCall::Read(sent_at), reply) => {
                let stored = if let StoreReply::Object(stored) = reply {
                    Ok(stored)
                } else {
                    Err(())
                };
                self.input(index, life, |participant, now, _| {
                    participant.leadership_read(now, sent_at, stored)
                });
            }
            (StoreCall::Confirm(sent_at), reply) => {
                let named = if let StoreReply::Object(stored) = reply {
                    stored
                } else {
                    None
                };
                self.input(index, life, |participant, now, _| {
                    participant.confirmed(now, sent_at, named)
                });
            }
            (StoreCall::Claim(sent_at, _, leader), reply) => {
                let result = if let StoreReply::Claimed(result) = reply {
                    result
                } else {
                    ClaimResult::Failed
                };
                self.input(index, life, |participant, now, around| {
                    participant.claim_ended(now, around, sent_at, leader, result)
                });
            }
            (StoreCall::List, reply) => {
                let listed = if let StoreReply::Listed(listed) = reply {
                    Some(listed)
                } else {
                    None
                };
                self.input(index, life, |participant, now, around| {
                    participant.registered_listed(now, around, listed)
                });
            }
        }
    }

    // --- events ---

    fn handle(&mut self, event: Event) {
        let process = match &event {
            Event::Tick(index, _)
            | Event::Datagram(index, ..)
            | Event::StoreAnswers(index, ..)
            | Event::OrderAnswers(index, ..)
            | Event::TableArrives(index, ..) => Some(*index),
            Event::Heartbeat(step) => Self::waits_for_thaw(step),
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
                    self.input(index, life, |participant, now, around| {
                        participant.tick(now, around)
                    });
                    self.after(TICK_MS, Event::Tick(index, life));
                }
            }
            Event::Check => {
                self.check();
                self.after(CHECK_MS, Event::Check);
            }
            Event::Datagram(index, from, datagram) => {
                let life = self.machines[index].life;
                self.input(index, life, |participant, now, around| {
                    participant.receive(now, around, from, *datagram)
                });
            }
            Event::StoreArrives(index, life, call) => self.store_arrives(index, life, call),
            Event::StoreAnswers(index, life, call, reply) => {
                self.store_answers(index, life, call, reply)
            }
            Event::OrderArrives(index, life, id, order, sent_at) => {
                self.order_arrives(index, life, &id, order, sent_at)
            }
            Event::OrderAnswers(index, life, order, sent_at, answered, result) => {
                self.input(index, life, |participant, now, around| {
                    match result {
                        Some(result) => participant.granted(now, &order, sent_at, result),
                        None => {
                            participant.released(now, &order, answered, Some("token".to_owned()))
                        }
                    }
                    participant.hurry(now, around)
                });
            }
            Event::TableArrives(index, life, table) => {
                self.input(index, life, |participant, _, _| {
                    participant.table_fetched(table)
                });
            }
            Event::Fault => {
                if self.now < FAULTS.1 - 6_000 {
                    self.random_fault();
                    let delay = self.rng.random_range(200..2_500);
                    self.after(delay, Event::Fault);
                }
            }
            Event::Heartbeat(step) => self.heartbeat_step(step),
            Event::Heal(heal) => heal(self),
        }
    }

    fn order_arrives(&mut self, index: usize, life: u64, id: &str, order: Order, sent_at: Time) {
        let now = self.now;
        let late = self.clock(index).0.saturating_sub(sent_at.0) > 1_500;
        let target = &self.machines[index].target;
        let reached = target.up && target.id == id;
        self.trace(|| format!("node {index}: {order:?} sent {sent_at:?}"));
        let target = &mut self.machines[index].target;
        let is_grant = matches!(order, Order::Grant { .. });
        let mut result = is_grant.then_some(GrantResult::Failed);
        let mut acquired = Vec::new();
        if reached {
            match &order {
                Order::Grant {
                    range, fence, hold, ..
                } => {
                    let taken = target.grant(now, *range, *fence, hold.as_millis() as u64);
                    result = Some(if taken.is_some() {
                        GrantResult::Granted
                    } else {
                        GrantResult::Outranked
                    });
                    acquired = taken
                        .unwrap_or_default()
                        .into_iter()
                        .map(|index| (index, *fence))
                        .collect();
                }
                Order::Release { range, .. } => target.release(*range),
                Order::Clear { .. } => target.release(wingspar_ownership::KeyRange::ALL),
            }
        }
        for (key, fence) in acquired {
            self.acquired(key, id, fence, late);
        }
        if late {
            return;
        }
        let delay = self.rng.random_range(1..60);
        self.after(
            delay,
            Event::OrderAnswers(index, life, order, sent_at, reached, result),
        );
    }

    // --- faults ---

    /// Prints a line if `TRACE` is set.
    fn trace(&self, line: impl Fn() -> String) {
        if self.tracing {
            eprintln!("{:>6} {}", self.now, line());
        }
    }

    fn random_fault(&mut self) {
        let index = self.rng.random_range(0..NODES);
        let span = self.rng.random_range(300..6_000);
        self.trace(|| format!("fault near node {index} for {span} ms"));
        match self.rng.random_range(0..11) {
            0 => {
                // Cut off from all other nodes, perhaps one way.
                let one_way = self.rng.random_bool(0.3);
                let pairs = (0..NODES)
                    .filter(|other| *other != index)
                    .flat_map(|other| [(index, other), (other, index)])
                    .filter(|pair| !one_way || pair.0 == index)
                    .collect::<Vec<_>>();
                self.cut(pairs, span);
            }
            1 => {
                let other = self.rng.random_range(0..NODES);
                self.cut(vec![(index, other), (other, index)], span);
            }
            2 => {
                // Two halves.
                let pairs = (0..NODES)
                    .flat_map(|from| (0..NODES).map(move |to| (from, to)))
                    .filter(|(from, to)| (*from < NODES / 2) != (*to < NODES / 2))
                    .collect();
                self.cut(pairs, span);
            }
            3 => {
                self.machines[index].store_cut = true;
                self.heal_at(span, move |world| world.machines[index].store_cut = false);
            }
            4 => self.store_down_until = self.now + span,
            5 | 6 => {
                let index = if self.rng.random_bool(0.5) {
                    self.leader().unwrap_or(index)
                } else {
                    index
                };
                self.kill(index);
                let delay = self.rng.random_range(100..2_500);
                self.heal_at(delay, move |world| world.start(index, false));
            }
            7 => {
                self.machines[index].target.up = false;
                let delay = self.rng.random_range(50..3_000);
                self.heal_at(delay, move |world| world.new_target(index));
            }
            8 => {
                let index = if self.rng.random_bool(0.5) {
                    self.leader().unwrap_or(index)
                } else {
                    index
                };
                self.machines[index].frozen_until = self.now + span;
            }
            9 => {
                // Stopped as planned, then started again.
                self.machines[index].leaving = true;
                self.heal_at(3_000, move |world| {
                    world.kill(index);
                    world.heal_at(300, move |world| world.start(index, false));
                });
            }
            _ => {
                for index in 0..NODES {
                    if self.rng.random_bool(0.6) {
                        self.kill(index);
                        let delay = self.rng.random_range(100..2_000);
                        self.heal_at(delay, move |world| world.start(index, false));
                    }
                }
            }
        }
    }

    fn cut(&mut self, pairs: Vec<(usize, usize)>, span: u64) {
        self.cuts.extend(pairs.iter().copied());
        self.heal_at(span, move |world| {
            for pair in pairs {
                world.cuts.remove(&pair);
            }
        });
    }

    fn new_target(&mut self, index: usize) {
        let number = self.rng.next_u32();
        self.machines[index].target = Target::new(format!("t{index}-{number}"));
        let life = self.machines[index].life;
        self.target_heard(index, life);
        self.begin_heartbeats(index);
    }

    // --- the checker ---

    fn fail(&mut self, problem: String) {
        if self.problem.is_none() {
            self.problem = Some(format!("at {} ms: {problem}", self.now));
        }
    }

    /// A target has acquired a key: its fence must stand above all that others held the key under.
    fn acquired(&mut self, key: usize, id: &str, fence: Fence, late: bool) {
        if late {
            // Grants taken late are not counted; nothing is sent to such a target.
            return;
        }
        let other = self.fences[key]
            .iter()
            .find(|(holder, held)| *holder != id && **held >= fence);
        if let Some((holder, held)) = other {
            let problem =
                format!("key {key} went to {id} under {fence:?}, {holder} had it under {held:?}");
            self.fail(problem);
        }
        let known = self.fences[key].entry(id.to_owned()).or_default();
        *known = (*known).max(fence);
    }

    fn check(&mut self) {
        for index in 0..WATCHED {
            let serving = (0..NODES)
                .filter(|node| self.serves(*node, index))
                .collect::<Vec<_>>();
            if serving.len() > 1 {
                let fences = serving
                    .iter()
                    .map(|node| self.machines[*node].target.fence(self.now, index))
                    .collect::<Vec<_>>();
                self.fail(format!(
                    "key {index} is served by nodes {serving:?} under {fences:?}"
                ));
            }
            self.note_served(index, serving.first().copied());
        }
    }

    /// Whether a request for the key would start at the node's target now.
    fn serves(&self, node: usize, index: usize) -> bool {
        let machine = &self.machines[node];
        let Some(participant) = &machine.participant else {
            return false;
        };
        if self.now < machine.frozen_until || !machine.target.holds(self.now, index) {
            return false;
        }
        let admission = participant.admission(self.clock(node), key(index));
        if self.options.agents_ignore_leases {
            return true;
        }
        admission == Admission::Granted
    }

    fn note_served(&mut self, index: usize, owner: Option<usize>) {
        if self.now < FAULTS.0 {
            if let Some(owner) = owner {
                self.last_owner[index] = Some(owner);
            }
            return;
        }
        if let Some(owner) = owner {
            self.served_at[index] = self.now;
            self.last_owner[index] = Some(owner);
            return;
        }
        let unserved = self.now - self.served_at[index];
        if unserved == 500 {
            self.trace(|| {
                format!(
                    "key {index} ({}) unserved for 500 ms, last at {:?}",
                    key(index),
                    self.last_owner[index]
                )
            });
        }
        self.summary.longest_unserved_ms = self.summary.longest_unserved_ms.max(unserved);
        if self.last_owner[index] != self.lost || self.lost.is_none() {
            let elsewhere = &mut self.summary.longest_unserved_elsewhere_ms;
            *elsewhere = (*elsewhere).max(unserved);
        }
        if self.now == END_MS - END_MS % CHECK_MS && unserved > 2_000 {
            if std::env::var("DUMP").is_ok() {
                for (node, machine) in self.machines.iter().enumerate() {
                    eprintln!(
                        "{} {:?}\n{:#?}",
                        node,
                        self.clock(node),
                        machine.participant
                    );
                }
            }
            self.fail(format!(
                "key {index} is served by nobody, {SERVED_AGAIN_MS} ms after the last fault"
            ));
        }
    }
}
