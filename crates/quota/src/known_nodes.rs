//! The set of nodes that share the fallback budget.

use std::collections::BTreeSet;

use crate::NodePosition;

/// All nodes known to this process since it started. Nodes that are no longer members stay in the
/// set: they may be partitioned and still admit requests locally, so their shares must not pass to
/// other nodes within the same window.
#[derive(Debug, Default)]
pub struct KnownNodes {
    names: BTreeSet<String>,
}

impl KnownNodes {
    /// Adds nodes to the set; nodes added earlier stay.
    pub fn add<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        for name in names {
            if !self.names.contains(name) {
                self.names.insert(name.to_owned());
            }
        }
    }

    /// Returns a node's position among all known nodes, or `None` if the node isn't known.
    pub fn place(&self, name: &str) -> Option<NodePosition> {
        self.names.contains(name).then(|| NodePosition {
            position: self
                .names
                .iter()
                .take_while(|known| known.as_str() < name)
                .count(),
            nodes: self.names.len(),
        })
    }
}
