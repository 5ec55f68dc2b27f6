//! Requests of clients and of the target: from their arrival to their final answer.
//!
//! Phases: *read* the request and pick its route, *choose* a node, *send* it there, *judge* what came
//! back, and answer or choose again. A request that was given up on is answered at once.

use std::rc::Rc;
use std::time::Duration;

use http::header::{EXPECT, HOST};
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method, Request, Response};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout, timeout_at};
use wingspar_ownership::NodeName;
use wingspar_platform::headers;
use wingspar_routes::{Repeatability, Route, RouteTable};

use crate::agent;
use crate::answer::{Reason, own};
use crate::body::{Body, RequestBody};
use crate::directory::Destination;
use crate::hop::{self, HopAnswer, HopRequest, Refusal};
use crate::logs::Event;
use crate::metrics::{RequestLabels, ServiceLabel};
use crate::node::Node;
use crate::selection::{Ended, Wish, ZONE_PREFERENCE, ZONE_PREFERENCE_LARGE};

/// Bodies up to this many bytes are kept, so that they can be sent again.
const KEEP_BODY: usize = 64 * 1024;
/// A client that names no deadline waits this long.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// Part of the objective after which a request that hasn't started is refused.
const PATIENCE_SHARE: f64 = 0.24;
/// A caller whose deadline is within this many objectives has no time to come back; it may wait for
/// [`URGENT_PATIENCE_SHARE`] of its deadline.
const URGENT_OBJECTIVES: f64 = 3.2;
/// The same if the route's time-out leaves the caller one attempt.
const ONE_ATTEMPT_OBJECTIVES: f64 = 4.0;
const URGENT_PATIENCE_SHARE: f64 = 0.55;
/// Part of the objective after which a large answer should be leaving its machine.
const TRANSFER_SHARE: f64 = 0.3;
/// Pause before a key's owner is looked up again, unless the directory changes before.
const OWNER_PAUSE: Duration = Duration::from_millis(40);
/// The final answer is given this much before the deadline, so that it arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(5);
/// How long a request waits at a full target while it could ask another: at least so long, and this
/// part of the objective.
const LEAST_WAIT_HERE: Duration = Duration::from_millis(8);
const WAIT_HERE_SHARE: f64 = 0.06;
/// Most nodes that are asked while nothing has been sent.
const MOST_REFUSALS: usize = 4;

/// Answers a request.
pub async fn answer(node: Rc<Node>, request: Request<Incoming>) -> Response<Body> {
    let arrived = Instant::now();
    let table = node.routes.borrow().clone();
    let mut record = Record::new(&request);
    let response = match table {
        Some(table) => {
            record.configuration = table.configuration().version;
            take(&node, &table, request, arrived, &mut record).await
        }
        None => Err(Reason::NoConfiguration),
    };
    record.finish(&node, arrived, response.as_ref().err().copied());
    response.unwrap_or_else(own)
}

/// What is logged and counted of a request.
struct Record {
    id: String,
    route: String,
    service: String,
    key: Option<u16>,
    configuration: u64,
    node: String,
    sends: u32,
    may_have_run: bool,
    detail: String,
}

impl Record {
    fn new(request: &Request<Incoming>) -> Self {
        let id = request
            .headers()
            .get(headers::REQUEST_ID)
            .and_then(|id| id.to_str().ok());
        Self {
            id: id.unwrap_or("").to_owned(),
            route: String::new(),
            service: String::new(),
            key: None,
            configuration: 0,
            node: String::new(),
            sends: 0,
            may_have_run: false,
            detail: String::new(),
        }
    }

    fn finish(&self, node: &Node, arrived: Instant, reason: Option<Reason>) {
        let took = arrived.elapsed();
        let labels = RequestLabels {
            service: self.service.clone(),
            outcome: reason.map_or("answered", Reason::name),
        };
        node.metrics.requests.get_or_create(&labels).inc();
        let service = ServiceLabel {
            service: self.service.clone(),
        };
        node.metrics
            .latency
            .get_or_create(&service)
            .observe(took.as_secs_f64());
        if reason.is_none() && self.sends <= 1 {
            return;
        }
        node.log.write_request(Event::Request {
            id: &self.id,
            route: &self.route,
            service: &self.service,
            key: self.key,
            configuration: self.configuration,
            tried: &self.node,
            sends: self.sends,
            outcome: labels.outcome,
            took_ms: u64::try_from(took.as_millis()).unwrap_or(0),
            detail: &self.detail,
        });
    }
}

