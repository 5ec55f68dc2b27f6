//! Paces large responses to the bandwidth of the machine's network link.
//!
//! A saturated link queues everything, including small responses, control calls and the cancellation of requests.
//! Large bodies are therefore sent one after the other, at no more than [`LARGE_BODY_RATE_SHARE`] of the link's rate. A body
//! whose transmission has started goes first, then the one that would finish first if it had the link to itself.
//! [`Link::expected_wait`] estimates how long one more large response would wait.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use tokio::time::{Instant, Sleep, sleep_until};

use crate::body::{Body, BodyError, size_with_prefix};
use crate::clock::whole_millis;

/// Bodies of at least this many bytes count as large: they are paced here, and limited when received from nodes.
pub const LARGE_BODY_BYTES: u64 = 16 * 1024;
/// Share of the link's rate that large responses may use.
const LARGE_BODY_RATE_SHARE: f64 = 0.88;
/// Links with at least this rate, in bits per second, aren't paced: they carry more than the machine sends.
const UNLIMITED_BITS_PER_S: f64 = 500e6;
/// How long one chunk of a large response occupies the link.
const CHUNK_TIME: Duration = Duration::from_millis(12);
/// Minimum and maximum length of a chunk, in bytes.
const CHUNK_BYTES: (f64, f64) = (8.0 * 1024.0, 256.0 * 1024.0);
/// Idle time of the link that can be made up for by sending faster afterwards; older idle time is lost.
const MAX_IDLE_CREDIT: Duration = Duration::from_millis(4);
/// Initial estimate of the mean length of a large response, in bytes.
const INITIAL_MEAN_LENGTH: f64 = 64.0 * 1024.0;
/// Weight of a new length in the moving average of response lengths.
const SMOOTHING: f64 = 0.1;

/// Position of a response in the queue: responses already started come first, then by the time at which each would
/// finish if it had the link to itself, in milliseconds. This order keeps long responses from starving behind later
/// short ones. The last element breaks ties.
type QueuePosition = (bool, u64, u64);

/// The network link of this machine.
pub struct Link {
    /// Bytes per second that large responses may use; `None` if they aren't paced.
    rate: Option<f64>,
    free_at: Cell<Instant>,
    created_at: Instant,
    waiting: RefCell<BTreeMap<QueuePosition, Waker>>,
    next: Cell<u64>,
    /// Bytes of large responses that haven't been sent yet.
    queued: Cell<u64>,
    /// Requests running at the target whose responses are expected to be large.
    expected: Cell<u32>,
    mean_length: Cell<f64>,
}

impl Link {
    /// A link of `megabits` Mbit/s; `None` if its rate is unknown, in which case nothing is paced.
    pub fn new(megabits: Option<f64>) -> Rc<Self> {
        let bits = megabits.map(|megabits| megabits * 1e6);
        let rate = bits.filter(|bits| *bits < UNLIMITED_BITS_PER_S);
        Rc::new(Self {
            rate: rate.map(|bits| bits / 8.0 * LARGE_BODY_RATE_SHARE),
            free_at: Cell::new(Instant::now()),
            created_at: Instant::now(),
            waiting: RefCell::default(),
            next: Cell::new(0),
            queued: Cell::new(0),
            expected: Cell::new(0),
            mean_length: Cell::new(INITIAL_MEAN_LENGTH),
        })
    }

    /// Bytes of large responses that haven't been sent yet.
    pub fn queued(&self) -> u64 {
        self.queued.get()
    }

    /// Estimates how long one more large response would wait for those queued and expected.
    pub fn expected_wait(&self) -> Duration {
        let Some(rate) = self.rate else {
            return Duration::ZERO;
        };
        let coming = f64::from(self.expected.get()) * self.mean_length.get();
        Duration::from_secs_f64((self.queued.get() as f64 + coming) / rate)
    }

    /// Registers a request at the target whose response is likely to be large; it counts until the guard is dropped.
    pub fn expect(self: &Rc<Self>) -> ExpectedResponse {
        self.expected.set(self.expected.get() + 1);
        ExpectedResponse(self.clone())
    }

    /// Paces `body` if it is large or of unknown length; returns a small one unchanged.
    pub fn pace(self: &Rc<Self>, body: Body) -> Body {
        let length = body.size_hint().exact();
        if self.rate.is_none() || length.is_some_and(|length| length < LARGE_BODY_BYTES) {
            return body;
        }
        if let Some(length) = length {
            let known = self.mean_length.get();
            self.mean_length
                .set(known + SMOOTHING * (length as f64 - known));
        }
        let unsent = length.unwrap_or(0);
        self.queued.set(self.queued.get() + unsent);
        let number = self.next.get();
        self.next.set(number + 1);
        Body::stream(Paced {
            inner: body,
            link: self.clone(),
            unsent,
            has_started: false,
            finish_at_ms: self.finish_at_ms(unsent),
            number,
            chunk: None,
            place: None,
            sleep: None,
        })
    }

