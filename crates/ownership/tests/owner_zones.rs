//! Keys are owned only in the zones that the operator allows.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use wingspar_ownership::{
    Epoch, Fence, Holding, Incarnation, KeyRange, Leader, LeaderReference, Leadership, NodeName,
    OwnerZones, RegisteredNodes, Registration, Released, Renewal, StoreEra, Table, TargetState,
    Time, Timing, Wanted,
};

const SERVICE: &str = "s";
/// Zone of each node.
const ZONES: [&str; 4] = ["a", "b", "a", "b"];
/// Handover token released by targets.
const HANDOVER: &str = "token";

fn name(index: usize) -> NodeName {
    NodeName::from(format!("node-{index}").as_str())
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, index as u8 + 1], 7620))
}

fn only_in(zones: &[&str]) -> OwnerZones {
    let zones = zones.iter().map(|zone| (*zone).to_owned());
    OwnerZones::new(BTreeMap::from([(SERVICE.to_owned(), zones.collect())]))
}

/// A node that immediately releases ranges that it is no longer assigned.
#[derive(Default)]
struct Node {
    wanted: Vec<Wanted>,
    released: Vec<Released>,
    applied: u64,
}

/// A leader, and nodes that renew their leases every 0.1 s.
struct Fleet {
    now: u64,
    leader: Leader,
    nodes: BTreeMap<usize, Node>,
}

impl Fleet {
    fn new(owner_zones: &OwnerZones) -> Self {
        let now = Time(10_000);
        let leader = LeaderReference {
            epoch: Epoch(2),
            node: name(0),
            life: Incarnation(0),
            address: address(0),
        };
        let earlier = Some(Vec::new());
        let leadership = Leadership {
            leader,
            earlier,
            shards_anywhere: false,
            era: StoreEra::default(),
            restored_ms_ago: None,
            nodes: 0,
        };
        let registered = (0..ZONES.len()).map(|index| {
            let registration = Registration {
                address: address(index),
                service: Some(SERVICE.to_owned()),
                life: Some(Incarnation(index as u64)),
                era: Some(StoreEra::default()),
            };
            (name(index), registration)
        });
        let registered = RegisteredNodes {
            self_registered: registered.collect(),
            ..RegisteredNodes::default()
        };
        let (timing, known) = (Timing::default(), Table::default());
        let mut leader = Leader::new(&leadership, timing, now, now, &registered, known);
        leader.set_keyed_services(&BTreeSet::from([SERVICE.to_owned()]));
        leader.set_owner_zones(owner_zones);
        let nodes = (0..ZONES.len()).map(|index| (index, Node::default()));
        Self {
            now: now.0,
            leader,
            nodes: nodes.collect(),
        }
    }

    fn renewal(&self, index: usize) -> Renewal {
        let node = &self.nodes[&index];
        let held = node.wanted.iter().map(|wanted| Holding {
            range: wanted.range,
            fence: wanted.fence,
        });
        Renewal {
            node: name(index),
            life: Incarnation(index as u64),
            zone: ZONES[index].to_owned(),
            address: address(index),
            sent_at: Time(self.now),
            no_lease_given_ms: 0,
            epoch: Epoch(2),
            applied: node.applied,
            clean: true,
            held: held.collect(),
            released: node.released.clone(),
            target: Some(TargetState {
                id: format!("target-{index}"),
                service: SERVICE.to_owned(),
                accepting: true,
                slots: 14,
                starts_per_s: None,
            }),
            leaving: false,
            service: None,
            registered_for: Some(SERVICE.to_owned()),
            registered_in: StoreEra::default(),
            registered_revision: None,
            configuration_version: 1,
            store_reachable: true,
            link_mbps: None,
            quarantine: None,
            quota_shards: None,
        }
    }