/// A request that has its route.
struct Routed<'a> {
    route: &'a Route,
    service: &'a str,
    key: Option<u16>,
    method: Method,
    path: PathAndQuery,
    headers: HeaderMap,
    body: RequestBody,
    deadline: Instant,
    patience: Instant,
    /// Until when a large answer should begin to leave its machine.
    transfer: Option<Instant>,
}

async fn take(
    node: &Rc<Node>,
    table: &RouteTable,
    request: Request<Incoming>,
    arrived: Instant,
    record: &mut Record,
) -> Result<Response<Body>, Reason> {
    let (parts, incoming) = request.into_parts();
    only_one_id(&parts.headers)?;
    let host = host_of(&parts).ok_or(Reason::Malformed)?;
    let route = table.find(&host, parts.uri.path()).ok_or(Reason::NoRoute)?;
    record.route.clone_from(&route.name);
    let service = table
        .choose_service(route, record.id.as_bytes())
        .ok_or(Reason::NoTarget)?;
    record.service = service.to_owned();
    let keyed = table
        .configuration()
        .service(service)
        .is_some_and(|service| service.keyed);
    let key = if keyed {
        hop::key_of(&parts.headers)
    } else {
        None
    };
    record.key = key;
    node.budget.borrow_mut().request(node.now(), service);
    let (deadline, patience) = times(route, &parts.headers, arrived);
    check_length(&parts.headers, table.configuration().limits.body_bytes)?;
    let path = parts
        .uri
        .path_and_query()
        .cloned()
        .ok_or(Reason::Malformed)?;
    let body = match timeout_at(deadline, RequestBody::read(incoming, KEEP_BODY)).await {
        Err(_) => return Err(Reason::NotSentInTime),
        Ok(Err(_)) => return Err(Reason::BodyCut),
        Ok(Ok(body)) => body,
    };
    let mut routed = Routed {
        route,
        service,
        key,
        method: parts.method,
        path,
        headers: forwarded_headers(node, parts.headers, &host),
        body,
        deadline,
        patience,
        transfer: transfer_time(route, deadline, arrived),
    };
    send(node, &mut routed, record).await
}

fn only_one_id(headers: &HeaderMap) -> Result<(), Reason> {
    let mut ids = headers.get_all(headers::REQUEST_ID).iter();
    match (ids.next(), ids.next()) {
        (Some(_), None) => Ok(()),
        _ => Err(Reason::Malformed),
    }
}

fn host_of(parts: &http::request::Parts) -> Option<String> {
    if let Some(authority) = parts.uri.authority() {
        return Some(authority.as_str().to_owned());
    }
    let mut hosts = parts.headers.get_all(HOST).iter();
    match (hosts.next(), hosts.next()) {
        (Some(host), None) => host.to_str().ok().map(str::to_owned),
        _ => None,
    }
}

fn check_length(headers: &HeaderMap, limit: u64) -> Result<(), Reason> {
    let length = headers
        .get(http::header::CONTENT_LENGTH)
        .and_then(|length| length.to_str().ok()?.parse::<u64>().ok());
    match length {
        Some(length) if length > limit => Err(Reason::TooLarge),
        _ => Ok(()),
    }
}

/// When the request is given up, and until when it may wait for its start.
fn times(route: &Route, headers: &HeaderMap, arrived: Instant) -> (Instant, Instant) {
    let asked = headers
        .get(headers::DEADLINE_MS)
        .and_then(|value| value.to_str().ok()?.trim().parse::<f64>().ok())
        .and_then(|millis| Duration::try_from_secs_f64(millis / 1000.0).ok())
        .unwrap_or(DEFAULT_DEADLINE);
    let held = route.timeout.map_or(asked, |timeout| timeout.min(asked));
    let objective = route.objective.unwrap_or(asked);
    let patience = if comes_once(route, asked, objective) {
        asked.mul_f64(URGENT_PATIENCE_SHARE)
    } else {
        objective.mul_f64(PATIENCE_SHARE)
    };
    let deadline = arrived + held.saturating_sub(ANSWER_MARGIN);
    (deadline, deadline.min(arrived + patience))
}

/// Whether a caller that is refused has no time to come back: its deadline is near, or the route's
/// time-out is as long as it waits at all.
fn comes_once(route: &Route, asked: Duration, objective: Duration) -> bool {
    let one_attempt = route.timeout.is_some_and(|timeout| timeout >= asked);
    let objectives = if one_attempt {
        ONE_ATTEMPT_OBJECTIVES
    } else {
        URGENT_OBJECTIVES
    };
    asked <= objective.mul_f64(objectives)
}

