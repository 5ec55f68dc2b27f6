//! The hop of a request from the router of one node to the agent of the node beside its target: encoding as HTTP
//! headers, sending, and reading the answer.

use std::net::SocketAddr;
use std::time::Duration;

use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use prometheus_client::metrics::counter::Counter;
use tokio::time::{Instant, timeout_at};
use wingspar_platform::headers;
use wingspar_quarantine::{Caller, CallerRequest, Fingerprint};

use crate::body::Body;
use crate::clock::whole_millis;
use crate::compact_headers;
use crate::connections::SendError;
use crate::deadline::Deadline;
use crate::expect_continue::send_body_on_continue;
use crate::node::Node;
use crate::occupancy::Occupancy;
use crate::response_body::buffer_or_stream;
use crate::slots::{Scheduling, TenantScheduling};

/// Service that is to run the request; its presence marks a request from a router.
const SERVICE: HeaderName = HeaderName::from_static("wingspar-service");
/// Time until the deadline, in milliseconds.
const LEFT_MS: HeaderName = HeaderName::from_static("wingspar-left-ms");
/// Time for which the request may wait for a slot, in milliseconds.
const PATIENCE_MS: HeaderName = HeaderName::from_static("wingspar-patience-ms");
/// Time until a large answer should begin to leave the machine, in milliseconds.
const TRANSFER_MS: HeaderName = HeaderName::from_static("wingspar-transfer-ms");
/// Time until the answer is due, in milliseconds.
const DUE_MS: HeaderName = HeaderName::from_static("wingspar-due-ms");
/// Latency objective of the route, in milliseconds.
const OBJECTIVE_MS: HeaderName = HeaderName::from_static("wingspar-objective-ms");
/// Digest of the request's content.
const FINGERPRINT: HeaderName = HeaderName::from_static("wingspar-fingerprint");
/// Priority of the route.
const PRIORITY: HeaderName = HeaderName::from_static("wingspar-priority");
/// Priority of the tenant.
const TENANT_PRIORITY: HeaderName = HeaderName::from_static("wingspar-tenant-priority");
/// The target's rate limit as reported to the router, in requests per second.
const REPORTED_LIMIT: HeaderName = HeaderName::from_static("wingspar-told-limit");
/// In answers: what became of the request at the agent.
const OUTCOME: HeaderName = HeaderName::from_static("wingspar-outcome");
/// In answers: the node's [`Occupancy`].
const LOAD: HeaderName = HeaderName::from_static("wingspar-load");
/// Answers of other nodes up to this length, in bytes, are buffered completely before they are forwarded.
const MAX_BUFFERED_ANSWER: u64 = 256 * 1024;
/// The rest of an answer is read up to this length, in bytes, so that its connection can be reused.
const MAX_REST: usize = 16 * 1024;
/// Outcome of a request that was in flight when the target ended.
const TARGET_ENDED: &str = "target_ended";
/// Prefix of the names of headers that only nodes set.
const INTERNAL_PREFIX: &str = "wingspar-";

/// A request from a router for the agent of a node.
pub struct HopRequest {
    /// Method, as the client sent it.
    pub method: Method,
    /// Path and query, as the client sent them.
    pub path: PathAndQuery,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Body to forward.
    pub body: Body,
    /// The service that is to run the request.
    pub service: String,
    /// When the client or the route gives the request up.
    pub deadline: Deadline,
    /// Until when the request may wait for a slot.
    pub wait_until: Instant,
    /// When the answer should have begun to leave the machine, if it is likely to be large.
    pub transfer: Option<Instant>,
    /// The parameters that decide when the request gets a slot.
    pub scheduling: Scheduling,
    /// The request's key; `None` if it has none or its service isn't keyed.
    pub key: Option<u16>,
    /// Identifies the request when it is sent again.
    pub request: CallerRequest,
    /// The target's rate limit as reported to the router, in requests per second; `None` if none was reported.
    pub reported_limit: Option<f64>,
}

