//! The published API over the model.

use std::time::Duration;

use salvo::http::StatusCode;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};
use serde::Serialize;
use serde_json::Value;
use tokio::time::Instant;
use wingspar_store::key::MAX_VALUE_BYTES;
use wingspar_store::object::{Current, Revision, Version};
use wingspar_store::operation::{Operation, Reply};

use crate::net::{connection, query_value, read_json, render_error, render_json};

use super::state::PlatformState;

/// Longest time that a watch may ask to wait.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// Path before an object's key.
const OBJECT_PATH: &str = "/v1/objects/";

#[derive(Serialize)]
struct WrittenBody {
    version: Version,
}

#[derive(Serialize)]
struct ConflictBody {
    current: Option<Current>,
}

#[derive(Serialize)]
struct HistoryLostBody {
    error: &'static str,
    revision: Revision,
}

/// The requests that the API knows.
#[derive(Debug, Clone, Copy)]
enum Endpoint {
    List,
    Get,
    Put,
    Delete,
    Watch,
    Machines,
}

/// How a request ends.
enum End {
    Answer(Reply),
    Error(StatusCode, String),
    Cut,
}

struct ApiHandler {
    endpoint: Endpoint,
    state: PlatformState,
}

pub(super) fn router(state: &PlatformState) -> Router {
    let handler = |endpoint| ApiHandler {
        endpoint,
        state: state.clone(),
    };
    Router::with_path("v1")
        .push(Router::with_path("objects").get(handler(Endpoint::List)))
        .push(
            Router::with_path("objects/{**key}")
                .get(handler(Endpoint::Get))
                .put(handler(Endpoint::Put))
                .delete(handler(Endpoint::Delete)),
        )
        .push(Router::with_path("watch").get(handler(Endpoint::Watch)))
        .push(Router::with_path("machines").get(handler(Endpoint::Machines)))
}

#[async_trait]
impl Handler for ApiHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let end = match self.operation(request).await {
            Ok((operation, wait)) => self.carry_out(operation, wait).await,
            Err((status, error)) => End::Error(status, error),
        };
        match end {
            End::Answer(reply) => render(response, reply),
            End::Error(status, error) => render_error(response, status, error),
            End::Cut => {
                if let Some(connection) = connection(request) {
                    connection.abort();
                }
            }
        }
    }
}

impl ApiHandler {
    async fn operation(
        &self,
        request: &mut Request,
    ) -> Result<(Operation, Duration), (StatusCode, String)> {
        let bad = |error: String| (StatusCode::BAD_REQUEST, error);
        let prefix = query_value::<String>(request, "prefix")
            .map_err(bad)?
            .unwrap_or_default();
        let key = key_in_path(request);
        let operation = match self.endpoint {
            Endpoint::List => Operation::List { prefix },
            Endpoint::Get => Operation::Get { key },
            Endpoint::Put => {
                let expect = required(request, "expect").map_err(bad)?;
                let value: Value = read_json(request, MAX_VALUE_BYTES).await?;
                Operation::Put { key, value, expect }
            }
            Endpoint::Delete => {
                let expect = required(request, "expect").map_err(bad)?;
                Operation::Delete { key, expect }
            }
            Endpoint::Watch => {
                let after = required(request, "after").map_err(bad)?;
                let wait_ms = query_value::<u64>(request, "wait_ms")
                    .map_err(bad)?
                    .unwrap_or(0);
                let wait = Duration::from_millis(wait_ms).min(MAX_WATCH_WAIT);
                return Ok((Operation::Watch { prefix, after }, wait));
            }
            Endpoint::Machines => Operation::Machines,
        };
        Ok((operation, Duration::ZERO))
    }