/// Until when the answer to a download should begin to leave its machine.
fn transfer_time(route: &Route, deadline: Instant, arrived: Instant) -> Option<Instant> {
    let left = deadline.saturating_duration_since(arrived);
    let objective = route.objective.unwrap_or(left);
    let share = objective.min(left).mul_f64(TRANSFER_SHARE);
    (route.repeatability == Repeatability::Download).then(|| arrived + share)
}

/// Headers for the target.
fn forwarded_headers(node: &Node, mut headers: HeaderMap, host: &str) -> HeaderMap {
    hop::strip(&mut headers);
    headers.remove(EXPECT);
    headers.remove(headers::EXPECT_INSTANCE);
    if let Ok(caller) = HeaderValue::from_str(&node.settings.node.service) {
        headers.insert(headers::CALLER_SERVICE, caller);
    }
    if let Ok(host) = HeaderValue::from_str(host) {
        headers.insert(HOST, host);
    }
    headers
}

/// What to do after a node's answer.
enum Next {
    /// Ask another node, or the same again.
    Again,
    /// Give up.
    GiveUp(Reason),
}

async fn send(
    node: &Rc<Node>,
    routed: &mut Routed<'_>,
    record: &mut Record,
) -> Result<Response<Body>, Reason> {
    let mut tried = Vec::<NodeName>::new();
    let mut refusals = 0;
    loop {
        let Some(destination) = choose(node, routed, &tried) else {
            if record.sends > 0 {
                return Err(given_up(routed, record));
            }
            wait_for_directory(node, routed).await?;
            tried.clear();
            continue;
        };
        record.node = destination.node.to_string();
        let patience = patience_here(node, routed, refusals);
        let answer = send_to(node, routed, &destination, patience).await;
        let next = match answer {
            HopAnswer::Answered(response) => {
                record.sends += 1;
                return Ok(response);
            }
            HopAnswer::Refused(Refusal::Rejected) => {
                record.sends += 1;
                record.detail = "rejected by the target".to_owned();
                let reason = if record.may_have_run {
                    given_up(routed, record)
                } else {
                    Reason::Full
                };
                after_send(node, routed, record, reason)
            }
            HopAnswer::Refused(refusal) => {
                refusals += 1;
                refused(node, routed, record, &destination, refusal, refusals).await
            }
            HopAnswer::MayHaveRun(detail) => {
                record.sends += 1;
                record.may_have_run = true;
                record.detail = detail;
                let reason = given_up(routed, record);
                if routed.route.repeatability == Repeatability::AtMostOnce {
                    Next::GiveUp(reason)
                } else {
                    after_send(node, routed, record, reason)
                }
            }
        };
        if let Next::GiveUp(reason) = next {
            return Err(reason);
        }
        if routed.key.is_none() {
            tried.push(destination.node);
        }
    }
}

/// The reason to give when a request that was sent is given up.
fn given_up(routed: &Routed<'_>, record: &Record) -> Reason {
    let over = Instant::now() + Duration::from_millis(2) >= routed.deadline;
    match (record.may_have_run, over) {
        (false, true) => Reason::NotSentInTime,
        (false, false) => Reason::NoTarget,
        (true, true) => Reason::NoAnswerInTime,
        (true, false) => Reason::MayHaveRun,
    }
}

fn choose(node: &Node, routed: &Routed<'_>, tried: &[NodeName]) -> Option<Destination> {
    let directory = node.directory.borrow().clone();
    if let Some(key) = routed.key {
        return directory.owner(routed.service, key).cloned();
    }
    let destinations = directory.destinations(routed.service);
    let preference = match routed.route.repeatability {
        Repeatability::Download => ZONE_PREFERENCE_LARGE,
        _ => ZONE_PREFERENCE,
    };
    let wish = Wish {
        node: &node.name,
        zone: &node.settings.node.zone,
        preference,
        large: routed.transfer.is_some(),
    };
    node.selection
        .choose(node.now(), wish, destinations, tried)
        .cloned()
}

/// Until when a request may wait at the node that is asked next. While others could run it too, a full
/// one isn't waited for long.
fn patience_here(node: &Node, routed: &Routed<'_>, refusals: usize) -> Instant {
    let others = node.directory.borrow().destinations(routed.service).len();
    let last = refusals + 1 >= MOST_REFUSALS.min(others);
    if routed.key.is_some() || last {
        return routed.patience;
    }
    let objective = routed.route.objective.unwrap_or_default();
    let short = LEAST_WAIT_HERE + objective.mul_f64(WAIT_HERE_SHARE);
    routed.patience.min(Instant::now() + short)
}