/// Why an agent didn't send a request to its target, or why the target didn't take it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The node has no target of the service.
    NoTarget,
    /// The target or the node is leaving.
    Leaving,
    /// The node's zone is evacuated.
    Evacuated,
    /// The request is quarantined, since targets ended repeatedly while it ran.
    Quarantined,
    /// The target doesn't own the key.
    NotOwner,
    /// The target is about to become the owner of the key.
    Arriving,
    /// No slot is expected in time, or the target is ejected.
    Full,
    /// The answer would be large, and the machine's link will be busy for too long.
    LinkBusy,
    /// The deadline has passed.
    Late,
    /// No connection to the node, or from it to its target.
    Unreachable,
    /// The target itself rejected the request explicitly; this counts as a send.
    Rejected,
}

impl Refusal {
    const ALL: [Self; 11] = [
        Self::NoTarget,
        Self::Leaving,
        Self::Evacuated,
        Self::Quarantined,
        Self::NotOwner,
        Self::Arriving,
        Self::Full,
        Self::LinkBusy,
        Self::Late,
        Self::Unreachable,
        Self::Rejected,
    ];

    /// Stable name for the wire, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoTarget => "no_target",
            Self::Leaving => "leaving",
            Self::Evacuated => "evacuated",
            Self::Quarantined => "quarantined",
            Self::NotOwner => "not_owner",
            Self::Arriving => "arriving",
            Self::Full => "full",
            Self::LinkBusy => "link_busy",
            Self::Late => "late",
            Self::Unreachable => "unreachable",
            Self::Rejected => "rejected",
        }
    }
}

/// What became of a request at an agent.
pub enum HopAnswer {
    /// The target's answer.
    Answered(Response<Body>),
    /// The request hasn't run.
    Refused(Refusal),
    /// The request may have run, but there is no answer; with the reason in words.
    MayHaveRun(String),
    /// The target's process ended while the request ran there.
    TargetEnded,
}

/// Removes hop-by-hop headers and those that only nodes set.
pub fn remove_hop_headers(headers: &mut HeaderMap) {
    let named = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|word| HeaderName::try_from(word.trim()).ok())
        .filter(|name| !name.as_str().starts_with("x-wingspar-") && *name != HOST)
        .collect::<Vec<_>>();
    for name in named {
        headers.remove(name);
    }
    for name in [
        CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        CONTENT_LENGTH,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
    headers.remove("proxy-authorization");
    headers.remove("proxy-authenticate");
    let own = headers
        .keys()
        .filter(|name| name.as_str().starts_with(INTERNAL_PREFIX))
        .cloned()
        .collect::<Vec<_>>();
    for name in own {
        headers.remove(name);
    }
}

/// Whether a request on the internal address comes from a node's router.
pub fn is_hop(headers: &HeaderMap) -> bool {
    headers.contains_key(SERVICE) || headers.contains_key(compact_headers::COMPACT_HEADERS)
}

/// Encodes a request for another node.
fn encode(request: HopRequest) -> Request<Body> {
    let now = Instant::now();
    let mut headers = request.headers;
    insert_number(&mut headers, LEFT_MS, whole_millis(request.deadline.left()));
    insert_number(
        &mut headers,
        PATIENCE_MS,
        whole_millis(request.wait_until.saturating_duration_since(now)),
    );
    if let Some(transfer) = request.transfer {
        let left = whole_millis(transfer.saturating_duration_since(now));
        insert_number(&mut headers, TRANSFER_MS, left);
    }
    insert_number(
        &mut headers,
        PRIORITY,
        u64::from(request.scheduling.priority),
    );
    let due = whole_millis(request.scheduling.due.saturating_duration_since(now));
    insert_number(&mut headers, DUE_MS, due);
    if let Some(tenant) = request.scheduling.tenant {
        insert_number(&mut headers, TENANT_PRIORITY, u64::from(tenant.priority));
    }
    let objective = whole_millis(request.scheduling.objective);
    insert_number(&mut headers, OBJECTIVE_MS, objective);
    if let Ok(fingerprint) = HeaderValue::from_str(&request.request.content.to_string()) {
        headers.insert(FINGERPRINT, fingerprint);
    }
    if let Some(limit) = request.reported_limit
        && let Ok(limit) = HeaderValue::from_str(&limit.to_string())
    {
        headers.insert(REPORTED_LIMIT, limit);
    }
    if let Ok(service) = HeaderValue::from_str(&request.service) {
        headers.insert(SERVICE, service);
    }
    let mut encoded = Request::new(request.body);
    *encoded.method_mut() = request.method;
    *encoded.uri_mut() = request.path.into();
    *encoded.headers_mut() = headers;
    encoded
}

