//! Buffers short response bodies on the way back to the client and streams long ones.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use tokio::time::{Instant, Sleep, sleep_until, timeout_at};

use crate::body::{Body, BodyError, Buffered};
use crate::buffer_budget::BufferBudget;

/// How many bytes of a response without a declared length are buffered before it is streamed. Responses for which
/// pipelined requests wait are shorter than this, and it takes 50 ms on a 10 Mbit/s link.
const MAX_BUFFERED_UNKNOWN_LENGTH: u64 = 64 * 1024;

/// Buffers a body of at most `max_buffered_bytes` bytes, counting it against the budget `held`; a longer one stays a
/// stream.
///
/// The start of a body without a declared length is buffered too. If such a body failed after its first bytes were
/// forwarded, the client connection would have to be closed, and the requests pipelined behind this one would be
/// lost.
pub async fn buffer_or_stream<Incoming>(
    body: Incoming,
    max_buffered_bytes: u64,
    held: &Rc<BufferBudget>,
    deadline: Instant,
) -> Result<Body, BodyError>
where
    Incoming: HttpBody<Data = Bytes, Error = BodyError> + 'static,
{
    let length = body.size_hint().upper();
    let body = Body::stream(body);
    if length.is_some_and(|length| length > max_buffered_bytes) {
        return Ok(Body::stream(WithDeadline::new(body, deadline)));
    }
    let max_bytes = length.unwrap_or(max_buffered_bytes.min(MAX_BUFFERED_UNKNOWN_LENGTH));
    let _reading = held.reserve(max_bytes);
    match timeout_at(deadline, body.buffer_up_to(max_bytes)).await?? {
        Buffered::Whole(bytes) => {
            let reservation = held.reserve(bytes.len() as u64);
            Ok(Body::whole(bytes).with_guard(reservation))
        }
        Buffered::Part { body, .. } => Ok(Body::stream(WithDeadline::new(body, deadline))),
    }
}

/// A body that fails at its deadline, so that a stream doesn't outlive its request.
struct WithDeadline<Inner> {
    inner: Pin<Box<Inner>>,
    deadline: Pin<Box<Sleep>>,
}

impl<Inner> WithDeadline<Inner> {
    fn new(inner: Inner, deadline: Instant) -> Self {
        Self {
            inner: Box::pin(inner),
            deadline: Box::pin(sleep_until(deadline)),
        }
    }
}

impl<Inner> HttpBody for WithDeadline<Inner>
where
    Inner: HttpBody<Data = Bytes, Error = BodyError>,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = self.inner.as_mut().poll_frame(context);
        if polled.is_pending() && self.deadline.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Err("the deadline has passed".into())));
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
