//! Machines and the processes that run on them.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{MachineName, RegionName, ZoneName};

/// Random number drawn when a process starts.
///
/// Nothing is kept on disk, so a restarted process is a new one: it never resumes a vote or a
/// grant of the process before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// One run of the wingspar process on one machine.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId {
    /// The machine the process runs on.
    pub machine: MachineName,
    /// Which run of the process it is.
    pub incarnation: Incarnation,
}

impl NodeId {
    /// Names a process.
    pub fn new(machine: MachineName, incarnation: Incarnation) -> Self {
        Self {
            machine,
            incarnation,
        }
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{:x}", self.machine, self.incarnation.0)
    }
}

impl fmt::Debug for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// Where a machine stands and how its wingspar process is reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// The machine's name.
    pub name: MachineName,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
    /// Address of the internal protocol (same port for UDP and TCP).
    pub control_address: SocketAddr,
    /// Address of the agent's HTTP listener, when the machine has back ends.
    pub agent_address: Option<SocketAddr>,
}
