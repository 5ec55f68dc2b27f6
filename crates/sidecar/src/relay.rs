//! Relays for the leader's table, so that not every node fetches it from the leader.
//!
//! A later table is announced to all nodes at once. In regions other than the leader's, and everywhere in a large
//! deployment, a few nodes, the relays, fetch the table from the leader, and the other nodes fetch it from them. A
//! relay that is queried too early holds the request until it has the table. Which nodes are relays is derived from the
//! shared table and changes with the leader's epoch. A node that gets no later table from its relay in time queries
//! the leader, and uses no relay for a while.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::{Instant, timeout, timeout_at};
use wingspar_ownership::{Epoch, MAX_DIRECT_FETCHES, NodeName, Table, Time};

use crate::configuration_fetch::fetch_source;
use crate::network_paths::Topology;
use crate::node::Node;

/// How long a relay holds a request for a table that it doesn't have yet: a few round trips to the leader.
pub const MAX_RELAY_WAIT: Duration = Duration::from_millis(150);
/// Timeout of a request to a relay, after which the node queries the leader: the time that the relay may hold the
/// request, and as much again for opening a connection. Requests are routed by the older table meanwhile.
pub const RELAY_TIMEOUT: Duration = Duration::from_millis(300);
/// How long relays aren't used after one failed: the time within which the leader notices that the relay is gone.
const RETRY_DELAY: Duration = Duration::from_secs(3);

/// Decides whether this node fetches tables from relays.
#[derive(Debug, Default)]
pub struct Relays {
    failed_at: Option<Time>,
}

impl Relays {
    /// Whether a relay may be used now.
    pub fn are_usable(&self, now: Time) -> bool {
        self.failed_at
            .is_none_or(|failed_at| now.since(failed_at) >= RETRY_DELAY)
    }

    /// Records whether a relay returned a later table.
    pub fn answered(&mut self, now: Time, succeeded: bool) {
        self.failed_at = (!succeeded).then_some(now);
    }
}

/// The relay from which `node` fetches the table of the leader at `leader`; `None` if it queries the leader itself.
pub fn source(
    table: &Table,
    topology: &Topology,
    node: &NodeName,
    leader: SocketAddr,
) -> Option<SocketAddr> {
    let own_zone = &table.members.iter().find(|known| known.node == *node)?.zone;
    let leader = table.members.iter().find(|known| known.address == leader)?;
    let is_near = !topology.are_in_different_regions(own_zone, &leader.zone);
    if is_near && table.members.len() <= MAX_DIRECT_FETCHES {
        return None;
    }
    regional_source(table, topology, node, table.epoch.0)
}

/// The node in the same region that `node` queries instead of a more distant one, so that one node fetches for all.
/// `None` if `node` is itself such a node. Nodes with the same table and the same `turn` choose the same sources;
/// another `turn` selects others.
pub fn regional_source(
    table: &Table,
    topology: &Topology,
    node: &NodeName,
    turn: u64,
) -> Option<SocketAddr> {
    let own_zone = &table.members.iter().find(|known| known.node == *node)?.zone;
    let region = table
        .members
        .iter()
        .filter(|known| !known.leaving && !topology.are_in_different_regions(own_zone, &known.zone))
        .collect::<Vec<_>>();
    let position = region.iter().position(|known| known.node == *node)?;
    let chosen = fetch_source(position, region.len(), turn)?;
    region.get(chosen).map(|known| known.address)
}

/// Queries a relay, then the leader unless the relay returns something within [`RELAY_TIMEOUT`]. Returns the answer and
/// whether it came from the relay.
pub async fn fetch_with_fallback<Answer>(
    relay: impl Future<Output = Option<Answer>>,
    leader: impl Future<Output = Option<Answer>>,
) -> (Option<Answer>, bool) {
    if let Ok(Some(answer)) = timeout(RELAY_TIMEOUT, relay).await {
        return (Some(answer), true);
    }
    (leader.await, false)
}

/// Waits until this node's table is later than the given version, but no longer than [`MAX_RELAY_WAIT`]; returns whether it
/// is.
pub async fn wait_for_newer_table(node: &Node, epoch: Epoch, version: u64) -> bool {
    let until = Instant::now() + MAX_RELAY_WAIT;
    loop {
        let changed = node.directory_changed.notified();
        {
            let directory = node.directory.borrow();
            let own = directory.table();
            if (own.epoch, own.version) > (epoch, version) {
                return true;
            }
        }
        if timeout_at(until, changed).await.is_err() {
            return false;
        }
    }
}
