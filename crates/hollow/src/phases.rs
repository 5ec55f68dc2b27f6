//! One point of the ramp: start, steady state, moves, a configuration change, and the loss of an
//! owner, of the leader, and of a whole zone.

use std::time::Duration;

use serde::Serialize;
use wingspar_control::operator::{Durability, OperatorRequest};
use wingspar_world::{ConfigObject, SliceRange};

use crate::account::Ledger;
use crate::cluster::{Cluster, ClusterSettings};
use crate::configuration::{service, service_name, target_name};

/// Longest virtual time that a phase may take.
const LIMIT: Duration = Duration::from_secs(30);
/// Time between two looks at whether a phase is done: the resolution of the times reported.
const LOOK: Duration = Duration::from_millis(20);
/// Rest after the start.
const SETTLE: Duration = Duration::from_secs(4);
/// Length of the steady phase.
const STEADY: Duration = Duration::from_secs(10);
/// Length of the other phases.
const OTHER: Duration = Duration::from_secs(4);
/// Slices that are moved.
const MOVES: usize = 20;
/// Deadline in the changed contract, in milliseconds.
const CHANGED_DEADLINE_MS: u64 = 3_000;

/// What one phase cost.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PhaseReport {
    /// Its name.
    pub name: &'static str,
    /// Virtual time until what it waits for had happened; `None` when it did not happen.
    pub done_after: Option<Duration>,
    /// Virtual time that the ledger covers.
    pub length: Duration,
    /// Cost by role.
    pub ledger: Ledger,
}

/// All phases of one point.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PointReport {
    /// Agents.
    pub agents: usize,
    /// Real routers.
    pub routers: usize,
    /// Slices.
    pub slices: usize,
    /// The phases in order.
    pub phases: Vec<PhaseReport>,
    /// Leases that agents lost after the leader died.
    pub leases_lost_with_leader: u64,
}

impl PointReport {
    /// A phase by name.
    pub fn phase(&self, name: &str) -> Option<&PhaseReport> {
        self.phases.iter().find(|phase| phase.name == name)
    }

    /// The same without processor times, which differ between runs.
    pub fn without_cpu(mut self) -> Self {
        for phase in &mut self.phases {
            phase.ledger = std::mem::take(&mut phase.ledger).without_cpu();
        }
        self
    }
}

/// Runs all phases.
pub fn run_point(settings: ClusterSettings) -> PointReport {
    let mut cluster = Cluster::new(settings);
    let mut phases = vec![start(&mut cluster)];
    let slices = cluster.slices();
    cluster.run_for(SETTLE);
    phases.push(steady(&mut cluster));
    phases.push(moves(&mut cluster));
    phases.push(change_configuration(&mut cluster));
    phases.push(lose_owner(&mut cluster));
    let before: u64 = lost_leases(&cluster);
    phases.push(lose_leader(&mut cluster));
    let leases_lost_with_leader = lost_leases(&cluster) - before;
    phases.push(lose_zone(settings));
    PointReport {
        agents: settings.agents,
        routers: settings.routers,
        slices,
        phases,
        leases_lost_with_leader,
    }
}

fn lost_leases(cluster: &Cluster) -> u64 {
    cluster.hosts.iter().map(|host| host.leases_lost).sum()
}

/// Runs one phase with an account of its own.
fn phase(
    cluster: &mut Cluster,
    name: &'static str,
    run: impl FnOnce(&mut Cluster) -> Option<Duration>,
) -> PhaseReport {
    cluster.ledger = Ledger::default();
    let start = cluster.now;
    let done_after = run(cluster);
    PhaseReport {
        name,
        done_after,
        length: cluster.now.since(start),
        ledger: std::mem::take(&mut cluster.ledger),
    }
}

fn routers_ready(cluster: &Cluster) -> bool {
    let mut routers = cluster.hosts.iter().filter_map(|host| host.router.as_ref());
    routers.all(wingspar_routing::Router::is_ready)
}

fn start(cluster: &mut Cluster) -> PhaseReport {
    phase(cluster, "start", |cluster| {
        cluster.run_until(LIMIT, LOOK, |cluster| {
            cluster.all_held() && routers_ready(cluster)
        })
    })
}

fn steady(cluster: &mut Cluster) -> PhaseReport {
    phase(cluster, "steady", |cluster| {
        cluster.run_for(STEADY);
        Some(STEADY)
    })
}

/// Moves whole slices, one every 100 ms, each to the next agent's target but one.
fn moves(cluster: &mut Cluster) -> PhaseReport {
    let count = cluster.slices().max(1);
    let agents = cluster.settings.agents;
    let ranges = SliceRange::partition(u32::try_from(count).unwrap_or(u32::MAX));
    phase(cluster, "moves", |cluster| {
        let start = cluster.now;
        for number in 0..MOVES {
            let range = ranges[number * count / MOVES];
            let request = OperatorRequest::Move {
                change_id: format!("move-{number}"),
                service: service_name(),
                range,
                to: target_name((number * 7 + 1) % agents),
                durability: Durability::Quorum,
            };
            cluster.ask(request);
            cluster.run_for(Duration::from_millis(100));
        }
        cluster.run_for(OTHER);
        Some(cluster.now.since(start))
    })
}

fn change_configuration(cluster: &mut Cluster) -> PhaseReport {
    phase(cluster, "configuration", |cluster| {
        let object = ConfigObject::Service(service(CHANGED_DEADLINE_MS));
        let before = newest_configuration(cluster);
        cluster.ask(OperatorRequest::Put {
            change_id: "change".to_owned(),
            object,
            expect: None,
        });
        let applied = |cluster: &Cluster| {
            let mut agents = cluster.hosts.iter().filter_map(|host| host.agent.as_ref());
            agents.all(|agent| agent.config_version() > before)
        };
        let done = cluster.run_until(LIMIT, LOOK, applied);
        cluster.run_for(OTHER);
        done
    })
}

fn newest_configuration(cluster: &Cluster) -> wingspar_world::ConfigVersion {
    let agents = cluster.hosts.iter().filter_map(|host| host.agent.as_ref());
    let newest = agents.map(|agent| agent.config_version()).max();
    newest.unwrap_or_default()
}

fn lose_owner(cluster: &mut Cluster) -> PhaseReport {
    let last = cluster.hosts.len() - 1;
    phase(cluster, "owner_lost", |cluster| {
        cluster.kill(last);
        let done = cluster.run_until(LIMIT, LOOK, Cluster::all_held);
        cluster.run_for(OTHER);
        done
    })
}

fn lose_leader(cluster: &mut Cluster) -> PhaseReport {
    phase(cluster, "leader_lost", |cluster| {
        if let Some(leader) = cluster.leader() {
            cluster.kill(leader);
        }
        let done = cluster.run_until(LIMIT, LOOK, |cluster| cluster.leader().is_some());
        cluster.run_for(OTHER);
        done
    })
}

/// A new cluster loses the zone of its leader: the leader and a third of the agents at once. It is
/// over when the agents left hold all slices.
fn lose_zone(settings: ClusterSettings) -> PhaseReport {
    let mut cluster = Cluster::new(settings);
    start(&mut cluster);
    cluster.run_for(SETTLE);
    phase(&mut cluster, "zone_lost", |cluster| {
        let leader = cluster.leader()?;
        let zone = cluster.hosts[leader].machine.zone.clone();
        for index in 0..cluster.hosts.len() {
            if cluster.hosts[index].machine.zone == zone {
                cluster.kill(index);
            }
        }
        let done = cluster.run_until(LIMIT, LOOK, Cluster::all_held);
        cluster.run_for(OTHER);
        done
    })
}
