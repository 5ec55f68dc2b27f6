//! Enforces the configured maximum length of bodies without a declared length.
//!
//! The bytes of such a body are counted as they arrive. The request is aborted as soon as the limit is exceeded,
//! before anyone has received the complete body, so that no target runs it.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use tokio::sync::Notify;

use crate::body::{Body, BodyError};

/// The length limit of one request's body.
#[derive(Debug)]
pub struct LengthLimit {
    bytes: u64,
    exceeded: Rc<Notify>,
}

impl LengthLimit {
    /// Creates a limit of `bytes` bytes.
    pub fn new(bytes: u64) -> Self {
        Self {
            bytes,
            exceeded: Rc::default(),
        }
    }

    /// Wraps a body so that it stops before the limit is exceeded.
    pub fn apply(&self, body: Body) -> Body {
        Body::stream(Limited {
            inner: body,
            left: self.bytes,
            exceeded: self.exceeded.clone(),
            is_exceeded: false,
        })
    }

    /// Completes when the body has exceeded the limit.
    pub async fn exceeded(&self) {
        self.exceeded.notified().await;
    }
}

struct Limited {
    inner: Body,
    left: u64,
    exceeded: Rc<Notify>,
    is_exceeded: bool,
}

impl HttpBody for Limited {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.is_exceeded {
            // Neither end nor fail: the receiving node or target would be blamed for either. The caller drops the
            // request, and this body with it.
            return Poll::Pending;
        }
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(context));
        let bytes = match &frame {
            Some(Ok(frame)) => frame.data_ref().map_or(0, Bytes::len),
            _ => 0,
        };
        let Some(left) = self.left.checked_sub(bytes as u64) else {
            self.is_exceeded = true;
            self.exceeded.notify_one();
            return Poll::Pending;
        };
        self.left = left;
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        !self.is_exceeded && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