/// Waits for the directory to change, or a moment; an error when patience has ended.
async fn wait_for_directory(node: &Node, routed: &Routed<'_>) -> Result<(), Reason> {
    if Instant::now() >= routed.patience {
        return Err(if routed.key.is_some() {
            Reason::NoOwner
        } else {
            Reason::NoTarget
        });
    }
    let _changed = timeout(OWNER_PAUSE, node.directory_changed.notified()).await;
    Ok(())
}

async fn send_to(
    node: &Rc<Node>,
    routed: &mut Routed<'_>,
    destination: &Destination,
    patience: Instant,
) -> HopAnswer {
    let is_here = destination.node == node.name;
    let request = HopRequest {
        method: routed.method.clone(),
        path: routed.path.clone(),
        headers: routed.headers.clone(),
        body: routed.body.take(),
        service: routed.service.to_owned(),
        deadline: routed.deadline,
        patience,
        // What stays on this machine doesn't use its link.
        transfer: routed.transfer.filter(|_| !is_here),
        priority: routed.route.priority,
        key: routed.key,
    };
    let outstanding = Outstanding::begin(node, &destination.node);
    let (answer, occupancy) = if is_here {
        let answer = agent::serve(node, request).await;
        (answer, Some(agent::occupancy(node)))
    } else {
        hop::send(&node.peer(destination.address), request).await
    };
    if let Some(occupancy) = occupancy {
        let now = node.now();
        node.selection.reported(now, &destination.node, occupancy);
    }
    outstanding.end(&answer);
    answer
}

/// Counts a request as outstanding at a node until it ends, also if its client leaves.
struct Outstanding<'a> {
    node: &'a Node,
    destination: NodeName,
    since: Instant,
    ended: Ended,
}

impl<'a> Outstanding<'a> {
    fn begin(node: &'a Node, destination: &NodeName) -> Self {
        node.selection.sent(destination);
        Self {
            node,
            destination: destination.clone(),
            since: Instant::now(),
            ended: Ended::Unknown,
        }
    }

    fn end(mut self, answer: &HopAnswer) {
        self.ended = match answer {
            HopAnswer::Answered(response) if response.status().is_server_error() => Ended::Failed,
            HopAnswer::Answered(_) => Ended::Useful(self.since.elapsed()),
            HopAnswer::MayHaveRun(_) | HopAnswer::Refused(Refusal::Rejected) => Ended::Failed,
            HopAnswer::Refused(_) => Ended::Unknown,
        };
    }
}

impl Drop for Outstanding<'_> {
    fn drop(&mut self) {
        let now = self.node.now();
        self.node
            .selection
            .ended(now, &self.destination, self.ended);
    }
}

/// A node refused: the request hasn't run.
async fn refused(
    node: &Node,
    routed: &Routed<'_>,
    record: &mut Record,
    destination: &Destination,
    refusal: Refusal,
    refusals: usize,
) -> Next {
    record.detail = refusal.name().to_owned();
    if matches!(
        refusal,
        Refusal::Unreachable | Refusal::Leaving | Refusal::NoTarget
    ) {
        node.selection.avoid(node.now(), &destination.node);
    }
    if !routed.body.is_available() {
        return Next::GiveUp(given_up(routed, record));
    }
    let reason = match refusal {
        Refusal::Full => Reason::Full,
        Refusal::Late => Reason::NotSentInTime,
        Refusal::NotOwner | Refusal::Arriving => Reason::NoOwner,
        _ => Reason::NoTarget,
    };
    // Once a send may have run, "not run" would be untrue.
    let reason = if record.may_have_run {
        given_up(routed, record)
    } else {
        reason
    };
    if Instant::now() >= routed.patience {
        return Next::GiveUp(reason);
    }
    if routed.key.is_none() {
        let enough = refusals >= MOST_REFUSALS;
        return if enough {
            Next::GiveUp(reason)
        } else {
            Next::Again
        };
    }
    if refusal == Refusal::Full {
        return Next::GiveUp(reason);
    }
    let _changed = timeout(OWNER_PAUSE, node.directory_changed.notified()).await;
    Next::Again
}

/// A send reached a target: whether another may follow.
fn after_send(node: &Node, routed: &Routed<'_>, record: &Record, reason: Reason) -> Next {
    let left = routed.deadline.saturating_duration_since(Instant::now());
    let worth_it = left > routed.route.objective.unwrap_or_default().mul_f64(0.3);
    if record.sends >= routed.route.max_attempts || !routed.body.is_available() || !worth_it {
        return Next::GiveUp(reason);
    }
    let nodes = node.directory.borrow().nodes();
    if !node
        .budget
        .borrow_mut()
        .spend(node.now(), routed.service, nodes)
    {
        return Next::GiveUp(reason);
    }
    node.metrics.repeats.inc();
    Next::Again
}
