//! Routing of requests from clients and from the local target, from arrival to the final answer.
//!
//! A request is matched to its route and read, then sent by [`send`] until it is answered. A request that is given up
//! is answered at once with an error.

mod allowed_regions;
mod outstanding;
mod record;
mod retry_after;
mod send;
mod timing;
mod tried_nodes;

use allowed_regions::AllowedRegions;
use record::Record;
use send::send;
use timing::{Times, times};

use std::future::Future;
use std::rc::Rc;

use http::header::{EXPECT, HOST};
use http::request::Parts;
use http::uri::{Authority, PathAndQuery};
use http::{HeaderMap, HeaderValue, Method, Request, Response, Uri};
use http_body::Body as HttpBody;
use tokio::time::{Instant, timeout_at};
use wingspar_platform::headers;
use wingspar_quarantine::{CallerRequest, Fingerprint, RequestContent};
use wingspar_routes::{Repeatability, Route, RouteTable};

use crate::body::{Body, RequestBody};
use crate::caller_age::requested_timeout;
use crate::configuration_doubts::wait_for_later;
use crate::hop;
use crate::length_limit::LengthLimit;
use crate::local_response::{Reason, own};
use crate::node::Node;
use crate::quota::{self, Permit};
use crate::slots::TenantScheduling;
use crate::stop::StopPhase;
use crate::tenants::{RequestTenant, authenticate, is_unknown_credential};

/// Bodies up to this many bytes are buffered, so that a retry can send them again after a node has read them.
const MAX_BUFFERED_BODY: u64 = 64 * 1024;

/// Routes a request and returns its final answer: the target's, or an error of this node. A request that is still in
/// progress when the process is about to exit is given up.
pub async fn answer(node: Rc<Node>, request: Request<Body>) -> Response<Body> {
    let arrived = Instant::now();
    let mut record = Record::new(&request);
    let response = tokio::select! {
        biased;
        response = route(&node, request, arrived, &mut record) => response,
        () = node.stop_reaches(StopPhase::GivingUp) => {
            node.stop_given_up.set(node.stop_given_up.get() + 1);
            Err(record.reason_at_exit())
        }
    };
    if matches!(response, Err(Reason::Stopping)) {
        node.stop_refusals.set(node.stop_refusals.get() + 1);
    }
    record.finish(&node, arrived, response.as_ref().err().copied());
    response
        .unwrap_or_else(|reason| own(reason, retry_after::record_refusal(&node, reason, &record)))
}

/// Routes a request by the configuration in force.
async fn route(
    node: &Rc<Node>,
    request: Request<Body>,
    arrived: Instant,
    record: &mut Record,
) -> Result<Response<Body>, Reason> {
    let table = table_for(node, &request).await;
    let table = table.ok_or(Reason::NoConfiguration)?;
    record.configuration = table.configuration().version;
    handle_within_body_limit(node, &table, request, arrived, record).await
}

/// Whether a pipelined request may run concurrently with others of its connection: its route is idempotent, which also
/// means that its answer is small enough to be held until the answers before it are sent.
pub fn may_run_concurrently(node: &Node, uri: &Uri, host: Option<&HeaderValue>) -> bool {
    let Some(table) = node.routes.borrow().clone() else {
        return false;
    };
    let host = uri
        .authority()
        .map(Authority::as_str)
        .or_else(|| host.and_then(|host| host.to_str().ok()));
    host.and_then(|host| table.find(host, uri.path()))
        .is_some_and(|route| route.repeatability == Repeatability::Idempotent)
}

/// The route table for a request: the current one, or that of a later configuration if the current one lacks the
/// request's route or credential and a later one comes into force. `None` if no configuration is known.
async fn table_for(node: &Rc<Node>, request: &Request<Body>) -> Option<Rc<RouteTable>> {
    let table = node.routes.borrow().clone()?;
    if lacks_route_or_credential(&table, request)
        && wait_for_later(node, table.configuration().version).await
    {
        return node.routes.borrow().clone();
    }
    Some(table)
}

/// Whether a table lacks the route or the credential of a request, which a later configuration may have.
fn lacks_route_or_credential(table: &RouteTable, request: &Request<Body>) -> bool {
    let (uri, headers) = (request.uri(), request.headers());
    let Some(host) = host_of(uri, headers) else {
        return false;
    };
    match table.find(&host, uri.path()) {
        Some(route) => is_unknown_credential(table, route, headers),
        None => true,
    }
}

