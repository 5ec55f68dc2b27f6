//! Handles heartbeats of the local target.

use std::rc::Rc;

use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use wingspar_platform::{Heartbeat, acknowledgement, life_name, parse_heartbeat, paths};

use crate::body::Body;
use crate::key_exchange;
use crate::local_response::plain;
use crate::logs::Event;
use crate::node::Node;
use crate::target::TargetChange;
use crate::target_calls::{apply_target_change, check_heartbeats_life};

/// Maximum length of a heartbeat, in bytes.
const MAX_HEARTBEAT_BYTES: usize = 64 * 1024;

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
            match parse_heartbeat(&body.to_bytes()) {
                Ok(heartbeat) => handle_heartbeat(&node, id, &heartbeat).await,
                Err(error) => plain(StatusCode::BAD_REQUEST, "text/plain", error.to_string()),
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

async fn handle_heartbeat(node: &Rc<Node>, id: &str, heartbeat: &Heartbeat) -> Response<Body> {
    if !is_known_service(node, &heartbeat.service) {
        node.log.write(Event::TargetUnreadable {
            what: "heartbeat",
            problem: format!("unknown service {:?}", heartbeat.service),
        });
        return plain(StatusCode::BAD_REQUEST, "text/plain", "no such service");
    }
    let life = life_name(id, heartbeat.born);
    let apply = || {
        let mut target = node.target.borrow_mut();
        let is_stale = target.is_stale(&life, heartbeat.sequence);
        (is_stale, target.heartbeat(node.now(), &life, heartbeat))
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
