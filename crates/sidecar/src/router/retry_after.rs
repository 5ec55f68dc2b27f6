//! When a refused caller may retry, and what nodes' answers show about outages.

use std::time::Duration;

use tokio::time::Instant;
use wingspar_ownership::NodeName;

use super::record::Record;
use crate::hop::{HopAnswer, Refusal};
use crate::local_response::{MAX_RETRY_AFTER_FACTOR, Reason};
use crate::node::Node;
use crate::occupancy::Occupancy;
use crate::outages::{OutageCause, OutageScope};

/// Retry-After of a request that was refused at a full target whose node, of an earlier version, doesn't report when it
/// will have room: some requests have finished there by then.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Records the refusal of a request if it shows an outage. Returns the time after which its caller may retry; `None` if
/// it shouldn't retry, or if the request may have run.
pub fn record_refusal(node: &Node, reason: Reason, record: &Record) -> Option<Duration> {
    let default_cause = match reason {
        Reason::NoConfiguration => OutageCause::NoConfiguration,
        Reason::NoTarget | Reason::RegionNotAllowed => OutageCause::NoTarget,
        Reason::NoOwner => OutageCause::NoOwner,
        Reason::Full | Reason::NotSentInTime => match record.missing {
            Some(cause) => cause,
            None => return record.retry_after.or(Some(FULL_RETRY_AFTER)),
        },
        Reason::OverQuota => return record.retry_after,
        Reason::Stopping => return time_until_exit(node).map(|wait| wait.min(caller_wait(record))),
        _ => return None,
    };
    let cause = record.missing.unwrap_or(default_cause);
    let wanted = OutageScope {
        service: &record.service,
        key: record.key,
    };
    let now = node.now();
    let mut outages = node.outages.borrow_mut();
    if record.missing.is_none() || record.key.is_none() {
        outages.refused(now, wanted, cause, None);
    }
    let lease_until = node.participant.borrow().lease_until();
    let leader_contact_at = lease_until.before(outages.timing().lease);
    Some(outages.retry_after(now, wanted, cause, caller_wait(record), leader_contact_at))
}

/// How long the request's caller still waits, less what jitter may add to the time that it is told.
fn caller_wait(record: &Record) -> Duration {
    record.caller_waits_until.map_or(Duration::MAX, |until| {
        let left = until.saturating_duration_since(Instant::now());
        left.div_f64(MAX_RETRY_AFTER_FACTOR)
    })
}

/// Time until this process has exited; `None` if it isn't stopping. A retry at the same address reaches its successor.
fn time_until_exit(node: &Node) -> Option<Duration> {
    let schedule = node.stop_schedule.get()?;
    Some(schedule.giving_up_at.left())
}

/// Records what a node's answer shows about whether requests for that service or key can run, and sets
/// [`Record::missing`]. `occupancy` is `None` if the node sent no answer.
pub fn record_answer(
    node: &Node,
    record: &mut Record,
    queried: &NodeName,
    answer: &HopAnswer,
    occupancy: Option<Occupancy>,
) {
    let now = node.now();
    let mut outages = node.outages.borrow_mut();
    if occupancy.is_some() {
        outages.answered(queried);
    } else {
        outages.silent(now, queried);
    }
    let is_ejected = occupancy.is_some_and(|occupancy| occupancy.ejected_ms > 0);
    let is_keyed = record.key.is_some();
    record.missing = match answer {
        HopAnswer::Refused(Refusal::Full | Refusal::Rejected) if is_ejected => {
            Some(OutageCause::Rejected)
        }
        HopAnswer::Refused(refusal) if is_keyed => missing(*refusal),
        _ => None,
    };
    let wanted = OutageScope {
        service: &record.service,
        key: record.key,
    };
    match (record.missing, answer) {
        // A refusal by one of several targets shows nothing about the others.
        (Some(_), _) if !is_keyed => {}
        (Some(cause), _) => outages.refused(now, wanted, cause, Some(queried)),
        (None, HopAnswer::Answered(_)) => outages.served(now, wanted),
        // The owner is reachable, though it has no room.
        (None, HopAnswer::Refused(_)) if is_keyed => outages.served(now, wanted),
        (None, _) => {}
    }
}

/// The cause of the outage, if any, when the owner of a request's key refuses it.
fn missing(refusal: Refusal) -> Option<OutageCause> {
    match refusal {
        Refusal::Unreachable => Some(OutageCause::OwnerLost),
        // The node is reachable and reports to the leader, which needn't wait for its lease to expire.
        Refusal::NotOwner
        | Refusal::Arriving
        | Refusal::Leaving
        | Refusal::Evacuated
        | Refusal::NoTarget => Some(OutageCause::HandOver),
        _ => None,
    }
}
