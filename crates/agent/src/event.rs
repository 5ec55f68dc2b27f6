//! Inputs and outputs of the agent, and the changes of state worth a log line.

use std::net::SocketAddr;

use wingspar_wire::{Message, Outbound, SessionId, StateVersion};
use wingspar_world::{ConfigVersion, NodeId, ServiceName, SliceRange, TargetName};

use crate::Ticket;

/// What an agent is told.
#[derive(Debug, Clone, PartialEq)]
#[expect(
    clippy::large_enum_variant,
    reason = "messages are the common case and live briefly"
)]
pub enum Input {
    /// A message came in.
    Message {
        /// The sending process.
        sender: NodeId,
        /// Where the sender receives messages.
        reply_to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Time has passed.
    Tick,
    /// The process is asked to stop: give everything up in order.
    Leave,
}

/// What an agent wants done.
#[derive(Debug, Clone, PartialEq)]
#[expect(
    clippy::large_enum_variant,
    reason = "messages are the common case and live briefly"
)]
pub enum Output {
    /// Send a message.
    Send(Outbound),
    /// Write a log line.
    Event(AgentEvent),
    /// The lease lapsed; all grants are gone.
    LeaseLost,
    /// Cancel these started requests at the back end: the right to run them is over.
    Cancel {
        /// The requests.
        tickets: Vec<Ticket>,
    },
    /// Queued requests that should call `start` now (to run or to be refused).
    Wake {
        /// The requests.
        tickets: Vec<Ticket>,
    },
    /// Nothing runs and nothing is held after a `Leave`: the process may end.
    Drained,
}

/// A change of state.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentEvent {
    /// A session began.
    SessionBegun {
        /// The session.
        session: SessionId,
    },
    /// The session ended.
    SessionEnded {
        /// Why.
        cause: SessionEnd,
        /// Requests that were running under its grants.
        in_flight: usize,
    },
    /// Another grant list is in force.
    GrantsChanged {
        /// Version of the list.
        version: StateVersion,
        /// Slices served.
        held: usize,
        /// Slices being given up.
        releasing: usize,
        /// Slices expected.
        incoming: usize,
    },
    /// A newer configuration is in force.
    ConfigurationApplied {
        /// Its version.
        version: ConfigVersion,
    },
    /// A slice was given up.
    SliceReleased {
        /// Its service.
        service: ServiceName,
        /// The slice.
        range: SliceRange,
        /// Its remembered requests went to the successor.
        remembered_moved: bool,
    },
    /// A back end counts as down or up again.
    TargetHealth {
        /// The target.
        target: TargetName,
        /// Whether it is up.
        healthy: bool,
    },
    /// The process began to leave.
    Leaving,
}

/// Why a session ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionEnd {
    /// The lease ran out.
    LeaseLapsed,
    /// The leader said that the session is over.
    EndedByLeader,
}
