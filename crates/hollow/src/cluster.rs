//! A control group, its agents and a few routers under a virtual clock.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use wingspar_agent::{Agent, AgentSettings};
use wingspar_control::operator::{OperatorReply, OperatorRequest};
use wingspar_control::{Control, ControlSettings, Input, SliceMap, StoreReply, StoreRequest};
use wingspar_routing::{Router, RouterSettings};
use wingspar_wire::StateVersion;
use wingspar_world::{GroupId, Incarnation, Machine, MonotonicTime, NodeId};

use crate::account::{Ledger, Role};
use crate::configuration::{agent_machine, control_machine, service_name};
use crate::cpu::CpuMeter;
use crate::platform::Platform;

/// One way between any two nodes.
pub(crate) const NETWORK_DELAY: Duration = Duration::from_micros(500);
/// Time over which agents are started, so that their renewals are spread evenly.
const START_SPREAD: Duration = Duration::from_millis(400);
/// Shortest time between two wakes of a node, as in the node's loop.
const SHORTEST_TICK: Duration = Duration::from_millis(1);
/// Time between two bursts of requests at an agent.
pub(crate) const LOAD_INTERVAL: Duration = Duration::from_millis(200);
/// Mixes numbers into incarnations (the golden ratio's bits).
const MIX: u64 = 0x9e37_79b9_7f4a_7c15;

/// What a cluster consists of.
#[derive(Debug, Clone, Copy)]
pub struct ClusterSettings {
    /// Agents, each with one target.
    pub agents: usize,
    /// Agents that stand beside a router.
    pub routers: usize,
    /// Members of the control group.
    pub members: usize,
    /// Slices that the service starts with for each target.
    pub slices_per_target: u32,
}

impl ClusterSettings {
    /// The sizes of the ramp: 64 slices a target, three members.
    pub fn new(agents: usize, routers: usize) -> Self {
        Self {
            agents,
            routers: routers.min(agents),
            members: 3,
            slices_per_target: 64,
        }
    }

    /// Slices of the service.
    pub fn slices(&self) -> usize {
        self.agents * self.slices_per_target as usize
    }
}

/// One process.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) node: NodeId,
    pub(crate) machine: Machine,
    pub(crate) control: Option<Control>,
    pub(crate) agent: Option<Agent>,
    pub(crate) router: Option<Router>,
    /// Slices that the agent last said it holds.
    pub(crate) held: usize,
    pub(crate) leases_lost: u64,
    wake_at: Option<MonotonicTime>,
}

pub(crate) enum Event {
    Start(usize),
    Wake(usize),
    Load(usize),
    Deliver { to: usize, bytes: Bytes },
    StoreArrives { host: usize, request: StoreRequest },
    StoreAnswers { host: usize, reply: StoreReply },
    Watches,
}

/// Hollow nodes in one process.
pub struct Cluster {
    pub(crate) settings: ClusterSettings,
    pub(crate) now: MonotonicTime,
    pub(crate) hosts: Vec<Host>,
    pub(crate) by_address: HashMap<SocketAddr, usize>,
    pub(crate) platform: Platform,
    pub(crate) ledger: Ledger,
    pub(crate) cpu: CpuMeter,
    pub(crate) replies: BTreeMap<u64, OperatorReply>,
    pub(crate) loads: u64,
    queue: BTreeMap<(MonotonicTime, u64), Event>,
    sequence: u64,
    last_request: u64,
}

impl Cluster {
    /// A cluster about to start; its configuration is in the store.
    pub fn new(settings: ClusterSettings) -> Self {
        let mut cluster = Self {
            settings,
            now: MonotonicTime::from_millis(1_000),
            hosts: Vec::new(),
            by_address: HashMap::new(),
            platform: Platform::new(settings.agents, settings.slices_per_target),
            ledger: Ledger::default(),
            cpu: CpuMeter::calibrated(),
            replies: BTreeMap::new(),
            loads: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            last_request: 0,
        };
        for number in 0..settings.members {
            cluster.add_member(number);
        }
        for number in 0..settings.agents {
            cluster.add_agent(number);
        }
        cluster.enqueue(LOAD_INTERVAL, Event::Watches);
        cluster
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        let members = 0..self.settings.members;
        members
            .map(|number| control_machine(number).control_address)
            .collect()
    }

    fn add_member(&mut self, number: usize) {
        let machine = control_machine(number);
        let node = node_id(&machine, number);
        let settings = ControlSettings::new(GroupId::default());
        let control = Control::new(
            settings,
            node.clone(),
            machine.clone(),
            self.seeds(),
            number as u64 + 1,
            self.now,
        );
        let index = self.add_host(node, machine);
        self.hosts[index].control = Some(control);
        self.enqueue(Duration::ZERO, Event::Wake(index));
        self.hosts[index].wake_at = Some(self.now);
    }

