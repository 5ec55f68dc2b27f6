//! Nodes with clocks of their own, stepped one event at a time.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wingspar_consensus::{Config, Output, Replica, Role};
use wingspar_world::{GroupId, MonotonicTime, NodeId};

use super::checker::{Checker, Verdict};
use super::ledger::{Ledger, Outputs, node, nodes};
use super::network::{Forgery, Network};

pub const GROUP: GroupId = GroupId(7);
pub const GENERATION: u32 = 3;
/// Clock rates within 9% keep two clocks within 100 ms of each other over 550 ms.
pub const ALLOWED_DRIFT_PPM: i64 = 90_000;
const MILLION: u64 = 1_000_000;
const MAX_STEPS_AT_ONCE: u32 = 10_000;

pub struct Node {
    pub replica: Replica<Ledger>,
    pub alive: bool,
    pub paused_until: u64,
    rate: u64,
    offset: u64,
}

impl Node {
    /// The node's own clock at a true time in microseconds.
    pub fn clock(&self, now: u64) -> MonotonicTime {
        MonotonicTime::from_micros(self.offset + now * self.rate / MILLION)
    }

    fn wake(&self, now: u64) -> u64 {
        let wake = self
            .replica
            .next_wake()
            .as_micros()
            .saturating_sub(self.offset);
        let wake = (u128::from(wake) * u128::from(MILLION)).div_ceil(u128::from(self.rate));
        let wake = u64::try_from(wake).unwrap_or(u64::MAX);
        wake.max(self.paused_until).max(now)
    }

    pub fn holds_lease(&self, now: u64) -> bool {
        let until = self.replica.leader_lease_until();
        until.is_some_and(|until| self.clock(now) < until)
    }

    pub fn runs(&self, now: u64) -> bool {
        self.alive && self.paused_until <= now
    }
}

pub struct Cluster {
    pub now: u64,
    pub nodes: BTreeMap<NodeId, Node>,
    pub network: Network,
    pub random: ChaCha8Rng,
    checker: Checker,
    drift_ppm: i64,
    steps_at_once: u32,
}

pub fn config() -> Config {
    Config {
        max_entries_per_message: 8,
        max_entries_in_flight: 24,
        snapshot_threshold_entries: 24,
        snapshot_retry: Duration::from_millis(400),
        ..Config::default()
    }
}

impl Cluster {
    pub fn new(seed: u64, voters: u64, forgery: Forgery, drift_ppm: i64) -> Self {
        let mut cluster = Self {
            now: 0,
            nodes: BTreeMap::new(),
            network: Network::new(forgery),
            random: ChaCha8Rng::seed_from_u64(seed),
            checker: Checker::default(),
            drift_ppm,
            steps_at_once: 0,
        };
        for machine in 0..voters {
            cluster.start_member(node(machine, 0), voters);
        }
        cluster
    }

    pub fn start_member(&mut self, id: NodeId, voters: u64) {
        self.start(id.clone(), |seed, now| {
            let voters = nodes(voters);
            let state = Ledger::default();
            Replica::new_member(id, GROUP, GENERATION, voters, state, config(), seed, now)
        });
    }

    pub fn start_learner(&mut self, id: NodeId) {
        self.start(id.clone(), |seed, now| {
            let state = Ledger::default();
            Replica::new_learner(id, GROUP, GENERATION, state, config(), seed, now)
        });
    }

    fn start(&mut self, id: NodeId, make: impl FnOnce(u64, MonotonicTime) -> Replica<Ledger>) {
        let drift = match self.random.random_range(0..3) {
            0 => -self.drift_ppm,
            1 => self.drift_ppm,
            _ => self.random.random_range(-self.drift_ppm..=self.drift_ppm),
        };
        let rate = MILLION.saturating_add_signed(drift);
        let offset = self.random.random_range(0..100 * MILLION);
        let clock = MonotonicTime::from_micros(offset + self.now * rate / MILLION);
        let node = Node {
            replica: make(self.random.random(), clock),
            alive: true,
            paused_until: 0,
            rate,
            offset,
        };
        self.nodes.insert(id, node);
    }

    /// Runs every event up to a true time.
    pub fn run_until(&mut self, end: u64) -> Verdict {
        loop {
            let now = self.now;
            let running = self.nodes.iter().filter(|(_, node)| node.alive);
            let wakes = running.map(|(id, node)| (node.wake(now), id));
            let wake = wakes.min().map(|(time, id)| (time, id.clone()));
            let delivery = self.network.next_time().unwrap_or(u64::MAX);
            let next = wake
                .as_ref()
                .map_or(delivery, |(time, _)| delivery.min(*time));
            if next > end {
                self.now = end;
                return Ok(());
            }
            self.advance(next)?;
            match wake {
                Some((time, id)) if time < delivery => self.step(&id, Replica::tick)?,
                _ => self.deliver()?,
            }
        }
    }

    fn advance(&mut self, time: u64) -> Verdict {
        self.steps_at_once = if time > self.now {
            0
        } else {
            self.steps_at_once + 1
        };
        self.now = self.now.max(time);
        if self.steps_at_once > MAX_STEPS_AT_ONCE {
            return Err(format!("busy loop at {time} us"));
        }
        Ok(())
    }

    fn deliver(&mut self) -> Verdict {
        let Some((from, to, message)) = self.network.pop() else {
            return Ok(());
        };
        let now = self.now;
        let Some(node) = self.nodes.get(&to).filter(|node| node.alive) else {
            return Ok(());
        };
        if node.paused_until > now {
            self.network
                .deliver_at(node.paused_until, (from, to, message));
            return Ok(());
        }
        self.step(&to, |replica, clock, out| {
            replica.receive(clock, from, message, out)
        })
    }

    /// Lets one replica act, sends what it wants sent, and checks everything.
    pub fn step(
        &mut self,
        id: &NodeId,
        act: impl FnOnce(&mut Replica<Ledger>, MonotonicTime, &mut Outputs),
    ) -> Verdict {
        let node = self.nodes.get_mut(id).expect("a known node");
        let clock = node.clock(self.now);
        let mut outputs = Vec::new();
        act(&mut node.replica, clock, &mut outputs);
        self.checker
            .after_step(&self.nodes, id, &outputs, self.now)?;
        for output in outputs {
            if let Output::Send { to, message } = output {
                let packet = (id.clone(), to, message);
                self.network.send(self.now, packet, &mut self.random);
            }
        }
        Ok(())
    }

    /// Running nodes that lead, by their own account.
    pub fn leaders(&self) -> Vec<NodeId> {
        let running = self.nodes.values().filter(|node| node.runs(self.now));
        let leading = running.filter(|node| node.replica.role() == Role::Leader);
        leading.map(|node| node.replica.id().clone()).collect()
    }

    pub fn replica(&self, id: &NodeId) -> &Replica<Ledger> {
        &self.nodes[id].replica
    }
}
