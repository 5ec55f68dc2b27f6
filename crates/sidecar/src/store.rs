//! Calls to the store that lasts.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderValue, Request};
use http_body_util::BodyExt;
use tokio::time::timeout;
use wingspar_platform::objects::{Call, Outcome};

use crate::body::Body;
use crate::connections::Connections;

/// A call without an answer for this long is given up; its connection isn't used again.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time for a connection to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// No answer came, or none that could be read: the call may have been done, or may be done later.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// No whole answer.
    #[error("the store didn't answer: {0}")]
    NoAnswer(String),
}

/// An answer of the store.
#[derive(Debug, Clone)]
pub struct Reply {
    /// What became of the call.
    pub outcome: Outcome,
    /// The answer's body.
    pub body: Bytes,
}

/// Speaks to the store.
pub struct Store {
    connections: Rc<Connections>,
    host: HeaderValue,
}

impl Store {
    /// A store at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            connections: Connections::new(address, CONNECT_TIMEOUT),
            host: HeaderValue::from_str(&address.to_string())
                .unwrap_or(HeaderValue::from_static("store")),
        }
    }

    /// Makes a call that is answered at once.
    pub async fn call(&self, call: &Call) -> Result<Reply, StoreError> {
        self.call_within(call, CALL_TIMEOUT).await
    }

    /// Makes a call that may be answered late, as a watch is.
    pub async fn call_within(&self, call: &Call, time: Duration) -> Result<Reply, StoreError> {
        match timeout(time, self.exchange(call)).await {
            Ok(reply) => reply,
            Err(_) => {
                // Once an answer is lost, its connection says nothing further; others may be as old.
                self.connections.close_idle();
                Err(StoreError::NoAnswer("no answer in time".to_owned()))
            }
        }
    }

    async fn exchange(&self, call: &Call) -> Result<Reply, StoreError> {
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
        let response = self
            .connections
            .send(request)
            .await
            .map_err(|error| no_answer(&error))?;
        let outcome = Outcome::from_status(response.status());
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|error| no_answer(&error))?;
        Ok(Reply {
            outcome,
            body: body.to_bytes(),
        })
    }
}
