//! Delivers key grants and releases by calls to the target.

use std::rc::Rc;
use std::time::Duration;

use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use wingspar_ownership::{GrantResult, KeyRange, Order, Time};
use wingspar_platform::{GrantOrder, ReleaseOrder, headers, id_of_life};

use crate::announcements;
use crate::body::Body;
use crate::clock::whole_millis;
use crate::key_release;
use crate::logs::Event;
use crate::node::Node;
use crate::target_calls::{call, other_target_answered};

/// Timeout of a grant call, after which the grant is retried.
const GRANT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a release call, after which it is retried. The target responds once the work on the keys has ended.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// An order that was sent to the target's address, for the log.
struct SentOrder {
    name: &'static str,
    range: KeyRange,
    fence: u64,
    /// The target's life that was known when the order was sent.
    life: String,
    sent_at: Time,
}

impl SentOrder {
    fn new(node: &Node, name: &'static str, range: KeyRange, fence: u64) -> Self {
        Self {
            name,
            range,
            fence,
            life: node.target.borrow().life().unwrap_or_default().to_owned(),
            sent_at: node.now(),
        }
    }
}

/// Executes an order about keys and reports the result to the participant.
pub async fn execute_order(node: Rc<Node>, order: Order) {
    match &order {
        Order::Grant {
            range,
            fence,
            hold,
            handover,
        } => {
            let body = GrantOrder {
                from: range.from,
                to: range.to,
                fence: fence.0,
                hold: hold.as_secs_f64(),
                handover: handover.clone(),
            };
            let sent = SentOrder::new(&node, "grant", *range, fence.0);
            let mut request = post(&node, GrantOrder::PATH, body.body());
            let expected = id_of_life(&sent.life).to_owned();
            if let Ok(expected) = HeaderValue::from_str(&expected)
                && !expected.is_empty()
            {
                // A target that checks this takes no grant that is meant for another life.
                let own_headers = request.headers_mut();
                own_headers.insert(headers::EXPECT_INSTANCE, expected);
            }
            let answer = call(&node, request, GRANT_TIMEOUT).await;
            apply_announcements(&node, answer.as_ref());
            if let Some(answer) = &answer {
                check_misdirected(&node, answer, &expected);
            }
            let (result, outcome) = match answer.as_ref().map(Response::status) {
                Some(status) if status.is_success() => (GrantResult::Granted, "granted"),
                Some(StatusCode::CONFLICT) => (GrantResult::Outranked, "outranked"),
                _ => (GrantResult::Failed, "failed"),
            };
            let now = node.now();
            node.participant
                .borrow_mut()
                .granted(now, &order, sent.sent_at, result);
            log_outcome(&node, &sent, answer.as_ref(), outcome);
        }
        Order::Release { range, fence } => release(&node, "release", &order, *range, fence.0).await,
        Order::Clear { fence } => release(&node, "clear", &order, KeyRange::ALL, fence.0).await,
    }
    node.control_wakeup.notify_one();
}

/// If another target than the expected one answered that an order isn't its own, the expected one has ended.
fn check_misdirected(node: &Node, answer: &Response<()>, expected: &str) {
    let instance = answer.headers().get(headers::INSTANCE);
    let instance = instance.and_then(|instance| instance.to_str().ok());
    if let Some(id) = instance
        && answer.status() == StatusCode::MISDIRECTED_REQUEST
        && id != expected
    {
        other_target_answered(node, expected, id);
    }
}

async fn release(node: &Rc<Node>, name: &'static str, order: &Order, range: KeyRange, fence: u64) {
    let body = ReleaseOrder {
        from: range.from,
        to: range.to,
        fence,
    };
    let sent = SentOrder::new(node, name, range, fence);
    let request = post(node, ReleaseOrder::PATH, body.body());
    let answer = key_release::send(node.settings.node.target, request, RELEASE_TIMEOUT).await;
    apply_announcements(node, answer.as_ref());
    let answered = answer
        .as_ref()
        .is_some_and(|answer| key_release::is_released(answer.status(), may_hold_keys(node)));
    let handover = answer
        .as_ref()
        .and_then(|answer| answer.headers().get(headers::HANDOVER)?.to_str().ok());
    let now = node.now();
    node.participant
        .borrow_mut()
        .released(now, order, answered, handover.map(str::to_owned));
    let outcome = if answered { "released" } else { "failed" };
    log_outcome(node, &sent, answer.as_ref(), outcome);
}

fn log_outcome(
    node: &Node,
    sent: &SentOrder,
    answer: Option<&Response<()>>,
    outcome: &'static str,
) {
    node.metrics.count(&node.metrics.key_orders, outcome);
    let answered_by = answer
        .and_then(|answer| answer.headers().get(headers::INSTANCE)?.to_str().ok())
        .unwrap_or_default();
    let is_of_current_life = node.target.borrow().life() == Some(&*sent.life);
    let is_of_other_life =
        !is_of_current_life || (!answered_by.is_empty() && answered_by != id_of_life(&sent.life));
    if is_of_other_life {
        node.metrics.orders_across_lives.inc();
    } else if sent.name == "grant" && outcome == "granted" {
        // Successful renewals would flood the log. Failed grants and all releases are logged.
        return;
    }
    node.log.write(Event::Keys {
        order: sent.name,
        from: sent.range.from,
        to: sent.range.to,
        fence: sent.fence,
        outcome,
        target: &sent.life,
        answered_by,
        took_ms: whole_millis(node.now().since(sent.sent_at)),
        lease_left_ms: lease_left_ms(node),
    });
}

/// Time left on the node's lease, in milliseconds.
pub fn lease_left_ms(node: &Node) -> u64 {
    let left = node.participant.borrow().lease_until().since(node.now());
    whole_millis(left)
}

/// Whether the target may hold keys: its service is keyed, or not known to be unkeyed.
fn may_hold_keys(node: &Node) -> bool {
    node.configuration_version() == 0 || node.is_keyed(node.target.borrow().service())
}

fn post(node: &Node, path: &'static str, body: bytes::Bytes) -> Request<Body> {
    let mut request = Request::new(Body::whole(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static(path);
    let headers = request.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(host) = HeaderValue::from_str(&node.settings.node.target.to_string()) {
        headers.insert(HOST, host);
    }
    request
}

fn apply_announcements(node: &Rc<Node>, answer: Option<&Response<()>>) {
    if let Some(answer) = answer {
        announcements::apply_from_node_call(node, answer.headers());
    }
}
