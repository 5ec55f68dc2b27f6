//! Node names, addresses and lease replies.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::net::SocketAddr;

use wingspar_ownership::{
    Epoch, Fence, Incarnation, KeyRange, LeaderReference, Leadership, LeaseReply, NodeName,
    Renewal, StoreEra, TargetState, Time, Wanted,
};
use wingspar_quota::Shard;

/// Returns the name of the node with this number.
pub fn name(number: u8) -> NodeName {
    NodeName::from(format!("node-{number}").as_str())
}

/// Returns the address on which the node listens.
pub fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 7620))
}

/// Lease duration in these replies, in milliseconds.
pub const LEASE_MS: u64 = 2_400;

/// Returns a reply to a renewal sent at `sent_at` that assigns these ranges under these fences.
pub fn reply(
    epoch: u64,
    sent_at: u64,
    assignment: u64,
    wanted: &[(KeyRange, u64)],
    handover: Option<&str>,
) -> LeaseReply {
    let wanted = wanted.iter().map(|(range, fence)| Wanted {
        range: *range,
        fence: Fence(*fence),
        handover: handover.map(str::to_owned),
    });
    LeaseReply {
        epoch: Epoch(epoch),
        life: Incarnation(1),
        renewal_sent_at: Time(sent_at),
        lease_ms: LEASE_MS,
        assignment,
        target: Some("t".to_owned()),
        wanted: wanted.collect(),
        clean_fence: None,
        table_version: 0,
        configuration_version: 0,
        configuration_checked_ms_ago: None,
        store_era: StoreEra::default(),
        evacuations: None,
        quarantine: Default::default(),
        registers_itself: false,
        missing_registration: None,
        quota_shards: Vec::new(),
    }
}

/// Returns a reply that assigns these shards.
pub fn shard_reply(epoch: u64, sent_at: u64, assignment: u64, shards: &[u16]) -> LeaseReply {
    LeaseReply {
        quota_shards: shards.iter().copied().map(Shard).collect(),
        ..reply(epoch, sent_at, assignment, &[], None)
    }
}

/// Service of the targets in [`renewal`].
pub const SERVICE: &str = "stock";

/// Returns a leadership of node 0 in this epoch, after a leader that hasn't noticed its replacement.
pub fn leadership(epoch: u64) -> Leadership {
    Leadership {
        leader: LeaderReference {
            epoch: Epoch(epoch),
            node: name(0),
            life: Incarnation(1),
            address: address(0),
        },
        earlier: Some(vec![name(99)]),
        shards_anywhere: false,
        era: StoreEra::default(),
        restored_ms_ago: None,
        nodes: 0,
    }
}

/// Returns the target beside a node.
pub fn target(number: u8) -> TargetState {
    TargetState {
        id: format!("target-{number}"),
        service: SERVICE.to_owned(),
        accepting: true,
        slots: 8,
        starts_per_s: None,
    }
}

/// Returns a renewal by a registered node whose target holds nothing.
pub fn renewal(number: u8, life: u64, epoch: Epoch, sent_at: Time) -> Renewal {
    Renewal {
        node: name(number),
        life: Incarnation(life),
        zone: "a".to_owned(),
        address: address(number),
        sent_at,
        no_lease_given_ms: 0,
        epoch,
        applied: 0,
        clean: true,
        held: Vec::new(),
        released: Vec::new(),
        target: Some(target(number)),
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