    fn add_agent(&mut self, number: usize) {
        let machine = agent_machine(number);
        let node = node_id(&machine, self.settings.members + number);
        let index = self.add_host(node, machine);
        if number < self.settings.routers {
            let router = Router::new(RouterSettings::default(), number as u64 + 1);
            self.hosts[index].router = Some(router);
        }
        let position = number as u32;
        let delay = START_SPREAD * position / self.settings.agents as u32;
        self.enqueue(delay, Event::Start(index));
    }

    fn add_host(&mut self, node: NodeId, machine: Machine) -> usize {
        let index = self.hosts.len();
        self.by_address.insert(machine.control_address, index);
        self.hosts.push(Host {
            node,
            machine,
            control: None,
            agent: None,
            router: None,
            held: 0,
            leases_lost: 0,
            wake_at: None,
        });
        index
    }

    /// Starts the agent's process.
    pub(crate) fn start_agent(&mut self, index: usize) {
        let seeds = self.seeds();
        let host = &mut self.hosts[index];
        let settings = AgentSettings::default();
        let (node, machine) = (host.node.clone(), host.machine.clone());
        let mut agent = Agent::new(settings, node, machine, seeds, self.now);
        if host.router.is_some() {
            agent.set_table_version(Some(StateVersion::default()));
        }
        host.agent = Some(agent);
        self.enqueue(LOAD_INTERVAL, Event::Load(index));
    }

    /// Ends a process at once.
    pub(crate) fn kill(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.control = None;
        host.agent = None;
        host.router = None;
        host.held = 0;
    }

    /// Runs for a time.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.next_event().is_some_and(|at| at <= end) {
            self.advance();
        }
        self.now = end;
    }

    /// Runs until a condition holds, looked at in steps; `None` when it doesn't within the limit.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        step: Duration,
        mut condition: impl FnMut(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !condition(self) {
            if self.now.since(start) >= limit {
                return None;
            }
            self.run_for(step);
        }
        Some(self.now.since(start))
    }

    fn next_event(&self) -> Option<MonotonicTime> {
        self.queue.first_key_value().map(|((at, _), _)| *at)
    }

    fn advance(&mut self) {
        let Some(((at, _), event)) = self.queue.pop_first() else {
            return;
        };
        self.now = self.now.max(at);
        self.handle(event);
    }

    pub(crate) fn enqueue(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }

    /// Whether the wake that is due is the one last asked for.
    pub(crate) fn takes_wake(&mut self, index: usize) -> bool {
        let host = &mut self.hosts[index];
        let current = host.wake_at.is_some_and(|at| at <= self.now);
        if current {
            host.wake_at = None;
        }
        current
    }

    /// Sees to it that a host is woken when its parts want to be.
    pub(crate) fn schedule(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        let control = host.control.as_ref().map(Control::next_wake);
        let agent = host.agent.as_ref().map(Agent::next_wake);
        let router = host.router.as_ref().map(Router::next_wake);
        let router = router.filter(|_| host.agent.is_some());
        let Some(wanted) = [control, agent, router].into_iter().flatten().min() else {
            return;
        };
        if wanted == MonotonicTime::MAX {
            return;
        }
        let at = wanted.max(self.now + SHORTEST_TICK);
        if host.wake_at.is_some_and(|earlier| earlier <= at) {
            return;
        }
        host.wake_at = Some(at);
        self.enqueue(self.now.until(at), Event::Wake(index));
    }

    /// The leader's index.
    pub(crate) fn leader(&self) -> Option<usize> {
        let leads = |host: &Host| host.control.as_ref().is_some_and(Control::is_leader);
        self.hosts.iter().position(leads)
    }

    /// Role of a control member.
    pub(crate) fn member_role(&self, index: usize) -> Role {
        let control = self.hosts[index].control.as_ref();
        if control.is_some_and(Control::is_leader) {
            Role::Leader
        } else {
            Role::Follower
        }
    }

    /// Asks the leader as an operator; `None` without a leader.
    pub(crate) fn ask(&mut self, request: OperatorRequest) -> Option<u64> {
        let leader = self.leader()?;
        self.last_request += 1;
        let id = self.last_request;
        self.step_control(leader, Input::Operator { id, request });
        Some(id)
    }

    /// Slices of the service in the leader's state.
    pub(crate) fn slices(&self) -> usize {
        let leader = self
            .leader()
            .and_then(|index| self.hosts[index].control.as_ref());
        let state = leader.and_then(Control::replica).map(|it| it.state());
        let slices = state.and_then(|state| state.slices(&service_name()));
        slices.map_or(0, SliceMap::len)
    }

    /// Whether all slices are held by agents, as the agents know.
    pub(crate) fn all_held(&self) -> bool {
        let held: usize = self.hosts.iter().map(|host| host.held).sum();
        held > 0 && held == self.slices()
    }
}

fn node_id(machine: &Machine, number: usize) -> NodeId {
    let incarnation = Incarnation((number as u64 + 1).wrapping_mul(MIX));
    NodeId::new(machine.name.clone(), incarnation)
}

impl std::fmt::Debug for Cluster {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Cluster")
            .field("settings", &self.settings)
            .field("now", &self.now)
            .finish_non_exhaustive()
    }
}
