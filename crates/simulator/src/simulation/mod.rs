//! One run: the event loop over machines, network, platform, callers, operators and faults.

mod clients;
mod deliver;
mod effects;
mod event;
mod faults;
mod observe;
mod work;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use wingspar_agent::AgentSettings;
use wingspar_control::ControlSettings;
use wingspar_routing::RouterSettings;
use wingspar_world::{GroupId, KeyHash, MonotonicTime, TargetName};

use crate::backend::BackEnd;
use crate::callers::Callers;
use crate::checker::{Checker, LossKind, Violation};
use crate::clock::Clock;
use crate::interference::{Interference, NoInterference};
use crate::machine::SimulatedMachine;
use crate::network::{MachineIndex, Network};
use crate::operators::{self, OPERATORS, Operators};
use crate::platform::Platform;
use crate::process::ProcessSettings;
use crate::queue::EventQueue;
use crate::report::{Failure, Report};
use crate::scenario::Scenario;
use crate::topology::Topology;
use crate::trace::Trace;
use event::Event;

/// Time between two samples of which keys are served.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two questions about the configuration in force.
const ROLLOUT_INTERVAL: Duration = Duration::from_millis(700);
/// Latest start of a machine's first process.
const START_SPREAD_MILLIS: u64 = 300;
/// When the first configuration is written.
const FIRST_CONFIGURATION_AT: MonotonicTime = MonotonicTime::from_millis(1_500);
/// When callers begin; the services exist by then unless something delays the group.
const FIRST_REQUEST_AT: MonotonicTime = MonotonicTime::from_millis(6_000);
/// Largest offset of a machine's clock.
const CLOCK_OFFSET_MILLIS: u64 = 5_000_000;

/// One run under way.
pub struct Simulation {
    scenario: Scenario,
    queue: EventQueue<Event>,
    random: ChaCha12Rng,
    network: Network,
    platform: Platform,
    machines: Vec<SimulatedMachine>,
    addresses: BTreeMap<SocketAddr, MachineIndex>,
    back_ends: BTreeMap<TargetName, BackEnd>,
    callers: Callers,
    operators: Operators,
    settings: ProcessSettings,
    checker: Checker,
    interference: Box<dyn Interference>,
    keys: Vec<KeyHash>,
    violation: Option<Violation>,
    trace: Trace,
    in_force_ms: BTreeMap<u64, u64>,
    last_mended: MonotonicTime,
    struck: BTreeMap<usize, Vec<MachineIndex>>,
    leader_hint: Option<MachineIndex>,
    last_ran: BTreeMap<String, MonotonicTime>,
    events: u64,
    started: u64,
}

impl Simulation {
    /// A run of a scenario.
    pub fn new(scenario: Scenario) -> Self {
        Self::with_interference(scenario, Box::new(NoInterference))
    }

    /// A run whose harness is bent by a test.
    pub fn with_interference(scenario: Scenario, interference: Box<dyn Interference>) -> Self {
        let mut random = ChaCha12Rng::seed_from_u64(scenario.seed);
        let topology = scenario.topology.clone();
        let plans = topology.machines();
        let candidates = plans.iter().filter(|plan| plan.parts.control);
        let seeds = candidates
            .map(|plan| plan.machine.control_address)
            .collect();
        let operators = Operators::new(operator_tasks(&scenario, &mut random));
        let mut simulation = Self {
            network: Network::new(topology.links(), topology.caller_delay),
            platform: Platform::new(scenario.machine_list_lag),
            callers: Callers::new(topology),
            operators,
            queue: EventQueue::default(),
            machines: Vec::new(),
            addresses: BTreeMap::new(),
            back_ends: BTreeMap::new(),
            settings: process_settings(seeds),
            checker: Checker::default(),
            interference,
            keys: Topology::key_hashes(),
            violation: None,
            trace: Trace::default(),
            in_force_ms: BTreeMap::new(),
            last_mended: MonotonicTime::ZERO,
            struck: BTreeMap::new(),
            leader_hint: None,
            last_ran: BTreeMap::new(),
            events: 0,
            started: 0,
            random,
            scenario,
        };
        for plan in plans {
            simulation.add_machine(plan);
        }
        simulation.schedule_beginning();
        simulation
    }

    /// Prints each change of state to standard error as it happens.
    pub fn echo(mut self) -> Self {
        self.trace = Trace::echoed();
        self
    }

    /// Changes the settings of all processes; call it before `run`.
    pub fn configure(mut self, change: impl FnOnce(&mut ProcessSettings)) -> Self {
        change(&mut self.settings);
        self
    }

