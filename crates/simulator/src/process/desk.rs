//! The agent's side of requests: what the node's agent front does around the agent state machine.

use std::collections::BTreeMap;

use wingspar_agent::{Admission, Admit, Agent, Finish, Idempotency, NotRunProof, Refusal, Ticket};
use wingspar_routing::Reason;
use wingspar_world::{MonotonicTime, NodeId};

use super::effect::{BackEndResult, Effect, Timer};
use crate::backend::{Work, WorkGrant};
use crate::request::{ForwardResult, ForwardedRequest, encode_body, replay};

/// Second half of every idempotency key's hash.
const IDEMPOTENCY_SALT: u64 = 0x5eed;

#[derive(Debug)]
struct Open {
    forwarded: ForwardedRequest,
    is_at_back_end: bool,
}

/// Requests that an agent process handles.
#[derive(Debug)]
pub struct Desk {
    node: NodeId,
    open: BTreeMap<Ticket, Open>,
}

impl Desk {
    /// The desk of one agent process.
    pub fn new(node: NodeId) -> Self {
        Self {
            node,
            open: BTreeMap::new(),
        }
    }

    /// Requests that were not answered yet.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Takes in a forwarded request.
    pub fn accept(
        &mut self,
        now: MonotonicTime,
        agent: &mut Agent,
        forwarded: ForwardedRequest,
        effects: &mut Vec<Effect>,
    ) {
        let origin = forwarded.origin;
        let result = match agent.admit(now, admission(now, &forwarded)) {
            Admit::Run(ticket) => {
                self.keep(ticket, forwarded);
                return self.start(now, agent, ticket, effects);
            }
            Admit::Queue(ticket) => {
                self.keep(ticket, forwarded);
                return;
            }
            Admit::Replay(outcome) => replay(&outcome),
            Admit::Refuse(refusal) => refused(refusal),
            Admit::Unknown(refusal) => ForwardResult::Unknown(reason(refusal)),
        };
        effects.push(Effect::Reply { origin, result });
    }

    /// Asks for the start of a request that has its slot, or was woken.
    pub fn start(
        &mut self,
        now: MonotonicTime,
        agent: &mut Agent,
        ticket: Ticket,
        effects: &mut Vec<Effect>,
    ) {
        let Some(open) = self
            .open
            .get_mut(&ticket)
            .filter(|open| !open.is_at_back_end)
        else {
            return;
        };
        match agent.start(now, ticket) {
            Ok(clearance) => {
                open.is_at_back_end = true;
                let grant = clearance.grant.map(|grant| WorkGrant {
                    fence: grant.fence,
                    range: grant.range,
                    until: (now + clearance.ttl).min(clearance.deadline),
                });
                let request = &open.forwarded.request;
                effects.push(Effect::Cleared {
                    request: request.id,
                    config: agent.config_version(),
                });
                effects.push(Effect::BackEnd {
                    target: open.forwarded.forward.target.clone(),
                    ticket,
                    work: Work {
                        request: request.id,
                        work: request.work,
                        key: open.forwarded.key,
                        repeatable: request.repeatable,
                        agent: self.node.clone(),
                        grant,
                    },
                });
                effects.push(Effect::Timer {
                    at: clearance.deadline,
                    timer: Timer::TicketDeadline(ticket),
                });
            }
            Err(refusal) => {
                let not_started = Finish::NotRun(NotRunProof::NotStarted);
                self.end(now, agent, ticket, not_started, refused(refusal), effects);
            }
        }
    }

    /// Takes in a back end's answer.
    pub fn back_end(
        &mut self,
        now: MonotonicTime,
        agent: &mut Agent,
        ticket: Ticket,
        result: BackEndResult,
        effects: &mut Vec<Effect>,
    ) {
        match result {
            BackEndResult::Ran(request) => {
                let body = encode_body(request);
                let answer = crate::request::decode_body(&body);
                let finish = Finish::Ran {
                    status: 200,
                    content_type: None,
                    body: Some(body),
                };
                self.end(
                    now,
                    agent,
                    ticket,
                    finish,
                    ForwardResult::Answered(answer),
                    effects,
                );
            }
            BackEndResult::Refused | BackEndResult::NoConnection => {
                let proof = if result == BackEndResult::Refused {
                    NotRunProof::RefusedByBackEnd
                } else {
                    NotRunProof::NoConnection
                };
                let refusal = ForwardResult::Refused {
                    by_back_end: result == BackEndResult::Refused,
                    reason: Reason::relayed("refused_by_back_end"),
                    retry_after: None,
                };
                self.end(now, agent, ticket, Finish::NotRun(proof), refusal, effects);
            }
        }
    }

    /// Cancels requests at the back end; what runs there may go on.
    pub fn cancel(
        &mut self,
        now: MonotonicTime,
        agent: &mut Agent,
        tickets: &[Ticket],
        effects: &mut Vec<Effect>,
    ) {
        for ticket in tickets {
            let lost = ForwardResult::Unknown(Reason::relayed("lease_lost"));
            self.end(now, agent, *ticket, Finish::Unknown, lost, effects);
        }
    }

    /// Ends a request whose deadline passed.
    pub fn deadline(
        &mut self,
        now: MonotonicTime,
        agent: &mut Agent,
        ticket: Ticket,
        effects: &mut Vec<Effect>,
    ) {
        let passed = ForwardResult::Unknown(Reason::DEADLINE);
        self.end(now, agent, ticket, Finish::Unknown, passed, effects);
    }

    fn keep(&mut self, ticket: Ticket, forwarded: ForwardedRequest) {
        let open = Open {
            forwarded,
            is_at_back_end: false,
        };
        self.open.insert(ticket, open);
    }

    fn end(
        &mut self,
        now: MonotonicTime,
        agent: &mut Agent,
        ticket: Ticket,
        finish: Finish,
        result: ForwardResult,
        effects: &mut Vec<Effect>,
    ) {
        let Some(open) = self.open.remove(&ticket) else {
            return;
        };
        let origin = open.forwarded.origin;
        effects.push(Effect::Reply { origin, result });
        let runnable = agent.finish(now, ticket, finish);
        for next in runnable {
            self.start(now, agent, next, effects);
        }
    }
}

fn admission(now: MonotonicTime, forwarded: &ForwardedRequest) -> Admission {
    let request = &forwarded.request;
    Admission {
        request_id: request.id.0.to_string(),
        service: request.service.clone(),
        target: forwarded.forward.target.clone(),
        key: forwarded.key,
        router_config: forwarded.config,
        class: forwarded.class,
        deadline: now + forwarded.forward.remaining,
        repeatable: request.repeatable,
        idempotency: request.work.map(|work| Idempotency {
            id: [work.0, IDEMPOTENCY_SALT],
            attempt: request.attempt,
        }),
    }
}

fn refused(refusal: Refusal) -> ForwardResult {
    ForwardResult::Refused {
        by_back_end: false,
        reason: reason(refusal),
        retry_after: Some(refusal.retry_after),
    }
}

fn reason(refusal: Refusal) -> Reason {
    Reason::relayed(refusal.reason.as_str())
}