/// A request that has been matched to its route, admitted and read.
struct Routed<'a> {
    route: &'a Route,
    service: &'a str,
    key: Option<u16>,
    method: Method,
    path: PathAndQuery,
    headers: HeaderMap,
    body: RequestBody,
    times: Times,
    request: CallerRequest,
    permit: Permit,
    allowed_regions: AllowedRegions<'a>,
    tenant: Option<TenantScheduling>,
}

/// What the configuration determines for a request.
struct Resolved<'a> {
    route: &'a Route,
    tenant: Option<RequestTenant>,
    service: &'a str,
    key: Option<u16>,
}

/// Handles a request; refuses it as soon as a body without an announced length exceeds the configured limit.
async fn handle_within_body_limit(
    node: &Rc<Node>,
    table: &RouteTable,
    request: Request<Body>,
    arrived: Instant,
    record: &mut Record,
) -> Result<Response<Body>, Reason> {
    if request.body().is_end_stream() || announced_length(request.headers()).is_some() {
        return handle(node, table, request, arrived, record).await;
    }
    let limit = LengthLimit::new(table.configuration().limits.body_bytes);
    let request = request.map(|body| limit.apply(body));
    tokio::select! {
        biased;
        answer = handle(node, table, request, arrived, record) => answer,
        () = limit.exceeded() => Err(Reason::TooLarge),
    }
}

/// Handles a request: resolves its route and service, admits it under its tenant's quota, reads its body and sends it.
async fn handle(
    node: &Rc<Node>,
    table: &RouteTable,
    request: Request<Body>,
    arrived: Instant,
    record: &mut Record,
) -> Result<Response<Body>, Reason> {
    let (parts, received) = request.into_parts();
    check_request_id(&parts.headers)?;
    let host = host_of(&parts.uri, &parts.headers).ok_or(Reason::Malformed)?;
    let resolved = resolve(table, &parts, &host, record)?;
    node.retry_budget
        .borrow_mut()
        .request(node.now(), resolved.service);
    let times = request_times(node, resolved.route, &parts.headers, arrived, record);
    if !node.may_send_before_exit(times.deadline) {
        return Err(Reason::Stopping);
    }
    check_length(&parts.headers, table.configuration().limits.body_bytes)?;
    let permit = admit(node, resolved.tenant.as_ref(), record);
    let permit = unless_stopping(node, &times, permit).await?;
    let path = parts
        .uri
        .path_and_query()
        .cloned()
        .ok_or(Reason::Malformed)?;
    let body = unless_stopping(node, &times, read_body(node, received, &times)).await?;
    let content = Fingerprint::of(&RequestContent {
        method: parts.method.as_str(),
        host: &host,
        path: path.as_str(),
        body: body.prefix(),
        body_length: body_length(&body, &parts.headers),
    });
    let tenant = resolved.tenant.as_ref();
    let headers = forwarded_headers(node, parts.headers, &host, tenant);
    let request = hop::identify(content, &headers);
    record.fingerprint = Some(request.fingerprint);
    let mut routed = Routed {
        route: resolved.route,
        service: resolved.service,
        key: resolved.key,
        method: parts.method,
        path,
        headers,
        body,
        times,
        request,
        permit,
        allowed_regions: AllowedRegions::new(resolved.route, tenant),
        tenant: tenant.map(|tenant| TenantScheduling::new(&tenant.name, tenant.priority)),
    };
    send(node, &mut routed, record).await
}

/// Resolves a request's route, tenant, service and key; an error if the configuration doesn't allow the request.
fn resolve<'a>(
    table: &'a RouteTable,
    parts: &Parts,
    host: &str,
    record: &mut Record,
) -> Result<Resolved<'a>, Reason> {
    let unreadable = table.configuration().unreadable;
    let route = table
        .find(host, parts.uri.path())
        .ok_or(if unreadable.unplaced_routes > 0 {
            Reason::Unreadable
        } else {
            Reason::NoRoute
        })?;
    record.route.clone_from(&route.name);
    if route.destinations.is_empty() {
        return Err(Reason::Unreadable);
    }
    let tenant = authenticate(table, route, &parts.headers)?;
    if let Some(tenant) = &tenant {
        record.tenant = tenant.name.to_string();
    }
    let service = table
        .choose_service(route, record.id.as_bytes())
        .ok_or(Reason::NoTarget)?;
    record.service = service.to_owned();
    let service_settings = table.configuration().service(service);
    if service_settings.is_none() && unreadable.services > 0 {
        // It isn't known whether the service is keyed.
        return Err(Reason::Unreadable);
    }
    let keyed = service_settings.is_some_and(|service| service.keyed);
    let key = if keyed {
        hop::key_of(&parts.headers)
    } else {
        None
    };
    record.key = key;
    Ok(Resolved {
        route,
        tenant,
        service,
        key,
    })
}