    /// When a body of this length would be completely sent if it had the link to itself, in milliseconds since the
    /// link was created.
    fn finish_at_ms(&self, length: u64) -> u64 {
        let alone = length as f64 / self.rate.unwrap_or(f64::INFINITY);
        let through = self.created_at.elapsed() + Duration::from_secs_f64(alone);
        whole_millis(through)
    }

    fn chunk_length(&self) -> usize {
        let (least, most) = CHUNK_BYTES;
        let rate = self.rate.unwrap_or(most);
        (rate * CHUNK_TIME.as_secs_f64()).clamp(least, most) as usize
    }

    /// Marks the link as occupied for the time that `length` bytes take.
    fn occupy(&self, now: Instant, length: usize) {
        let Some(rate) = self.rate else {
            return;
        };
        let from = self
            .free_at
            .get()
            .max(now.checked_sub(MAX_IDLE_CREDIT).unwrap_or(now));
        self.free_at
            .set(from + Duration::from_secs_f64(length as f64 / rate));
    }

    fn is_next(&self, place: QueuePosition) -> bool {
        self.waiting
            .borrow()
            .first_key_value()
            .is_none_or(|(first, _)| *first >= place)
    }

    fn leave(&self, place: QueuePosition) {
        self.waiting.borrow_mut().remove(&place);
        self.wake_next();
    }

    fn wake_next(&self) {
        if let Some((_, waker)) = self.waiting.borrow().first_key_value() {
            waker.wake_by_ref();
        }
    }
}

/// Counts a large response as expected until dropped.
pub struct ExpectedResponse(Rc<Link>);

impl Drop for ExpectedResponse {
    fn drop(&mut self) {
        self.0.expected.set(self.0.expected.get().saturating_sub(1));
    }
}

/// A large body that is being sent over the link.
struct Paced {
    inner: Body,
    link: Rc<Link>,
    /// Bytes that haven't been sent, as far as the length is known.
    unsent: u64,
    has_started: bool,
    finish_at_ms: u64,
    number: u64,
    /// Bytes that were read from the body and wait for the link.
    chunk: Option<Bytes>,
    place: Option<QueuePosition>,
    sleep: Option<Pin<Box<Sleep>>>,
}

impl Paced {
    /// Waits until this body may send its next chunk.
    fn poll_link(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let place = *self
            .place
            .get_or_insert((!self.has_started, self.finish_at_ms, self.number));
        self.link
            .waiting
            .borrow_mut()
            .insert(place, context.waker().clone());
        loop {
            if !self.link.is_next(place) {
                self.sleep = None;
                return Poll::Pending;
            }
            let free_at = self.link.free_at.get();
            if Instant::now() >= free_at {
                return Poll::Ready(());
            }
            let sleep = self.sleep.insert(Box::pin(sleep_until(free_at)));
            if sleep.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
        }
    }

    fn leave_queue(&mut self) {
        self.sleep = None;
        if let Some(place) = self.place.take() {
            self.link.leave(place);
        }
    }

    fn count_sent(&mut self, length: u64) {
        let counted = length.min(self.unsent);
        self.unsent -= counted;
        let queued = self.link.queued.get();
        self.link.queued.set(queued.saturating_sub(counted));
    }
}

impl HttpBody for Paced {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.as_mut().get_mut();
        if this.chunk.as_ref().is_none_or(Bytes::is_empty) {
            let frame = match Pin::new(&mut this.inner).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => frame,
                other => return other,
            };
            match frame.into_data() {
                Ok(data) => this.chunk = Some(data),
                Err(trailers) => return Poll::Ready(Some(Ok(trailers))),
            }
        }
        if this.poll_link(context).is_pending() {
            return Poll::Pending;
        }
        let Some(mut waiting) = this.chunk.take() else {
            return Poll::Pending;
        };
        let chunk = waiting.split_to(waiting.len().min(this.link.chunk_length()));
        this.chunk = Some(waiting).filter(|rest| !rest.is_empty());
        this.link.occupy(Instant::now(), chunk.len());
        this.has_started = true;
        this.leave_queue();
        this.count_sent(chunk.len() as u64);
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.chunk.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        size_with_prefix(self.chunk.as_ref(), &self.inner)
    }
}

impl Drop for Paced {
    fn drop(&mut self) {
        self.leave_queue();
        let queued = self.link.queued.get();
        self.link.queued.set(queued.saturating_sub(self.unsent));
    }
}