/// Decodes a request of another node; `None` if a mandatory header is missing or malformed. `keyed` returns whether a
/// service is keyed.
pub fn decode(
    parts: http::request::Parts,
    body: Body,
    keyed: impl Fn(&str) -> bool,
) -> Option<HopRequest> {
    let now = Instant::now();
    let service = parts.headers.get(SERVICE)?.to_str().ok()?.to_owned();
    let left = read_number(&parts.headers, &LEFT_MS)?;
    let patience = read_number(&parts.headers, &PATIENCE_MS)?;
    let priority = read_number(&parts.headers, &PRIORITY)?;
    let due = read_number(&parts.headers, &DUE_MS)?;
    // Nodes of an earlier version don't send it.
    let objective = read_number(&parts.headers, &OBJECTIVE_MS).unwrap_or(0);
    let transfer = read_number(&parts.headers, &TRANSFER_MS);
    let content = parts.headers.get(FINGERPRINT)?.to_str().ok()?;
    let content = content.parse::<Fingerprint>().ok()?;
    let request = identify(content, &parts.headers);
    let tenant = read_tenant_scheduling(&parts.headers);
    let reported_limit = read_reported_limit(&parts.headers);
    let mut headers = parts.headers;
    remove_hop_headers(&mut headers);
    headers.remove(EXPECT);
    let key = if keyed(&service) {
        key_of(&headers)
    } else {
        None
    };
    Some(HopRequest {
        method: parts.method,
        path: parts.uri.path_and_query()?.clone(),
        headers,
        body,
        service,
        deadline: Deadline::at(now + Duration::from_millis(left)),
        wait_until: now + Duration::from_millis(patience),
        transfer: transfer.map(|left| now + Duration::from_millis(left)),
        scheduling: Scheduling {
            tenant,
            priority: u8::try_from(priority).unwrap_or(u8::MAX),
            due: now + Duration::from_millis(due),
            deadline: now + Duration::from_millis(left),
            objective: Duration::from_millis(objective),
        },
        key,
        request,
        reported_limit,
    })
}

/// Identifies a request by its content and by its tenant and caller in the headers that a router forwards.
pub fn identify(content: Fingerprint, headers: &HeaderMap) -> CallerRequest {
    let value = |name| headers.get(name).map(HeaderValue::as_bytes);
    CallerRequest {
        fingerprint: content.of_tenant(value(headers::TENANT)),
        content,
        caller: value(headers::CALLER_SERVICE).map_or(Caller::UNKNOWN, Caller::of),
    }
}

/// The target's rate limit as reported to another node's router, in requests per second; `None` if the header is
/// missing or malformed.
fn read_reported_limit(headers: &HeaderMap) -> Option<f64> {
    let limit = headers.get(REPORTED_LIMIT)?.to_str().ok()?;
    let limit = limit.parse::<f64>().ok()?;
    (limit.is_finite() && limit >= 0.0).then_some(limit)
}

/// The scheduling parameters of the request's tenant, if it has one.
fn read_tenant_scheduling(headers: &HeaderMap) -> Option<TenantScheduling> {
    let name = headers.get(headers::TENANT)?.to_str().ok()?;
    let priority = read_number(headers, &TENANT_PRIORITY)?;
    Some(TenantScheduling::new(
        name,
        u8::try_from(priority).unwrap_or(u8::MAX),
    ))
}

/// Encodes an agent's answer for the router of another node.
pub fn encode_answer(answer: HopAnswer, occupancy: Occupancy) -> Response<Body> {
    let (outcome, mut response) = match answer {
        HopAnswer::Answered(response) => ("answered", response),
        HopAnswer::Refused(refusal) => (
            refusal.name(),
            empty_response(StatusCode::SERVICE_UNAVAILABLE),
        ),
        HopAnswer::MayHaveRun(_) => ("may_have_run", empty_response(StatusCode::BAD_GATEWAY)),
        HopAnswer::TargetEnded => (TARGET_ENDED, empty_response(StatusCode::BAD_GATEWAY)),
    };
    let headers = response.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(outcome));
    if let Ok(load) = HeaderValue::from_str(&occupancy.figures()) {
        headers.insert(LOAD, load);
    }
    response
}

