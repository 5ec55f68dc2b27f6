//! Commands of the group's replicated state.
//!
//! Every command names what it expects to find. One that no longer fits changes nothing, so a
//! command proposed on an outdated view is harmless.

use serde::{Deserialize, Serialize};
use wingspar_placement::ChurnRecord;
use wingspar_wire::{SessionId, StateVersion};
use wingspar_world::{
    ConfigChange, ConfigVersion, Configuration, KeyHash, Machine, NodeId, ServiceName, SliceRange,
    TargetName,
};

use crate::operator::AssignmentReason;

/// One change of the group's replicated state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Applies changes read from the store, in order of version.
    Configure(Vec<ConfigureChange>),
    /// Replaces the configuration by a newer listing of the store.
    ReplaceConfiguration {
        /// The whole configuration.
        configuration: Box<Configuration>,
        /// Change ids found in the listing, with the version that each wrote.
        change_ids: Vec<(String, ConfigVersion)>,
    },
    /// Remembers what an operator's change came to, when the store's objects don't tell.
    RememberChange {
        /// Names the change.
        change_id: String,
        /// Version that it wrote.
        version: ConfigVersion,
    },
    /// Notes that a process is to be a member, so that it is never added again under this id.
    RecordMember {
        /// The process.
        node: NodeId,
    },
    /// Begins a session of a process.
    RegisterSession {
        /// The process.
        node: NodeId,
        /// Where it stands.
        machine: Machine,
    },
    /// Ends sessions; their slices have no owner from then on.
    ExpireSessions(Vec<SessionEnd>),
    /// Notes that a node is leaving: its targets drain.
    MarkLeaving {
        /// The node's session.
        session: SessionId,
    },
    /// Cuts a service's ring into slices; only for a service without any.
    CreateSlices {
        /// The service.
        service: ServiceName,
        /// Number of slices.
        count: u32,
    },
    /// Removes the slices of a service that no longer exists; only if none has an owner.
    DropSlices {
        /// The service.
        service: ServiceName,
    },
    /// Gives slices without owner to targets.
    Assign(Vec<Assignment>),
    /// Begins hand-overs of slices.
    BeginHandOver(Vec<HandOverOrder>),
    /// The owner gave a slice up.
    CompleteHandOver {
        /// Service of the slice.
        service: ServiceName,
        /// The slice.
        range: SliceRange,
        /// The hand-over that was carried out.
        hand_over: StateVersion,
        /// Whether the next owner has all remembered requests.
        remembered_moved: bool,
    },
    /// Calls a hand-over off: the owner keeps the slice.
    CancelHandOver {
        /// Service of the slice.
        service: ServiceName,
        /// The slice.
        range: SliceRange,
        /// The hand-over.
        hand_over: StateVersion,
    },
    /// Cuts a slice in two; both keep owner and fence.
    Split {
        /// Service of the slice.
        service: ServiceName,
        /// The slice.
        range: SliceRange,
        /// First key of the second part.
        at: KeyHash,
    },
    /// Joins two neighbouring slices of one owner; the higher fence counts.
    Merge {
        /// Service of the slices.
        service: ServiceName,
        /// The first slice.
        first: SliceRange,
        /// The one after it.
        second: SliceRange,
    },
    /// Remembers what a service's elective moves have spent of its churn budget.
    RecordChurn {
        /// The service.
        service: ServiceName,
        /// What is spent, as of this command.
        record: ChurnRecord,
    },
    /// An operator's order to move a range: splits at its ends and begins the hand-overs.
    Move {
        /// Names the order.
        change_id: String,
        /// The service.
        service: ServiceName,
        /// The keys to move.
        range: SliceRange,
        /// The new owner.
        to: SliceOwner,
    },
}

/// One change of the configuration with the id of the operator's change that made it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigureChange {
    /// The change.
    pub change: ConfigChange,
    /// Id of the operator's change, if the store's object names one.
    pub change_id: Option<String>,
}

/// End of one session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionEnd {
    /// The session.
    pub session: SessionId,
    /// It ran out, rather than being given up by its node.
    pub lost: bool,
}

/// Target and session that own a slice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceOwner {
    /// The target.
    pub target: TargetName,
    /// Session of the agent beside it.
    pub session: SessionId,
}

/// A slice without owner and who is to get it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Assignment {
    /// Service of the slice.
    pub service: ServiceName,
    /// The slice.
    pub range: SliceRange,
    /// The new owner.
    pub owner: SliceOwner,
    /// Why.
    pub reason: AssignmentReason,
}

/// A slice that is to be given up by its owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HandOverOrder {
    /// Service of the slice.
    pub service: ServiceName,
    /// The slice.
    pub range: SliceRange,
    /// Owner that gives it up.
    pub from: SliceOwner,
    /// Owner that gets it; none when it is only to be given up.
    pub to: Option<SliceOwner>,
    /// Why.
    pub reason: AssignmentReason,
}
