//! Targets of other nodes that have said that they leave, as a router remembers them.
//!
//! The node beside such a target refuses new work, but its process may start again and know nothing of it. What a router
//! has heard binds the router all the same, for that life of the target only.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use wingspar_ownership::{NodeName, Time};
use wingspar_platform::{born, id_of_life};
use xxhash_rust::xxh3::xxh3_64;

use crate::directory::{Destination, Directory};

/// A target that leaves is gone after this time at the latest; then it is forgotten.
const LONGEST_LEAVING: Duration = Duration::from_secs(600);

/// Names a life of a target, short enough for each answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LifeDigest {
    /// Digest of the target's id.
    pub id: u64,
    /// When the life began, as a Unix time in milliseconds; nothing if the target hasn't told its node.
    pub born: Option<u64>,
}

impl LifeDigest {
    /// That of the life with this name.
    pub fn of(life: &str) -> Self {
        Self {
            id: xxh3_64(id_of_life(life).as_bytes()),
            born: born(life),
        }
    }

    /// Whether both may be the same life: a node that has just started may not know yet when it began.
    pub fn may_be(self, other: Self) -> bool {
        let born = self.born.zip(other.born);
        self.id == other.id && born.is_none_or(|(born, other)| born == other)
    }
}

/// A life of a target that leaves.
#[derive(Debug, Clone, Copy)]
struct Leaving {
    life: LifeDigest,
    since: Time,
}

/// What a router has heard of targets that leave, by their nodes.
#[derive(Debug)]
pub struct LeavingTargets {
    drain_grace: Duration,
    by_node: RefCell<HashMap<NodeName, Leaving>>,
}

impl LeavingTargets {
    /// None yet; each gets new requests for the grace time after the router was told of it.
    pub fn new(drain_grace: Duration) -> Self {
        Self {
            drain_grace,
            by_node: RefCell::default(),
        }
    }

    /// The node beside a target has told that this life of it leaves.
    pub fn told(&self, now: Time, node: &NodeName, life: LifeDigest) {
        let mut known = self.by_node.borrow_mut();
        if known.get(node).is_none_or(|known| !known.life.may_be(life)) {
            known.insert(node.clone(), Leaving { life, since: now });
        }
    }

    /// Whether a destination's target gets nothing from this router any more.
    pub fn is_closed(&self, now: Time, destination: &Destination) -> bool {
        let since = self.leaving_since(destination);
        since.is_some_and(|since| now.since(since) >= self.drain_grace)
    }

    /// The nodes among some destinations whose targets leave.
    pub fn among(&self, destinations: &[Destination]) -> Vec<NodeName> {
        let leaves = |destination: &&Destination| self.leaving_since(destination).is_some();
        self.names(destinations, leaves)
    }

    /// Those among them whose targets get nothing from this router any more.
    pub fn closed_among(&self, now: Time, destinations: &[Destination]) -> Vec<NodeName> {
        self.names(destinations, |destination| self.is_closed(now, destination))
    }

    fn names(
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

    fn leaving_since(&self, destination: &Destination) -> Option<Time> {
        let known = self.by_node.borrow();
        let leaving = known.get(&destination.node)?;
        leaving
            .life
            .may_be(destination.life)
            .then_some(leaving.since)
    }

    /// Forgets lives that are over. A node that isn't in the directory may come back beside the same life.
    pub fn retain(&self, now: Time, directory: &Directory) {
        self.by_node.borrow_mut().retain(|node, leaving| {
            let present = directory.node(node);
            present.is_none_or(|present| present.life.may_be(leaving.life))
                && now.since(leaving.since) < LONGEST_LEAVING
        });
    }
}
