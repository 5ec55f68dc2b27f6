//! The listener for other nodes: forwarded requests, the routing table, the configuration and load reports.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, timeout};
use wingspar_ownership::{Epoch, LoadReport, TableAnswer};
use wingspar_routes::{Configuration, ConfigurationChanges};

use crate::agent;
use crate::body::Body;
use crate::compact_headers;
use crate::compressed_cbor::{compress, decompress};
use crate::configuration::ConfigurationAnswer;
use crate::configuration_doubts;
use crate::hop;
use crate::local_response::plain;
use crate::logs::Event;
use crate::node::Node;
use crate::occupancy::Occupancy;
use crate::receive::{self, BodyTimeouts, ReceiveError};
use crate::relay;
use crate::store_sync::{self, Freshness};

const CBOR: &str = "application/cbor";
const TABLE_PATH: &str = "/table/";
const CONFIGURATION_PATH: &str = "/configuration";
/// Query parameter of a configuration request: the version that the requesting node has.
const AFTER_PARAMETER: &str = "after=";
/// Suffix of a configuration request's query that has the other node verify that its version is the latest.
const VERIFY_SUFFIX: &str = "&sure";
const LOAD_PATH: &str = "/load";
/// Maximum length of a load report, in bytes. One that names every bucket is shorter.
const MAX_LOAD_REPORT_BYTES: usize = 1024 * 1024;
/// Timeout for the start of a response from another node, and for a pause in its body.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeouts for the body of a response. A complete configuration with thousands of routes has about 60 KB, and one
/// node sends it to two dozen others at once: 1.2 s on an otherwise idle 10 Mbit/s link.
const RECEIVE_TIMEOUTS: BodyTimeouts = BodyTimeouts {
    idle: CALL_TIMEOUT,
    whole: Duration::from_secs(3),
};

