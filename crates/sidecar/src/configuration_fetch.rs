//! Fetches a later configuration from another node.
//!
//! The leader announces a configuration to all nodes at once. If all of them fetched it from the
//! leader, the leader's link and processor would have to serve it once for each node. So in a large
//! deployment only a few nodes of each zone, which change from version to version, fetch it from
//! the leader, and the other nodes of the zone fetch it from them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;

use crate::configuration_doubts::CheckOutcome;
use crate::internal::{self, Fetched};
use crate::logs::Event;
use crate::node::Node;

/// Maximum number of nodes that fetch from the same node. Changes take a few hundred bytes, so this
/// many responses occupy a link of 10 Mbit/s for a few milliseconds. A whole configuration of a
/// thousand routes has some 14 kilobytes: a third of a second.
const MAX_FETCHES_PER_NODE: usize = 24;
/// Time in milliseconds that a node waits before it fetches from a node of its zone, so that the
/// latter has fetched the configuration by then. It covers a round trip between zones, and the time
/// that the leader takes to answer [`MAX_FETCHES_PER_NODE`] nodes, a few times over.
const ZONE_FETCH_DELAY_MS: std::ops::Range<u64> = 40..120;

/// Fetches version `version` or a later one, which the node at `leader` has.
pub async fn run(node: Rc<Node>, leader: SocketAddr, version: u64) {
    let announced = node.configuration_announced.get().max(version);
    node.configuration_announced.set(announced);
    if node.fetching_configuration.replace(true) {
        return;
    }
    // Versions announced during a fetch are fetched afterwards.
    while node.configuration_version() < node.configuration_announced.get() {
        let wanted = node.configuration_announced.get();
        if !fetch_in_zone(&node, leader, wanted).await {
            fetch_from(&node, leader).await;
        }
        if node.configuration_version() < wanted {
            // The response to the next lease renewal announces it again.
            break;
        }
    }
    node.fetching_configuration.set(false);
}

/// Fetches from a node of the same zone. Returns whether there is such a node and it had the
/// version.
async fn fetch_in_zone(node: &Node, leader: SocketAddr, version: u64) -> bool {
    let Some(source) = source_in_zone(node, version).filter(|source| *source != leader) else {
        return false;
    };
    let fetch_delay = rand::rng().random_range(ZONE_FETCH_DELAY_MS);
    tokio::time::sleep(Duration::from_millis(fetch_delay)).await;
    fetch_from(node, source).await;
    node.configuration_version() >= version
}

async fn fetch_from(node: &Node, source: SocketAddr) {
    ask(node, source).await;
}

/// Fetches a later configuration from another node and puts it in force.
pub async fn ask(node: &Node, source: SocketAddr) -> CheckOutcome {
    request_configuration(node, source, false).await
}

/// Fetches a later configuration like [`ask`], but the other node first confirms that it has
/// the latest one.
pub async fn fetch_confirmed(node: &Node, source: SocketAddr) -> CheckOutcome {
    request_configuration(node, source, true).await
}

async fn request_configuration(node: &Node, source: SocketAddr, confirm: bool) -> CheckOutcome {
    let version = node.configuration_version();
    let later = match internal::fetch_configuration(node, source, confirm).await {
        Ok(Fetched::Whole(configuration)) => node.apply_configuration(*configuration, "node"),
        Ok(Fetched::Changes(changes)) => node.apply_configuration_changes(changes, "changes"),
        Ok(Fetched::NoneLater) => return CheckOutcome::NoneLater,
        Ok(Fetched::NotYet) => return CheckOutcome::NotYet,
        Err(error) => {
            log_failure(node, source, version, error.to_string());
            return CheckOutcome::Unknown;
        }
    };
    // Another call may have brought this or a later version meanwhile.
    if later || node.configuration_version() > version {
        return CheckOutcome::Later;
    }
    let problem = "the changes start from another version".to_owned();
    log_failure(node, source, version, problem);
    CheckOutcome::Unknown
}

fn log_failure(node: &Node, source: SocketAddr, version: u64, problem: String) {
    node.log.write(Event::ConfigurationNotFetched {
        from: source.to_string(),
        version,
        problem,
    });
}

/// The node of the own zone to fetch a version from; `None` if this node fetches it from the
/// leader.
fn source_in_zone(node: &Node, version: u64) -> Option<SocketAddr> {
    let directory = node.directory.borrow();
    let members = &directory.table().members;
    if members.len() <= MAX_FETCHES_PER_NODE {
        return None;
    }
    let zone = members
        .iter()
        .filter(|member| member.zone == node.settings.node.zone && !member.leaving)
        .collect::<Vec<_>>();
    let position = zone.iter().position(|member| member.node == node.name)?;
    let source = fetch_source(position, zone.len(), version)?;
    zone.get(source).map(|member| member.address)
}

/// The position of the node that the node at `position` fetches a version from, among `nodes` nodes
/// in an order that all nodes agree on; `None` if the others fetch from the node at `position`.
pub fn fetch_source(position: usize, nodes: usize, version: u64) -> Option<usize> {
    let count = u64::try_from(nodes).unwrap_or(u64::MAX).max(1);
    let first = usize::try_from(version % count).unwrap_or(0);
    let rank = (position + nodes - first) % nodes.max(1);
    let source_rank = rank - rank % MAX_FETCHES_PER_NODE;
    (source_rank != rank).then(|| (first + source_rank) % nodes)
}
