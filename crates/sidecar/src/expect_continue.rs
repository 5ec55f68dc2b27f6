//! Sends a large body to another node only when that node requests it with `100 Continue`.
//!
//! A node that rejects a request does so before it has read the body. With `Expect: 100-continue` the body is still
//! complete at that point and can be sent to another node. Nothing is sent over the link in vain, and no router has
//! to buffer the body.

use std::future::Future;
use std::pin::Pin;
use std::sync::Mutex;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http::header::EXPECT;
use http::{HeaderValue, Request, StatusCode};
use http_body::{Body as HttpBody, Frame, SizeHint};
use tokio::sync::oneshot;

use crate::body::{Body, BodyError};

/// Delays the body of a request until the other node responds with `100 Continue`, unless the body is already complete
/// in memory.
pub fn send_body_on_continue(request: Request<Body>) -> Request<Body> {
    if matches!(request.body(), Body::Whole(_)) || request.body().is_end_stream() {
        return request;
    }
    let (ask, continue_receiver) = oneshot::channel();
    let mut request =
        request.map(|inner| Body::stream(DeferredBody::new(inner, continue_receiver)));
    let expect = HeaderValue::from_static("100-continue");
    request.headers_mut().insert(EXPECT, expect);
    let ask = Mutex::new(Some(ask));
    hyper::ext::on_informational(&mut request, move |answer| {
        if answer.status() == StatusCode::CONTINUE
            && let Ok(mut ask) = ask.lock()
            && let Some(ask) = ask.take()
        {
            // The receiver is gone if the request was cancelled.
            let _received = ask.send(());
        }
    });
    request
}

/// A body that starts once the other node has sent `100 Continue`.
struct DeferredBody {
    inner: Body,
    state: ContinueState,
}

/// Whether `100 Continue` has arrived.
enum ContinueState {
    Waiting(oneshot::Receiver<()>),
    Received,
    NotReceived,
}

impl DeferredBody {
    fn new(inner: Body, continue_receiver: oneshot::Receiver<()>) -> Self {
        Self {
            inner,
            state: ContinueState::Waiting(continue_receiver),
        }
    }
}

impl HttpBody for DeferredBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let ContinueState::Waiting(continue_receiver) = &mut self.state {
            match ready!(Pin::new(continue_receiver).poll(context)) {
                Ok(()) => self.state = ContinueState::Received,
                // The other node sent its response without `100 Continue`; the body is dropped with the request.
                Err(_answered) => self.state = ContinueState::NotReceived,
            }
        }
        match self.state {
            ContinueState::Received => Pin::new(&mut self.inner).poll_frame(context),
            ContinueState::Waiting(_) | ContinueState::NotReceived => Poll::Pending,
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
