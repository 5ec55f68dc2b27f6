//! Makes one request and tells how it ended.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::header::HeaderMap;
use reqwest::redirect::Policy;
use reqwest::{Client, Method, RequestBuilder, Response};
use tokio::time::{Instant, sleep, timeout};
use wingspar_standins::backend::AnswerPattern;
use wingspar_wire::headers;
use wingspar_world::{KeyHash, ServiceName};

use super::record::{Outcome, Record};
use super::traffic::{Call, RequestKind};
use crate::cluster::{BULK_PREFIX, CHECKS_PREFIX, KEY_HEADER};

/// How long a caller waits beyond the deadline that it named.
const GRACE: Duration = Duration::from_secs(5);
/// Body of a deposit.
const DEPOSIT_BODY: &str = "{\"pence\": 2500}";

/// How callers reach the routers.
#[derive(Debug, Clone)]
pub struct CallerSettings {
    /// Routers, taken in turn.
    pub routers: Vec<SocketAddr>,
    /// Names of the services.
    pub services: Vec<ServiceName>,
    /// Time that a message takes between caller and router, each way.
    pub delay: Duration,
    /// Distinguishes runs in request ids.
    pub run: String,
}

/// Makes requests.
#[derive(Debug, Clone)]
pub struct Caller {
    settings: CallerSettings,
    client: Client,
    start: Instant,
}

/// What an answer told.
struct Ending {
    outcome: Outcome,
    status: u16,
    reason: String,
    retry_after_ms: Option<u64>,
    wrong_answer: bool,
}

impl Caller {
    /// A caller whose times count from `start`.
    ///
    /// # Errors
    /// When the HTTP client can't be built.
    pub fn new(settings: CallerSettings, start: Instant) -> Result<Self, reqwest::Error> {
        let client = Client::builder()
            .no_proxy()
            .redirect(Policy::none())
            .retry(reqwest::retry::never())
            .http1_only()
            .build()?;
        Ok(Self {
            settings,
            client,
            start,
        })
    }

    /// Makes one attempt of a call that was due at an instant.
    pub async fn attempt(&self, call: &Call, attempt: u32, due: Instant) -> Record {
        sleep(self.settings.delay).await;
        let request_id = format!("{}-{}-{attempt}", self.settings.run, call.number);
        let request = self.request(call, attempt, &request_id);
        let limit = Duration::from_millis(call.deadline_ms) + GRACE;
        let ending = match timeout(limit, self.exchange(request, call)).await {
            Ok(ending) => ending,
            Err(_) => silent("no_answer"),
        };
        sleep(self.settings.delay).await;
        Record {
            call: call.number,
            attempt,
            request_id,
            service: call.service,
            kind: call.kind,
            key: call.key.as_ref().map(|key| KeyHash::of(key.as_bytes())),
            due_us: self.since_start(due),
            end_us: self.since_start(Instant::now()),
            outcome: ending.outcome,
            status: ending.status,
            reason: ending.reason,
            retry_after_ms: ending.retry_after_ms,
            wrong_answer: ending.wrong_answer,
        }
    }

    fn since_start(&self, at: Instant) -> u64 {
        let elapsed = at.saturating_duration_since(self.start);
        u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
    }

    fn request(&self, call: &Call, attempt: u32, request_id: &str) -> RequestBuilder {
        let routers = &self.settings.routers;
        // A repeated attempt goes to the next router.
        let turn = call.number + u64::from(attempt) - 1;
        let router = routers[(turn % routers.len() as u64) as usize];
        let path = match call.kind {
            RequestKind::Read | RequestKind::Deposit => "/items",
            RequestKind::Check => CHECKS_PREFIX,
            RequestKind::Download => BULK_PREFIX,
        };
        let mut query = Vec::new();
        query.extend(call.work_ms.map(|work| format!("work_ms={work}")));
        query.extend(
            call.answer_bytes
                .map(|bytes| format!("answer_bytes={bytes}")),
        );
        let url = format!("http://{router}{path}?{}", query.join("&"));
        let service = &self.settings.services[call.service];
        let method = match call.kind {
            RequestKind::Deposit => Method::POST,
            _ => Method::GET,
        };
        let mut request = self
            .client
            .request(method, url)
            .header(headers::SERVICE, service.as_str())
            .header(headers::REQUEST_ID, request_id)
            .header(headers::DEADLINE_MS, call.deadline_ms);
        if let Some(key) = &call.key {
            request = request.header(KEY_HEADER, key);
        }
        if call.kind == RequestKind::Deposit {
            let name = format!("{}-{}", self.settings.run, call.number);
            request = request
                .header(headers::IDEMPOTENCY_KEY, name)
                .header(headers::IDEMPOTENCY_ATTEMPT, attempt)
                .body(DEPOSIT_BODY);
        }
        request
    }

    async fn exchange(&self, request: RequestBuilder, call: &Call) -> Ending {
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) if error.is_connect() => {
                return Ending {
                    outcome: Outcome::NotRun,
                    ..silent("no_connection")
                };
            }
            Err(_) => return silent("connection_lost"),
        };
        self.read(response, call).await
    }

    async fn read(&self, response: Response, call: &Call) -> Ending {
        let status = response.status().as_u16();
        let map = response.headers().clone();
        let reason = text(&map, headers::REASON).unwrap_or_default().to_owned();
        let body = match response.bytes().await {
            Ok(body) => body,
            Err(_) => {
                return Ending {
                    status,
                    ..silent("answer_cut_short")
                };
            }
        };
        let outcome = match text(&map, headers::OUTCOME) {
            Some("ran") => Outcome::Ran,
            Some("not-run") => Outcome::NotRun,
            _ => Outcome::Unknown,
        };
        let retry_after = text(&map, "retry-after-ms").and_then(|value| value.parse().ok());
        Ending {
            wrong_answer: outcome == Outcome::Ran && !self.is_own(call, &map, &body),
            outcome,
            status,
            reason,
            retry_after_ms: retry_after,
        }
    }

    /// Whether the body is the whole answer to an attempt of this call. A deposit that is repeated
    /// may get the answer that an earlier attempt has left.
    fn is_own(&self, call: &Call, map: &HeaderMap, body: &[u8]) -> bool {
        let prefix = format!("{}-{}-", self.settings.run, call.number);
        let Some(length) = call.answer_bytes else {
            let report = serde_json::from_slice::<serde_json::Value>(body);
            let report = report.unwrap_or_default();
            let id = report["request_id"].as_str();
            return id.is_some_and(|id| id.starts_with(&prefix));
        };
        let id = text(map, headers::REQUEST_ID).unwrap_or_default();
        id.starts_with(&prefix) && AnswerPattern::new(id).matches(body, length)
    }
}

fn silent(reason: &str) -> Ending {
    Ending {
        outcome: Outcome::Unknown,
        status: 0,
        reason: reason.to_owned(),
        retry_after_ms: None,
        wrong_answer: false,
    }
}

fn text<'a>(map: &'a HeaderMap, name: &str) -> Option<&'a str> {
    map.get(name)?.to_str().ok()
}
