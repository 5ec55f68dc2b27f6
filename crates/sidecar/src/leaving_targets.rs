//! Targets of other nodes that are leaving, that is, draining before they stop, as their nodes reported to this router.
//!
//! The node beside such a target refuses new work, but its process may restart and lose the information that the target
//! is leaving. The router therefore keeps the report, for that life of the target only.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use wingspar_ownership::{NodeName, Time};
use wingspar_platform::{born, id_of_life};
use xxhash_rust::xxh3::xxh3_64;

use crate::directory::{Destination, Directory};

/// A leaving target has stopped after this time at the latest; then its entry is dropped.
const MAX_LEAVING: Duration = Duration::from_secs(600);

/// Identifies a life of a target, that is, one run of its process; short enough to be sent with each answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LifeDigest {
    /// Digest of the target's id.
    pub id: u64,
    /// When the life began, as a Unix time in milliseconds; `None` if the target hasn't reported it to its node.
    pub born: Option<u64>,
}

impl LifeDigest {
    /// The digest of the life with this name.
    pub fn of(life: &str) -> Self {
        Self {
            id: xxh3_64(id_of_life(life).as_bytes()),
            born: born(life),
        }
    }

    /// Whether both may be the same life: a node that has just started may not have received yet when the life began.
    pub fn may_be(self, other: Self) -> bool {
        let born = self.born.zip(other.born);
        self.id == other.id && born.is_none_or(|(born, other)| born == other)
    }
}

/// A leaving life of a target.
#[derive(Debug, Clone, Copy)]
struct Leaving {
    life: LifeDigest,
    /// When this router received the first report of it.
    since: Time,
}

/// The leaving targets that were reported to a router, by node.
#[derive(Debug)]
pub struct LeavingTargets {
    /// For this long after the first report a leaving target may still get requests.
    drain_grace: Duration,
    by_node: RefCell<HashMap<NodeName, Leaving>>,
}

impl LeavingTargets {
    /// No leaving targets; each gets new requests for the grace time after the first report of it.
    pub fn new(drain_grace: Duration) -> Self {
        Self {
            drain_grace,
            by_node: RefCell::default(),
        }
    }

    /// Records that the node beside a target has reported that this life of the target is leaving.
    pub fn told(&self, now: Time, node: &NodeName, life: LifeDigest) {
        let mut known = self.by_node.borrow_mut();
        if known.get(node).is_none_or(|known| !known.life.may_be(life)) {
            known.insert(node.clone(), Leaving { life, since: now });
        }
    }

    /// Whether a destination's target gets no more requests from this router.
    pub fn is_closed(&self, now: Time, destination: &Destination) -> bool {
        let since = self.leaving_since(destination);
        since.is_some_and(|since| now.since(since) >= self.drain_grace)
    }

    /// The nodes among `destinations` whose targets are leaving.
    pub fn among(&self, destinations: &[Destination]) -> Vec<NodeName> {
        let leaves = |destination: &&Destination| self.leaving_since(destination).is_some();
        self.nodes_where(destinations, leaves)
    }

    /// The nodes among `destinations` whose targets get no more requests from this router.
    pub fn closed_among(&self, now: Time, destinations: &[Destination]) -> Vec<NodeName> {
        self.nodes_where(destinations, |destination| self.is_closed(now, destination))
    }

    /// The names of the nodes among `destinations` for which `holds` is true.
    fn nodes_where(
        &self,
        destinations: &[Destination],
        holds: impl Fn(&&Destination) -> bool,
    ) -> Vec<NodeName> {
        if self.by_node.borrow().is_empty() {
            return Vec::new();
        }
        let found = destinations.iter().filter(holds);
        found.map(|destination| destination.node.clone()).collect()
    }

    /// When this router received the first report that the present life of a destination's target is leaving; `None` if
    /// there is none.
    fn leaving_since(&self, destination: &Destination) -> Option<Time> {
        let known = self.by_node.borrow();
        let leaving = known.get(&destination.node)?;
        leaving
            .life
            .may_be(destination.life)
            .then_some(leaving.since)
    }

    /// Drops lives that have ended. A node that is missing from the directory may return beside the same life, so its
    /// entry stays.
    pub fn retain(&self, now: Time, directory: &Directory) {
        self.by_node.borrow_mut().retain(|node, leaving| {
            let present = directory.node(node);
            present.is_none_or(|present| present.life.may_be(leaving.life))
                && now.since(leaving.since) < MAX_LEAVING
        });
    }
}
