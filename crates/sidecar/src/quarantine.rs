//! Quarantine on a node: refuses requests whose execution terminates targets.

use std::rc::Rc;

use wingspar_quarantine::{CallerRequest, Fingerprint, Reply, Report, Standing, VerdictChange};

use crate::clock::whole_millis;
use crate::logs::Event;
use crate::node::Node;

/// Returns whether a caller's requests with this fingerprint are refused.
pub fn refuses(node: &Node, request: CallerRequest) -> bool {
    let now = node.clock.uptime();
    node.quarantine.borrow().refuses(now, request)
}

/// Returns whether requests with this fingerprint are refused, unless their caller is served.
pub fn is_refused(node: &Node, fingerprint: Fingerprint) -> bool {
    let now = node.clock.uptime();
    node.quarantine.borrow().is_refused(now, fingerprint)
}

/// Records that a request was completed successfully by the node's target.
pub fn good_end(node: &Node, request: CallerRequest) {
    let now = node.clock.uptime();
    let change = node.quarantine.borrow_mut().good_end(now, request);
    log_changes(node, change, "good_end");
}

/// Releases a request at an operator's demand, so that it runs again.
pub fn release(node: &Node, fingerprint: Fingerprint) {
    let now = node.clock.uptime();
    let change = node.quarantine.borrow_mut().release(now, fingerprint);
    log_changes(node, [change], "operator");
}

/// Handles another node's report to this node, which is the leader.
pub fn reported(node: &Node, report: &Report) {
    let now = node.clock.uptime();
    let changes = node.quarantine.borrow_mut().reported(now, report);
    log_changes(node, changes, "node");
}

/// Handles the leader's reply, and triggers another report if some observations are still
/// unacknowledged.
pub fn answered(node: &Rc<Node>, reply: &Reply) {
    let now = node.clock.uptime();
    let changes = node.quarantine.borrow_mut().answered(now, reply);
    log_changes(node, changes, "leader");
    if node.quarantine.borrow().has_unacknowledged() {
        node.control_wakeup.notify_one();
    }
}

/// Logs and counts changed verdicts. `source` names what changed them.
pub fn log_changes(node: &Node, changes: impl IntoIterator<Item = VerdictChange>, source: &str) {
    for change in changes {
        let standing = match change.standing {
            Standing::Refused => "refused",
            Standing::Released => "released",
        };
        node.metrics.count(&node.metrics.quarantine, standing);
        node.log.write(Event::Quarantined {
            fingerprint: change.fingerprint.to_string(),
            standing,
            ends: change.ends,
            left_ms: whole_millis(change.left),
            served_callers: change.served.len(),
            source,
        });
    }
}
