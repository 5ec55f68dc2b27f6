//! Handles heartbeats of the local target.

use std::net::SocketAddr;
use std::rc::Rc;

use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use wingspar_platform::{
    FormatError, Heartbeat, acknowledgement, life_name, parse_heartbeat, paths,
};

use crate::body::Body;
use crate::key_exchange;
use crate::local_response::plain;
use crate::logs::Event;
use crate::node::Node;
use crate::target::TargetChange;
use crate::target_calls::{apply_target_change, check_heartbeats_life};

/// Maximum length of a heartbeat, in bytes.
const MAX_HEARTBEAT_BYTES: usize = 64 * 1024;
/// Maximum length of the description of a rejected heartbeat, in characters.
const MAX_PROBLEM_CHARS: usize = 200;

/// Handles a heartbeat (`PUT`) or a deregistration (`DELETE`).
pub async fn answer(node: Rc<Node>, request: Request<Incoming>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let Some(id) = paths::target_id(parts.uri.path()) else {
        return plain(StatusCode::NOT_FOUND, "text/plain", "no such path");
    };
    match parts.method {
        Method::PUT => {
            let Ok(body) = Limited::new(body, MAX_HEARTBEAT_BYTES).collect().await else {
                return plain(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    "text/plain",
                    "too large, or cut",
                );
            };
            let heartbeat = parse_heartbeat(&body.to_bytes()).map_err(HeartbeatError::from);
            match heartbeat.and_then(|heartbeat| check_sender(&node, heartbeat)) {
                Ok(heartbeat) => handle_heartbeat(&node, id, &heartbeat).await,
                Err(error) => reject(&node, id, &error),
            }
        }
        Method::DELETE => {
            let target_change = node.target.borrow_mut().leave(node.now(), id);
            apply_target_change(&node, target_change, "deregistration");
            plain(StatusCode::OK, "application/json", acknowledgement(None))
        }
        _ => plain(
            StatusCode::METHOD_NOT_ALLOWED,
            "text/plain",
            "PUT or DELETE",
        ),
    }
}

/// Why a heartbeat can't be the target's own.
#[derive(Debug, thiserror::Error)]
enum HeartbeatError {
    /// A field is missing, of another type or out of range.
    #[error(transparent)]
    Unreadable(#[from] FormatError),
    /// It names another address than that of the target.
    #[error("address: {0} isn't the address of this machine's target")]
    OtherAddress(SocketAddr),
    /// It names a service that neither the settings nor the configuration have.
    #[error("info.service: {0:?} is not a known service")]
    UnknownService(String),
}

impl HeartbeatError {
    /// Stable name for metrics.
    fn name(&self) -> &'static str {
        match self {
            Self::Unreadable(_) => "unreadable",
            Self::OtherAddress(_) => "other_address",
            Self::UnknownService(_) => "unknown_service",
        }
    }
}

/// Rejects a heartbeat that another sender has written; it changes nothing.
fn reject(node: &Node, id: &str, error: &HeartbeatError) -> Response<Body> {
    let metrics = &node.metrics;
    metrics.count(&metrics.rejected_heartbeats, error.name());
    let problem = bounded(format!("{id}: {error}"));
    node.log.write_request(Event::TargetUnreadable {
        what: "heartbeat",
        problem: problem.clone(),
    });
    plain(StatusCode::BAD_REQUEST, "text/plain", problem)
}

/// Shortens a text that quotes what another sender wrote.
fn bounded(mut text: String) -> String {
    if let Some((end, _)) = text.char_indices().nth(MAX_PROBLEM_CHARS) {
        text.truncate(end);
    }
    text
}

fn check_sender(node: &Node, heartbeat: Heartbeat) -> Result<Heartbeat, HeartbeatError> {
    if heartbeat.address != node.settings.node.target {
        return Err(HeartbeatError::OtherAddress(heartbeat.address));
    }
    if !is_known_service(node, &heartbeat.service) {
        return Err(HeartbeatError::UnknownService(heartbeat.service));
    }
    Ok(heartbeat)
}

async fn handle_heartbeat(node: &Rc<Node>, id: &str, heartbeat: &Heartbeat) -> Response<Body> {
    let life = life_name(id, heartbeat.born);
    let apply = || {
        let mut target = node.target.borrow_mut();
        let (now, before) = (node.now(), target.sequence());
        let is_stale = target.is_stale(now, &life, heartbeat.sequence);
        let target_change = target.heartbeat(now, &life, heartbeat);
        let is_same_life = target_change != TargetChange::NewLife;
        if is_same_life && target.sequence() < before {
            node.log.write(Event::SequenceReset {
                target: &life,
                before,
                sequence: target.sequence(),
            });
        }
        (is_stale, target_change)
    };
    let (mut is_stale, mut target_change) = apply();
    if target_change == TargetChange::Unconfirmed {
        check_heartbeats_life(node, &life, &heartbeat.service).await;
        (is_stale, target_change) = apply();
    }
    if target_change == TargetChange::Unconfirmed {
        // Without an acknowledgement, a target that is there sends another heartbeat.
        return plain(
            StatusCode::SERVICE_UNAVAILABLE,
            "text/plain",
            "another target is known at this address, and the health check gave no answer",
        );
    }
    apply_target_change(node, target_change, "heartbeat");
    let grants = if is_stale {
        None
    } else {
        key_exchange::answer(node, &life, heartbeat).await
    };
    plain(
        StatusCode::OK,
        "application/json",
        acknowledgement(grants.as_ref()),
    )
}

/// Whether a target may belong to this service: the one in the machine's settings, or one that the configuration
/// names. Heartbeats from other senders must not replace the target's own.
fn is_known_service(node: &Node, service: &str) -> bool {
    let routes = node.routes.borrow();
    service == node.settings.node.service
        || routes
            .as_ref()
            .is_none_or(|routes| routes.configuration().service(service).is_some())
}