    /// Plays the run to its end, or to the first broken promise.
    pub fn run(mut self) -> Report {
        let end = self.scenario.ends_at();
        while self.violation.is_none() {
            let Some(event) = self.queue.pop_until(end) else {
                break;
            };
            self.events += 1;
            self.happen(event);
            let now = self.queue.now();
            self.interference.store(now, &mut self.platform);
        }
        if self.violation.is_none() {
            let outcome = self.check_settled();
            self.check(outcome);
        }
        self.into_report()
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive {
                machine,
                incarnation,
                arrival,
            } => self.arrive(machine, incarnation, arrival),
            Event::Wake(place) => self.wake(place),
            Event::StoreRequest(exchange) => self.store_request(*exchange),
            Event::StoreReply { process, reply } => self.store_reply(process, *reply),
            Event::BackEndOffer(exchange) => self.back_end_offer(*exchange),
            Event::BackEndDone {
                exchange,
                execution,
            } => self.back_end_done(*exchange, execution),
            Event::NextRequest => self.next_request(),
            Event::RetryRequest(request) => self.send_request(request),
            Event::CallerTold { request, outcome } => self.caller_told(request, outcome),
            Event::OperatorProceeds(number) => self.operator_proceeds(number),
            Event::OperatorAnswered { ask, reply } => self.operator_answered(ask, reply),
            Event::AskRollout => self.ask_rollout(),
            Event::FaultBegins(number) => self.fault_begins(number),
            Event::FaultEnds(number) => self.fault_ends(number),
            Event::StartProcess(machine) => self.start_process(machine),
            Event::Sample => self.sample(),
            Event::WallClock => self.wall_clock(),
        }
    }

    fn now(&self) -> MonotonicTime {
        self.queue.now()
    }

    fn push_after(&mut self, pause: Duration, event: Event) {
        let at = self.now() + pause;
        self.queue.push(at, event);
    }

    fn note(&mut self, line: impl FnOnce() -> String) {
        let now = self.now();
        self.trace.note(now, line());
    }

    /// Takes in the outcome of an invariant; the first broken one ends the run.
    fn check(&mut self, outcome: Result<(), Violation>) {
        if let Err(violation) = outcome {
            self.note(|| format!("VIOLATION {violation}"));
            self.violation.get_or_insert(violation);
        }
    }

    fn add_machine(&mut self, plan: crate::topology::MachinePlan) {
        let machine = plan.machine;
        let region = machine.region.clone();
        let index = self.network.add_machine(region, machine.zone.clone());
        let clock = self.draw_clock(index);
        let address = machine.control_address.ip().to_string();
        let (name, zone) = (machine.name.as_str(), machine.zone.as_str());
        self.platform
            .add_machine(MonotonicTime::ZERO, name, zone, &address);
        self.addresses.insert(machine.control_address, index);
        self.addresses
            .extend(machine.agent_address.map(|address| (address, index)));
        for target in &plan.targets {
            let slots = target.slots as usize;
            let back_end = BackEnd::new(target.name.clone(), slots);
            self.back_ends.insert(target.name.clone(), back_end);
        }
        let targets = plan.targets.into_iter().map(|target| target.name).collect();
        let simulated = SimulatedMachine::new(machine, clock, plan.parts, targets);
        self.machines.push(simulated);
    }

    fn draw_clock(&mut self, index: MachineIndex) -> Clock {
        let offset = Duration::from_millis(self.random.random_range(0..CLOCK_OFFSET_MILLIS));
        let drift = self.scenario.drift_ppm;
        let drawn = self.random.random_range(-drift..=drift);
        match self.scenario.broken_clock_ppm {
            Some(broken) if index == 0 => Clock::new(offset, broken),
            _ => Clock::new(offset, drawn),
        }
    }

    fn schedule_beginning(&mut self) {
        for machine in 0..self.machines.len() {
            let at = self.random.random_range(0..START_SPREAD_MILLIS);
            let at = MonotonicTime::from_millis(at);
            self.queue.push(at, Event::StartProcess(machine));
        }
        for number in 0..OPERATORS {
            let event = Event::OperatorProceeds(number);
            self.queue.push(FIRST_CONFIGURATION_AT, event);
        }
        for event in [Event::AskRollout, Event::Sample, Event::WallClock] {
            self.queue.push(FIRST_CONFIGURATION_AT, event);
        }
        self.queue.push(FIRST_REQUEST_AT, Event::NextRequest);
        for (number, fault) in self.scenario.faults.clone().iter().enumerate() {
            self.queue.push(fault.at, Event::FaultBegins(number));
            self.queue.push(fault.ends(), Event::FaultEnds(number));
        }
        let cause = LossKind::HandOver;
        self.checker.availability.set_cause(cause, None);
    }

    fn into_report(self) -> Report {
        let trace = self.trace.to_string();
        let failure = self.violation.map(|violation| Failure { violation, trace });
        Report {
            seed: self.scenario.seed,
            preset: self.scenario.preset,
            failure,
            gaps: self.checker.availability.gaps().to_vec(),
            callers: self.callers.counts(),
            in_force_ms: self.in_force_ms.into_values().collect(),
            started: self.started,
            events: self.events,
            trace_lines: self.trace.total(),
            virtual_time: self.queue.now().since(MonotonicTime::ZERO),
        }
    }
}

fn operator_tasks(scenario: &Scenario, random: &mut ChaCha12Rng) -> Vec<Vec<operators::Task>> {
    let topology = &scenario.topology;
    let (from, until) = scenario.operators_window();
    let draw = |number| {
        let mut tasks = Vec::new();
        if number == 0 {
            tasks = operators::first_configuration(topology, FIRST_CONFIGURATION_AT);
        }
        if scenario.operators {
            tasks.extend(operators::draw_tasks(random, topology, number, from, until));
        }
        tasks
    };
    (0..OPERATORS).map(draw).collect()
}

fn process_settings(seeds: Vec<SocketAddr>) -> ProcessSettings {
    ProcessSettings {
        control: ControlSettings::new(GroupId::default()),
        agent: AgentSettings::default(),
        router: RouterSettings::default(),
        seeds,
    }
}
