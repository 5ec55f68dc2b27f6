//! The owner's side: answers the token requests of routers, and tracks which shards the node owns.

use std::net::SocketAddr;
use std::time::Duration;

use wingspar_quota::{Answer, Ask, Decision, Message, Ownership, OwnershipId, Shard, Usage};

use super::quota_time;
use crate::logs::Event;
use crate::node::Node;

/// Handles a message from another node.
pub fn handle_message(node: &Node, from: SocketAddr, message: Message) {
    match message {
        Message::Ask(ask) => {
            let decision = decide(node, Shard::of(&ask.tenant), &ask);
            let answer = Answer {
                number: ask.number,
                decision,
            };
            node.quotas.send(from, Message::Answer(answer));
        }
        Message::Answer(answer) => {
            // Nothing waits for a late answer. Its tokens are lost, which only causes refusals
            // sooner.
            if let Some(waiting) = node.quotas.awaited.borrow_mut().remove(&answer.number) {
                let _left = waiting.send(answer);
            }
        }
    }
}

/// Returns whether this node owns a shard now.
pub fn owns(node: &Node, shard: Shard) -> bool {
    ownership(node, shard).is_some()
}

/// Decides on an ask, or returns `None` if this node doesn't own the tenant's shard now.
pub fn decide(node: &Node, shard: Shard, ask: &Ask) -> Option<Decision> {
    let ownership = ownership(node, shard)?;
    let mut owner = node.quotas.owner.borrow_mut();
    Some(owner.decide(quota_time(node), ownership, ask))
}

/// Returns this node's ownership of a shard, or `None` if it doesn't own it now.
fn ownership(node: &Node, shard: Shard) -> Option<Ownership> {
    let now = node.now();
    let since = node.participant.borrow().owns_shard_since(now, shard)?;
    Some(Ownership {
        id: OwnershipId(node.quotas.life.0.wrapping_add(since.0)),
        since: Duration::from_millis(since.0),
    })
}

/// Logs which shards the node has gained and lost since the last call, and updates the gauge of
/// owned shards.
pub fn log_shard_changes(node: &Node) {
    let owned = node.participant.borrow().owned_shards(node.now());
    let before = node.quotas.shards.replace(owned.clone());
    if owned == before {
        return;
    }
    let without = |shards: &[Shard], others: &[Shard]| {
        let missing = shards.iter().filter(|shard| !others.contains(shard));
        missing.map(|shard| shard.0).collect::<Vec<_>>()
    };
    node.log.write(Event::QuotaShards {
        gained: without(&owned, &before),
        lost: without(&before, &owned),
        owned: owned.len(),
    });
    let gauge = &node.metrics.quota_shards;
    gauge.set(i64::try_from(owned.len()).unwrap_or(i64::MAX));
}

/// Returns the usage of the tenants whose shards this node owns.
pub fn usage(node: &Node) -> Vec<Usage> {
    let usage = node.quotas.owner.borrow_mut().usage(quota_time(node));
    let is_own = |usage: &Usage| owns(node, Shard::of(&usage.tenant));
    usage.into_iter().filter(is_own).collect()
}
