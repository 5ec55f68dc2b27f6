//! Guards against a stopping node that removes its registration while it holds keys or shards, or
//! may still get some: a new leader would assign them to another node.

mod support;

use std::time::Duration;

use support::{LEASE_MS, address, leadership, name, reply, shard_reply};
use wingspar_ownership::{
    Datagram, Incarnation, KeyRange, LeaseReply, NodeContext, NodeIdentity, Participant, Time,
    Timing,
};

const EPOCH: u64 = 4;
const STARTED_AT: Time = Time(10_000);

fn started() -> Participant {
    let identity = NodeIdentity {
        node: name(1),
        life: Incarnation(1),
        zone: "a".to_owned(),
        address: address(1),
    };
    let mut node = Participant::new(identity, Timing::default(), true, STARTED_AT);
    node.observe_target(STARTED_AT, "t");
    node
}

/// Passes a leader's reply to the node.
fn receive(node: &mut Participant, now: Time, reply: LeaseReply) {
    let leader = leadership(EPOCH).leader;
    let lease = Datagram::Lease(leader.clone(), Box::new(reply));
    node.receive(now, &NodeContext::default(), leader.address, lease);
}

/// When every lease from renewals before `stopping_since` has expired.
fn expired(stopping_since: Time) -> Time {
    let timing = Timing::default();
    stopping_since + timing.lease + timing.lease_margin
}

#[test]
fn a_registration_stays_until_leases_from_before_the_stop_have_expired() {
    let mut node = started();
    let stopping_since = STARTED_AT + Duration::from_millis(100);
    let until = expired(stopping_since);
    assert!(!node.may_unregister(stopping_since, stopping_since));
    assert!(!node.may_unregister(Time(until.0 - 1), stopping_since));
    assert!(node.may_unregister(until, stopping_since));
}

#[test]
fn a_registration_stays_while_the_node_owns_shards() {
    let mut node = started();
    let stopping_since = STARTED_AT;
    let renewed_at = Time(expired(stopping_since).0 - LEASE_MS / 2);
    receive(
        &mut node,
        renewed_at,
        shard_reply(EPOCH, renewed_at.0, 1, &[7]),
    );
    assert!(!node.may_unregister(expired(stopping_since), stopping_since));
    let released_at = expired(stopping_since);
    receive(
        &mut node,
        released_at,
        shard_reply(EPOCH, released_at.0, 2, &[]),
    );
    assert!(node.may_unregister(released_at, stopping_since));
}

#[test]
fn a_registration_stays_while_the_target_holds_keys() {
    let mut node = started();
    let stopping_since = STARTED_AT;
    let renewed_at = Time(expired(stopping_since).0 - LEASE_MS / 2);
    let wanted = [(KeyRange::ALL, 9)];
    receive(
        &mut node,
        renewed_at,
        reply(EPOCH, renewed_at.0, 1, &wanted, None),
    );
    assert!(!node.may_unregister(expired(stopping_since), stopping_since));
}
