//! Applies what the local target announces in the headers of its responses.

use http::HeaderMap;
use wingspar_platform::{AnnouncementError, headers, parse_leaving, parse_request_limit};

use crate::logs::Event;
use crate::node::Node;
use crate::request_limit::{LimitChange, RequestNumber};
use crate::target_calls::apply_target_change;

/// Applies the announcements in the response to a request; `life` is the target's life to which the request was sent.
pub fn apply(node: &Node, life: &str, request: RequestNumber, headers: &HeaderMap) {
    if node.target.borrow().life() == Some(life) {
        apply_current(node, Some(request), headers);
    }
}

/// Applies the announcements in the response to one of the node's own calls, if the response names the known target.
pub fn apply_from_node_call(node: &Node, headers: &HeaderMap) {
    let instance = headers.get(headers::INSTANCE);
    let instance = instance.and_then(|instance| instance.to_str().ok());
    if instance.is_some() && node.target.borrow().id() == instance {
        apply_current(node, None, headers);
    }
}

/// Applies a request limit of the target, in requests per second, that a router received and
/// forwards with a request.
pub fn apply_forwarded_limit(node: &Node, requests_per_s: f64) {
    let change = node
        .request_limit
        .borrow_mut()
        .apply_router_hint(requests_per_s);
    apply_limit_change(node, change);
}

/// Applies the announcements of the target's current life.
fn apply_current(node: &Node, request: Option<RequestNumber>, headers: &HeaderMap) {
    if let Some(named) = parsed(node, parse_request_limit(headers)) {
        let change = node.request_limit.borrow_mut().observe(request, named);
        apply_limit_change(node, change);
    }
    if parsed(node, parse_leaving(headers)) == Some(true) {
        let target_change = node.target.borrow_mut().announces_leaving(node.now());
        apply_target_change(node, target_change, "answer");
    }
}

/// The value of a header; one that can't be parsed is logged and ignored.
fn parsed<Value>(node: &Node, read: Result<Value, AnnouncementError>) -> Option<Value> {
    match read {
        Ok(value) => Some(value),
        Err(error) => {
            node.metrics.unreadable_announcements.inc();
            node.log.write_request(Event::TargetUnreadable {
                what: "announcement",
                problem: error.to_string(),
            });
            None
        }
    }
}

/// Puts a changed request limit in force.
fn apply_limit_change(node: &Node, change: LimitChange) {
    let requests_per_s = match change {
        LimitChange::None => return,
        LimitChange::Set(requests_per_s) => Some(requests_per_s),
        LimitChange::Lifted => None,
    };
    node.set_request_limit(requests_per_s);
    let target = node.target.borrow();
    node.log.write_request(Event::TargetLimit {
        target: target.life().unwrap_or(""),
        requests_per_s,
    });
}
