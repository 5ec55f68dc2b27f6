//! Calls to the local target: requests, health checks and key orders.

use std::rc::Rc;
use std::time::Duration;

use http::header::{CONTENT_ENCODING, HOST};
use http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use tokio::time::timeout;
use wingspar_platform::{TargetLoad, headers, id_of_life, parse_load};
use wingspar_quarantine::EndEvidence;

use crate::announcements;
use crate::body::{Body, Guarded};
use crate::breaker::{Breaker, BreakerChange, SendNumber};
use crate::clock::whole_millis;
use crate::connections::{PooledBody, SendError};
use crate::deadline::Deadline;
use crate::hop::{HopAnswer, HopRequest, Refusal};
use crate::key_exchange;
use crate::logs::Event;
use crate::node::Node;
use crate::response_body::buffer_or_stream;
use crate::slots::Slot;
use crate::target::{Health, TargetChange};
use crate::target_body::{TargetBody, TargetEndedError};
use crate::target_end::{self, Run};

/// Responses up to this length, in bytes, are buffered before they are forwarded, which frees the target's slot
/// early.
const MAX_BUFFERED_RESPONSE: u64 = 1024 * 1024;
/// While the buffer budget is used up, only responses up to this length, in bytes, are buffered. The number of such
/// responses is bounded by the slots.
const MIN_BUFFERED_RESPONSE: u64 = 32 * 1024;
/// The rest of a rejection is read up to this length, in bytes, so that its connection can be reused.
const MAX_REST: usize = 16 * 1024;
/// Timeout of a health check.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// How often the target's load is requested while other work takes its slots: a slot is usable again within about
/// the time of one request, and the calls take less than 1% of a slot.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(400);
/// How often a target that announces a request limit is queried for its load while other work takes its slots. Such a
/// target has little capacity to spare for these calls.
const LIMITED_LOAD_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Sends a request to the target as the breaker's send `number`. The caller has checked that the request may start.
/// The request counts as in flight and its slot stays in use until the response has ended.
pub async fn run(node: &Rc<Node>, hop: HopRequest, slot: Slot, number: SendNumber) -> HopAnswer {
    let Some(life) = node.target.borrow().life().map(str::to_owned) else {
        return HopAnswer::Refused(Refusal::NoTarget);
    };
    let expected = id_of_life(&life).to_owned();
    let deadline = hop.deadline;
    let id = hop.headers.get(headers::REQUEST_ID).cloned();
    let key = hop.key;
    let pending = PendingRequest::begin(node);
    let run = Run::begin(node, &hop);
    let request = target_request(hop, &expected);
    let request_number = node.request_limit.borrow_mut().sent();
    let sent =
        tokio::time::timeout_at(deadline.timer(), node.target_connections.send(request)).await;
    let response = match sent {
        Err(_) => return HopAnswer::MayHaveRun("the target didn't answer in time".to_owned()),
        Ok(Err(SendError::NotSent(_))) => {
            run.not_sent();
            pending.ended();
            mark_target_unreachable(node);
            return HopAnswer::Refused(Refusal::Unreachable);
        }
        Ok(Err(SendError::MayHaveRun(detail))) => {
            pending.ended();
            return broken(node, run, detail).await;
        }
        Ok(Ok(response)) => response,
    };
    announcements::apply(node, &life, request_number, response.headers());
    pending.answered(&response);
    if response
        .headers()
        .get(headers::REQUEST_ID)
        .is_some_and(|answered| Some(answered) != id.as_ref())
    {
        return HopAnswer::MayHaveRun("the response has the ID of another request".to_owned());
    }
    if has_not_run(&response) {
        run.answered();
        if is_load_shedding(&response) {
            update_breaker(node, |breaker| breaker.rejected(node.now(), number));
        }
        return rejected(node, response, &expected, key).await;
    }
    if response.status().is_success() && !is_from_target(&response) {
        return HopAnswer::MayHaveRun("the response lacks the target's signature".to_owned());
    }
    slot.mark_answered();
    update_breaker(node, |breaker| breaker.accepted(number));
    forward_response(node, response, run, deadline, slot).await
}

