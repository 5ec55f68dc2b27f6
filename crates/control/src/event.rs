//! Changes of state that are worth one log line each.

use std::fmt;

use wingspar_wire::SessionId;
use wingspar_world::{ConfigVersion, NodeId, ServiceName, SliceRange, TargetName};

use crate::operator::AssignmentReason;

/// A change of state.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlEvent {
    /// This process became a voting member of a generation.
    Joined {
        /// The generation.
        generation: u32,
    },
    /// This process receives the group's log without a vote.
    Learning {
        /// The generation.
        generation: u32,
    },
    /// This process is no longer a member.
    Removed {
        /// The generation.
        generation: u32,
    },
    /// This process leads the group.
    BecameLeader {
        /// Generation.
        generation: u32,
        /// Term.
        term: u64,
    },
    /// This process leads no more.
    SteppedDown {
        /// The term it led.
        term: u64,
    },
    /// Members changed.
    MembersChanged {
        /// Voting members.
        voters: Vec<NodeId>,
        /// Members without a vote.
        learners: Vec<NodeId>,
    },
    /// A node's session began.
    SessionBegan {
        /// The node.
        node: NodeId,
        /// The session.
        session: SessionId,
    },
    /// A node's session ended.
    SessionEnded {
        /// The session.
        session: SessionId,
        /// Whether it ran out rather than being given up.
        lost: bool,
    },
    /// Slices got an owner.
    Assigned {
        /// The service.
        service: ServiceName,
        /// The new owner.
        target: TargetName,
        /// Number of slices.
        slices: usize,
        /// Why.
        reason: AssignmentReason,
    },
    /// A slice was handed over.
    HandedOver {
        /// The service.
        service: ServiceName,
        /// The slice.
        range: SliceRange,
        /// The new owner; none when it was only given up.
        to: Option<TargetName>,
        /// Whether the remembered requests went along.
        planned: bool,
    },
    /// A configuration is accepted.
    Configured {
        /// Its version.
        version: ConfigVersion,
    },
    /// An object in the store can't be read and is left out.
    UnreadableObject {
        /// Its key.
        key: String,
        /// Why.
        reason: String,
    },
    /// The store stopped answering, or answers again.
    StoreReachable(bool),
    /// A new generation of the group was started or learned of.
    GenerationChanged {
        /// The generation.
        generation: u32,
    },
    /// A majority seems lost for good, and what is missing for a new generation.
    RecoveryBlocked {
        /// Members neither reached nor proved dead.
        unproved: Vec<NodeId>,
    },
}

impl ControlEvent {
    /// Stable name for logs and counters.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Joined { .. } => "joined",
            Self::Learning { .. } => "learning",
            Self::Removed { .. } => "removed",
            Self::BecameLeader { .. } => "became_leader",
            Self::SteppedDown { .. } => "stepped_down",
            Self::MembersChanged { .. } => "members_changed",
            Self::SessionBegan { .. } => "session_began",
            Self::SessionEnded { .. } => "session_ended",
            Self::Assigned { .. } => "assigned",
            Self::HandedOver { .. } => "handed_over",
            Self::Configured { .. } => "configured",
            Self::UnreadableObject { .. } => "unreadable_object",
            Self::StoreReachable(_) => "store_reachable",
            Self::GenerationChanged { .. } => "generation_changed",
            Self::RecoveryBlocked { .. } => "recovery_blocked",
        }
    }
}

impl fmt::Display for ControlEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self:?}")
    }
}
