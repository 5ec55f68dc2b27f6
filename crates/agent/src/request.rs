//! What is asked of an agent for one request, and what it answers.

use std::time::Duration;

use bytes::Bytes;
use wingspar_wire::RememberedOutcome;
use wingspar_world::{
    ConfigVersion, Fence, KeyHash, MonotonicTime, RequestClass, ServiceName, SliceRange, TargetName,
};

/// Names one admitted or queued request. Every ticket is ended by exactly one
/// [`Agent::finish`](crate::Agent::finish), whatever became of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request that asks to be run.
#[derive(Debug, Clone, PartialEq)]
pub struct Admission {
    /// Identifies the request in logs.
    pub request_id: String,
    /// The service asked for.
    pub service: ServiceName,
    /// The target that the router chose.
    pub target: TargetName,
    /// Place of the key; `None` for unkeyed services.
    pub key: Option<KeyHash>,
    /// Configuration version that the router routed by.
    pub router_config: ConfigVersion,
    /// Urgency.
    pub class: RequestClass,
    /// When the caller stops waiting, on this process's clock.
    pub deadline: MonotonicTime,
    /// Running it twice harms no one.
    pub repeatable: bool,
    /// Set when the request may run at most once under a name given by the caller.
    pub idempotency: Option<Idempotency>,
}

/// The caller's name for work that must run at most once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Idempotency {
    /// 128-bit hash of the `Idempotency-Key`.
    pub id: [u64; 2],
    /// Number of the attempt from 1, if the caller numbers them.
    pub attempt: Option<u32>,
}

/// Answer to an [`Admission`].
#[derive(Debug, Clone, PartialEq)]
pub enum Admit {
    /// Call `start`, then send it.
    Run(Ticket),
    /// Wait until the ticket is named as runnable, then call `start`.
    Queue(Ticket),
    /// It ran before; here is how it ended.
    Replay(RememberedOutcome),
    /// It was not run.
    Refuse(Refusal),
    /// It may have run or be running; it is not run (again).
    Unknown(Refusal),
}

/// Why something is not run now, and when to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// Estimated time until another try makes sense.
    pub retry_after: Duration,
}

/// Reason of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalReason {
    /// The agent holds no running lease.
    NoLease,
    /// The target doesn't own the key.
    NotOwner,
    /// The slice is being given up.
    HandingOver,
    /// The target is the next owner and may not serve yet.
    NotYetOwner,
    /// The target is being drained.
    Draining,
    /// The agent's process is stopping.
    Leaving,
    /// The configuration has no such target beside this agent.
    UnknownTarget,
    /// The configuration has no such service, or the target belongs to another.
    UnknownService,
    /// A keyed service was asked without a key.
    KeyMissing,
    /// Slots and queue are full, or the wait would outlast the deadline.
    Overloaded,
    /// The back end fails and only trial requests are let through.
    BackEndDown,
    /// The deadline has passed.
    DeadlinePassed,
    /// No room to remember another request.
    MemoryFull,
    /// The same request runs now.
    InProgress,
    /// The owner before was lost; this may be a repeat of work it ran.
    PreviousOwnerLost,
    /// An earlier attempt ended without a known outcome.
    EarlierUnknown,
    /// The ticket is not known (a programming error of the caller, kept harmless).
    UnknownTicket,
}

impl RefusalReason {
    /// Stable word for headers and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoLease => "no_lease",
            Self::NotOwner => "not_owner",
            Self::HandingOver => "handing_over",
            Self::NotYetOwner => "not_yet_owner",
            Self::Draining => "draining",
            Self::Leaving => "leaving",
            Self::UnknownTarget => "unknown_target",
            Self::UnknownService => "unknown_service",
            Self::KeyMissing => "key_missing",
            Self::Overloaded => "overloaded",
            Self::BackEndDown => "back_end_down",
            Self::DeadlinePassed => "deadline_passed",
            Self::MemoryFull => "memory_full",
            Self::InProgress => "in_progress",
            Self::PreviousOwnerLost => "previous_owner_lost",
            Self::EarlierUnknown => "earlier_unknown",
            Self::UnknownTicket => "unknown_ticket",
        }
    }
}

/// Permission to send one request to the back end, valid at the instant it was given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clearance {
    /// Grant under which it runs; `None` for unkeyed services.
    pub grant: Option<ClearedGrant>,
    /// Rest of the lease.
    pub ttl: Duration,
    /// When the request must be cancelled: its own deadline within the newest contract's bound.
    pub deadline: MonotonicTime,
}

/// The grant in a [`Clearance`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClearedGrant {
    /// Fence token.
    pub fence: Fence,
    /// The slice.
    pub range: SliceRange,
}

/// How a ticket ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Finish {
    /// The back end ran it and its answer is known.
    Ran {
        /// HTTP status of the answer.
        status: u16,
        /// `content-type` of the answer.
        content_type: Option<String>,
        /// The whole body, when it is small enough to keep.
        body: Option<Bytes>,
    },
    /// Proved not to have run.
    NotRun(NotRunProof),
    /// It was sent and nobody knows how it ended.
    Unknown,
    /// The caller went away; not run if it was never started, else unknown.
    Cancelled,
}

/// What proves that a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunProof {
    /// It was never sent: given up in the queue or refused by `start`.
    NotStarted,
    /// No connection to the back end was made.
    NoConnection,
    /// The back end said so.
    RefusedByBackEnd,
}
