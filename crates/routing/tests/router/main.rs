//! Decisions about requests: forwarding, waiting, retrying, giving up.

#[path = "../support/mod.rs"]
mod support;

mod forwarding;
mod giving_up;
mod load;
mod retries;

use std::time::Duration;

use support::*;
use wingspar_routing::{
    AgentRefusal, Attempt, AttemptResult, ConnectFailure, Counter, Decision, GiveUp, Input, Next,
    Outcome, Output, ProofSource, Reason, Resolved, Router, RouterSettings, RoutingEvent,
};
use wingspar_wire::{Availability, SliceStatus, StateVersion, TableUpdate};
use wingspar_world::SliceRange;

fn begin(router: &mut Router, millis: u64, resolved: Resolved) -> Attempt {
    router.begin(at(millis), resolved).expect("admitted")
}

fn refused(reason: &str, retry_after_ms: Option<u64>) -> AttemptResult {
    AttemptResult::Refused {
        refusal: AgentRefusal::ByAgent,
        reason: Reason::relayed(reason),
        retry_after: retry_after_ms.map(Duration::from_millis),
    }
}

fn ended(next: Next) -> GiveUp {
    match next {
        Next::GiveUp(give_up) => give_up,
        other => panic!("goes on: {other:?}"),
    }
}

fn proof(give_up: &GiveUp) -> ProofSource {
    match give_up.outcome {
        Outcome::NotRun(proof) => proof.source(),
        other => panic!("not proved: {other:?}"),
    }
}
