//! The registry of nodes in the store: how many store calls it takes, and what a later leader reads
//! from it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use wingspar_ownership::{
    Epoch, Incarnation, Leader, LeaderReference, Leadership, NodeName, RegisteredNode,
    RegisteredNodes, RegistryPage, Renewal, StoreEra, Table, TargetState, Time, Timing,
};

const SERVICE: &str = "stock";
const STEP: Duration = Duration::from_millis(50);

fn name(number: usize) -> NodeName {
    NodeName::from(format!("node-{number:04}").as_str())
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 256) as u8, (number % 256) as u8], 7_000))
}

fn renewal(number: usize, epoch: Epoch, now: Time, leaving: bool) -> Renewal {
    Renewal {
        node: name(number),
        life: Incarnation(1),
        zone: "a".to_owned(),
        address: address(number),
        sent_at: now,
        no_lease_given_ms: 0,
        epoch,
        applied: if leaving { u64::MAX } else { 0 },
        clean: true,
        held: Vec::new(),
        released: Vec::new(),
        target: Some(TargetState {
            id: format!("target-{number}"),
            service: SERVICE.to_owned(),
            accepting: true,
            slots: 8,
            starts_per_s: None,
        }),
        leaving,
        service: Some(SERVICE.to_owned()),
        registered_for: None,
        registered_in: StoreEra::default(),
        registered_revision: None,
        configuration_version: 1,
        store_reachable: true,
        link_mbps: None,
        quarantine: None,
        quota_shards: None,
    }
}

/// A leader, and the store that keeps its registry pages.
struct Deployment {
    now: Time,
    leader: Leader,
    large_fleet_size: usize,
    stored: RegisteredNodes,
    /// Number of pages written and removed.
    calls: usize,
    nodes: BTreeSet<usize>,
    leaving: BTreeSet<usize>,
}

impl Deployment {
    fn new() -> Self {
        Self::of_size(0)
    }

    /// Fleets with at least this many nodes are large, so that their leader writes the registry.
    fn of_size(large_fleet_size: usize) -> Self {
        let now = Time(10_000);
        Self {
            now,
            leader: elected(Epoch(1), now, &RegisteredNodes::default(), large_fleet_size),
            large_fleet_size,
            stored: RegisteredNodes::default(),
            calls: 0,
            nodes: BTreeSet::new(),
            leaving: BTreeSet::new(),
        }
    }

    /// Replaces the leader.
    fn next_leader(&mut self) {
        let epoch = Epoch(self.leader.epoch().0 + 1);
        self.leader = elected(epoch, self.now, &self.stored, self.large_fleet_size);
    }

