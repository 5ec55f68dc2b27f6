//! Delivers keys to the target in the responses to its heartbeats.
//!
//! A response that has nothing new for the target is delayed for a moment, so that keys that move meanwhile don't
//! wait for the next heartbeat. The target accepts a response for a second. A target that is leaving waits for the
//! response, so it is sent without delay.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, timeout_at};
use wingspar_ownership::{
    Delivery, Fence, Holding, KeyAssignment, KeyRange, KeyReport, Released, Time,
};
use wingspar_platform::{GrantedKeys, Heartbeat, KeyGrants, LifecycleState};

use crate::clock::whole_millis;
use crate::key_calls::lease_left_ms;
use crate::logs::Event;
use crate::node::Node;

/// Maximum time that a response waits for something new to report.
const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(700);

/// After this many heartbeat intervals without a heartbeat, a target can't be given keys and is about to lose those
/// it holds.
const MAX_MISSED_HEARTBEATS: f64 = 2.5;
/// Heartbeat interval if the settings don't specify it, in seconds.
const DEFAULT_HEARTBEAT_S: f64 = 1.0;

/// Whether a target that gets its keys in heartbeat responses has stopped sending heartbeats.
pub fn has_missed_heartbeats(node: &Node, service: &str) -> bool {
    let settings = &node.settings.node;
    if settings.delivery() != Delivery::HeartbeatAnswers || !node.is_keyed(service) {
        return false;
    }
    let interval = settings.heartbeat_s.unwrap_or(DEFAULT_HEARTBEAT_S);
    let span = Duration::from_secs_f64(interval * MAX_MISSED_HEARTBEATS);
    node.target.borrow().is_silent(node.now(), span)
}

/// The keys to report in the response to a heartbeat; `None` if there are none to report or a later heartbeat has
/// arrived.
pub async fn answer(node: &Rc<Node>, id: &str, heartbeat: &Heartbeat) -> Option<KeyGrants> {
    if node.settings.node.delivery() != Delivery::HeartbeatAnswers
        || node.configuration_version() == 0
    {
        return None;
    }
    if !node.is_keyed(&heartbeat.service) {
        let now = node.now();
        node.participant.borrow_mut().set_unkeyed_target(now);
        return None;
    }
    let arrived_at = node.now();
    let report = report_of(heartbeat);
    node.participant
        .borrow_mut()
        .keys_reported(arrived_at, &report);
    node.control_wakeup.notify_one();
    if heartbeat.state == LifecycleState::Ready {
        wait_for_update(node, id, heartbeat.sequence).await;
    }
    if !node.target.borrow().is_latest(id, heartbeat.sequence) {
        return None;
    }
    let now = node.now();
    let mut participant = node.participant.borrow_mut();
    let has_updates = participant.has_key_changes(now);
    let answer = participant.key_assignment(now, arrived_at);
    drop(participant);
    if has_updates {
        log_response(node, heartbeat, &answer, now.since(arrived_at));
    }
    answer.map(grants_of)
}

/// Waits until a response has something new for the target, or another heartbeat arrives.
async fn wait_for_update(node: &Node, id: &str, sequence: u64) {
    let until = Instant::now() + MAX_RESPONSE_DELAY;
    loop {
        let changed = node.key_updates.notified();
        let is_over = node.participant.borrow().has_key_changes(node.now())
            || !node.target.borrow().is_latest(id, sequence)
            || node.is_stopping();
        if is_over || timeout_at(until, changed).await.is_err() {
            return;
        }
    }
}

/// Wakes a delayed response if there is something new to report.
pub fn wake_pending_response(node: &Node, now: Time) {
    if node.participant.borrow().has_key_changes(now) {
        node.key_updates.notify_waiters();
    }
}

fn report_of(heartbeat: &Heartbeat) -> KeyReport {
    let holds = heartbeat.held_keys.iter().flatten();
    let released = heartbeat.released_keys.iter();
    KeyReport {
        holds: holds
            .map(|keys| Holding {
                range: KeyRange {
                    from: keys.from,
                    to: keys.to,
                },
                fence: Fence(keys.fence),
            })
            .collect(),
        released: released
            .map(|keys| Released {
                range: KeyRange {
                    from: keys.from,
                    to: keys.to,
                },
                handover: keys.handover.clone(),
            })
            .collect(),
    }
}

fn grants_of(answer: KeyAssignment) -> KeyGrants {
    let keys = answer.rows.into_iter().map(|row| GrantedKeys {
        from: row.range.from,
        to: row.range.to,
        fence: row.fence.0,
        handover: row.handover,
    });
    KeyGrants {
        keys: keys.collect(),
        hold: answer.hold.as_secs_f64(),
    }
}

fn log_response(
    node: &Node,
    heartbeat: &Heartbeat,
    answer: &Option<KeyAssignment>,
    delay: Duration,
) {
    let (outcome, rows) = match answer {
        Some(answer) => ("told", answer.rows.len()),
        None => ("no_lease", 0),
    };
    node.metrics.count(&node.metrics.key_orders, outcome);
    node.log.write(Event::KeysTold {
        sequence: heartbeat.sequence,
        reported: heartbeat.held_keys.as_ref().map_or(0, Vec::len),
        released: heartbeat.released_keys.len(),
        rows,
        outcome,
        held_back_ms: whole_millis(delay),
        lease_left_ms: lease_left_ms(node),
    });
}
