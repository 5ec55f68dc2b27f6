//! Requests of clients and of the target: from their arrival to their final answer.
//!
//! Phases: *read* the request and pick its route, *choose* a node, *send* it there, *judge* what came
//! back, and answer or choose again. A request that was given up on is answered at once.

mod record;
mod timing;

use record::Record;
use timing::{Times, patience_beside_others, times};

use std::rc::Rc;
use std::time::Duration;

use http::header::{EXPECT, HOST};
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method, Request, Response};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout, timeout_at};
use wingspar_ownership::NodeName;
use wingspar_platform::headers;
use wingspar_quarantine::{Content, Fingerprint};
use wingspar_routes::{Repeatability, Route, RouteTable};

use crate::agent;
use crate::answer::{Reason, own};
use crate::body::{Body, RequestBody};
use crate::directory::Destination;
use crate::hop::{self, HopAnswer, HopRequest, Refusal};
use crate::node::Node;
use crate::quarantine;
use crate::selection::{Ended, RequestPreference, ZONE_PREFERENCE, ZONE_PREFERENCE_LARGE};
use crate::slots::Turn;

/// Bodies up to this many bytes are kept, so that they can be sent again.
const KEEP_BODY: usize = 64 * 1024;
/// Pause before a key's owner is looked up again, unless the directory changes before.
const OWNER_PAUSE: Duration = Duration::from_millis(40);
/// A request isn't sent again with less time left than this part of its objective: the send would hardly be answered.
/// Chosen by hand.
const WORTH_SENDING: f64 = 0.3;
/// A deadline that is this near has passed.
const AS_GOOD_AS_OVER: Duration = Duration::from_millis(2);
/// A request is given up once so many targets have ended under it. The first end may be another request's fault.
const ENDS_TO_GIVE_UP: u32 = 2;
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

/// A request that has its route.
struct Routed<'a> {
    route: &'a Route,
    service: &'a str,
    key: Option<u16>,
    method: Method,
    path: PathAndQuery,
    headers: HeaderMap,
    body: RequestBody,
    times: Times,
    fingerprint: Fingerprint,
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
    let times = times(route, &parts.headers, arrived);
    check_length(&parts.headers, table.configuration().limits.body_bytes)?;
    let path = parts
        .uri
        .path_and_query()
        .cloned()
        .ok_or(Reason::Malformed)?;
    let body = match timeout_at(
        times.deadline.timer(),
        RequestBody::read(incoming, KEEP_BODY),
    )
    .await
    {
        Err(_) => return Err(Reason::NotSentInTime),
        Ok(Err(_)) => return Err(Reason::BodyCut),
        Ok(Ok(body)) => body,
    };
    let fingerprint = Fingerprint::of(&Content {
        method: parts.method.as_str(),
        host: &host,
        path: path.as_str(),
        body: body.beginning(),
        body_length: body_length(&body, &parts.headers),
    });
    record.fingerprint = Some(fingerprint);
    let mut routed = Routed {
        route,
        service,
        key,
        method: parts.method,
        path,
        headers: forwarded_headers(node, parts.headers, &host),
        body,
        times,
        fingerprint,
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
    match announced_length(headers) {
        Some(length) if length > limit => Err(Reason::TooLarge),
        _ => Ok(()),
    }
}

/// The length of a body that its caller announced.
fn announced_length(headers: &HeaderMap) -> Option<u64> {
    let length = headers.get(http::header::CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}

/// The length of a body, as far as it is known before all of it is here.
fn body_length(body: &RequestBody, headers: &HeaderMap) -> Option<u64> {
    match body {
        RequestBody::Whole(bytes) => u64::try_from(bytes.len()).ok(),
        RequestBody::Stream { .. } => announced_length(headers),
    }
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
        if quarantine::refuses(node, routed.fingerprint) {
            return Err(refused_for_good(routed, record));
        }
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
                after_lost_send(node, routed, record)
            }
            HopAnswer::TargetEnded => {
                record.sends += 1;
                record.may_have_run = true;
                record.targets_ended += 1;
                record.detail = "the target ended".to_owned();
                node.selection.avoid(node.now(), &destination.node);
                if record.targets_ended < ENDS_TO_GIVE_UP {
                    after_lost_send(node, routed, record)
                } else {
                    Next::GiveUp(given_up(routed, record))
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

/// The reason to give for a request under which targets ended again and again.
fn refused_for_good(routed: &Routed<'_>, record: &Record) -> Reason {
    if record.may_have_run {
        given_up(routed, record)
    } else {
        Reason::Quarantined
    }
}

/// The answer to a send was lost: whether another may follow.
fn after_lost_send(node: &Node, routed: &Routed<'_>, record: &Record) -> Next {
    let reason = given_up(routed, record);
    if routed.route.repeatability == Repeatability::AtMostOnce {
        Next::GiveUp(reason)
    } else {
        after_send(node, routed, record, reason)
    }
}

/// The reason to give when a request that was sent is given up.
fn given_up(routed: &Routed<'_>, record: &Record) -> Reason {
    let over = routed.times.deadline.left() <= AS_GOOD_AS_OVER;
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
    let wish = RequestPreference {
        node: &node.name,
        zone: &node.settings.node.zone,
        preference,
        large: routed.times.transfer.is_some(),
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
        routed.times.patience
    } else {
        patience_beside_others(routed.route, routed.times.patience)
    }
}

/// Waits for the directory to change, or a moment; an error when patience has ended.
async fn wait_for_directory(node: &Node, routed: &Routed<'_>) -> Result<(), Reason> {
    if Instant::now() >= routed.times.patience {
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
        deadline: routed.times.deadline,
        patience,
        // What stays on this machine doesn't use its link.
        transfer: routed.times.transfer.filter(|_| !is_here),
        turn: Turn {
            priority: routed.route.priority,
            due: routed.times.due,
        },
        key: routed.key,
        fingerprint: routed.fingerprint,
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
            HopAnswer::MayHaveRun(_)
            | HopAnswer::TargetEnded
            | HopAnswer::Refused(Refusal::Rejected) => Ended::Failed,
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
    if refusal == Refusal::Quarantined {
        return Next::GiveUp(refused_for_good(routed, record));
    }
    if matches!(
        refusal,
        Refusal::Unreachable | Refusal::Leaving | Refusal::Evacuated | Refusal::NoTarget
    ) {
        node.selection.avoid(node.now(), &destination.node);
    }
    if !routed.body.is_available() {
        return Next::GiveUp(given_up(routed, record));
    }
    let reason = match refusal {
        Refusal::Full | Refusal::LinkBusy => Reason::Full,
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
    if Instant::now() >= routed.times.patience {
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
    let left = routed.times.deadline.left();
    let worth_it = left
        > routed
            .route
            .objective
            .unwrap_or_default()
            .mul_f64(WORTH_SENDING);
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
