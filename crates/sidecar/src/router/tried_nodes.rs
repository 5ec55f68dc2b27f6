//! The nodes to which a request has been sent.

use wingspar_ownership::NodeName;

use super::record::Record;
use crate::hop::Refusal;
use crate::outages::OutageCause;

/// The nodes to which a request has been sent so far.
#[derive(Debug, Default)]
pub struct TriedNodes {
    /// Nodes to which the request isn't sent again.
    pub nodes: Vec<NodeName>,
    /// The nodes among them that refused only because they were full.
    full: Vec<NodeName>,
    /// Refusals by nodes so far.
    pub refusals: usize,
}

impl TriedNodes {
    /// Records that a node has refused the request.
    pub fn refused(&mut self, node: &NodeName, refusal: Refusal, record: &Record) {
        self.refusals += 1;
        if refusal == Refusal::Full && record.missing != Some(OutageCause::Rejected) {
            self.full.push(node.clone());
        }
    }

    /// Lets the request be sent to the full nodes again, since `last`, at which the request was to wait, can't run it.
    /// Returns whether there are any.
    pub fn retry_full_nodes(&mut self, last: NodeName) -> bool {
        let full = std::mem::take(&mut self.full);
        self.nodes.retain(|node| !full.contains(node));
        self.nodes.push(last);
        !full.is_empty()
    }
}
