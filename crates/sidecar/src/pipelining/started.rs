//! Requests that were started ahead of their turn, and their responses.

use std::cell::Cell;
use std::rc::Rc;

use http::{Request, Response};
use http_body::Body as HttpBody;
use hyper::body::Incoming;
use tokio::task::{JoinError, JoinHandle};

use crate::body::Body;
use crate::listen::CountGuard;

/// A request that was started ahead of its turn. Dropping it aborts its task.
pub struct StartedRequest {
    request: Request<()>,
    /// The task that runs the request; `None` once it has finished.
    task: Option<JoinHandle<GuardedResponse>>,
}

impl StartedRequest {
    /// Tracks `request`, which `task` runs.
    pub fn new(request: Request<()>, task: JoinHandle<GuardedResponse>) -> Self {
        Self {
            request,
            task: Some(task),
        }
    }

    /// Whether the HTTP server's request equals the one that was started.
    pub fn matches(&self, request: &Request<Incoming>) -> bool {
        let started = &self.request;
        started.method() == request.method()
            && started.uri() == request.uri()
            && started.headers() == request.headers()
    }

    /// Waits for the response.
    pub async fn answer(mut self) -> Result<GuardedResponse, JoinError> {
        match &mut self.task {
            Some(task) => {
                let answer = task.await;
                self.task = None;
                answer
            }
            None => std::future::pending().await,
        }
    }
}

impl Drop for StartedRequest {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

/// A response with the guards that count it until its last byte is handed over.
pub struct GuardedResponse {
    /// The response.
    pub response: Response<Body>,
    /// Counts the request as in flight.
    pub in_flight: CountGuard,
    /// Counts the response's bytes while it waits for its turn; `None` for a request that wasn't started ahead.
    pub held: Option<BufferedBytes>,
}

/// Counts the bytes of a response that waits for its turn.
pub struct BufferedBytes {
    total: Rc<Cell<u64>>,
    bytes: u64,
}

impl BufferedBytes {
    /// Adds the known bytes of `body` to `total` until dropped.
    pub fn new(total: Rc<Cell<u64>>, body: &Body) -> Self {
        let bytes = body.size_hint().lower();
        total.set(total.get() + bytes);
        Self { total, bytes }
    }
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.bytes);
    }
}
