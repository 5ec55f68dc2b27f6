//! The replicated state of the tests: a count and a digest of everything applied.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{Deserialize, Serialize};
use wingspar_consensus::{LogPosition, Output, StateMachine};
use wingspar_world::{Incarnation, MachineName, NodeId};

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    pub count: u64,
    pub digest: u64,
}

impl StateMachine for Ledger {
    type Command = u64;
    type Snapshot = Self;

    fn apply(&mut self, position: LogPosition, command: &u64) {
        let mut hasher = DefaultHasher::new();
        (self.digest, position, command).hash(&mut hasher);
        self.digest = hasher.finish();
        self.count += 1;
    }

    fn snapshot(&self) -> Self {
        self.clone()
    }

    fn restore(&mut self, snapshot: Self) {
        *self = snapshot;
    }
}

pub type Outputs = Vec<Output<Ledger>>;

pub fn node(machine: u64, incarnation: u64) -> NodeId {
    let name = MachineName::new(&format!("m{machine}")).expect("a valid name");
    NodeId::new(name, Incarnation(incarnation))
}

pub fn nodes(count: u64) -> BTreeSet<NodeId> {
    (0..count).map(|machine| node(machine, 0)).collect()
}