    async fn carry_out(&self, operation: Operation, wait: Duration) -> End {
        if let Some(end) = self.fail() {
            return end;
        }
        let delay = self.state.faults().delay();
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
            if let Some(end) = self.fail() {
                return end;
            }
        }
        match operation {
            Operation::Put { .. } | Operation::Delete { .. } => self.write(operation),
            Operation::Watch { .. } => self.watch(operation, wait).await,
            Operation::List { .. } | Operation::Get { .. } => {
                self.state.count(|counters| counters.reads += 1);
                End::Answer(self.state.apply(operation))
            }
            Operation::Machines => {
                self.state.count(|counters| counters.machine_lists += 1);
                End::Answer(self.state.apply(operation))
            }
        }
    }

    fn fail(&self) -> Option<End> {
        let faults = self.state.faults();
        if faults.cut || faults.down {
            self.state.count(|counters| counters.failed += 1);
        }
        if faults.cut {
            return Some(End::Cut);
        }
        let down = || End::Error(StatusCode::SERVICE_UNAVAILABLE, "the store is down".into());
        faults.down.then(down)
    }

    fn write(&self, operation: Operation) -> End {
        let count = self.state.count(|counters| counters.writes += 1).writes;
        let faults = self.state.faults();
        if !faults.loses_answer(count) {
            return End::Answer(self.state.apply(operation));
        }
        self.state.count(|counters| counters.answers_lost += 1);
        let late = Duration::from_millis(faults.late_effect_ms);
        if late.is_zero() {
            self.state.apply(operation);
        } else {
            apply_later(self.state.clone(), operation, late);
        }
        End::Cut
    }

    async fn watch(&self, operation: Operation, wait: Duration) -> End {
        self.state.count(|counters| counters.watches += 1);
        let _waiting = WaitingWatch::new(self.state.clone());
        let until = Instant::now() + wait;
        let mut changes = self.state.subscribe();
        loop {
            if let Some(end) = self.fail() {
                return end;
            }
            let reply = self.state.apply(operation.clone());
            let empty = matches!(&reply, Reply::Changes(batch) if batch.events.is_empty());
            if !empty || Instant::now() >= until {
                return End::Answer(reply);
            }
            let _changed_or_over = tokio::time::timeout_at(until, changes.changed()).await;
        }
    }
}

/// Counts a watch as waiting for as long as it lives, also when its caller goes away.
struct WaitingWatch(PlatformState);

impl WaitingWatch {
    fn new(state: PlatformState) -> Self {
        state.count(|counters| counters.watches_waiting += 1);
        Self(state)
    }
}

impl Drop for WaitingWatch {
    fn drop(&mut self) {
        self.0.count(|counters| counters.watches_waiting -= 1);
    }
}

/// The key as it stands in the path. The router's own parameter would leave out empty parts, and so
/// take one key for another.
fn key_in_path(request: &Request) -> String {
    request
        .uri()
        .path()
        .strip_prefix(OBJECT_PATH)
        .unwrap_or_default()
        .to_owned()
}

fn apply_later(state: PlatformState, operation: Operation, after: Duration) {
    tokio::spawn(async move {
        tokio::time::sleep(after).await;
        state.apply(operation);
    });
}

fn required(request: &Request, name: &str) -> Result<u64, String> {
    query_value(request, name)?.ok_or_else(|| format!("query parameter {name} is missing"))
}

fn render(response: &mut Response, reply: Reply) {
    match reply {
        Reply::Listing(listing) => render_json(response, StatusCode::OK, &listing),
        Reply::Object(Some(object)) => render_json(response, StatusCode::OK, &object),
        Reply::Object(None) => render_error(response, StatusCode::NOT_FOUND, "no such object"),
        Reply::Written { version } => {
            render_json(response, StatusCode::OK, &WrittenBody { version });
        }
        Reply::Conflict { current } => {
            render_json(response, StatusCode::CONFLICT, &ConflictBody { current });
        }
        Reply::Changes(batch) => render_json(response, StatusCode::OK, &batch),
        Reply::HistoryLost { revision } => {
            let body = HistoryLostBody {
                error: "history is lost: list again",
                revision,
            };
            render_json(response, StatusCode::GONE, &body);
        }
        Reply::Machines(list) => render_json(response, StatusCode::OK, &list),
        Reply::Invalid(invalid) => render_error(response, StatusCode::BAD_REQUEST, invalid),
    }
}
