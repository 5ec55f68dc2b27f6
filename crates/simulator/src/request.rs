//! Requests of callers on their way through router, agent and back end.

use std::time::Duration;

use wingspar_routing::{Forward, Reason};
use wingspar_wire::RememberedOutcome;
use wingspar_world::{ConfigVersion, Incarnation, KeyHash, RequestClass, ServiceName};

use crate::backend::{RequestId, WorkId};
use crate::checker::AnswerBody;
use crate::network::MachineIndex;

/// One request as a caller sends it.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerRequest {
    /// Names it; every retry of the caller has another.
    pub id: RequestId,
    /// Idempotency key.
    pub work: Option<WorkId>,
    /// Number of the attempt under the idempotency key, if the caller numbers them.
    pub attempt: Option<u32>,
    /// The service.
    pub service: ServiceName,
    /// Text of the key, for keyed services.
    pub key: Option<String>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Time within which the caller wants its answer.
    pub deadline: Duration,
}

/// Where an answer of an agent goes back to: one try of one request at one router process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Origin {
    /// Machine of the router.
    pub machine: MachineIndex,
    /// Process of the router.
    pub incarnation: Incarnation,
    /// The request.
    pub request: RequestId,
    /// Number of the try.
    pub try_number: u32,
}

/// A request as a router forwards it to an agent.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardedRequest {
    /// Where the answer goes.
    pub origin: Origin,
    /// The caller's request.
    pub request: CallerRequest,
    /// Target, agent and remaining time.
    pub forward: Forward,
    /// Key's place on the ring.
    pub key: Option<KeyHash>,
    /// Class.
    pub class: RequestClass,
    /// Configuration that it was routed by.
    pub config: ConfigVersion,
}

/// Answer of an agent to a forwarded request.
#[derive(Debug, Clone, PartialEq)]
pub enum ForwardResult {
    /// The back end ran it.
    Answered(AnswerBody),
    /// It was refused before start.
    Refused {
        /// The back end refused, not the agent.
        by_back_end: bool,
        /// Why.
        reason: Reason,
        /// When to come back.
        retry_after: Option<Duration>,
    },
    /// No connection was made.
    NotConnected,
    /// The agent can't tell whether it ran.
    Unknown(Reason),
    /// The connection ended after the request was sent.
    Lost,
}

/// Writes the answer's body.
pub fn encode_body(request: RequestId) -> bytes::Bytes {
    bytes::Bytes::copy_from_slice(&request.0.to_be_bytes())
}

/// Reads a body back; one that is cut short is not whole.
pub fn decode_body(body: &[u8]) -> AnswerBody {
    let mut digits = [0; 8];
    let whole = body.len() == digits.len();
    if whole {
        digits.copy_from_slice(body);
    }
    AnswerBody {
        request: RequestId(u64::from_be_bytes(digits)),
        whole,
    }
}

/// What an agent's memory of a request says to a repeat.
pub fn replay(outcome: &RememberedOutcome) -> ForwardResult {
    match outcome {
        RememberedOutcome::Ran {
            body: Some(body), ..
        } => ForwardResult::Answered(decode_body(body)),
        RememberedOutcome::Ran { body: None, .. } | RememberedOutcome::Unknown => {
            ForwardResult::Unknown(Reason::relayed("earlier_unknown"))
        }
    }
}