/// A request that is running at the target. If this is dropped before the end of the request is known, the target may
/// still be running it.
struct PendingRequest<'node> {
    node: &'node Node,
    /// Number of requests that were in flight at the target when this one was sent.
    concurrent: usize,
    has_ended: bool,
}

impl<'node> PendingRequest<'node> {
    fn begin(node: &'node Node) -> Self {
        Self {
            node,
            concurrent: node.slots.running(),
            has_ended: false,
        }
    }

    /// The target no longer runs the request.
    fn ended(mut self) {
        self.has_ended = true;
    }

    /// The target responded. The load in the response may be older than the response and still include requests that
    /// were answered meanwhile.
    fn answered<Bytes>(self, response: &Response<Bytes>) {
        let pending = self.concurrent.max(self.node.slots.running());
        apply_load(self.node, response, pending);
        self.ended();
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.node.untracked_work.borrow_mut().given_up();
            self.node.update_slot_capacity();
        }
    }
}

/// Applies the load that a response of the target reports while `pending` requests are in flight there.
fn apply_load<Bytes>(node: &Node, response: &Response<Bytes>, pending: usize) {
    let mut untracked_work = node.untracked_work.borrow_mut();
    match load_of(node, response) {
        Some(load) => untracked_work.told(load, pending),
        None => untracked_work.load_unknown(),
    }
    drop(untracked_work);
    node.update_slot_capacity();
}

/// The connection of a run failed, or the response was incomplete.
async fn broken(node: &Rc<Node>, run: Run, detail: String) -> HopAnswer {
    run.connection_broke();
    if target_end::check_ended(node).await {
        HopAnswer::TargetEnded
    } else {
        HopAnswer::MayHaveRun(detail)
    }
}

fn target_request(hop: HopRequest, expected: &str) -> Request<Body> {
    let left = hop.deadline.left();
    let mut request = Request::new(hop.body);
    *request.method_mut() = hop.method;
    *request.uri_mut() = hop.path.into();
    let mut own = hop.headers;
    own.insert(headers::DEADLINE_MS, HeaderValue::from(whole_millis(left)));
    if let Ok(expected) = HeaderValue::from_str(expected) {
        own.insert(headers::EXPECT_INSTANCE, expected);
    }
    *request.headers_mut() = own;
    request
}

/// Whether the target's response reports that it didn't run the request.
fn has_not_run(response: &Response<PooledBody>) -> bool {
    response.headers().contains_key(headers::NOT_EXECUTED)
        || response.status() == StatusCode::MISDIRECTED_REQUEST
}

/// Whether the target rejects a request because of overload rather than because of the request itself.
fn is_load_shedding(response: &Response<PooledBody>) -> bool {
    matches!(
        response.status(),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    )
}

/// Updates the breaker and logs when it opens or closes. A target that rejects half of its requests makes it change
/// often, so these lines are rate-limited like those of requests.
fn update_breaker(node: &Node, answered: impl FnOnce(&mut Breaker) -> BreakerChange) {
    let change = answered(&mut node.breaker.borrow_mut());
    let dependency = "target";
    match change {
        BreakerChange::None => {}
        BreakerChange::Opened => node.log.write_request(Event::Lost {
            dependency,
            detail: "rejects requests because of overload".to_owned(),
        }),
        BreakerChange::Closed => node.log.write_request(Event::Regained {
            dependency,
            detail: "accepts requests again".to_owned(),
        }),
    }
}

fn is_from_target(response: &Response<PooledBody>) -> bool {
    response.headers().contains_key(headers::SIGNATURE)
        && !response.headers().contains_key(CONTENT_ENCODING)
}

async fn rejected(
    node: &Rc<Node>,
    response: Response<PooledBody>,
    expected: &str,
    key: Option<u16>,
) -> HopAnswer {
    let misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
    let instance = response
        .headers()
        .get(headers::INSTANCE)
        .and_then(|value| value.to_str().ok());
    if let Some(instance) = instance
        && instance != expected
    {
        other_target_answered(node, expected, instance);
    } else if let (true, Some(key)) = (misdirected, key) {
        node.participant
            .borrow_mut()
            .key_denied_by_target(node.now(), key);
        key_exchange::wake_pending_response(node, node.now());
        node.control_wakeup.notify_one();
    }
    let rest = Limited::new(response.into_body(), MAX_REST);
    let _rest = timeout(PROBE_TIMEOUT, rest.collect()).await;
    HopAnswer::Refused(Refusal::Rejected)
}

