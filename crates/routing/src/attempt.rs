//! One request on its way through the router, and what is decided about it.

use std::net::SocketAddr;
use std::time::Duration;

use wingspar_world::{Fence, MonotonicTime, TargetName};

use crate::outcome::{AgentRefusal, ConnectFailure, Outcome, Proof};
use crate::reason::Reason;
use crate::resolver::Resolved;
use crate::table::TargetId;

/// What agents say when another attempt under the same `Idempotency-Key` stands in the way.
const OTHER_ATTEMPT_REASONS: [&str; 3] = ["in_progress", "previous_owner_lost", "earlier_unknown"];

/// One request, from admission to its end. Hand it back to `Router::finish` when it is over.
#[derive(Debug)]
pub struct Attempt {
    pub(crate) resolved: Resolved,
    pub(crate) started: MonotonicTime,
    pub(crate) deadline: MonotonicTime,
    pub(crate) tries: u32,
    pub(crate) current: Option<CurrentTry>,
    /// Some try may have run: from then on the request can't end as *not run*.
    pub(crate) unproved: bool,
    /// The body can't be sent again.
    pub(crate) body_spent: bool,
    pub(crate) tried: Vec<TargetId>,
    /// The grant that an agent said it doesn't hold; routing waits for a newer one.
    pub(crate) refused_grant: Option<(TargetId, Fence)>,
    pub(crate) wait_until: Option<MonotonicTime>,
    pub(crate) is_waiting: bool,
}

/// The try that is under way.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CurrentTry {
    pub(crate) target: TargetId,
    pub(crate) fence: Option<Fence>,
    pub(crate) sent_at: MonotonicTime,
}

/// What to do with a request now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Send it to an agent.
    Forward(Forward),
    /// Ask again at this time, or as soon as the table has changed.
    Wait {
        /// When to ask again at the latest.
        until: MonotonicTime,
    },
    /// Answer it without running it.
    GiveUp(GiveUp),
}

/// Where to send a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Forward {
    /// The target.
    pub target: TargetName,
    /// HTTP address of the agent beside it.
    pub agent: SocketAddr,
    /// Fence by which a keyed request was routed.
    pub fence: Option<Fence>,
    /// Time left for the request.
    pub remaining: Duration,
}

/// How a forwarding ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptResult {
    /// The back end ran it; its answer begins to arrive.
    Answered {
        /// HTTP status of the back end's answer.
        status: u16,
    },
    /// It was refused before start.
    Refused {
        /// Who refused.
        refusal: AgentRefusal,
        /// Why.
        reason: Reason,
        /// When to come back, if the answer said so.
        retry_after: Option<Duration>,
    },
    /// The agent could not be connected to.
    NotConnected(ConnectFailure),
    /// The agent does not know whether it ran.
    Unknown {
        /// Why.
        reason: Reason,
    },
    /// The connection ended after something was sent, before an answer came.
    Lost,
    /// Something answered that is no agent, or an agent that does not say how it ended.
    BadAnswer,
    /// The request's deadline passed while it was under way.
    DeadlinePassed,
    /// The caller's body ended early or broke while it was passed on.
    BodyCutShort,
}

/// What to do after a forwarding ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Pass the answer on.
    Answer,
    /// Route again at this time (or as soon as the table changed, if that decision is to wait).
    Retry {
        /// When.
        at: MonotonicTime,
    },
    /// Answer the caller.
    GiveUp(GiveUp),
}

/// An answer that the system makes itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GiveUp {
    /// *Not run* or *unknown*.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// When to come back, by what is known now.
    pub retry_after: Duration,
}

impl GiveUp {
    /// HTTP status of the answer: 400 when the caller's own body ended early, 503 for *not run*,
    /// 504 for a passed deadline, 409 when another attempt under the same `Idempotency-Key` is or
    /// may be at work, else 502.
    pub fn status(&self) -> u16 {
        if self.reason == Reason::BODY_CUT_SHORT {
            return 400;
        }
        match self.outcome {
            Outcome::NotRun(_) => 503,
            _ if self.reason == Reason::DEADLINE => 504,
            _ if OTHER_ATTEMPT_REASONS.contains(&self.reason.as_str()) => 409,
            _ => 502,
        }
    }
}

impl Attempt {
    pub(crate) fn new(now: MonotonicTime, resolved: Resolved) -> Self {
        Self {
            deadline: now + resolved.deadline,
            resolved,
            started: now,
            tries: 0,
            current: None,
            unproved: false,
            body_spent: false,
            tried: Vec::new(),
            refused_grant: None,
            wait_until: None,
            is_waiting: false,
        }
    }

    /// The request's service, key and terms.
    pub fn resolved(&self) -> &Resolved {
        &self.resolved
    }

    /// When the request must be answered.
    pub fn deadline(&self) -> MonotonicTime {
        self.deadline
    }

    /// Forwardings so far.
    pub fn tries(&self) -> u32 {
        self.tries
    }

    /// Tells that the body, or a part of it, is used up and can't be sent again.
    pub fn mark_body_spent(&mut self) {
        self.body_spent = true;
    }

    /// Whether another forwarding could be allowed at all.
    pub(crate) fn may_send_again(&self) -> bool {
        let harmless = !self.unproved || self.resolved.repeatable;
        harmless && !self.body_spent
    }

    /// Ends the request without an answer from a back end.
    pub(crate) fn give_up(&self, proof: Proof, reason: Reason, retry_after: Duration) -> GiveUp {
        let outcome = if self.unproved {
            Outcome::Unknown
        } else {
            Outcome::NotRun(proof)
        };
        GiveUp {
            outcome,
            reason,
            retry_after,
        }
    }
}
