//! Errors of proposals and broken invariants.

use thiserror::Error;
use wingspar_world::NodeId;

use crate::MembershipError;

/// Why a proposal was not taken in; nothing was appended.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// This replica is not the leader.
    #[error("not the leader of the group")]
    NotLeader {
        /// The leader as far as known.
        hint: Option<NodeId>,
    },
    /// The leader has not committed an entry of its own term yet; try again soon.
    #[error("the leader has just been elected and is not ready yet")]
    NotReady,
    /// An earlier membership change is not committed yet.
    #[error("another membership change is under way")]
    ChangingMembership,
    /// Leadership is being handed over.
    #[error("leadership is being transferred")]
    Transferring {
        /// Who is to lead next.
        to: NodeId,
    },
    /// Too many entries wait for a majority.
    #[error("too many uncommitted entries: {0}")]
    Overloaded(u64),
    /// The learner has not caught up, or has not answered lately.
    #[error("learner {learner} is at entry {matched} of {last}")]
    LearnerBehind {
        /// The learner.
        learner: NodeId,
        /// Last entry it is known to hold.
        matched: u64,
        /// Last entry of the leader.
        last: u64,
    },
    /// The change doesn't fit the current membership.
    #[error(transparent)]
    Membership(#[from] MembershipError),
}

/// An invariant that a replica found broken in itself; a defect, never an outcome.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("broken invariant: {0}")]
pub struct InvariantViolation(pub String);
