//! Queries another node for a later configuration, so that one node reads the store on
//! behalf of many.
//!
//! Nodes that receive nothing from the leader begin to check at the same time, and mostly when
//! bandwidth is scarce. If each read the whole of a large configuration, they would use up the
//! remaining bandwidth, and none would have it in time. So a node queries the leader while that
//! responds, and otherwise a node of its region, which is the same one for all. A queried node
//! reads the store, and queries no other node but the leader.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use super::{Subject, configuration, freshness_limit, log_failure};
use crate::configuration_doubts::{CheckOutcome, is_fresh};
use crate::configuration_fetch;
use crate::node::Node;
use crate::relay;

/// Number of nodes of the region that a node queries before it reads the store itself: it is rare
/// that two are gone at once.
const MAX_READERS: usize = 2;
/// Maximum number of reads of the store in one check on behalf of another node. If a read took
/// long, its result is no longer recent, and the store's revision, which returns at once, is
/// requested once more. During a series of changes the next read begins as soon as one ends, so the
/// number is limited.
const MAX_PEER_CHECK_READS: usize = 3;
/// How long a node that checks on behalf of another one delays its response: less than the time
/// that calls between nodes may take to begin.
const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(600);

/// Has the leader, then nodes of the region, confirm that there is no later configuration. At the
/// leader this has no effect; a node that others of the region query only queries the leader.
pub async fn ask_peers(node: &Rc<Node>) -> CheckOutcome {
    let outcome = ask_leader(node).await;
    if outcome.is_conclusive() {
        return outcome;
    }
    for _ in 0..MAX_READERS {
        let Some(reader) = choose_reader(node) else {
            break;
        };
        let outcome = ask(node, reader).await;
        if outcome.is_conclusive() {
            return outcome;
        }
        let turn = &node.configuration_reads.reader_turn;
        turn.set(turn.get() + 1);
    }
    CheckOutcome::Unknown
}

async fn ask_leader(node: &Node) -> CheckOutcome {
    let leader = {
        let participant = node.participant.borrow();
        let leader = participant.live_leader(node.now());
        leader.map(|leader| leader.address)
    };
    match leader {
        Some(leader) => ask(node, leader).await,
        None => CheckOutcome::Unknown,
    }
}

/// The node of the region to query; `None` if the others query this node, or it is the leader.
fn choose_reader(node: &Node) -> Option<SocketAddr> {
    let participant = node.participant.borrow();
    if participant.leader_state().is_some() {
        return None;
    }
    let table = participant.table();
    let turn = table.epoch.0 + node.configuration_reads.reader_turn.get();
    relay::regional_source(table, node.selection.topology(), &node.name, turn)
}

/// Queries a node repeatedly until it has completed its check, which it does in any case because a
/// read of the store ends.
async fn ask(node: &Node, other: SocketAddr) -> CheckOutcome {
    loop {
        let asked_at = node.now();
        let outcome = configuration_fetch::fetch_confirmed(node, other).await;
        match outcome {
            CheckOutcome::NotYet => {}
            CheckOutcome::NoneLater => {
                // The other node's knowledge was no older than this when it responded, and it may
                // have begun the check on behalf of another node.
                let oldest = freshness_limit(node) + MAX_RESPONSE_DELAY;
                node.configuration_checked(asked_at.before(oldest));
                return outcome;
            }
            CheckOutcome::Later | CheckOutcome::Unknown => return outcome,
        }
    }
}

/// The response of a node to another one that requests confirmation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// The node has the latest configuration.
    Fresh,
    /// The check is still in progress; the other node can repeat its request.
    Pending,
    /// The node can't check.
    Unknown,
}

/// Checks on behalf of another node whether there is a later configuration. One check serves all
/// nodes that query this one meanwhile.
pub async fn ensure_fresh(node: &Rc<Node>) -> Freshness {
    if is_fresh(node) {
        return Freshness::Fresh;
    }
    if !node.store_reachable.get() {
        // The other node can't wait until the store is reachable again.
        return Freshness::Unknown;
    }
    let reads = &node.configuration_reads;
    let ended = reads.peer_check.ended();
    if !reads.peer_check.is_in_progress() {
        tokio::task::spawn_local(run_peer_check(node.clone()));
    }
    if timeout(MAX_RESPONSE_DELAY, ended).await.is_err() {
        return Freshness::Pending;
    }
    if reads.peer_check_succeeded.get() {
        Freshness::Fresh
    } else {
        Freshness::Unknown
    }
}

/// Queries the leader, or else reads the store.
async fn run_peer_check(node: Rc<Node>) {
    let reads = &node.configuration_reads;
    let Some(_guard) = reads.peer_check.try_begin() else {
        return;
    };
    let succeeded = ask_leader(&node).await.is_conclusive() || read_until_fresh(&node).await;
    reads.peer_check_succeeded.set(succeeded);
}

/// Reads the store until its result is recent. Returns whether it is.
async fn read_until_fresh(node: &Node) -> bool {
    for _ in 0..MAX_PEER_CHECK_READS {
        if let Err(error) = configuration::check(node).await {
            log_failure(node, Subject::Configuration, "read", &error);
            return false;
        }
        // A new leader reads the same data over the same link meanwhile, and two reads in parallel
        // take twice as long.
        if is_fresh(node) || ask_leader(node).await.is_conclusive() {
            return true;
        }
    }
    false
}