/// Buffers or streams the response. The run and the slot are in use until its body has ended.
async fn forward_response(
    node: &Rc<Node>,
    response: Response<PooledBody>,
    run: Run,
    deadline: Deadline,
    slot: Slot,
) -> HopAnswer {
    let (mut parts, body) = response.into_parts();
    let body = Guarded::new(TargetBody::new(node, &parts, body, run), slot);
    crate::hop::remove_hop_headers(&mut parts.headers);
    let keep = node
        .buffer_budget
        .allowance(MAX_BUFFERED_RESPONSE)
        .max(MIN_BUFFERED_RESPONSE);
    match buffer_or_stream(body, keep, &node.buffer_budget, deadline.timer()).await {
        Ok(body) => HopAnswer::Answered(Response::from_parts(parts, body)),
        Err(error) if error.is::<TargetEndedError>() => HopAnswer::TargetEnded,
        Err(error) => HopAnswer::MayHaveRun(error.to_string()),
    }
}

/// The target `id` answered at the address while `known` was taken to be there.
pub fn other_target_answered(node: &Node, known: &str, id: &str) {
    if node.target.borrow().id() != Some(known) {
        // The answer may be older than what is known now.
        return;
    }
    node.target.borrow_mut().found_at_address(id);
    node.log.write(Event::Lost {
        dependency: "target",
        detail: format!("another instance answers at its address: {id}"),
    });
    observe_life(node, id);
    node.control_wakeup.notify_one();
}

/// Passes the target's life on to the participant; `None` if the life isn't new. Connections to an earlier life aren't
/// used any more.
fn observe_life(node: &Node, life: &str) -> Option<usize> {
    let mut participant = node.participant.borrow_mut();
    let ranges = participant.observe_target(node.now(), life);
    if ranges.is_some() {
        node.target_connections.close_idle();
        node.target_orders.close_idle();
    }
    ranges
}

/// A connection to the target failed: other nodes shouldn't send it requests until its next heartbeat.
pub fn mark_target_unreachable(node: &Node) {
    if node.target.borrow().accepting(node.now()) {
        node.log.write(Event::Lost {
            dependency: "target",
            detail: "no connection".to_owned(),
        });
    }
    node.target.borrow_mut().failed(node.now());
    node.update_start_limit();
    node.control_wakeup.notify_one();
}

/// Passes a change of the target on to everything that depends on it. `evidence` names for the log
/// what has shown the change.
pub fn apply_target_change(node: &Node, target_change: TargetChange, evidence: &'static str) {
    node.update_start_limit();
    if target_change == TargetChange::NewLife {
        node.untracked_work.borrow_mut().new_life();
        node.breaker.borrow_mut().new_life();
        node.request_limit.borrow_mut().new_life();
        node.set_request_limit(None);
    }
    let target = node.target.borrow();
    let change = match target_change {
        TargetChange::None | TargetChange::Unconfirmed => return,
        TargetChange::NewLife => "new_life",
        TargetChange::Leaves => "leaves",
        TargetChange::Changed => "changed",
    };
    let Some(id) = target.life() else {
        return;
    };
    if let (TargetChange::NewLife, Some(past)) = (target_change, target.past_life()) {
        target_end::ended(node, past, EndEvidence::NextIncarnation);
    }
    let ranges = observe_life(node, id);
    let is_new = target_change == TargetChange::NewLife;
    node.log.write(Event::TargetChanged {
        target: id,
        change,
        evidence,
        before: target.past_life().filter(|_| is_new).unwrap_or(""),
        ranges: ranges.unwrap_or(0),
    });
    node.update_slot_capacity();
    node.control_wakeup.notify_one();
}