/// Computes the time limits of a request from the timeout that its caller sent and the time the caller has waited
/// before.
fn request_times(
    node: &Node,
    route: &Route,
    headers: &HeaderMap,
    arrived: Instant,
    record: &mut Record,
) -> Times {
    let caller_timeout = requested_timeout(headers);
    record.caller_waits_until = Some(arrived + caller_timeout);
    let age = node
        .caller_ages
        .borrow_mut()
        .age(&route.name, caller_timeout);
    times(route, caller_timeout, age, arrived)
}

/// Waits for what a request needs before it is sent; refuses it as soon as it may no longer be sent because of a planned
/// stop.
async fn unless_stopping<Output>(
    node: &Node,
    times: &Times,
    wait: impl Future<Output = Result<Output, Reason>>,
) -> Result<Output, Reason> {
    tokio::select! {
        biased;
        outcome = wait => outcome,
        () = node.may_no_longer_send(times.deadline) => Err(Reason::Stopping),
    }
}

/// Takes a token from the tenant's quota, if it has one.
async fn admit(
    node: &Rc<Node>,
    tenant: Option<&RequestTenant>,
    record: &mut Record,
) -> Result<Permit, Reason> {
    quota::admit(node, tenant).await.map_err(|over| {
        record.retry_after = Some(over.retry_after);
        record.detail = over.refused_by.name().to_owned();
        Reason::OverQuota
    })
}

/// Reads the part of a body that is buffered, at most until the request's deadline.
async fn read_body(node: &Node, received: Body, times: &Times) -> Result<RequestBody, Reason> {
    let read = RequestBody::read(received, MAX_BUFFERED_BODY, &node.buffer_budget);
    match timeout_at(times.deadline.timer(), read).await {
        Err(_) => Err(Reason::NotSentInTime),
        Ok(Err(_)) => Err(Reason::BodyCut),
        Ok(Ok(body)) => Ok(body),
    }
}

fn check_request_id(headers: &HeaderMap) -> Result<(), Reason> {
    let mut ids = headers.get_all(headers::REQUEST_ID).iter();
    match (ids.next(), ids.next()) {
        (Some(_), None) => Ok(()),
        _ => Err(Reason::Malformed),
    }
}

fn host_of(uri: &Uri, headers: &HeaderMap) -> Option<String> {
    if let Some(authority) = uri.authority() {
        return Some(authority.as_str().to_owned());
    }
    let mut hosts = headers.get_all(HOST).iter();
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

/// The body length in the Content-Length header.
fn announced_length(headers: &HeaderMap) -> Option<u64> {
    let length = headers.get(http::header::CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}

/// The length of a body, if it is known before all of it has arrived.
fn body_length(body: &RequestBody, headers: &HeaderMap) -> Option<u64> {
    match body {
        RequestBody::Whole { bytes, .. } => u64::try_from(bytes.len()).ok(),
        RequestBody::Stream { .. } => announced_length(headers),
    }
}

/// The headers to forward to the target: without hop-by-hop headers and credentials, with the tenant and the calling
/// service.
fn forwarded_headers(
    node: &Node,
    mut headers: HeaderMap,
    host: &str,
    tenant: Option<&RequestTenant>,
) -> HeaderMap {
    hop::remove_hop_headers(&mut headers);
    headers.remove(EXPECT);
    headers.remove(headers::EXPECT_INSTANCE);
    headers.remove(headers::CREDENTIAL);
    headers.remove(headers::TENANT);
    if let Some(tenant) = tenant
        && let Ok(name) = HeaderValue::from_str(&tenant.name)
    {
        headers.insert(headers::TENANT, name);
    }
    if let Ok(caller) = HeaderValue::from_str(&node.settings.node.service) {
        headers.insert(headers::CALLER_SERVICE, caller);
    }
    if let Ok(host) = HeaderValue::from_str(host) {
        headers.insert(HOST, host);
    }
    headers
}
