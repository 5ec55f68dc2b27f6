//! A node that can't reach the store is notified by the leader itself of whom to follow.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use wingspar_ownership::{
    Action, ClaimResult, Datagram, Incarnation, NodeContext, NodeIdentity, NodeName, Participant,
    RegisteredNodes, Registration, Renewal, StoreEra, Time, Timing,
};

fn address(node: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, node], 7620))
}

fn context() -> NodeContext {
    NodeContext {
        service: None,
        registered_for: Some("s".to_owned()),
        registered_in: StoreEra::default(),
        registered_revision: 0,
        configuration_version: 1,
        store_reachable: true,
        keyed_services: BTreeSet::new(),
        owner_zones: Default::default(),
        ..NodeContext::default()
    }
}

/// Returns a leader elected at time 3000. Node 2 is registered and hasn't renewed.
fn leader() -> Participant {
    let (node, told) = leader_that_lists(&[("one", 1), ("two", 2)]);
    assert!(
        notices(&told, address(2)) > 0,
        "all registered nodes are notified at once"
    );
    node
}

/// Returns a leader elected at time 3000 that found these nodes registered, and its first actions.
fn leader_that_lists(names: &[(&str, u8)]) -> (Participant, Vec<Action>) {
    let identity = NodeIdentity {
        node: NodeName::from("one"),
        life: Incarnation(1),
        zone: "a".to_owned(),
        address: address(1),
    };
    let mut node = Participant::new(identity, Timing::default(), true, Time(0));
    let reads = (0..200).any(|step| {
        let actions = node.tick(Time(step * 10), &context());
        actions.contains(&Action::ReadCachedLeadership)
    });
    assert!(reads, "the node contends");
    let now = Time(3_000);
    let actions = node.cached_leader_read(now, &context(), None);
    assert_eq!(actions, [Action::ReadLeadership]);
    let actions = node.leadership_read(now, now, Ok(None));
    let [Action::Claim(None, leadership)] = actions.as_slice() else {
        panic!("expected a claim, got {actions:?}");
    };
    let claimed = node.claim_ended(now, &context(), now, leadership.clone(), ClaimResult::Won);
    assert_eq!(claimed, [Action::ListRegistered]);
    let registered = names.iter().map(|(name, last)| {
        let registration = Registration {
            address: address(*last),
            service: Some("s".to_owned()),
            life: Some(Incarnation(1)),
            era: Some(StoreEra::default()),
        };
        (NodeName::from(*name), registration)
    });
    let registered = RegisteredNodes {
        self_registered: registered.collect(),
        ..RegisteredNodes::default()
    };
    let told = node.registered_listed(now, &context(), Some(registered));
    (node, told)
}

fn notices(actions: &[Action], to: SocketAddr) -> usize {
    let told = |action: &&Action| matches!(action, Action::Send(address, Datagram::Notice(..)) if *address == to);
    actions.iter().filter(told).count()
}

fn notices_between(node: &mut Participant, from: u64, to: u64) -> usize {
    (from..to)
        .step_by(100)
        .map(|now| notices(&node.tick(Time(now), &context()), address(2)))
        .sum()
}

fn renewal(now: u64) -> Renewal {
    Renewal {
        node: NodeName::from("two"),
        life: Incarnation(2),
        zone: "a".to_owned(),
        address: address(2),
        sent_at: Time(now),
        no_lease_given_ms: 0,
        epoch: wingspar_ownership::Epoch(1),
        applied: 0,
        clean: true,
        held: Vec::new(),
        released: Vec::new(),
        target: None,
        leaving: false,
        service: None,
        registered_for: Some("s".to_owned()),
        registered_in: StoreEra::default(),
        registered_revision: None,
        configuration_version: 1,
        store_reachable: false,
        link_mbps: None,
        quarantine: None,
        quota_shards: Default::default(),
    }
}

#[test]
fn a_silent_registered_node_is_reminded_repeatedly() {
    let mut node = leader();
    let times = notices_between(&mut node, 3_100, 8_100);
    assert!((3..=8).contains(&times), "{times} times in five seconds");
}

#[test]
fn a_node_that_renews_is_not_reminded() {
    let mut node = leader();
    let mut told = 0;
    for now in (3_100..8_100).step_by(100) {
        // The leader renews its own lease as time passes, like the other node.
        told += notices(&node.tick(Time(now), &context()), address(2));
        if now % 400 == 300 {
            let datagram = Datagram::Renew(Box::new(renewal(now)));
            let actions = node.receive(Time(now), &context(), address(2), datagram);
            told += notices(&actions, address(2));
        }
    }
    // These notices announce changes of the table, not the leader.
    assert!(told <= 3, "{told} notices");
    assert_eq!(notices_between(&mut node, 8_100, 9_000), 0);
}

/// Guards against a node that joined after the election, restarts where the store is unreachable,
/// and receives no other datagrams.
#[test]
fn a_silent_node_that_joined_after_the_election_is_reminded_repeatedly() {
    let (mut node, _) = leader_that_lists(&[]);
    let datagram = Datagram::Renew(Box::new(renewal(3_100)));
    let _lease = node.receive(Time(3_100), &context(), address(2), datagram);
    notices_between(&mut node, 3_200, 5_000);
    let times = notices_between(&mut node, 5_000, 10_000);
    assert!((3..=8).contains(&times), "{times} times in five seconds");
}
