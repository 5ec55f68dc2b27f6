//! Calls to the durable store.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderMap, HeaderValue, Method, Request, Response};
use tokio::time::timeout;
use wingspar_ownership::StoreEra;
use wingspar_platform::FormatError;
use wingspar_platform::headers::STORE_ERA;
use wingspar_platform::objects::{self, Call, Outcome};

use crate::body::Body;
use crate::connections::{ConnectionPool, PooledBody};
use crate::metrics::StoreCallLabels;
use crate::node::Node;
use crate::receive::{self, BodyTimeouts, ReceiveError};

/// A call is abandoned, and its connection not reused, if its response doesn't begin or makes no
/// progress for this long.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Maximum time for the rest of a response once it has begun. An object has 1 MB at most, so this
/// corresponds to a seventh of the slowest machine's link of 10 Mbit/s.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);
/// Timeouts for receiving the body of a response.
const BODY_TIMEOUTS: BodyTimeouts = BodyTimeouts {
    idle: CALL_TIMEOUT,
    whole: RESPONSE_TIMEOUT,
};
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Why a call to the store gave no usable response.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// There was no complete response: the call may have been executed, or may still be.
    #[error("the store didn't answer: {0}")]
    NoAnswer(String),
    /// The store responded with another outcome than the caller needs.
    #[error("the store answered {0:?}")]
    Answered(Outcome),
    /// The response belongs to an era of the store before it was restored from a copy: its contents
    /// may have been lost since.
    #[error("the store has come back from a copy since it answered")]
    Outdated,
    /// The response doesn't have the documented format.
    #[error("the store's answer can't be read: {0}")]
    Unreadable(#[from] FormatError),
}

/// A complete response of the store.
#[derive(Debug, Clone)]
pub struct Reply {
    /// How the call ended.
    pub outcome: Outcome,
    /// Body of the response.
    pub body: Bytes,
    /// Era of the store when it responded.
    pub era: StoreEra,
}

/// A client of the store.
pub struct Store {
    connections: Rc<ConnectionPool>,
    host: HeaderValue,
}

impl Store {
    /// A client of the store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            connections: ConnectionPool::new(address, CONNECT_TIMEOUT),
            host: HeaderValue::from_str(&address.to_string())
                .unwrap_or(HeaderValue::from_static("store")),
        }
    }

    async fn call(
        &self,
        call: &Call,
        time: Duration,
        received: &Cell<usize>,
    ) -> Result<Reply, StoreError> {
        let response = match timeout(time, self.send(call)).await {
            Ok(response) => response?,
            Err(_) => return Err(self.late(0)),
        };
        let outcome = Outcome::from_status(response.status());
        let era = era_of(response.headers());
        match receive::whole(response.into_body(), BODY_TIMEOUTS, received).await {
            Ok(body) => Ok(Reply { outcome, body, era }),
            Err(ReceiveError::Late(bytes)) => Err(self.late(bytes)),
            Err(error) => Err(StoreError::NoAnswer(error.to_string())),
        }
    }

    /// Handles a response of which no more than `bytes` bytes arrived in time.
    fn late(&self, bytes: usize) -> StoreError {
        // The lost response will not be followed by another on its connection, and other idle
        // connections may be equally stale.
        self.connections.close_idle();
        StoreError::NoAnswer(ReceiveError::Late(bytes).to_string())
    }

    async fn send(&self, call: &Call) -> Result<Response<PooledBody>, StoreError> {
        let no_answer = |error: &dyn std::fmt::Display| StoreError::NoAnswer(error.to_string());
        let mut request = Request::new(Body::whole(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.target.parse().map_err(|error| no_answer(&error))?;
        request.headers_mut().insert(HOST, self.host.clone());
        if !call.body.is_empty() {
            request
                .headers_mut()
                .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        }
        self.connections
            .send(request)
            .await
            .map_err(|error| no_answer(&error))
    }
}

impl Node {
    /// Calls the store, counts the call and records whether the store is reachable. `time` is how
    /// long to wait for the response to begin; `None` stands for [`CALL_TIMEOUT`]. A watch, whose
    /// response begins late, needs longer.
    pub async fn call_store(
        &self,
        call: &Call,
        time: Option<Duration>,
    ) -> Result<Reply, StoreError> {
        self.call_store_counting(call, time, &Cell::new(0)).await
    }

    /// Calls the store like [`Self::call_store`] and sets `received` to the number of bytes of the
    /// response as they arrive.
    async fn call_store_counting(
        &self,
        call: &Call,
        time: Option<Duration>,
        received: &Cell<usize>,
    ) -> Result<Reply, StoreError> {
        let time = time.unwrap_or(CALL_TIMEOUT);
        let reply = self.store.call(call, time, received).await;
        self.metrics
            .count_store_bytes(reply.is_ok(), received.get());
        let outcome = reply.as_ref().ok().map(|reply| reply.outcome);
        let name = outcome.map_or("no_answer", outcome_name);
        let labels = StoreCallLabels {
            call: call.name,
            outcome: name,
        };
        self.metrics.store_calls.get_or_create(&labels).inc();
        let refused = matches!(
            outcome,
            None | Some(Outcome::Throttled | Outcome::Unavailable | Outcome::Unexpected(_))
        );
        self.record_store_result(!refused, name);
        let reply = reply?;
        if !self.observe_store_era(reply.era) {
            return Err(StoreError::Outdated);
        }
        if call.method != Method::GET && reply.outcome == Outcome::Done {
            self.record_write(&reply.body);
        }
        Ok(reply)
    }

    /// Records the revision of a successful write. The nodes never write the configuration, so the
    /// change was one of another object.
    fn record_write(&self, body: &[u8]) {
        // If the response doesn't contain the object, the only consequence is that the
        // configuration is read once more.
        if let Ok(object) = objects::parse_object(body) {
            self.other_object_changed(object.revision);
        }
    }

    /// Records that the store's change at `revision` was one of another object than the configuration.
    pub fn other_object_changed(&self, revision: u64) {
        let mut known = self.configuration_reads.known.borrow_mut();
        known.record_other_change(revision);
    }

    /// Makes a call and returns the response's body; any outcome other than [`Outcome::Done`] is an
    /// error.
    pub async fn read_store(
        &self,
        call: &Call,
        time: Option<Duration>,
    ) -> Result<Bytes, StoreError> {
        self.read_store_counting(call, time, &Cell::new(0)).await
    }

    /// Reads from the store like [`Self::read_store`] and sets `received` to the number of bytes of
    /// the response as they arrive.
    pub async fn read_store_counting(
        &self,
        call: &Call,
        time: Option<Duration>,
        received: &Cell<usize>,
    ) -> Result<Bytes, StoreError> {
        let reply = self.call_store_counting(call, time, received).await?;
        match reply.outcome {
            Outcome::Done => Ok(reply.body),
            other => Err(StoreError::Answered(other)),
        }
    }
}

/// The era named in a response. A store that was never restored from a copy names none and is in
/// era 0.
fn era_of(headers: &HeaderMap) -> StoreEra {
    let era = headers.get(STORE_ERA).and_then(|era| era.to_str().ok());
    StoreEra(era.and_then(|era| era.parse().ok()).unwrap_or_default())
}

/// Name of an outcome in logs and metrics.
fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Done => "done",
        Outcome::Missing => "missing",
        Outcome::Conflict => "conflict",
        Outcome::HistoryGone => "history_gone",
        Outcome::Throttled => "throttled",
        Outcome::Unavailable => "unavailable",
        Outcome::Unexpected(_) => "unexpected",
    }
}