/// Makes one of the node's own calls to the target; `None` if there is no complete response in time.
pub async fn call(
    node: &Rc<Node>,
    mut request: Request<Body>,
    time: Duration,
) -> Option<Response<()>> {
    let host = HeaderValue::from_str(&node.settings.node.target.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    let exchange = async {
        let response = node.target_orders.send(request).await.ok()?;
        let (parts, body) = response.into_parts();
        body.read_to_end().await.ok()?;
        Some(Response::from_parts(parts, ()))
    };
    timeout(time, exchange).await.ok().flatten()
}

/// Makes a health check; `None` if there is no complete response in time.
async fn check_health(node: &Rc<Node>, service: &str) -> Option<Response<()>> {
    let mut request = Request::new(Body::empty());
    *request.uri_mut() = node.health_path(service).parse().ok()?;
    call(node, request, PROBE_TIMEOUT).await
}

/// The text of a response's header; `None` if there is none.
fn header(response: &Response<()>, name: HeaderName) -> Option<&str> {
    response.headers().get(name)?.to_str().ok()
}

/// After a heartbeat of `life`, which isn't the known one, finds out which of them is at the address. Heartbeats may
/// come late, so a heartbeat alone doesn't show that. `service` is the service that the heartbeat names.
pub async fn check_heartbeats_life(node: &Rc<Node>, life: &str, service: &str) {
    let known = node.target.borrow().id().map(str::to_owned);
    // A connection to an earlier target may not have been closed yet.
    node.target_orders.close_idle();
    let answer = check_health(node, service).await;
    let id = answer
        .as_ref()
        .and_then(|answer| header(answer, headers::INSTANCE));
    if id != Some(id_of_life(life)) {
        node.log.write_request(Event::TargetUnconfirmed {
            target: life,
            known: known.as_deref().unwrap_or(""),
            answered_by: id.unwrap_or(""),
        });
    }
    let Some(id) = id else {
        return;
    };
    if node.target.borrow().id() != known.as_deref() {
        // Something else has shown meanwhile which target is there.
        return;
    }
    node.target.borrow_mut().health_checked_for(life, id);
    if Some(id) != known.as_deref() && id != id_of_life(life) {
        observe_life(node, id);
    }
}

/// Makes a health check and applies the response.
pub async fn probe(node: &Rc<Node>) {
    let Some(answer) = check_health(node, &node.settings.node.service).await else {
        return;
    };
    let load = load_of(node, &answer);
    let Some(id) = header(&answer, headers::INSTANCE) else {
        return;
    };
    let health = Health {
        takes_work: answer.status().is_success(),
        slots: load.map(|load| load.slots),
        warmup_left: warmup_left(header(&answer, headers::WARMUP_LEFT_MS)),
    };
    let target_change = node.target.borrow_mut().probed(node.now(), id, health);
    apply_target_change(node, target_change, "health_check");
    announcements::apply_from_node_call(node, answer.headers());
    apply_load(node, &answer, node.slots.running());
}

/// Requests the target's load while work that this node didn't send takes some of its slots.
pub async fn poll_load_while_slots_reduced(node: Rc<Node>) {
    loop {
        node.slots_reduced.notified().await;
        while node.update_slot_capacity() {
            let names_limit = node.request_limit.borrow().requests_per_s().is_some();
            let step = if names_limit {
                LIMITED_LOAD_POLL_INTERVAL
            } else {
                LOAD_POLL_INTERVAL
            };
            tokio::time::sleep(step).await;
            if node.update_slot_capacity() {
                request_load(&node).await;
            }
        }
    }
}

/// Requests the target's load. An overloaded target may not respond; the last known load stays in force then.
async fn request_load(node: &Rc<Node>) {
    if let Some(answer) = check_health(node, &node.settings.node.service).await {
        announcements::apply_from_node_call(node, answer.headers());
        apply_load(node, &answer, node.slots.running());
    }
}

/// The load that a response reports; a header that can't be parsed is logged and ignored.
fn load_of<Bytes>(node: &Node, response: &Response<Bytes>) -> Option<TargetLoad> {
    let load = response.headers().get(headers::LOAD)?.to_str().ok()?;
    match parse_load(load) {
        Ok(load) => Some(load),
        Err(error) => {
            node.log.write(Event::TargetUnreadable {
                what: "load",
                problem: error.to_string(),
            });
            None
        }
    }
}

/// The remaining warmup time; a warm target may omit the header.
fn warmup_left(header: Option<&str>) -> Duration {
    let millis = header.and_then(|millis| millis.trim().parse::<f64>().ok());
    let left = millis.and_then(|millis| Duration::try_from_secs_f64(millis / 1000.0).ok());
    left.unwrap_or_default()
}
