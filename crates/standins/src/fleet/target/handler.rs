//! How a target answers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use serde_json::{Value, json};

use super::state::{GRANT_PATH, HEALTH_PATH, RELEASE_PATH, Seen, Shared, TargetFaults, lock};
use crate::fleet::answer;

/// Bytes of the largest body that a target takes.
const LARGEST_BODY: usize = 8 * 1024 * 1024;

/// Answers the requests to one life of a target.
pub(super) struct TargetHandler {
    shared: Arc<Shared>,
    life: u32,
}

impl TargetHandler {
    /// Answers for the life that begins.
    pub(super) fn new(shared: &Arc<Shared>) -> Self {
        Self {
            shared: Arc::clone(shared),
            life: *lock(&shared.past_lives),
        }
    }
}

fn text(request: &Request, name: &str) -> String {
    request.header::<String>(name).unwrap_or_default()
}

/// Whether a call is meant for another life or target.
fn is_misdirected(shared: &Shared, request: &Request) -> bool {
    let expected = text(request, "x-wingspar-expect-instance");
    !expected.is_empty() && expected != shared.id()
}

/// Each value of a header.
fn texts(request: &Request, name: &str) -> Vec<String> {
    let values = request.headers().get_all(name).iter();
    values
        .map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned())
        .collect()
}

/// Whether the target ends under a request.
fn ends_target(faults: &TargetFaults, request: &Request) -> bool {
    let tenant = text(request, "x-wingspar-tenant");
    let service = text(request, "x-wingspar-caller-service");
    faults.crashes_on == Some(request.uri().path())
        && faults.crashes_for.is_none_or(|crashes| crashes == tenant)
        && faults
            .crashes_for_service
            .is_none_or(|crashes| crashes == service)
}

#[async_trait]
impl Handler for TargetHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        let shared = &self.shared;
        let _id = response.add_header("x-wingspar-instance-id", shared.id(), true);
        let path = request.uri().path().to_owned();
        shared.announce(&path, response);
        let Ok(body) = request.payload_with_max_size(LARGEST_BODY).await.cloned() else {
            // A request that isn't whole isn't run.
            return answer(response, 400, &Value::Null);
        };
        if *lock(&shared.past_lives) != self.life {
            std::future::pending::<()>().await;
        }
        match path.as_str() {
            HEALTH_PATH => {
                if !shared.has_room() {
                    std::future::pending::<()>().await;
                }
                let _load = response.add_header("x-wingspar-server-load", shared.load(), true);
                let warmup = lock(&shared.faults).warmup.as_millis().to_string();
                let _warmup = response.add_header("x-wingspar-warmup-ms", warmup, true);
                return answer(response, 200, &Value::Null);
            }
            GRANT_PATH => {
                if shared.checks_grants.load(Ordering::Relaxed) && is_misdirected(shared, request) {
                    return answer(response, 421, &Value::Null);
                }
                let order = serde_json::from_slice(&body).unwrap_or(Value::Null);
                return answer(response, shared.grant(&order), &Value::Null);
            }
            RELEASE_PATH => {
                shared.release(&serde_json::from_slice(&body).unwrap_or(Value::Null));
                let _token = response.add_header("x-wingspar-handover", "token", true);
                return answer(response, 200, &Value::Null);
            }
            _ => {}
        }
        self.run(request, response, &body).await;
    }
}

impl TargetHandler {
    /// Works to the end, whether or not its caller still waits.
    async fn work_on(&self, time: Duration) {
        let shared = Arc::clone(&self.shared);
        *lock(&shared.at_work) += 1;
        let work = tokio::spawn(async move {
            tokio::time::sleep(time).await;
            *lock(&shared.at_work) -= 1;
        });
        let _done = work.await;
    }

    /// Makes the target's own call for a request, unless the request is such a call.
    async fn call_for(&self, request: &Request, id: &str) {
        let call = lock(&self.shared.call).clone();
        let Some(call) = call.filter(|call| call.path != request.uri().path()) else {
            return;
        };
        let answered = match call.make(id).await {
            Ok(line) => line,
            Err(error) => error.to_string(),
        };
        lock(&self.shared.calls_answered).push(answered);
    }

    async fn run(&self, request: &Request, response: &mut Response, body: &[u8]) {
        let shared = &self.shared;
        let faults = *lock(&shared.faults);
        let key = text(request, "x-wingspar-shard-key").parse::<u16>().ok();
        let misdirected = is_misdirected(shared, request);
        let foreign = shared.keyed && !key.is_some_and(|key| shared.holds(key));
        if misdirected || foreign {
            let _not_run = response.add_header("x-wingspar-not-executed", "1", true);
            return answer(response, 421, &Value::Null);
        }
        if faults.sheds {
            let _not_run = response.add_header("x-wingspar-not-executed", "1", true);
            return answer(response, 503, &Value::Null);
        }
        if !shared.has_room() {
            *lock(&shared.without_room) += 1;
            std::future::pending::<()>().await;
        }
        let id = text(request, "x-wingspar-request-id");
        lock(&shared.seen).push(Seen {
            id: id.clone(),
            target: shared.id(),
            life: self.life,
            key,
            caller: text(request, "x-wingspar-caller-service"),
            tenants: texts(request, "x-wingspar-tenant"),
            credential: request.headers().contains_key("x-wingspar-credential"),
            deadline_ms: text(request, "x-wingspar-deadline-ms").parse().unwrap_or(0),
            body: String::from_utf8_lossy(body).into_owned(),
            at: Instant::now(),
            fence: key.and_then(|key| shared.fence_of(key)),
        });
        self.call_for(request, &id).await;
        if ends_target(&faults, request) {
            shared.crash.notify_one();
            std::future::pending::<()>().await;
        }
        if faults.room.is_some() {
            self.work_on(faults.work).await;
            let _load = response.add_header("x-wingspar-server-load", shared.load(), true);
        } else {
            tokio::time::sleep(faults.work).await;
        }
        if faults.silent {
            std::future::pending::<()>().await;
        }
        let answered = if faults.wrong_id {
            "another".to_owned()
        } else {
            id
        };
        let _id = response.add_header("x-wingspar-request-id", answered, true);
        if !faults.unsigned {
            let _signature = response.add_header("x-wingspar-response-signature", "s", true);
        }
        if faults.answer_bytes > 0 {
            let _written = response.write_body(vec![b'w'; faults.answer_bytes]);
            return;
        }
        answer(
            response,
            200,
            &json!({"ran_at": shared.id(), "ran_in_life": self.life}),
        );
    }
}
