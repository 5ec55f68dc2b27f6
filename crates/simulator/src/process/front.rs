//! The router's side of requests: what the node's front does around the routing state machine.

use std::collections::BTreeMap;

use http::HeaderMap;
use wingspar_routing::{
    AgentRefusal, Attempt, AttemptResult, ConnectFailure, Decision, Next, Outcome, RequestHead,
    Router,
};
use wingspar_wire::headers;
use wingspar_world::{Incarnation, MonotonicTime};

use super::effect::{Effect, Timer};
use crate::backend::RequestId;
use crate::checker::{AnswerBody, CallerOutcome};
use crate::network::MachineIndex;
use crate::request::{CallerRequest, ForwardResult, ForwardedRequest, Origin};

#[derive(Debug)]
struct Exchange {
    request: CallerRequest,
    attempt: Attempt,
    try_number: u32,
    is_out: bool,
}

/// Requests that a router process handles.
#[derive(Debug)]
pub struct Front {
    machine: MachineIndex,
    incarnation: Incarnation,
    exchanges: BTreeMap<RequestId, Exchange>,
}

impl Front {
    /// The front of one router process.
    pub fn new(machine: MachineIndex, incarnation: Incarnation) -> Self {
        Self {
            machine,
            incarnation,
            exchanges: BTreeMap::new(),
        }
    }

    /// Requests that were not answered yet.
    pub fn open(&self) -> usize {
        self.exchanges.len()
    }

    /// Requests that were not answered yet; their callers lose the connection with the process.
    pub fn requests(&self) -> impl Iterator<Item = &CallerRequest> {
        self.exchanges.values().map(|exchange| &exchange.request)
    }

    /// Takes in a caller's request.
    pub fn accept(
        &mut self,
        now: MonotonicTime,
        router: &mut Router,
        request: CallerRequest,
        effects: &mut Vec<Effect>,
    ) {
        let header_map = header_map(&request);
        let head = RequestHead {
            method: if request.repeatable { "GET" } else { "POST" },
            host: None,
            path: "/",
            headers: &header_map,
        };
        let resolved = router.resolve(&head).ok();
        let begun = resolved.and_then(|resolved| router.begin(now, resolved).ok());
        let Some(attempt) = begun else {
            effects.push(Effect::AnswerCaller {
                request,
                outcome: CallerOutcome::NotRun,
            });
            return;
        };
        effects.push(Effect::Timer {
            at: attempt.deadline(),
            timer: Timer::Deadline(request.id),
        });
        let exchange = Exchange {
            request,
            attempt,
            try_number: 0,
            is_out: false,
        };
        self.advance(now, router, exchange, effects);
    }

    /// Takes in an agent's answer to one try.
    pub fn result(
        &mut self,
        now: MonotonicTime,
        router: &mut Router,
        origin: Origin,
        result: ForwardResult,
        effects: &mut Vec<Effect>,
    ) {
        let is_current =
            |exchange: &&Exchange| exchange.is_out && exchange.try_number == origin.try_number;
        if self
            .exchanges
            .get(&origin.request)
            .filter(is_current)
            .is_none()
        {
            return;
        }
        let body = match &result {
            ForwardResult::Answered(body) => Some(*body),
            _ => None,
        };
        self.after(
            now,
            router,
            origin.request,
            attempt_result(result),
            body,
            effects,
        );
    }

    /// Takes in a timer.
    pub fn timer(
        &mut self,
        now: MonotonicTime,
        router: &mut Router,
        timer: Timer,
        effects: &mut Vec<Effect>,
    ) {
        match timer {
            Timer::Deadline(request) if self.exchanges.contains_key(&request) => {
                let passed = AttemptResult::DeadlinePassed;
                self.after(now, router, request, passed, None, effects);
            }
            Timer::Route {
                request,
                try_number,
            } => {
                let is_due =
                    |exchange: &Exchange| !exchange.is_out && exchange.try_number == try_number;
                if self.exchanges.get(&request).is_some_and(is_due) {
                    self.route_again(now, router, request, effects);
                }
            }
            Timer::Deadline(_) | Timer::TicketDeadline(_) => {}
        }
    }

    /// Routes everything that waits, after the table changed.
    pub fn table_changed(
        &mut self,
        now: MonotonicTime,
        router: &mut Router,
        effects: &mut Vec<Effect>,
    ) {
        let waiting = self.exchanges.values().filter(|exchange| !exchange.is_out);
        let waiting: Vec<_> = waiting.map(|exchange| exchange.request.id).collect();
        for request in waiting {
            self.route_again(now, router, request, effects);
        }
    }

