//! Request and response bodies.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use crate::buffer_budget::{BufferBudget, Hold};

/// Why a body couldn't be read to its end.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// A body that is complete in memory or arrives as a stream.
pub enum Body {
    /// All bytes, in memory.
    Whole(Full<Bytes>),
    /// An incoming body as the HTTP library receives it.
    Received(Incoming),
    /// A stream of bytes.
    Stream(Pin<Box<dyn HttpBody<Data = Bytes, Error = BodyError>>>),
}

impl Body {
    /// An empty body.
    pub fn empty() -> Self {
        Self::whole(Bytes::new())
    }

    /// A body that is complete in memory.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(bytes.into()))
    }

    /// Attaches a guard to the body; the guard is dropped when the body has ended or is dropped.
    pub fn with_guard(self, guard: impl Unpin + 'static) -> Self {
        Self::stream(Guarded::new(self, guard))
    }

    /// Waits for the first bytes of the body, which shows that its sender is still connected.
    pub async fn wait_for_data(mut self) -> Result<Self, BodyError> {
        if matches!(self, Self::Whole(_)) || self.is_end_stream() {
            return Ok(self);
        }
        let Some(frame) = self.frame().await else {
            return Ok(Self::empty());
        };
        match frame?.into_data() {
            Ok(first) => Ok(Self::stream(Prefixed::new(first, self))),
            // Trailers without data: the body is empty.
            Err(_) => Ok(Self::empty()),
        }
    }

    /// Buffers the whole body if it has at most `max_bytes` bytes.
    pub async fn buffer_up_to(mut self, max_bytes: u64) -> Result<Buffered, BodyError> {
        let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
        let mut read = BytesMut::new();
        while !self.is_end_stream()
            && let Some(frame) = self.frame().await
        {
            if let Ok(data) = frame?.into_data() {
                read.extend_from_slice(&data);
            }
            if read.len() > max_bytes {
                let read = read.freeze();
                let prefix = read.slice(..max_bytes);
                let body = Self::stream(Prefixed::new(read, self));
                return Ok(Buffered::Part { prefix, body });
            }
        }
        Ok(Buffered::Whole(read.freeze()))
    }

    /// A body that arrives as a stream.
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

/// The result of buffering a body up to a limit.
pub enum Buffered {
    /// The complete body.
    Whole(Bytes),
    /// The body is longer than the limit.
    Part {
        /// The first bytes, up to the limit.
        prefix: Bytes,
        /// The complete body, including the prefix.
        body: Body,
    },
}

/// A body together with a guard of the same lifetime.
pub struct Guarded<Inner, Guard> {
    body: Inner,
    _guard: Guard,
}

impl<Inner, Guard> Guarded<Inner, Guard> {
    /// Attaches `guard`, which is dropped when the body has ended or is dropped.
    pub fn new(body: Inner, guard: Guard) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl<Inner, Guard> HttpBody for Guarded<Inner, Guard>
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

/// A request's body. A small one is buffered, so that it can be sent again in a retry.
pub enum RequestBody {
    /// A buffered body.
    Whole {
        /// All bytes of the body.
        bytes: Bytes,
        /// Counts the bytes against the buffer budget.
        reservation: Hold,
    },
    /// A body too large to buffer: it can be sent until a receiver has read its first bytes.
    Stream {
        /// The body; `None` once a receiver has started to read it.
        source: Rc<RefCell<Option<Body>>>,
        /// The first bytes, as many as would be buffered of any body.
        prefix: Bytes,
    },
}

impl RequestBody {
    /// Buffers a body of up to `max_buffered_bytes` bytes if the budget allows; a larger one stays a stream.
    pub async fn read(
        body: Body,
        max_buffered_bytes: u64,
        held: &Rc<BufferBudget>,
    ) -> Result<Self, BodyError> {
        match body
            .buffer_up_to(held.allowance(max_buffered_bytes))
            .await?
        {
            Buffered::Whole(bytes) => {
                let reservation = held.reserve(bytes.len() as u64);
                Ok(Self::Whole { bytes, reservation })
            }
            Buffered::Part { prefix, body } => Ok(Self::Stream {
                source: Rc::new(RefCell::new(Some(body))),
                prefix,
            }),
        }
    }

    /// Whether the body can still be sent.
    pub fn is_available(&self) -> bool {
        match self {
            Self::Whole { .. } => true,
            Self::Stream { source, .. } => source.borrow().is_some(),
        }
    }

    /// All bytes of a buffered body, or the first bytes of a stream.
    pub fn prefix(&self) -> &[u8] {
        match self {
            Self::Whole { bytes, .. } => bytes,
            Self::Stream { prefix, .. } => prefix,
        }
    }

    /// The body to send. A stream can be sent again as long as nothing of it has been read.
    pub fn body(&self) -> Body {
        match self {
            Self::Whole { bytes, .. } => Body::whole(bytes.clone()),
            Self::Stream { source, .. } => Body::stream(OnDemand::new(source.clone())),
        }
    }
}

/// A body that is taken from its source only when its first bytes are polled.
struct OnDemand {
    source: Rc<RefCell<Option<Body>>>,
    taken: Option<Body>,
    length: SizeHint,
}

impl OnDemand {
    fn new(source: Rc<RefCell<Option<Body>>>) -> Self {
        let length = source
            .borrow()
            .as_ref()
            .map(HttpBody::size_hint)
            .unwrap_or_default();
        Self {
            source,
            taken: None,
            length,
        }
    }
}

impl HttpBody for OnDemand {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.taken.is_none() {
            let body = self.source.borrow_mut().take();
            self.taken = body;
        }
        match &mut self.taken {
            Some(body) => Pin::new(body).poll_frame(context),
            None => Poll::Ready(Some(Err("the body has already been sent".into()))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.taken {
            Some(body) => body.size_hint(),
            None => self.length,
        }
    }
}

/// Bytes that were already read, followed by the rest of the body.
struct Prefixed {
    prefix: Option<Bytes>,
    rest: Body,
}

impl Prefixed {
    fn new(prefix: Bytes, rest: Body) -> Self {
        Self {
            prefix: Some(prefix),
            rest,
        }
    }
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

    fn is_end_stream(&self) -> bool {
        self.prefix.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        size_with_prefix(self.prefix.as_ref(), &self.rest)
    }
}

/// Size hint of a body of which `read` has been read and `rest` has not.
pub fn size_with_prefix(read: Option<&Bytes>, rest: &Body) -> SizeHint {
    let read = read.map_or(0, |bytes| bytes.len() as u64);
    let rest = rest.size_hint();
    let mut hint = SizeHint::new();
    hint.set_lower(rest.lower() + read);
    if let Some(upper) = rest.upper() {
        hint.set_upper(upper + read);
    }
    hint
}
