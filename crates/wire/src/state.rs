//! Parts of the control group's replicated state as nodes see them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wingspar_world::{Fence, Grant, GroupId, NodeId, ServiceName, SliceRange, TargetName};

/// Version of a control group's replicated state, strictly rising.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct StateVersion {
    /// Generation of the group.
    pub generation: u32,
    /// Count of changes in the generation.
    pub sequence: u64,
}

/// A node's session with its control group: it begins when the group has committed the node's
/// registration and ends when its lease ran out or it said goodbye. Grants belong to a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId(pub StateVersion);

/// All grants of one agent; replaces every earlier list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantList {
    /// The group that grants.
    pub group: GroupId,
    /// The agent it is meant for.
    pub node: NodeId,
    /// Valid only while this is the agent's session.
    pub session: SessionId,
    /// Lists with a lower version are out of date.
    pub version: StateVersion,
    /// The grants, in order of service and range.
    pub entries: Vec<GrantEntry>,
}

/// One slice in a grant list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantEntry {
    /// Slice, target and fence.
    pub grant: Grant,
    /// What the agent is to do with it.
    pub state: GrantState,
}

/// What an agent is to do with a slice.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum GrantState {
    /// Serve it.
    Hold {
        /// How it came to the agent.
        takeover: Takeover,
    },
    /// Expect it: take in remembered requests, serve nothing yet. The grant's fence is that of the
    /// owner who gives it up.
    Incoming,
    /// Give it up: admit nothing new, finish what runs, pass on remembered requests, then send
    /// `Released`.
    Release {
        /// Names this hand-over; returned in `Released`.
        hand_over: StateVersion,
        /// Internal-protocol address of the next owner's agent, if one is chosen.
        successor: Option<SocketAddr>,
        /// How it came to the agent, which may never have seen it as one to serve.
        takeover: Takeover,
    },
}

/// How a slice came to its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Takeover {
    /// It never had an owner.
    First,
    /// Handed over, remembered requests included.
    Planned,
    /// The owner before was lost, or its remembered requests were: earlier requests may have run.
    Unplanned {
        /// Time since it happened in milliseconds, as of the sending of the list.
        age_ms: u64,
    },
}

/// Changes of the slice table from one version to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TableUpdate {
    /// The group that owns the slices.
    pub group: GroupId,
    /// Version that the changes apply to; `None` for a full table, which replaces what was held.
    pub since: Option<StateVersion>,
    /// Version of the table afterwards.
    pub version: StateVersion,
    /// Slices in order of change. Each overrides whatever earlier entries say of its range.
    pub slices: Vec<SliceEntry>,
    /// Targets that changed (all of them in a full table).
    pub targets: Vec<TargetEntry>,
    /// More parts of the same update follow; `version` counts only after the last.
    pub more: bool,
}

/// Owner of one slice.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SliceEntry {
    /// Service of the slice.
    pub service: ServiceName,
    /// The slice.
    pub range: SliceRange,
    /// Fence of the newest grant.
    pub fence: Fence,
    /// Who serves it.
    pub status: SliceStatus,
}

/// Who serves a slice.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum SliceStatus {
    /// The target serves it.
    Served(TargetName),
    /// It is being handed over; requests may wait for the new owner.
    HandingOver {
        /// Owner so far.
        from: TargetName,
        /// Next owner.
        to: TargetName,
    },
    /// Nobody serves it.
    Unserved {
        /// Estimated time until somebody does, in milliseconds from sending.
        retry_after_ms: u64,
    },
}

/// State of one target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// The target.
    pub target: TargetName,
    /// Its service.
    pub service: ServiceName,
    /// HTTP address of the agent beside it, if one is known.
    pub agent: Option<SocketAddr>,
    /// Whether it may get work.
    pub availability: Availability,
}

/// Whether a target may get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Availability {
    /// Yes.
    Serving,
    /// It is leaving: only what it already runs.
    Draining,
    /// Its agent has no session.
    Down,
    /// Removed from the configuration.
    Removed,
}