/// Why a call to another node failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The path isn't a valid URI: a bug in this node.
    #[error("invalid request path: {0}")]
    Unwritable(#[from] http::uri::InvalidUri),
    /// The connection couldn't be opened or failed.
    #[error("request failed: {0}")]
    NoAnswer(String),
    /// The response didn't start within [`CALL_TIMEOUT`].
    #[error("no answer in time")]
    Late,
    /// The response started, but its body didn't arrive completely.
    #[error(transparent)]
    NotReceived(#[from] ReceiveError),
    /// The other node answered with an error status.
    #[error("the node responded with status {0}")]
    Refused(StatusCode),
    /// The response can't be decoded: the other node runs another version, or has a bug.
    #[error("the response can't be decoded")]
    Unreadable,
}

/// Handles a request of another node.
pub async fn answer(node: Rc<Node>, request: Request<Incoming>) -> Response<Body> {
    if hop::is_hop(request.headers()) {
        return answer_hop(&node, request).await;
    }
    match (request.method(), request.uri().path()) {
        (&Method::GET, path) if path.starts_with(TABLE_PATH) => answer_table(&node, path).await,
        (&Method::GET, CONFIGURATION_PATH) => {
            answer_configuration(&node, request.uri().query()).await
        }
        (&Method::POST, LOAD_PATH) => {
            let body = Limited::new(request.into_body(), MAX_LOAD_REPORT_BYTES);
            let Ok(body) = body.collect().await else {
                return plain(StatusCode::BAD_REQUEST, "text/plain", "cut, or too long");
            };
            let Ok(report) = ciborium::from_reader::<LoadReport, _>(body.to_bytes().as_ref())
            else {
                return plain(StatusCode::BAD_REQUEST, "text/plain", "not a load report");
            };
            node.participant.borrow_mut().load(&report);
            plain(StatusCode::OK, CBOR, Bytes::new())
        }
        _ => plain(StatusCode::NOT_FOUND, "text/plain", "no such path"),
    }
}

/// Responds with the configuration, or its changes since the version in the query.
async fn answer_configuration(node: &Rc<Node>, query: Option<&str>) -> Response<Body> {
    let query = query.unwrap_or_default();
    let after = query.strip_suffix(VERIFY_SUFFIX);
    let version = after
        .unwrap_or(query)
        .strip_prefix(AFTER_PARAMETER)
        .and_then(|version| version.parse().ok())
        .unwrap_or(0);
    let mut freshness = Freshness::Unknown;
    if after.is_some() && version >= node.configuration_version() {
        freshness = store_sync::ensure_fresh(node).await;
    } else if node.participant.borrow().leader_state().is_some() {
        // A node that requests a version later than the leader's needs a verified response.
        configuration_doubts::wait_for_later(node, version).await;
    }
    let Some(table) = node.routes.borrow().clone() else {
        return plain(StatusCode::NOT_FOUND, "text/plain", "none is known");
    };
    let answer = node
        .configuration_answers
        .borrow_mut()
        .since(version, table.configuration());
    match answer {
        ConfigurationAnswer::Whole(bytes) => plain(StatusCode::OK, CBOR, bytes),
        ConfigurationAnswer::Changes(bytes) => plain(StatusCode::PARTIAL_CONTENT, CBOR, bytes),
        ConfigurationAnswer::NoneLater
            if freshness == Freshness::Fresh || configuration_doubts::is_fresh(node) =>
        {
            plain(StatusCode::NO_CONTENT, CBOR, Bytes::new())
        }
        ConfigurationAnswer::NoneLater if freshness == Freshness::Pending => {
            plain(StatusCode::ACCEPTED, CBOR, Bytes::new())
        }
        ConfigurationAnswer::NoneLater => plain(StatusCode::NOT_FOUND, "text/plain", "not sure"),
    }
}

/// Responds with the table, or its changes since the version in the path. The leader responds with what it has;
/// another node, as a relay, waits until it has a later version.
async fn answer_table(node: &Node, path: &str) -> Response<Body> {
    let leads = node.participant.borrow().leader_state().is_some();
    if !leads
        && let Some((epoch, version)) = requested_version(path)
        && !relay::wait_for_newer_table(node, epoch, version).await
    {
        return plain(StatusCode::NOT_FOUND, "text/plain", "nothing later yet");
    }
    plain(StatusCode::OK, CBOR, table_bytes(node, path))
}

/// The encoded response for a table request. It is encoded once for all requests with the same path.
fn table_bytes(node: &Node, path: &str) -> Bytes {
    let participant = node.participant.borrow();
    let table = participant
        .leader_state()
        .map_or(participant.table(), |leader| leader.table());
    let newest = (table.epoch.0, table.version);
    let mut written = node.table_answers.borrow_mut();
    if written.newest != newest {
        written.newest = newest;
        written.answers.clear();
        // The leader's response to this node also serves nodes that have the same version.
        let received = written.received.take();
        written.answers.extend(received);
    }
    if let Some(bytes) = written.answers.get(path) {
        return bytes.clone();
    }
    let (epoch, version) = requested_version(path).unwrap_or((Epoch::default(), 0));
    let bytes = compress(&participant.table_since(epoch, version));
    written.answers.insert(path.to_owned(), bytes.clone());
    bytes
}

/// The epoch and version in the path of a table request.
fn requested_version(path: &str) -> Option<(Epoch, u64)> {
    let (epoch, version) = path.strip_prefix(TABLE_PATH)?.split_once('/')?;
    Some((Epoch(epoch.parse().ok()?), version.parse().ok()?))
}

async fn answer_hop(node: &Rc<Node>, request: Request<Incoming>) -> Response<Body> {
    let arrived = Instant::now();
    let (mut parts, incoming) = request.into_parts();
    let is_compact = compact_headers::expand(&mut parts.headers);
    let body = node.inbound.limit(Body::Received(incoming));
    let Some(request) = hop::decode(parts, body, |service| node.is_keyed(service)) else {
        return plain(StatusCode::BAD_REQUEST, "text/plain", "not a whole request");
    };
    let answer = agent::serve(node, request).await;
    let held = u32::try_from(arrived.elapsed().as_millis()).unwrap_or(u32::MAX);
    let occupancy = Occupancy {
        held_ms: Some(held),
        ..agent::occupancy(node)
    };
    let mut answer = hop::encode_answer(answer, occupancy);
    if is_compact {
        compact_headers::compact(answer.headers_mut());
    }
    answer.map(|body| node.link.pace(body))
}

/// Encodes a value as CBOR; empty if that fails.
pub fn encode(value: &impl Serialize) -> Bytes {
    let mut bytes = Vec::new();
    match ciborium::into_writer(value, &mut bytes) {
        Ok(()) => Bytes::from(bytes),
        Err(_) => Bytes::new(),
    }
}

/// Fetches the leader's table, or its changes since this node's version, through a relay if there is one.
pub async fn fetch_table(node: &Node, leader: SocketAddr) -> Option<TableAnswer> {
    let (path, relay) = {
        let participant = node.participant.borrow();
        let table = participant.table();
        let path = format!("{TABLE_PATH}{}/{}", table.epoch.0, table.version);
        let topology = node.selection.topology();
        (path, relay::source(table, topology, &node.name, leader))
    };
    let Some(relay) = relay.filter(|_| node.relays.borrow().are_usable(node.now())) else {
        return fetch_from_leader(node, leader, &path).await;
    };
    let from_relay = fetch(node, relay, "relayed_table", &path);
    let from_leader = fetch_from_leader(node, leader, &path);
    let (answer, relay_succeeded) = relay::fetch_with_fallback(from_relay, from_leader).await;
    node.relays
        .borrow_mut()
        .answered(node.now(), relay_succeeded);
    if !relay_succeeded {
        node.log.write(Event::Lost {
            dependency: "relay",
            detail: relay.to_string(),
        });
    }
    answer
}

/// Fetches the table from the leader and keeps the response for the nodes that use this one as a relay.
async fn fetch_from_leader(node: &Node, leader: SocketAddr, path: &str) -> Option<TableAnswer> {
    let (_status, answer) = get(node, leader, "table", path).await.ok()?;
    let table = decompress(answer.as_ref());
    node.table_answers.borrow_mut().received = Some((path.to_owned(), answer));
    table
}

/// What another node responded to a configuration request.
pub enum Fetched {
    /// The complete configuration.
    Whole(Box<Configuration>),
    /// The changes since this node's version.
    Changes(Vec<ConfigurationChanges>),
    /// The other node has verified that there is no later version than this node's.
    NoneLater,
    /// The other node is still verifying that it has the latest version.
    NotYet,
}

/// Fetches another node's configuration, or its changes since this node's version. `verify` has that node verify
/// whether there is a version later than both nodes have.
pub async fn fetch_configuration(
    node: &Node,
    from: SocketAddr,
    verify: bool,
) -> Result<Fetched, CallError> {
    let version = node.configuration_version();
    let suffix = if verify { VERIFY_SUFFIX } else { "" };
    let path = format!("{CONFIGURATION_PATH}?{AFTER_PARAMETER}{version}{suffix}");
    let (status, body) = get(node, from, "configuration", &path).await?;
    let fetched = match status {
        StatusCode::NO_CONTENT => Some(Fetched::NoneLater),
        StatusCode::ACCEPTED => Some(Fetched::NotYet),
        StatusCode::PARTIAL_CONTENT => decompress(&body).map(Fetched::Changes),
        _ => decompress(&body).map(|whole| Fetched::Whole(Box::new(whole))),
    };
    fetched.ok_or(CallError::Unreadable)
}

async fn fetch<Value: DeserializeOwned>(
    node: &Node,
    from: SocketAddr,
    kind: &'static str,
    path: &str,
) -> Option<Value> {
    let (_status, bytes) = get(node, from, kind, path).await.ok()?;
    decompress(&bytes)
}

async fn get(
    node: &Node,
    from: SocketAddr,
    kind: &'static str,
    path: &str,
) -> Result<(StatusCode, Bytes), CallError> {
    let mut request = Request::new(Body::empty());
    *request.uri_mut() = path.parse()?;
    call(node, from, kind, request).await
}

/// Sends the leader a load report on this node's target.
pub async fn send_load(node: &Node, to: SocketAddr, report: &LoadReport) {
    let mut request = Request::new(Body::whole(encode(report)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static(LOAD_PATH);
    let _answer = call(node, to, "load", request).await;
}

/// Makes a call to another node; returns the status and body of a successful response.
async fn call(
    node: &Node,
    to: SocketAddr,
    kind: &'static str,
    request: Request<Body>,
) -> Result<(StatusCode, Bytes), CallError> {
    let request_bytes = hop::length_of(request.headers(), request.body());
    node.metrics.count_control(kind, request_bytes);
    let sent = timeout(CALL_TIMEOUT, node.peer(to).send(request)).await;
    let response = sent
        .map_err(|_| CallError::Late)?
        .map_err(|error| CallError::NoAnswer(error.to_string()))?;
    let status = response.status();
    let answered = hop::length_of(response.headers(), response.body());
    node.metrics.count_control(kind, answered);
    if !status.is_success() {
        return Err(CallError::Refused(status));
    }
    let body = receive::whole(response.into_body(), RECEIVE_TIMEOUTS, &Cell::new(0)).await?;
    Ok((status, body))
}