    /// All nodes renew their leases; the store answers immediately.
    fn step(&mut self) {
        let epoch = self.leader.epoch();
        for number in &self.nodes {
            let leaving = self.leaving.contains(number);
            let renewal = renewal(*number, epoch, self.now, leaving);
            let _answer = self.leader.renewal(self.now, &renewal);
        }
        while let Some(page) = self.leader.registry_page(self.now) {
            self.calls += 1;
            let number = page.number;
            self.stored.pages.push(page);
            let _copied = self.leader.registry_written(self.now, number);
        }
        if let Some(obsolete) = self.leader.obsolete_page() {
            self.calls += 1;
            self.stored.pages.retain(|page| page.name() != obsolete);
            let unreadable = &mut self.stored.unreadable_pages;
            unreadable.retain(|name| *name != obsolete);
        }
        self.now = self.now + STEP;
        self.leader.confirm(self.now);
        self.leader.tick(self.now);
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    /// Returns whether the leader assigns keys to a node.
    fn assigns_keys(&mut self, number: usize) -> bool {
        let renewal = renewal(number, self.leader.epoch(), self.now, false);
        let answer = self.leader.renewal(self.now, &renewal);
        answer.is_some_and(|answer| !answer.wanted.is_empty())
    }

    fn registered(&self) -> BTreeSet<NodeName> {
        let known = self.stored.all().into_iter();
        known.map(|known| known.node).collect()
    }
}

fn elected(
    epoch: Epoch,
    now: Time,
    registered: &RegisteredNodes,
    large_fleet_size: usize,
) -> Leader {
    let leadership = Leadership {
        leader: LeaderReference {
            epoch,
            node: name(0),
            life: Incarnation(1),
            address: address(0),
        },
        earlier: Some(Vec::new()),
        shards_anywhere: false,
        era: StoreEra::default(),
        restored_ms_ago: None,
        nodes: 0,
    };
    let timing = Timing {
        large_fleet_size,
        ..Timing::default()
    };
    let mut leader = Leader::new(&leadership, timing, now, now, registered, Table::default());
    leader.set_keyed_services(&BTreeSet::from([SERVICE.to_owned()]));
    leader
}

/// Returns the number of store calls while this many nodes start within one second.
fn store_calls_at_startup(nodes: usize) -> usize {
    let mut deployment = Deployment::new();
    let steps = 20;
    for step in 0..steps {
        deployment
            .nodes
            .extend(nodes * step / steps..nodes * (step + 1) / steps);
        deployment.step();
    }
    deployment.run(Duration::from_secs(2));
    assert_eq!(deployment.registered().len(), nodes);
    deployment.calls
}

#[test]
fn store_calls_at_startup_do_not_grow_with_the_number_of_nodes() {
    let (few, many) = (store_calls_at_startup(50), store_calls_at_startup(500));
    assert!(few <= 10, "{few} calls for 50 nodes");
    assert!(many <= few + 3, "{many} calls for 500 nodes, {few} for 50");
}

#[test]
fn a_restarted_node_causes_no_store_call() {
    let mut deployment = Deployment::new();
    deployment.nodes.extend(0..100);
    deployment.run(Duration::from_secs(2));
    let before = deployment.calls;
    deployment.nodes.clear();
    deployment.run(Duration::from_secs(4));
    deployment.nodes.extend(0..100);
    deployment.run(Duration::from_secs(2));
    assert_eq!(deployment.calls, before);
}

#[test]
fn keys_are_assigned_only_to_registered_nodes() {
    let mut deployment = Deployment::new();
    deployment.nodes.extend(0..4);
    let epoch = deployment.leader.epoch();
    for _ in 0..100 {
        for number in 0..4 {
            let renewal = renewal(number, epoch, deployment.now, false);
            let answer = deployment.leader.renewal(deployment.now, &renewal);
            assert!(answer.is_none_or(|answer| answer.wanted.is_empty()));
        }
        // The store acknowledges nothing.
        let _page = deployment.leader.registry_page(deployment.now);
        deployment.now = deployment.now + STEP;
        deployment.leader.confirm(deployment.now);
        deployment.leader.tick(deployment.now);
    }
    deployment.run(Duration::from_secs(3));
    assert!(deployment.assigns_keys(1));
}

#[test]
fn nodes_that_left_are_removed_once_their_leases_have_expired() {
    let mut deployment = Deployment::new();
    deployment.nodes.extend(0..20);
    deployment.run(Duration::from_secs(12));
    deployment.leaving.extend(5..8);
    deployment.run(Duration::from_millis(1_500));
    assert_eq!(
        deployment.registered().len(),
        20,
        "nodes that leave may still hold keys"
    );
    deployment.nodes.retain(|number| !(5..8).contains(number));
    deployment.run(Duration::from_secs(4));
    let left = [5, 6, 7].map(name);
    assert!(
        left.iter()
            .all(|node| !deployment.registered().contains(node))
    );
    assert_eq!(deployment.registered().len(), 17);
}

#[test]
fn lost_nodes_are_removed_once_they_can_hold_no_keys() {
    let mut deployment = Deployment::new();
    deployment.nodes.extend(0..20);
    deployment.run(Duration::from_secs(2));
    deployment.nodes.remove(&3);
    deployment.run(Duration::from_secs(8));
    assert!(deployment.registered().contains(&name(3)));
    deployment.run(Duration::from_secs(8));
    assert!(!deployment.registered().contains(&name(3)));
}

#[test]
fn a_later_leader_reads_all_nodes_and_writes_them_under_its_own_epoch() {
    let mut deployment = Deployment::new();
    deployment.nodes.extend(0..600);
    deployment.run(Duration::from_secs(2));
    deployment.next_leader();
    assert_eq!(deployment.leader.silent().len(), 600);
    deployment.run(Duration::from_secs(3));
    assert_eq!(deployment.registered().len(), 600);
    let epochs = deployment.stored.pages.iter().map(|page| page.epoch);
    assert!(
        epochs.clone().all(|epoch| epoch == Epoch(2)),
        "{:?}",
        epochs.collect::<Vec<_>>()
    );
}

/// An unreadable page may have listed nodes that send no renewals and still hold keys.
#[test]
fn a_leader_that_cannot_read_a_page_waits_for_all_leases_and_removes_it() {
    let mut deployment = Deployment::new();
    deployment.nodes.extend(0..4);
    deployment.run(Duration::from_secs(3));
    let pages = std::mem::take(&mut deployment.stored.pages);
    deployment.stored.unreadable = pages.len();
    deployment.stored.unreadable_pages = pages.iter().map(RegistryPage::name).collect();
    deployment.next_leader();
    deployment.nodes.retain(|number| *number < 2);

    let timing = Timing::default();
    let lease = timing.lease + timing.lease_margin;
    deployment.run(timing.leadership + lease - STEP);
    assert!(!deployment.assigns_keys(1));
    deployment.run(Duration::from_secs(2));
    assert!(deployment.assigns_keys(1));
    assert!(deployment.stored.unreadable_pages.is_empty());
}

#[test]
fn pages_of_single_changes_are_merged() {
    let mut deployment = Deployment::new();
    for number in 0..400 {
        deployment.nodes.insert(number);
        deployment.run(Duration::from_millis(150));
    }
    deployment.run(Duration::from_secs(10));
    assert_eq!(deployment.registered().len(), 400);
    let pages = deployment.stored.pages.len();
    assert!(pages < 90, "{pages} pages");
}

fn page(epoch: u64, number: u32, nodes: &[usize], removed: &[usize]) -> RegistryPage {
    let nodes = nodes.iter().map(|number| RegisteredNode {
        node: name(*number),
        address: address(*number),
        service: Some(SERVICE.to_owned()),
    });
    RegistryPage {
        epoch: Epoch(epoch),
        number,
        nodes: nodes.collect(),
        removed: removed.iter().copied().map(name).collect(),
    }
}

#[test]
fn late_removals_by_an_earlier_leader_do_not_affect_a_later_one() {
    let stored = RegisteredNodes {
        pages: vec![
            page(2, 0, &[1, 2], &[]),
            page(1, 0, &[1, 2, 3], &[]),
            page(1, 1, &[], &[1, 3]),
        ],
        ..RegisteredNodes::default()
    };
    let known = stored.all().into_iter().map(|known| known.node);
    assert_eq!(known.collect::<Vec<_>>(), [1, 2].map(name));
}

#[test]
fn nodes_of_a_small_fleet_register_themselves_and_those_of_a_large_one_do_not() {
    for (nodes, self_registered) in [(150, true), (250, false)] {
        let mut deployment = Deployment::of_size(200);
        deployment.nodes.extend(0..nodes);
        deployment.run(Duration::from_secs(2));
        let renewal = renewal(1, deployment.leader.epoch(), deployment.now, false);
        let answer = deployment.leader.renewal(deployment.now, &renewal);
        assert!(answer.is_some_and(|answer| answer.registers_itself == self_registered));
        assert_eq!(deployment.calls == 0, self_registered);
    }
}

/// Guards against sending the table to the whole fleet each time a target reports a different start
/// rate.
#[test]
fn a_change_of_a_targets_start_rate_changes_no_table() {
    let mut deployment = Deployment::new();
    deployment.nodes.extend(0..4);
    deployment.run(Duration::from_secs(4));
    let before = deployment.leader.table().clone();
    assert_eq!(before.members.len(), 4);
    for starts_per_s in 1..20 {
        let now = deployment.now;
        let mut renewal = renewal(1, Epoch(1), now, false);
        renewal.target.as_mut().expect("a target").starts_per_s = Some(starts_per_s);
        let _granted = deployment.leader.renewal(now, &renewal);
        deployment.leader.tick(now);
    }
    assert_eq!(deployment.leader.table(), &before);
}
