//! Which tables routers get when another node becomes the leader.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use wingspar_ownership::{
    Epoch, Incarnation, Leader, LeaderReference, Leadership, MemberView, NodeName, RegisteredNodes,
    Registration, Renewal, ServiceTable, StoreEra, Table, TableAnswer, TargetState, Time, Timing,
};

const SERVICE: &str = "s";

fn name(number: u16) -> NodeName {
    NodeName::from(format!("node-{number:03}").as_str())
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, (number >> 8) as u8, number as u8], 7620))
}

fn member(number: u16) -> MemberView {
    MemberView {
        node: name(number),
        zone: "a".to_owned(),
        address: address(number),
        target: Some(TargetState {
            id: format!("target-{number}"),
            service: SERVICE.to_owned(),
            accepting: true,
            slots: 14,
            starts_per_s: None,
        }),
        leaving: false,
        quota_shards: Vec::new(),
    }
}

/// Returns the table of a leader of epoch 3 with 64 members, each of which owns 64 arcs.
fn previous_table() -> Table {
    let arcs = (0..4_096_u16).map(|arc| (arc * 16 + 15, name(arc % 64 * 29 % 64)));
    let arcs = arcs.collect::<Vec<_>>();
    let owners = arcs.iter().map(|(to, node)| (*to, Some(node.clone())));
    Table {
        epoch: Epoch(3),
        version: 700,
        members: (0..64).map(member).collect(),
        services: vec![ServiceTable {
            service: SERVICE.to_owned(),
            owners: owners.collect(),
            plan: arcs,
        }],
    }
}

/// Returns a leader of epoch 4 that was elected at `now` and hasn't received any renewal.
fn leader(now: Time, known: Table) -> Leader {
    let reference = LeaderReference {
        epoch: Epoch(4),
        node: name(0),
        life: Incarnation(1),
        address: address(0),
    };
    let leadership = Leadership {
        leader: reference,
        earlier: Some(vec![name(1)]),
        shards_anywhere: false,
        era: StoreEra::default(),
        restored_ms_ago: None,
        nodes: 0,
    };
    let registered = (0..64).map(|number| {
        let registration = Registration {
            address: address(number),
            service: Some(SERVICE.to_owned()),
            life: Some(Incarnation(u64::from(number))),
            era: Some(StoreEra::default()),
        };
        (name(number), registration)
    });
    let registered = RegisteredNodes {
        self_registered: registered.collect(),
        ..RegisteredNodes::default()
    };
    let mut leader = Leader::new(&leadership, Timing::default(), now, now, &registered, known);
    leader.set_keyed_services(&BTreeSet::from([SERVICE.to_owned()]));
    leader.tick(now);
    leader
}

#[test]
fn routers_keep_the_previous_members_and_owners() {
    let before = previous_table();
    let leader = leader(Time(10_000), before.clone());
    assert_eq!(leader.table().members, before.members);
    assert_eq!(leader.table().services, before.services);
}

#[test]
fn a_new_leader_sends_only_changes_to_the_previous_table() {
    let before = previous_table();
    let leader = leader(Time(10_000), before.clone());
    let answer = leader.table_since(before.epoch, before.version);
    let TableAnswer::Changes(changes) = &answer else {
        panic!("the whole table would be sent to every node at once");
    };
    assert!(changes.members.is_empty() && changes.removed.is_empty());
    assert!(
        changes
            .services
            .iter()
            .all(|service| service.owners.len() < 8)
    );
    let after = before.advanced(answer).expect("the answer is newer");
    assert_eq!(&after, leader.table());
}

#[test]
fn a_node_with_another_table_gets_the_whole_table() {
    let before = previous_table();
    let leader = leader(Time(10_000), before.clone());
    let answer = leader.table_since(before.epoch, before.version - 1);
    assert_eq!(answer, TableAnswer::Whole(leader.table().clone()));
}

#[test]
fn members_that_do_not_report_are_removed_after_a_lease() {
    let mut leader = leader(Time(10_000), previous_table());
    leader.tick(Time(10_000) + Timing::default().lease);
    assert!(leader.table().members.is_empty());
    let owners = &leader.table().services[0].owners;
    assert_eq!(*owners, [(u16::MAX, None)]);
}

fn renewal(number: u16, now: Time) -> Renewal {
    Renewal {
        node: name(number),
        life: Incarnation(u64::from(number)),
        zone: "a".to_owned(),
        address: address(number),
        sent_at: now,
        no_lease_given_ms: 0,
        epoch: Epoch(4),
        applied: 0,
        clean: true,
        held: Vec::new(),
        released: Vec::new(),
        target: member(number).target,
        leaving: false,
        service: None,
        registered_for: Some(SERVICE.to_owned()),
        registered_in: StoreEra::default(),
        registered_revision: None,
        configuration_version: 1,
        store_reachable: true,
        link_mbps: None,
        quarantine: None,
        quota_shards: Default::default(),
    }
}

/// Returns whether a leader without a previous table assigns all keys within 0.7 s when this many
/// of the 64 nodes report.
fn assigns_keys_soon(reporting: u16) -> bool {
    let mut leader = leader(Time(10_000), Table::default());
    for now in (10_000..10_700).step_by(100).map(Time) {
        for number in 0..reporting {
            leader.renewal(now, &renewal(number, now));
        }
        leader.confirm(now);
        leader.tick(now);
    }
    let owners = &leader.table().services[0].owners;
    owners.iter().all(|(_, owner)| owner.is_some())
}

#[test]
fn keys_are_assigned_at_once_when_all_nodes_are_back_after_a_power_loss() {
    assert!(assigns_keys_soon(64));
}

#[test]
fn keys_are_not_assigned_at_once_while_a_node_is_silent() {
    assert!(!assigns_keys_soon(63));
}