    fn route_again(
        &mut self,
        now: MonotonicTime,
        router: &mut Router,
        request: RequestId,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(exchange) = self.exchanges.remove(&request) {
            self.advance(now, router, exchange, effects);
        }
    }

    fn advance(
        &mut self,
        now: MonotonicTime,
        router: &mut Router,
        mut exchange: Exchange,
        effects: &mut Vec<Effect>,
    ) {
        match router.route(now, &mut exchange.attempt) {
            Decision::Forward(forward) => {
                exchange.try_number += 1;
                exchange.is_out = true;
                let resolved = exchange.attempt.resolved();
                effects.push(Effect::Forward(Box::new(ForwardedRequest {
                    origin: self.origin(&exchange),
                    request: exchange.request.clone(),
                    forward,
                    key: resolved.key,
                    class: resolved.class,
                    config: resolved.config,
                })));
            }
            Decision::Wait { until } => self.set_route_timer(&mut exchange, until, effects),
            Decision::GiveUp(give_up) => {
                return finish(now, router, exchange, told(give_up.outcome, None), effects);
            }
        }
        self.exchanges.insert(exchange.request.id, exchange);
    }

    fn after(
        &mut self,
        now: MonotonicTime,
        router: &mut Router,
        request: RequestId,
        result: AttemptResult,
        body: Option<AnswerBody>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(mut exchange) = self.exchanges.remove(&request) else {
            return;
        };
        exchange.is_out = false;
        match router.after(now, &mut exchange.attempt, result) {
            Next::Answer => finish(now, router, exchange, told(Outcome::Ran, body), effects),
            Next::Retry { at } => {
                self.set_route_timer(&mut exchange, at, effects);
                self.exchanges.insert(request, exchange);
            }
            Next::GiveUp(give_up) => {
                finish(now, router, exchange, told(give_up.outcome, None), effects);
            }
        }
    }

    fn set_route_timer(
        &self,
        exchange: &mut Exchange,
        at: MonotonicTime,
        effects: &mut Vec<Effect>,
    ) {
        let timer = Timer::Route {
            request: exchange.request.id,
            try_number: exchange.try_number,
        };
        effects.push(Effect::Timer { at, timer });
    }

    fn origin(&self, exchange: &Exchange) -> Origin {
        Origin {
            machine: self.machine,
            incarnation: self.incarnation,
            request: exchange.request.id,
            try_number: exchange.try_number,
        }
    }
}

fn finish(
    now: MonotonicTime,
    router: &mut Router,
    exchange: Exchange,
    outcome: CallerOutcome,
    effects: &mut Vec<Effect>,
) {
    router.finish(now, exchange.attempt);
    effects.push(Effect::AnswerCaller {
        request: exchange.request,
        outcome,
    });
}

fn told(outcome: Outcome, body: Option<AnswerBody>) -> CallerOutcome {
    match (outcome, body) {
        (Outcome::Ran, Some(body)) => CallerOutcome::Ran(body),
        (Outcome::NotRun(_), _) => CallerOutcome::NotRun,
        (Outcome::Ran | Outcome::Unknown, _) => CallerOutcome::Unknown,
    }
}

fn attempt_result(result: ForwardResult) -> AttemptResult {
    match result {
        ForwardResult::Answered(_) => AttemptResult::Answered { status: 200 },
        ForwardResult::Refused {
            by_back_end,
            reason,
            retry_after,
        } => AttemptResult::Refused {
            refusal: if by_back_end {
                AgentRefusal::ByBackEnd
            } else {
                AgentRefusal::ByAgent
            },
            reason,
            retry_after,
        },
        ForwardResult::NotConnected => AttemptResult::NotConnected(ConnectFailure),
        ForwardResult::Unknown(reason) => AttemptResult::Unknown { reason },
        ForwardResult::Lost => AttemptResult::Lost,
    }
}

fn header_map(request: &CallerRequest) -> HeaderMap {
    let mut map = HeaderMap::new();
    let mut insert = |name: &'static str, value: String| {
        if let Ok(value) = value.parse() {
            map.insert(name, value);
        }
    };
    insert(headers::SERVICE, request.service.to_string());
    insert(
        headers::DEADLINE_MS,
        request.deadline.as_millis().to_string(),
    );
    if let Some(key) = &request.key {
        insert(KEY_HEADER, key.clone());
    }
    if let Some(work) = request.work {
        insert(headers::IDEMPOTENCY_KEY, work.0.to_string());
    }
    if let Some(attempt) = request.attempt {
        insert(headers::IDEMPOTENCY_ATTEMPT, attempt.to_string());
    }
    map
}

/// Header in which the simulation's keyed services expect their key.
pub const KEY_HEADER: &str = "item";
