//! The caller's request body on its way to an agent.
//!
//! A small body is read whole and can be sent any number of times. A larger one is streamed: it
//! can be sent again only as long as no byte of it has been taken.

use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Limited};
use salvo::http::ReqBody;
use thiserror::Error;

/// The caller's body ended early or broke.
#[derive(Debug, Error)]
#[error("the caller's body ended early")]
pub(crate) struct CutShort;

/// A request body that can be handed to the client, again if nothing was taken from it.
#[derive(Debug, Clone)]
pub(crate) enum RequestBody {
    /// There is none.
    Empty,
    /// Read whole.
    Buffered(Bytes),
    /// Read as it is sent.
    Streamed(Arc<Mutex<Streamed>>),
}

#[derive(Debug)]
pub(crate) struct Streamed {
    body: ReqBody,
    state: StreamState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamState {
    Untouched,
    Taken,
    CutShort,
}

impl RequestBody {
    /// Reads a body whole if it is known to be at most `limit` bytes long, else keeps it for
    /// streaming.
    pub(crate) async fn receive(body: ReqBody, limit: usize) -> Result<Self, CutShort> {
        let exact = body.size_hint().exact();
        if body.is_end_stream() || exact == Some(0) {
            return Ok(Self::Empty);
        }
        if exact.is_some_and(|length| length <= limit as u64) {
            let whole = Limited::new(body, limit).collect().await;
            let whole = whole.map_err(|_| CutShort)?;
            return Ok(Self::Buffered(whole.to_bytes()));
        }
        let streamed = Streamed {
            body,
            state: StreamState::Untouched,
        };
        Ok(Self::Streamed(Arc::new(Mutex::new(streamed))))
    }

    /// A body for the client. An empty one is sent as none, so that a `GET` does not grow a
    /// `Content-Length`.
    pub(crate) fn lend(&self) -> reqwest::Body {
        match self {
            Self::Empty => reqwest::Body::default(),
            Self::Buffered(bytes) => reqwest::Body::from(bytes.clone()),
            Self::Streamed(shared) => reqwest::Body::wrap(Lent(shared.clone())),
        }
    }

    /// Whether a part of it has been taken, so that it can't be sent again.
    pub(crate) fn is_spent(&self) -> bool {
        self.has_state(|state| state != StreamState::Untouched)
    }

    /// Whether it ended early.
    pub(crate) fn is_cut_short(&self) -> bool {
        self.has_state(|state| state == StreamState::CutShort)
    }

    fn has_state(&self, test: impl Fn(StreamState) -> bool) -> bool {
        match self {
            Self::Empty | Self::Buffered(_) => false,
            Self::Streamed(shared) => test(shared.lock().expect("no panic while locked").state),
        }
    }
}

/// A streamed body in the client's hands.
struct Lent(Arc<Mutex<Streamed>>);

impl Body for Lent {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let mut streamed = self.0.lock().expect("no panic while locked");
        let polled = Pin::new(&mut streamed.body).poll_frame(context);
        match &polled {
            Poll::Ready(Some(Ok(_))) => streamed.state = StreamState::Taken,
            Poll::Ready(Some(Err(_))) => streamed.state = StreamState::CutShort,
            _ => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        let streamed = self.0.lock().expect("no panic while locked");
        streamed.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let streamed = self.0.lock().expect("no panic while locked");
        streamed.body.size_hint()
    }
}