/// An answer without a body.
fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Sends a request to the node at `address` and reads its answer; small bodies are buffered completely. Adds the bytes
/// of both to `bytes`. The occupancy is `None` if the answer has none, or if there is no answer.
pub async fn send(
    node: &Node,
    address: SocketAddr,
    request: HopRequest,
    bytes: &Counter,
) -> (HopAnswer, Option<Occupancy>) {
    let connections = node.peer(address);
    let deadline = request.deadline.timer();
    let mut request = encode(request);
    let is_compact = connections.accepts_compact_headers();
    if is_compact {
        compact_headers::compact(request.headers_mut());
    }
    let request = send_body_on_continue(request);
    bytes.inc_by(length_of(request.headers(), request.body()) as u64);
    let sent = timeout_at(deadline, connections.send(request)).await;
    let mut response = match sent {
        Err(_) => return (HopAnswer::MayHaveRun("no answer in time".to_owned()), None),
        Ok(Err(SendError::NotSent(_))) => return (HopAnswer::Refused(Refusal::Unreachable), None),
        Ok(Err(SendError::MayHaveRun(detail))) => return (HopAnswer::MayHaveRun(detail), None),
        Ok(Ok(response)) => response,
    };
    bytes.inc_by(length_of(response.headers(), response.body()) as u64);
    compact_headers::expand(response.headers_mut());
    let occupancy = read_occupancy(response.headers());
    // A version that reports how long it held a request also reads compact headers.
    connections.set_accepts_compact_headers(occupancy.is_some_and(|told| told.held_ms.is_some()));
    let outcome = response
        .headers()
        .get(OUTCOME)
        .and_then(|value| value.to_str().ok());
    let answer = match outcome {
        Some(TARGET_ENDED) => HopAnswer::TargetEnded,
        Some("answered") => return (receive(node, response, deadline).await, occupancy),
        Some(name) => match Refusal::ALL
            .into_iter()
            .find(|refusal| refusal.name() == name)
        {
            Some(refusal) => HopAnswer::Refused(refusal),
            None => HopAnswer::MayHaveRun("the node lost the answer".to_owned()),
        },
        // The node was replaced by one of an older version, which doesn't recognize compact headers as a request for
        // its target.
        None if is_compact && response.status() == StatusCode::NOT_FOUND => {
            HopAnswer::Refused(Refusal::Unreachable)
        }
        None => HopAnswer::MayHaveRun("the answer isn't of an agent".to_owned()),
    };
    // The small rest of the answer is read, so that its connection can be reused.
    let rest = Limited::new(response.into_body(), MAX_REST);
    let _rest = timeout_at(deadline, rest.collect()).await;
    (answer, occupancy)
}

/// Bytes of the headers and, if its length is known, of the body.
pub(crate) fn length_of(headers: &HeaderMap, body: &impl http_body::Body) -> usize {
    // Colon, space, CR and LF.
    const SEPARATORS: usize = 4;
    let lines = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + SEPARATORS);
    let body = body.size_hint().exact().unwrap_or_default();
    lines.sum::<usize>() + usize::try_from(body).unwrap_or(usize::MAX / 2)
}

/// Reads an answer of the target that another node forwards.
async fn receive(
    node: &Node,
    response: Response<crate::connections::PooledBody>,
    deadline: Instant,
) -> HopAnswer {
    let (mut parts, body) = response.into_parts();
    remove_hop_headers(&mut parts.headers);
    let keep = node.buffer_budget.allowance(MAX_BUFFERED_ANSWER);
    match buffer_or_stream(body, keep, &node.buffer_budget, deadline).await {
        Ok(body) => HopAnswer::Answered(Response::from_parts(parts, body)),
        Err(error) => HopAnswer::MayHaveRun(error.to_string()),
    }
}

/// The key in the headers of a request; `None` if it is missing or malformed.
pub fn key_of(headers: &HeaderMap) -> Option<u16> {
    headers
        .get(headers::KEY)?
        .to_str()
        .ok()?
        .trim()
        .parse()
        .ok()
}

fn read_occupancy(headers: &HeaderMap) -> Option<Occupancy> {
    Occupancy::read(headers.get(LOAD)?.to_str().ok()?)
}

fn read_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn insert_number(headers: &mut HeaderMap, name: HeaderName, value: u64) {
    headers.insert(name, HeaderValue::from(value));
}
