//! The operators' endpoint: metrics, quarantined requests and the usage of tenants' quotas.

use std::rc::Rc;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use wingspar_quarantine::Fingerprint;

use crate::body::Body;
use crate::local_response::plain;
use crate::node::Node;
use crate::quarantine;
use crate::quota;

const QUARANTINE_PATH: &str = "/quarantine";
const QUOTAS_PATH: &str = "/quotas";

/// Answers a request of an operator or a metrics collector. Any path outside the quarantine and the
/// quotas returns the metrics.
pub async fn answer(node: Rc<Node>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path();
    if path == QUOTAS_PATH {
        return quotas(&node);
    }
    let Some(rest) = path.strip_prefix(QUARANTINE_PATH) else {
        let text = node.metrics.encode();
        return plain(StatusCode::OK, "text/plain; version=0.0.4", text);
    };
    match (request.method(), rest) {
        (&Method::GET, "") => list_quarantined(&node),
        (&Method::DELETE, name) => released(&node, name.trim_start_matches('/')),
        _ => plain(
            StatusCode::METHOD_NOT_ALLOWED,
            "text/plain",
            "GET /quarantine or DELETE /quarantine/FINGERPRINT",
        ),
    }
}

/// Lists the quarantined requests, one per line: fingerprint, number of target crashes that it
/// rests on, milliseconds until it expires.
fn list_quarantined(node: &Node) -> Response<Body> {
    let refused = node.quarantine.borrow().refused(node.clock.uptime());
    let lines = refused.iter().map(|verdict| {
        let (ends, left) = (verdict.ends, verdict.left_ms);
        format!("{} ends={ends} left_ms={left}\n", verdict.fingerprint)
    });
    plain(StatusCode::OK, "text/plain", lines.collect::<String>())
}

/// Lists the tenants whose quotas this node holds and that have used any of it recently, one per
/// line: requests per second, tokens left, version of the configuration that set the quota.
fn quotas(node: &Node) -> Response<Body> {
    let lines = quota::usage(node).into_iter().map(|usage| {
        let (tenant, rate, tokens) = (usage.tenant, usage.rate_per_s, usage.tokens);
        let version = usage.version;
        format!("{tenant} rate_per_s={rate} tokens={tokens:.1} configuration={version}\n")
    });
    plain(StatusCode::OK, "text/plain", lines.collect::<String>())
}

fn released(node: &Node, name: &str) -> Response<Body> {
    let Ok(fingerprint) = name.parse::<Fingerprint>() else {
        return plain(
            StatusCode::BAD_REQUEST,
            "text/plain",
            "a fingerprint has 16 hexadecimal digits",
        );
    };
    if !quarantine::is_refused(node, fingerprint) {
        return plain(StatusCode::NOT_FOUND, "text/plain", "it isn't refused");
    }
    quarantine::release(node, fingerprint);
    plain(StatusCode::OK, "text/plain", "released")
}
