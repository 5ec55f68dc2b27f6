//! Everything that can happen at an instant of a run.

use wingspar_agent::Ticket;
use wingspar_control::StoreReply;
use wingspar_control::operator::OperatorReply;
use wingspar_store::operation::Operation;
use wingspar_world::{Incarnation, MonotonicTime, TargetName};

use crate::backend::{ExecutionId, Work};
use crate::checker::CallerOutcome;
use crate::network::MachineIndex;
use crate::process::Arrival;
use crate::request::CallerRequest;

/// A process at a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ProcessPlace {
    pub(super) machine: MachineIndex,
    pub(super) incarnation: Incarnation,
}

/// A request to the store under way.
#[derive(Debug, Clone)]
pub(super) struct StoreExchange {
    pub(super) process: ProcessPlace,
    pub(super) id: u64,
    pub(super) operation: Operation,
    /// When a watch that has nothing new is answered anyway.
    pub(super) hold_until: MonotonicTime,
}

/// Work on its way to a back end.
#[derive(Debug, Clone)]
pub(super) struct BackEndExchange {
    pub(super) process: ProcessPlace,
    pub(super) target: TargetName,
    pub(super) ticket: Ticket,
    pub(super) work: Work,
    /// It has left the agent's process.
    pub(super) is_written: bool,
}

/// One event.
#[derive(Debug, Clone)]
pub(super) enum Event {
    /// Something comes to a machine, for one process or for whichever runs.
    Arrive {
        machine: MachineIndex,
        incarnation: Option<Incarnation>,
        arrival: Arrival,
    },
    /// A process asked to be ticked.
    Wake(ProcessPlace),
    /// A request reaches the store.
    StoreRequest(Box<StoreExchange>),
    /// The store's answer, or its absence, is known at the client.
    StoreReply {
        process: ProcessPlace,
        reply: Box<StoreReply>,
    },
    /// Work reaches a back end.
    BackEndOffer(Box<BackEndExchange>),
    /// A back end is done with something.
    BackEndDone {
        exchange: Box<BackEndExchange>,
        execution: ExecutionId,
    },
    /// Callers send their next request.
    NextRequest,
    /// A caller sends a request again.
    RetryRequest(CallerRequest),
    /// A caller learns an outcome.
    CallerTold {
        request: CallerRequest,
        outcome: CallerOutcome,
    },
    /// An operator looks at what to do next.
    OperatorProceeds(usize),
    /// An operator's answer arrives, or its time is over.
    OperatorAnswered {
        ask: u64,
        reply: Option<Box<OperatorReply>>,
    },
    /// Somebody asks which configuration is in force.
    AskRollout,
    /// A fault strikes.
    FaultBegins(usize),
    /// A fault is over.
    FaultEnds(usize),
    /// A process starts on a machine.
    StartProcess(MachineIndex),
    /// Served keys are sampled.
    Sample,
    /// Minute of the day for all.
    WallClock,
}
