//! Limits how many large bodies are received at once from other nodes.
//!
//! A sending node can saturate no more than its own link, but several of them together saturate the receiver's link.
//! Small messages, such as requests, lease renewals and cancellations, then queue behind the bodies until these are
//! through. The receiver therefore requests the next large body only when few others are being received.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use tokio::sync::{AcquireError, OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::time::timeout;

use crate::body::{Body, BodyError};
use crate::link::LARGE_BODY_BYTES;

/// Maximum number of large bodies received at once. With only one, the link would be idle for a round trip after
/// each.
const MAX_CONCURRENT_BODIES: usize = 2;
/// A body that isn't complete after this time gives its permit back: its sender is slower than the link.
const MAX_PERMIT_TIME: Duration = Duration::from_millis(250);

/// Limits the number of large bodies that are received at once.
#[derive(Debug)]
pub struct InboundLimiter(Arc<Semaphore>);

impl Default for InboundLimiter {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(MAX_CONCURRENT_BODIES)))
    }
}

impl InboundLimiter {
    /// Delays reading a large body, or one of unknown length, until a permit is free; returns a small one unchanged.
    pub fn limit(&self, body: Body) -> Body {
        let length = body.size_hint().exact();
        if body.is_end_stream() || length.is_some_and(|length| length < LARGE_BODY_BYTES) {
            return body;
        }
        Body::stream(LimitedBody {
            inner: body,
            state: State::Waiting(Box::pin(self.0.clone().acquire_owned())),
        })
    }
}

type Permit = Result<OwnedSemaphorePermit, AcquireError>;

/// Progress of a limited body.
enum State {
    /// Waiting for a permit.
    Waiting(Pin<Box<dyn Future<Output = Permit>>>),
    /// Being received. The permit is returned when `_permit` is dropped or after [`MAX_PERMIT_TIME`].
    Receiving { _permit: oneshot::Sender<()> },
    /// Complete or failed.
    Done,
}

/// Holds the permit until the body ends, but no longer than [`MAX_PERMIT_TIME`], so that a body that nobody reads
/// doesn't block others.
fn hold_permit(permit: OwnedSemaphorePermit) -> State {
    let (permit_guard, ended) = oneshot::channel();
    tokio::spawn(async move {
        let _ended = timeout(MAX_PERMIT_TIME, ended).await;
        drop(permit);
    });
    State::Receiving {
        _permit: permit_guard,
    }
}

/// A body whose reading waits for a permit.
struct LimitedBody {
    inner: Body,
    state: State,
}

impl HttpBody for LimitedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.as_mut().get_mut();
        if let State::Waiting(permit) = &mut this.state {
            this.state = match ready!(permit.as_mut().poll(context)) {
                Ok(permit) => hold_permit(permit),
                Err(_closed) => State::Done,
            };
        }
        let polled = Pin::new(&mut this.inner).poll_frame(context);
        if matches!(polled, Poll::Ready(None | Some(Err(_)))) || this.inner.is_end_stream() {
            this.state = State::Done;
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
