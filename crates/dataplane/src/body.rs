//! A response body that tells a watcher what passes and how it ends.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use salvo::BoxedError;
use salvo::http::ResBody;

/// How a body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// All of it passed.
    Whole,
    /// The sender broke off.
    Truncated,
    /// The receiver went away, or the request was cancelled.
    Abandoned,
}

/// Is told what passes through a [`WatchedBody`].
pub trait BodyWatcher: Send + Sync + Unpin + 'static {
    /// Data passed.
    fn on_data(&mut self, data: &Bytes);
    /// The body ended. Called exactly once, before the receiver can see the end.
    fn on_end(&mut self, end: BodyEnd);
}

/// A body under watch. An error of the inner body is passed on, so that the receiver's connection
/// is cut instead of ending as if the body were whole.
pub struct WatchedBody<W: BodyWatcher> {
    inner: reqwest::Body,
    watcher: W,
    ended: bool,
}

impl<W: BodyWatcher> WatchedBody<W> {
    /// Watches a body. One without data ends at once.
    pub fn new(inner: reqwest::Body, watcher: W) -> Self {
        let mut watched = Self {
            inner,
            watcher,
            ended: false,
        };
        watched.look_for_end();
        watched
    }

    /// Whether the end has been told.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Wraps it as a server's response body.
    pub fn into_response_body(self) -> ResBody {
        ResBody::Boxed(Box::pin(self))
    }

    fn look_for_end(&mut self) {
        if self.inner.is_end_stream() {
            self.end(BodyEnd::Whole);
        }
    }

    fn end(&mut self, end: BodyEnd) {
        if !self.ended {
            self.ended = true;
            self.watcher.on_end(end);
        }
    }
}

impl<W: BodyWatcher> Body for WatchedBody<W> {
    type Data = Bytes;
    type Error = BoxedError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxedError>>> {
        let this = self.get_mut();
        let frame = std::task::ready!(Pin::new(&mut this.inner).poll_frame(context));
        match frame {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    this.watcher.on_data(data);
                }
                this.look_for_end();
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => {
                this.end(BodyEnd::Truncated);
                Poll::Ready(Some(Err(error.into())))
            }
            None => {
                this.end(BodyEnd::Whole);
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl<W: BodyWatcher> Drop for WatchedBody<W> {
    fn drop(&mut self) {
        self.end(BodyEnd::Abandoned);
    }
}
