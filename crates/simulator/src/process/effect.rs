//! What comes to a process, and what a process wants done.

use std::net::SocketAddr;

use wingspar_agent::Ticket;
use wingspar_control::operator::{OperatorReply, OperatorRequest};
use wingspar_control::{StoreReply, StoreRequest};
use wingspar_wire::{Message, Outbound};
use wingspar_world::{ConfigVersion, MonotonicTime, NodeId, TargetName};

use crate::backend::{RequestId, Work};
use crate::checker::CallerOutcome;
use crate::request::{CallerRequest, ForwardResult, ForwardedRequest, Origin};

/// Something that comes to a process.
#[derive(Debug, Clone)]
pub enum Arrival {
    /// A message of the internal protocol.
    Message {
        /// Sender.
        sender: NodeId,
        /// Where the sender receives.
        reply_to: SocketAddr,
        /// The message.
        message: Box<Message>,
    },
    /// The store's answer.
    Store(StoreReply),
    /// An operator's request.
    Operator {
        /// Chosen by the operator.
        id: u64,
        /// The request.
        request: OperatorRequest,
    },
    /// A caller's request, at a router.
    Request(CallerRequest),
    /// A forwarded request, at an agent.
    Forwarded(ForwardedRequest),
    /// An agent's answer, at a router.
    Result {
        /// The try that it answers.
        origin: Origin,
        /// The answer.
        result: ForwardResult,
    },
    /// A back end's answer, at its agent.
    BackEnd {
        /// The agent's ticket.
        ticket: Ticket,
        /// The answer.
        result: BackEndResult,
    },
    /// A timer of the process.
    Timer(Timer),
    /// Time to look at every part's next wake.
    Tick,
    /// Minute of the day, for quiet windows.
    WallClock(u16),
    /// The process is asked to stop in order.
    Leave,
}

/// Answer of a back end to its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackEndResult {
    /// It ran.
    Ran(RequestId),
    /// Refused before start.
    Refused,
    /// No connection to it was made.
    NoConnection,
}

/// A timer that a process set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timer {
    /// Route a request again.
    Route {
        /// The request.
        request: RequestId,
        /// Number of tries when it was set.
        try_number: u32,
    },
    /// A request's deadline at the router.
    Deadline(RequestId),
    /// A request's deadline at the agent.
    TicketDeadline(Ticket),
}

/// Something that a process wants done, or that the checker wants to know.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Send a message of the internal protocol.
    Send(Outbound),
    /// Ask the store.
    Store(StoreRequest),
    /// Answer an operator.
    OperatorReply {
        /// The operator's id.
        id: u64,
        /// The answer.
        reply: OperatorReply,
    },
    /// Forward a request to an agent.
    Forward(Box<ForwardedRequest>),
    /// Answer a router.
    Reply {
        /// The try that is answered.
        origin: Origin,
        /// The answer.
        result: ForwardResult,
    },
    /// Hand work to a back end beside this process.
    BackEnd {
        /// The back end.
        target: TargetName,
        /// The agent's ticket.
        ticket: Ticket,
        /// The work.
        work: Work,
    },
    /// Answer a caller.
    AnswerCaller {
        /// The request.
        request: CallerRequest,
        /// How it ended.
        outcome: CallerOutcome,
    },
    /// Set a timer on the process's own clock.
    Timer {
        /// When.
        at: MonotonicTime,
        /// Which.
        timer: Timer,
    },
    /// A request was cleared to start under this configuration.
    Cleared {
        /// The request.
        request: RequestId,
        /// Configuration at the agent.
        config: ConfigVersion,
    },
    /// A change of state, for the trace.
    Event(String),
    /// A planned stop is complete: the process may end.
    Stopped,
}
