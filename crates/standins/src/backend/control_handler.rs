//! The agent's control requests, probes, and the stand-in's own admin requests.

use std::sync::Arc;

use salvo::http::StatusCode;
use salvo::http::header::{CONTENT_TYPE, HeaderValue};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};
use serde::{Deserialize, Serialize};
use wingspar_world::{Fence, KeyHash, SliceRange};

use crate::net::{query_value, read_json, render_error, render_json};

use super::settings::{Behaviour, HealthReport};
use super::state::Backend;
use super::work_handler::WorkHandler;

/// Longest body of a control request, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// A grant offered ahead of its first request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FenceOffer {
    /// Name of the service.
    pub service: String,
    /// First hash of the range, 16 hexadecimal digits.
    pub first: String,
    /// Last hash of the range, 16 hexadecimal digits.
    pub last: String,
    /// Fence token, `generation.sequence`.
    pub fence: String,
    /// How long the grant holds, in milliseconds.
    pub ttl_ms: u64,
}

/// The answer to a [`FenceOffer`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceOfferAnswer {
    /// Whether no higher fence was seen in the range.
    pub accepted: bool,
    /// The highest fence seen in the range, the offered one included if accepted.
    pub highest_fence: String,
}

/// Body of a drain request.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DrainRequest {
    /// `false` takes new work again.
    pub draining: bool,
}

impl Default for DrainRequest {
    fn default() -> Self {
        Self { draining: true }
    }
}

#[derive(Serialize)]
struct HealthBody {
    status: &'static str,
    draining: bool,
    cold: bool,
}

#[derive(Debug, Clone, Copy)]
enum Command {
    OfferFence,
    Drain,
    Health,
    Load,
    SetBehaviour,
    GetBehaviour,
    Journal,
    Refusals,
}

struct ControlHandler {
    command: Command,
    backend: Arc<Backend>,
}

/// Everything that the agent and probes may ask, and work on all other paths.
pub(super) fn router(backend: &Arc<Backend>) -> Router {
    let handler = |command| ControlHandler {
        command,
        backend: Arc::clone(backend),
    };
    Router::new()
        .push(Router::with_path("wingspar/v1/fence").post(handler(Command::OfferFence)))
        .push(Router::with_path("wingspar/v1/drain").post(handler(Command::Drain)))
        .push(Router::with_path("health").get(handler(Command::Health)))
        .push(Router::with_path("load").get(handler(Command::Load)))
        .push(admin_router(backend))
        .push(Router::with_path("{**path}").goal(WorkHandler {
            backend: Arc::clone(backend),
        }))
}

/// Steering of the stand-in. Not part of the contract with the agent.
pub(super) fn admin_router(backend: &Arc<Backend>) -> Router {
    let handler = |command| ControlHandler {
        command,
        backend: Arc::clone(backend),
    };
    Router::with_path("admin")
        .push(
            Router::with_path("behaviour")
                .get(handler(Command::GetBehaviour))
                .post(handler(Command::SetBehaviour)),
        )
        .push(Router::with_path("journal").get(handler(Command::Journal)))
        .push(Router::with_path("refusals").get(handler(Command::Refusals)))
}

#[async_trait]
impl Handler for ControlHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let backend = &self.backend;
        let result = match self.command {
            Command::OfferFence => offer_fence(backend, request, response).await,
            Command::Drain => drain(backend, request, response).await,
            Command::SetBehaviour => set_behaviour(backend, request, response).await,
            Command::Journal => journal(backend, request, response),
            Command::Health => {
                tokio::time::sleep(backend.settings.probe_time).await;
                health(backend, response);
                Ok(())
            }
            Command::Load => {
                tokio::time::sleep(backend.settings.probe_time).await;
                render_json(response, StatusCode::OK, &backend.reported_load());
                Ok(())
            }
            Command::GetBehaviour => {
                render_json(response, StatusCode::OK, &backend.behaviour());
                Ok(())
            }
            Command::Refusals => {
                render_json(response, StatusCode::OK, &backend.refusals());
                Ok(())
            }
        };
        if let Err((status, error)) = result {
            render_error(response, status, error);
        }
    }
}

type ControlResult = Result<(), (StatusCode, String)>;

async fn offer_fence(
    backend: &Backend,
    request: &mut Request,
    response: &mut Response,
) -> ControlResult {
    let offer: FenceOffer = read_json(request, MAX_BODY_BYTES).await?;
    let unreadable = |field: &str| (StatusCode::BAD_REQUEST, format!("{field} is unreadable"));
    let first = KeyHash::parse(&offer.first).ok_or_else(|| unreadable("first"))?;
    let last = KeyHash::parse(&offer.last).ok_or_else(|| unreadable("last"))?;
    let range = SliceRange::new(first, last).ok_or_else(|| unreadable("range first-last"))?;
    let fence = Fence::parse(&offer.fence).ok_or_else(|| unreadable("fence"))?;
    let (accepted, highest) = backend.offer_fence(&offer.service, range, fence);
    let answer = FenceOfferAnswer {
        accepted,
        highest_fence: highest.to_string(),
    };
    render_json(response, StatusCode::OK, &answer);
    Ok(())
}

async fn drain(
    backend: &Arc<Backend>,
    request: &mut Request,
    response: &mut Response,
) -> ControlResult {
    let empty = request
        .payload_with_max_size(MAX_BODY_BYTES)
        .await
        .map_err(|error| (StatusCode::PAYLOAD_TOO_LARGE, error.to_string()))?
        .is_empty();
    let wanted: DrainRequest = if empty {
        DrainRequest::default()
    } else {
        read_json(request, MAX_BODY_BYTES).await?
    };
    render_json(response, StatusCode::OK, &backend.drain(wanted.draining));
    Ok(())
}

async fn set_behaviour(
    backend: &Arc<Backend>,
    request: &mut Request,
    response: &mut Response,
) -> ControlResult {
    let behaviour: Behaviour = read_json(request, MAX_BODY_BYTES).await?;
    backend.set_behaviour(behaviour);
    render_json(response, StatusCode::OK, &behaviour);
    Ok(())
}

/// Entries as JSON lines, from the sequence number `from` on.
fn journal(backend: &Backend, request: &Request, response: &mut Response) -> ControlResult {
    let from = query_value(request, "from").map_err(|error| (StatusCode::BAD_REQUEST, error))?;
    let entries = backend.journal().entries_from(from.unwrap_or(0));
    let mut lines = String::new();
    for entry in entries {
        lines.push_str(&serde_json::to_string(&entry).expect("entries have a JSON form"));
        lines.push('\n');
    }
    let json_lines = HeaderValue::from_static("application/x-ndjson");
    response.headers_mut().insert(CONTENT_TYPE, json_lines);
    response.body(lines);
    Ok(())
}

fn health(backend: &Backend, response: &mut Response) {
    let load = backend.reported_load();
    let healthy = match backend.behaviour().health {
        HealthReport::Truth => !load.draining && !load.cold,
        HealthReport::AlwaysOk => true,
        HealthReport::AlwaysFailing => false,
    };
    let (status, word) = if healthy {
        (StatusCode::OK, "ok")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "failing")
    };
    let body = HealthBody {
        status: word,
        draining: load.draining,
        cold: load.cold,
    };
    render_json(response, status, &body);
}