    /// Runs the fleet for some time, with the store confirming the leader throughout. Checks that
    /// no key has two owners.
    fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 100;
            let now = Time(self.now);
            self.leader.confirm(now);
            self.leader.tick(now);
            for index in self.nodes.keys().copied().collect::<Vec<_>>() {
                let renewal = self.renewal(index);
                let reply = self.leader.renewal(now, &renewal).expect("a lease");
                let node = self.nodes.get_mut(&index).expect("a node");
                let left_out = node.wanted.iter().filter(|held| {
                    !reply
                        .wanted
                        .iter()
                        .any(|wanted| wanted.range.overlaps(held.range))
                });
                node.released = left_out
                    .map(|held| Released {
                        range: held.range,
                        handover: Some(HANDOVER.to_owned()),
                    })
                    .collect();
                node.wanted = reply.wanted;
                node.applied = reply.assignment;
            }
            for key in (0..=u16::MAX).step_by(512) {
                assert!(self.owners_of(key).len() <= 1, "key {key}");
            }
        }
    }

    fn owners_of(&self, key: u16) -> Vec<usize> {
        let owns = |node: &Node| node.wanted.iter().any(|wanted| wanted.range.contains(key));
        let owners = self.nodes.iter().filter(|(_, node)| owns(node));
        owners.map(|(index, _)| *index).collect()
    }

    /// Returns the zones in which keys are owned; "" stands for keys without an owner.
    fn zones(&self) -> BTreeSet<&str> {
        let keys = (0..=u16::MAX).step_by(512);
        let owners = keys.map(|key| self.owners_of(key).first().copied());
        owners
            .map(|owner| owner.map_or("", |index| ZONES[index]))
            .collect()
    }
}

#[test]
fn keys_are_assigned_only_to_nodes_in_allowed_zones() {
    let mut fleet = Fleet::new(&only_in(&["b"]));
    fleet.run(2_500);
    assert_eq!(fleet.zones(), BTreeSet::from(["b"]));
}

#[test]
fn a_change_of_the_zones_hands_keys_over() {
    let mut fleet = Fleet::new(&OwnerZones::default());
    fleet.run(2_500);
    assert_eq!(fleet.zones(), BTreeSet::from(["a", "b"]));
    let moved = (0..=u16::MAX).step_by(512);
    let moved = moved.filter(|key| ZONES[fleet.owners_of(*key)[0]] == "a");
    let moved = moved.collect::<Vec<_>>();
    fleet.leader.set_owner_zones(&only_in(&["b"]));
    fleet.run(1_000);
    assert_eq!(fleet.zones(), BTreeSet::from(["b"]));
    for key in moved {
        let owner = &fleet.nodes[&fleet.owners_of(key)[0]];
        let wanted = owner
            .wanted
            .iter()
            .find(|wanted| wanted.range.contains(key));
        let handover = wanted.and_then(|wanted| wanted.handover.as_deref());
        assert_eq!(handover, Some(HANDOVER), "key {key}");
    }
}

#[test]
fn keys_have_no_owner_without_a_node_in_an_allowed_zone() {
    let mut fleet = Fleet::new(&OwnerZones::default());
    fleet.run(2_500);
    fleet.leader.set_owner_zones(&only_in(&["c"]));
    fleet.run(1_000);
    assert_eq!(fleet.zones(), BTreeSet::from([""]));
    fleet.leader.set_owner_zones(&OwnerZones::default());
    fleet.run(1_000);
    assert_eq!(fleet.zones(), BTreeSet::from(["a", "b"]));
}

#[test]
fn a_new_leader_leaves_keys_where_they_are_until_it_has_caught_up() {
    // The leader was elected with an earlier version of the configuration, which is replaced soon
    // after.
    let mut fleet = Fleet::new(&only_in(&["b"]));
    let all = Wanted {
        range: KeyRange {
            from: 0,
            to: u16::MAX,
        },
        fence: Fence::first_of(Epoch(1)),
        handover: None,
    };
    fleet.nodes.get_mut(&0).expect("a node").wanted = vec![all];
    fleet.run(300);
    assert_eq!(fleet.zones(), BTreeSet::from(["a"]));
    fleet.leader.set_owner_zones(&OwnerZones::default());
    fleet.run(2_500);
    assert_eq!(fleet.zones(), BTreeSet::from(["a", "b"]));
}
