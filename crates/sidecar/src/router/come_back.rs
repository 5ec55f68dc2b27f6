//! What a refused caller is told of when to come back.

use std::time::Duration;

use tokio::time::Instant;
use wingspar_ownership::NodeName;

use super::record::Record;
use crate::answer::{LONGEST_SPREAD, Reason};
use crate::expected_return::{Cause, Wanted};
use crate::hop::{HopAnswer, Refusal};
use crate::node::Node;

/// Some requests have left a full target by then, if its node, of an earlier version, didn't tell.
const ROOM_UNTOLD: Duration = Duration::from_millis(150);

/// When the caller of a refused request may come back; nothing if it shouldn't, or if the request may have run.
pub fn retry_after(node: &Node, reason: Reason, record: &Record) -> Option<Duration> {
    let usual_cause = match reason {
        Reason::NoConfiguration => Cause::NoConfiguration,
        Reason::NoTarget | Reason::RegionNotAllowed => Cause::NoTarget,
        Reason::NoOwner => Cause::NoOwner,
        Reason::Full => return record.retry_after.or(Some(ROOM_UNTOLD)),
        Reason::NotSentInTime => match record.missing {
            Some(cause) => cause,
            None => return record.retry_after.or(Some(ROOM_UNTOLD)),
        },
        _ => return record.retry_after,
    };
    let cause = record.missing.unwrap_or(usual_cause);
    let wanted = Wanted {
        service: &record.service,
        key: record.key,
    };
    let now = node.now();
    let mut returns = node.expected_returns.borrow_mut();
    if record.missing.is_none() {
        returns.refused(now, wanted, cause, None);
    }
    let patience = record.caller_waits_until.map_or(Duration::MAX, |until| {
        let left = until.saturating_duration_since(Instant::now());
        left.div_f64(LONGEST_SPREAD)
    });
    let lease_until = node.participant.borrow().lease_until();
    let leader_heard_at = lease_until.before(returns.timing().lease);
    Some(returns.retry_after(now, wanted, cause, patience, leader_heard_at))
}

/// Takes in what a node's answer shows of who can run requests of that kind.
pub fn note_answer(
    node: &Node,
    record: &mut Record,
    asked: &NodeName,
    answer: &HopAnswer,
    has_told_load: bool,
) {
    let now = node.now();
    let wanted = Wanted {
        service: &record.service,
        key: record.key,
    };
    let mut returns = node.expected_returns.borrow_mut();
    if has_told_load {
        returns.heard(asked);
    } else {
        returns.silent(now, asked);
    }
    match answer {
        HopAnswer::Refused(refusal) => match missing(*refusal, record.key.is_some()) {
            Some(cause) => {
                returns.refused(now, wanted, cause, Some(asked));
                record.missing = Some(cause);
            }
            // One target of several that doesn't take work says nothing of the others.
            None if record.key.is_none() && is_gone(*refusal) => {}
            None => {
                returns.served(now, wanted);
                record.missing = None;
            }
        },
        HopAnswer::Answered(_) => returns.served(now, wanted),
        HopAnswer::MayHaveRun(_) | HopAnswer::TargetEnded => {}
    }
}

/// What is missing if the node that a request for a key belongs to refuses it.
fn missing(refusal: Refusal, is_keyed: bool) -> Option<Cause> {
    if !is_keyed {
        return None;
    }
    match refusal {
        Refusal::Unreachable => Some(Cause::OwnerLost),
        // The node is there and tells the leader, which needn't wait for its lease to end.
        Refusal::NotOwner | Refusal::Arriving => Some(Cause::HandOver),
        refusal if is_gone(refusal) => Some(Cause::HandOver),
        _ => None,
    }
}

/// Whether a refusal says that there is no target at that node, or soon won't be.
fn is_gone(refusal: Refusal) -> bool {
    matches!(
        refusal,
        Refusal::Unreachable | Refusal::Leaving | Refusal::Evacuated | Refusal::NoTarget
    )
}
