//! Operators' requests to a control group and the typed answers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wingspar_wire::{Availability, SliceStatus, StateVersion, Takeover};
use wingspar_world::{
    ConfigObject, ConfigVersion, Fence, GroupId, KeyHash, MachineName, NodeId, PolicyName,
    RegionName, ServiceName, SliceRange, TargetName,
};

/// What an operator asks for. Changes carry a change id: asking again with the same id gives the
/// first answer again and has no further effect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum OperatorRequest {
    /// Creates or replaces an object.
    Put {
        /// Names the change.
        change_id: String,
        /// The object.
        object: ConfigObject,
        /// Version that it must have now; version 0: it must not exist; `None`: any.
        expect: Option<ConfigVersion>,
    },
    /// Deletes an object.
    Delete {
        /// Names the change.
        change_id: String,
        /// Store key of the object, such as `services/stoc`.
        key: String,
        /// Version that it must have now; `None`: any.
        expect: Option<ConfigVersion>,
    },
    /// Drains a target or takes the drain back.
    SetDraining {
        /// Names the change.
        change_id: String,
        /// The target.
        target: TargetName,
        /// Whether it is to drain.
        draining: bool,
    },
    /// Sets a policy's region weights and whether it is paused.
    ShiftWeights {
        /// Names the change.
        change_id: String,
        /// The policy.
        policy: PolicyName,
        /// New weights; `None` keeps them.
        region_weights: Option<BTreeMap<RegionName, f64>>,
        /// Holds elective moves; `None` keeps it.
        paused: Option<bool>,
    },
    /// Moves the slice that holds a key, or a whole slice, to a target.
    Move {
        /// Names the change.
        change_id: String,
        /// The service.
        service: ServiceName,
        /// The keys to move; slices are split at its ends.
        range: SliceRange,
        /// The new owner.
        to: TargetName,
        /// When the move counts as acknowledged.
        durability: Durability,
    },
    /// Reads one object.
    Get {
        /// Store key of the object.
        key: String,
    },
    /// Reads all objects under a prefix such as `services/`.
    List {
        /// The prefix.
        prefix: String,
    },
    /// Reads who owns what, why and since when.
    Placement {
        /// The service.
        service: ServiceName,
        /// Only the slice that holds this key.
        key: Option<KeyHash>,
    },
    /// Reads how far a configuration version is in force.
    Rollout {
        /// The version; `None` for the newest.
        version: Option<ConfigVersion>,
    },
    /// Reads the state of the group.
    Group,
    /// Orders a new generation without proof that the old majority is dead. The caller vouches
    /// that the named members can never come back.
    ForceGeneration {
        /// Names the change.
        change_id: String,
        /// Generation that is given up.
        generation: u32,
        /// Members vouched for.
        dead: Vec<NodeId>,
    },
}

/// When a change of assignment counts as acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Durability {
    /// A majority of replicas has it in memory.
    #[default]
    Quorum,
    /// The platform's store has it too.
    Stored,
}

/// Answer to an [`OperatorRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum OperatorReply {
    /// The change is accepted.
    Written {
        /// Its version.
        version: ConfigVersion,
    },
    /// The object has another version than expected.
    Conflict {
        /// Version and object now; `None` when it does not exist.
        current: Option<(ConfigVersion, ConfigObject)>,
    },
    /// The request is wrong; one line for each mistake. Nothing was changed.
    Invalid(Vec<String>),
    /// There is no such thing.
    NotFound,
    /// Another replica leads; nothing was changed.
    NotLeader {
        /// The leader, if known.
        leader: Option<NodeId>,
    },
    /// Nothing was changed, since something needed is out of reach. Ask again later.
    Unavailable {
        /// What is out of reach.
        reason: String,
    },
    /// The change may or may not have taken effect. Ask again with the same change id.
    Unknown {
        /// Why it can't be told.
        reason: String,
    },
    /// Objects of the configuration.
    Objects {
        /// Version of the configuration read.
        version: ConfigVersion,
        /// The objects, in order of key.
        items: Vec<(ConfigVersion, ConfigObject)>,
    },
    /// The move is committed as ordered; the slice's placement tells when it is done.
    MoveAccepted {
        /// Version of the group's state.
        version: StateVersion,
    },
    /// Placement of a service.
    Placement(PlacementReport),
    /// How far a configuration is in force.
    Rollout(RolloutReport),
    /// State of the group.
    Group(GroupReport),
}

/// Who owns what of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacementReport {
    /// The service.
    pub service: ServiceName,
    /// Version of the group's state.
    pub version: StateVersion,
    /// Its slices in order of range.
    pub slices: Vec<SliceReport>,
    /// Its targets.
    pub targets: Vec<TargetReport>,
}

/// One slice, who owns it, why and since when.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SliceReport {
    /// The slice.
    pub range: SliceRange,
    /// Newest fence.
    pub fence: Fence,
    /// Who serves it.
    pub status: SliceStatus,
    /// Why it is there.
    pub reason: AssignmentReason,
    /// How it came there.
    pub takeover: Takeover,
    /// Time since the last change in milliseconds, as the leader knows.
    pub age_ms: u64,
}

/// Why a slice has its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AssignmentReason {
    /// First assignment of the service.
    Initial,
    /// The owner before lost its session.
    OwnerLost,
    /// The owner before drained or stopped.
    Drain,
    /// Placement moved it for balance.
    Balance,
    /// Placement moved it to follow region weights.
    RegionShift,
    /// An operator moved it.
    Operator,
}

/// One target of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetReport {
    /// The target.
    pub target: TargetName,
    /// Its machine.
    pub machine: MachineName,
    /// Whether it gets work.
    pub availability: Availability,
    /// Slices that it owns.
    pub slices: u32,
    /// Requests started a second, as last reported.
    pub requests_per_second: f32,
}

/// How far a configuration version is in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// The version asked for.
    pub version: ConfigVersion,
    /// Nobody with a running lease serves by an older one.
    pub in_force: bool,
    /// Nodes that have it.
    pub applied: u32,
    /// Nodes with a running lease that do not have it yet.
    pub behind: Vec<NodeId>,
    /// Time from acceptance until in force in milliseconds, once known.
    pub in_force_after_ms: Option<u64>,
}

/// State of a control group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupReport {
    /// The group.
    pub group: GroupId,
    /// Its generation.
    pub generation: u32,
    /// Its term.
    pub term: u64,
    /// Its leader.
    pub leader: Option<NodeId>,
    /// Voting members.
    pub voters: Vec<NodeId>,
    /// Members without a vote.
    pub learners: Vec<NodeId>,
    /// Sessions of nodes with their internal addresses.
    pub sessions: Vec<(NodeId, SocketAddr)>,
    /// Version of the replicated state.
    pub version: StateVersion,
    /// Version that the platform's store holds.
    pub stored: StateVersion,
}
