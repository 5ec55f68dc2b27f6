//! Gathering the frames of a small body whose length its sender did not say.
//!
//! The HTTP library hands a chunked body over chunk by chunk and the server would write each on
//! its own. Chunks that have arrived already are put together, so that a small answer goes out in
//! one write with a known length, over this hop and the next.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};

/// Most bytes gathered before a body is passed on.
const MOST_GATHERED: usize = 16 * 1024;

/// Gathers what has arrived of a body of unknown length. It waits for nothing: one turn of the
/// executor without news ends it, and the rest is streamed.
///
/// # Errors
/// When the body turns out to be cut short, while nothing of it has been passed on.
pub async fn gather(mut body: reqwest::Body) -> Result<reqwest::Body, reqwest::Error> {
    if body.size_hint().exact().is_some() {
        return Ok(body);
    }
    let mut gathered = BytesMut::new();
    let mut waited = false;
    while gathered.len() < MOST_GATHERED {
        let polled = poll_fn(|context| Poll::Ready(Pin::new(&mut body).poll_frame(context)));
        let last = match polled.await {
            Poll::Pending if waited => break,
            Poll::Pending => {
                waited = true;
                tokio::task::yield_now().await;
                continue;
            }
            Poll::Ready(None) => return Ok(reqwest::Body::from(gathered.freeze())),
            Poll::Ready(Some(frame)) => match frame?.into_data() {
                Ok(data) => {
                    gathered.extend_from_slice(&data);
                    waited = false;
                    continue;
                }
                Err(trailers) => trailers,
            },
        };
        return Ok(Gathered::new(gathered, Some(last), body).into_body());
    }
    Ok(Gathered::new(gathered, None, body).into_body())
}

/// What was gathered, then the rest.
struct Gathered {
    first: VecDeque<Frame<Bytes>>,
    rest: reqwest::Body,
}

impl Gathered {
    fn new(gathered: BytesMut, last: Option<Frame<Bytes>>, rest: reqwest::Body) -> Self {
        let data = (!gathered.is_empty()).then(|| Frame::data(gathered.freeze()));
        let first = data.into_iter().chain(last).collect();
        Self { first, rest }
    }

    fn into_body(self) -> reqwest::Body {
        reqwest::Body::wrap(self)
    }
}

impl Body for Gathered {
    type Data = Bytes;
    type Error = reqwest::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, reqwest::Error>>> {
        match self.first.pop_front() {
            Some(frame) => Poll::Ready(Some(Ok(frame))),
            None => Pin::new(&mut self.rest).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}
