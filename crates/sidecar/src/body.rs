//! Bodies of requests and answers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

/// Reading a body failed; what was read isn't whole.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// A body whose bytes are all here, or arrive as a stream.
pub enum Body {
    /// All bytes.
    Whole(Full<Bytes>),
    /// The body of a message as the HTTP library receives it.
    Received(Incoming),
    /// Bytes that are still to come.
    Stream(Pin<Box<dyn HttpBody<Data = Bytes, Error = BodyError>>>),
}

impl Body {
    /// No bytes.
    pub fn empty() -> Self {
        Self::whole(Bytes::new())
    }

    /// All bytes.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(bytes.into()))
    }

    /// The same body; `guard` is dropped when it has ended or is given up.
    pub fn keeping(self, guard: impl Unpin + 'static) -> Self {
        Self::stream(Keeping::new(self, guard))
    }

    /// A stream.
    pub fn stream(body: impl HttpBody<Data = Bytes, Error = BodyError> + 'static) -> Self {
        Self::Stream(Box::pin(body))
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body)
                .poll_frame(context)
                .map_err(|never| match never {}),
            Self::Received(body) => Pin::new(body).poll_frame(context).map_err(BodyError::from),
            Self::Stream(body) => body.as_mut().poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Received(body) => body.is_end_stream(),
            Self::Stream(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Received(body) => body.size_hint(),
            Self::Stream(body) => body.size_hint(),
        }
    }
}

/// A body and what is to live as long.
pub struct Keeping<Inner, Guard> {
    body: Inner,
    _guard: Guard,
}

impl<Inner, Guard> Keeping<Inner, Guard> {
    /// The same body; `guard` is dropped when it has ended or is given up.
    pub fn new(body: Inner, guard: Guard) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl<Inner, Guard> HttpBody for Keeping<Inner, Guard>
where
    Inner: HttpBody<Data = Bytes, Error = BodyError> + Unpin,
    Guard: Unpin,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A request's body: kept whole if it is small, so that it can be sent again.
pub enum RequestBody {
    /// All bytes.
    Whole(Bytes),
    /// Too large to keep; can be sent once.
    Stream {
        /// The body, until it is sent.
        body: Option<Body>,
        /// Its first bytes, as many as are kept of any body.
        beginning: Bytes,
    },
}

impl RequestBody {
    /// Reads a body of up to `keep` bytes whole; a larger one stays a stream.
    pub async fn read(mut body: Body, keep: usize) -> Result<Self, BodyError> {
        if body.is_end_stream() {
            return Ok(Self::Whole(Bytes::new()));
        }
        let mut kept = BytesMut::new();
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame?.into_data() {
                kept.extend_from_slice(&data);
            }
            if kept.len() > keep {
                let prefix = kept.freeze();
                let beginning = prefix.slice(..keep);
                let rest = Prefixed {
                    prefix: Some(prefix),
                    rest: body,
                };
                return Ok(Self::Stream {
                    body: Some(Body::stream(rest)),
                    beginning,
                });
            }
        }
        Ok(Self::Whole(kept.freeze()))
    }

    /// Whether the body can be sent now.
    pub fn is_available(&self) -> bool {
        !matches!(self, Self::Stream { body: None, .. })
    }

    /// All its bytes, or the first ones of a body that is too large to keep.
    pub fn beginning(&self) -> &[u8] {
        match self {
            Self::Whole(bytes) => bytes,
            Self::Stream { beginning, .. } => beginning,
        }
    }

    /// The body to send; a stream is gone afterwards.
    pub fn take(&mut self) -> Body {
        match self {
            Self::Whole(bytes) => Body::whole(bytes.clone()),
            Self::Stream { body, .. } => body.take().unwrap_or_else(Body::empty),
        }
    }
}

/// Bytes that were read already, and what follows.
struct Prefixed {
    prefix: Option<Bytes>,
    rest: Body,
}

impl HttpBody for Prefixed {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        Pin::new(&mut self.rest).poll_frame(context)
    }
}
