//! Requests outstanding at each node: their number, and what their outcomes show about the node and the network path to
//! it.

use std::time::Duration;

use tokio::time::Instant;
use wingspar_ownership::NodeName;

use crate::directory::Destination;
use crate::hop::{HopAnswer, Refusal};
use crate::logs::Event;
use crate::network_paths::ReachabilityChange;
use crate::node::Node;
use crate::occupancy::Occupancy;
use crate::selection::RequestEnd;

/// Counts a request as outstanding at a node until this is dropped, also if its client disconnects.
pub struct Outstanding<'a> {
    node: &'a Node,
    destination: NodeName,
    since: Instant,
    end: RequestEnd,
}

impl<'a> Outstanding<'a> {
    /// Counts a request that is about to be sent to a node.
    pub fn begin(node: &'a Node, destination: &NodeName) -> Self {
        node.selection.sent(destination);
        Self {
            node,
            destination: destination.clone(),
            since: Instant::now(),
            end: RequestEnd::Unknown,
        }
    }

    /// Time since the request was sent that it didn't spend at the node; `None` if the node didn't report how long it
    /// held the request.
    pub fn network_time(&self, occupancy: Occupancy) -> Option<Duration> {
        let held = Duration::from_millis(u64::from(occupancy.held_ms?));
        Some(self.since.elapsed().saturating_sub(held))
    }

    /// Sets the outcome by the node's answer. `network_time` of the time was spent on the network and doesn't count for
    /// the node.
    pub fn end(mut self, answer: &HopAnswer, network_time: Duration) {
        self.end = match answer {
            HopAnswer::Answered(response) if response.status().is_server_error() => {
                RequestEnd::Failed
            }
            HopAnswer::Answered(_) => {
                RequestEnd::Succeeded(self.since.elapsed().saturating_sub(network_time))
            }
            HopAnswer::MayHaveRun(_)
            | HopAnswer::TargetEnded
            | HopAnswer::Refused(Refusal::Rejected) => RequestEnd::Failed,
            HopAnswer::Refused(_) => RequestEnd::Unknown,
        };
    }
}

impl Drop for Outstanding<'_> {
    fn drop(&mut self) {
        let now = self.node.now();
        self.node.selection.ended(now, &self.destination, self.end);
    }
}

/// Updates the network path to a node by an answer or its absence; logs when its region is avoided or reachable again.
pub fn record_reachability(
    node: &Node,
    destination: &Destination,
    network_time: Option<Duration>,
    answer: &HopAnswer,
) {
    let now = node.now();
    let change = match (network_time, answer) {
        (Some(network_time), _) => node.selection.answered(now, destination, network_time),
        (None, HopAnswer::Refused(Refusal::Unreachable) | HopAnswer::MayHaveRun(_)) => {
            node.selection.unreachable(now, destination)
        }
        (None, _) => ReachabilityChange::None,
    };
    let region = node.selection.topology().region(&destination.zone);
    match change {
        ReachabilityChange::None => {}
        ReachabilityChange::Avoided => node.log.write(Event::RegionAvoided {
            region,
            tried: &destination.node,
        }),
        ReachabilityChange::Reached => node.log.write(Event::RegionReached {
            region,
            tried: &destination.node,
        }),
    }
}
