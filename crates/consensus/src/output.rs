//! What a replica asks its caller to do or to know.

use std::collections::BTreeSet;
use std::fmt;

use wingspar_world::NodeId;

use crate::{LogPosition, Message, StateMachine};

/// What a replica currently is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Receives entries without a vote.
    Learner,
    /// Voter that follows a leader or waits for one.
    Follower,
    /// Voter that asks whether it could win an election.
    PreCandidate,
    /// Voter that stands for election.
    Candidate,
    /// Leader of its term.
    Leader,
    /// No longer a member; it stays silent.
    Removed,
}

/// One effect, to be handled in order.
pub enum Output<S: StateMachine> {
    /// Send a message; it may be lost, repeated or overtaken.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: Message<S::Command, S::Snapshot>,
    },
    /// A command was committed and applied to the state machine.
    Applied {
        /// Where it stands in the log.
        position: LogPosition,
        /// The command.
        command: S::Command,
    },
    /// The state machine was replaced by a leader's snapshot; commands up to the position won't
    /// be reported one by one.
    Restored {
        /// The last position the snapshot holds.
        position: LogPosition,
    },
    /// This replica won an election. It may act for the group once it holds a lease.
    BecameLeader {
        /// The new term.
        term: u64,
    },
    /// This replica leads no more.
    SteppedDown {
        /// The term it led.
        term: u64,
    },
    /// A membership was committed.
    MembershipChanged {
        /// Where it stands in the log.
        position: LogPosition,
        /// Members with a vote.
        voters: BTreeSet<NodeId>,
        /// Members without.
        learners: BTreeSet<NodeId>,
    },
    /// This replica is no longer a member and stays silent from now on.
    Removed,
}

impl<S: StateMachine> fmt::Debug for Output<S> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Send { to, message } => write!(formatter, "Send({to}, {message:?})"),
            Self::Applied { position, command } => {
                write!(formatter, "Applied({position}, {command:?})")
            }
            Self::Restored { position } => write!(formatter, "Restored({position})"),
            Self::BecameLeader { term } => write!(formatter, "BecameLeader({term})"),
            Self::SteppedDown { term } => write!(formatter, "SteppedDown({term})"),
            Self::MembershipChanged {
                position,
                voters,
                learners,
            } => write!(
                formatter,
                "MembershipChanged({position}, {voters:?}, {learners:?})"
            ),
            Self::Removed => formatter.write_str("Removed"),
        }
    }
}
