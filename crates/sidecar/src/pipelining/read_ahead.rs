//! Decides which requests of a connection may start before earlier ones are answered.
//!
//! The caller passes the bytes that arrive, and reports when the HTTP server takes a request and when the response
//! has ended. The first unanswered request is the *current* one; requests behind it that already run were started
//! *ahead*. This module does no I/O.

use bytes::{Buf, BytesMut};
use http::Request;

use super::chunks::{ChunkedBody, Skipped};
use super::head::{AfterHead, HeadError, scan};

/// Maximum number of requests of one connection that run at once behind the current one. A page of a client
/// application requests about this many resources at a time; a connection with more of them gets them in several
/// rounds.
pub const MAX_STARTED_AHEAD: usize = 8;

/// Why reading ahead on a connection has stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// The next bytes aren't a valid head or exceed the length limit; the HTTP server rejects them when their turn
    /// comes.
    BrokenHead,
    /// The end of the last request can't be determined, or nothing after it is read.
    EndUnknown,
    /// The HTTP server took a request that wasn't seen here.
    OutOfStep,
}

/// The part of a body that hasn't arrived yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyLeft {
    /// This many bytes.
    Bytes(u64),
    /// More chunks.
    Chunks(ChunkedBody),
}

impl BodyLeft {
    const NONE: Self = Self::Bytes(0);
}

/// The requests of one connection that have arrived and aren't answered yet.
#[derive(Debug)]
pub struct ReadAhead {
    /// Bytes received after the last request that was found.
    unscanned: BytesMut,
    /// What hasn't arrived yet of the body of the last request that was found.
    body_left: BodyLeft,
    /// Number of requests that were found and aren't answered.
    unanswered: usize,
    /// How many of `unanswered` were started ahead and not yet taken by the HTTP server.
    ahead: usize,
    /// The head of the current request was found, and the HTTP server hasn't taken it yet.
    current_untaken: bool,
    /// Whether other requests may run concurrently with the current one.
    current_is_concurrent: bool,
    stopped: Option<StopReason>,
    /// Maximum length of a request head, in bytes.
    max_head_bytes: usize,
}

impl ReadAhead {
    /// A connection on which nothing has arrived; heads have at most `max_head_bytes` bytes.
    pub fn new(max_head_bytes: usize) -> Self {
        Self {
            unscanned: BytesMut::new(),
            body_left: BodyLeft::NONE,
            unanswered: 0,
            ahead: 0,
            current_untaken: false,
            current_is_concurrent: false,
            stopped: None,
            max_head_bytes,
        }
    }

    /// Adds bytes that were received.
    pub fn arrived(&mut self, bytes: &[u8]) {
        if self.stopped.is_some() {
            return;
        }
        let mut bytes = self.skip_body(bytes);
        if self.unscanned.is_empty() && self.unanswered == 0 {
            // Fast path: one request at a time, received in one piece. Nothing of it is buffered.
            let length = self.scan_current(bytes);
            bytes = self.skip_body(&bytes[length..]);
        }
        if self.stopped.is_none() {
            self.unscanned.extend_from_slice(bytes);
            self.find_current();
        }
    }

    /// The HTTP server has taken the current request; `is_concurrent` is whether others may run concurrently with
    /// it. Returns whether it was started ahead.
    pub fn taken(&mut self, is_concurrent: bool) -> bool {
        self.current_is_concurrent = is_concurrent;
        if std::mem::take(&mut self.current_untaken) {
            return false;
        }
        if self.ahead > 0 {
            self.ahead -= 1;
            return true;
        }
        if self.stopped.is_none() {
            self.out_of_step();
        }
        self.unanswered += 1;
        false
    }

    /// The response to the request that was taken last has ended.
    pub fn answered(&mut self) {
        self.unanswered = self.unanswered.saturating_sub(1);
        self.find_current();
    }

    /// Returns the next request to start, in order of arrival. `may_start` can refuse it.
    pub fn start(&mut self, may_start: impl FnOnce(&Request<()>) -> bool) -> Option<Request<()>> {
        if !self.may_start() {
            return None;
        }
        match scan(&self.unscanned, true) {
            Ok(head) => {
                let request = head.request.filter(may_start);
                if request.is_none() {
                    // It waits for its turn, and so do those behind it.
                    self.current_is_concurrent = false;
                    return None;
                }
                self.unscanned.advance(head.length);
                self.set_remaining_body(head.behind);
                self.unanswered += 1;
                self.ahead += 1;
                self.release_buffer();
                request
            }
            Err(HeadError::Partial) => None,
            Err(HeadError::Broken) => {
                self.stop(StopReason::BrokenHead);
                None
            }
        }
    }

    /// No other request may run concurrently with the current one.
    pub fn require_exclusive(&mut self) {
        self.current_is_concurrent = false;
    }

    /// Whether [`Self::start`] may return a request.
    pub fn may_start(&self) -> bool {
        self.may_start_more() && !self.unscanned.is_empty()
    }

    /// The HTTP server took another request than the one started ahead: forgets all started requests and stops
    /// reading ahead.
    pub fn out_of_step(&mut self) {
        self.unanswered = self.unanswered.saturating_sub(self.ahead);
        self.ahead = 0;
        self.stop(StopReason::OutOfStep);
    }

    /// Why reading ahead has stopped, or `None` if it goes on.
    pub fn stopped(&self) -> Option<StopReason> {
        self.stopped
    }

    /// Number of requests that were started ahead and not yet taken by the HTTP server.
    pub fn ahead(&self) -> usize {
        self.ahead
    }

    /// Whether more bytes could reveal another request, or the client's close, while a request is in progress.
    pub fn wants_more(&self) -> bool {
        self.unanswered > 0 && self.body_left == BodyLeft::NONE && self.stopped.is_none()
    }

    /// Whether more than `length` bytes of the last request's body are certainly missing.
    pub fn lacks_body(&self, length: u64) -> bool {
        match self.body_left {
            BodyLeft::Bytes(left) => left > length,
            // At least the end of the last line is missing.
            BodyLeft::Chunks(_) => length == 0,
        }
    }

    /// Whether bytes have arrived behind the last request that was found.
    pub fn has_unscanned(&self) -> bool {
        !self.unscanned.is_empty()
    }

    /// Whether everything that has arrived belongs to answered requests.
    pub fn is_idle(&self) -> bool {
        self.unanswered == 0
            && self.body_left == BodyLeft::NONE
            && self.unscanned.is_empty()
            && self.stopped.is_none()
    }

    /// Stops starting requests ahead; requests already started go on.
    fn stop(&mut self, why: StopReason) {
        self.stopped = Some(why);
        self.current_is_concurrent = false;
        self.unscanned = BytesMut::new();
    }

    fn may_start_more(&self) -> bool {
        self.current_is_concurrent
            && !self.current_untaken
            && self.stopped.is_none()
            && self.ahead < MAX_STARTED_AHEAD
    }

    /// Returns what follows the rest of the current body in `bytes`.
    fn skip_body<'bytes>(&mut self, bytes: &'bytes [u8]) -> &'bytes [u8] {
        let (skipped, left) = match &mut self.body_left {
            BodyLeft::Bytes(left) => {
                let skipped = bytes
                    .len()
                    .min(usize::try_from(*left).unwrap_or(usize::MAX));
                (skipped, BodyLeft::Bytes(*left - skipped as u64))
            }
            BodyLeft::Chunks(chunks) => match chunks.skip(bytes) {
                Skipped::All => (bytes.len(), BodyLeft::Chunks(*chunks)),
                Skipped::Until(end) => (end, BodyLeft::NONE),
                Skipped::Broken => {
                    self.stop(StopReason::EndUnknown);
                    return &[];
                }
            },
        };
        self.body_left = left;
        &bytes[skipped..]
    }

    /// Finds the head of the next current request at the start of `bytes`. Returns its length, or 0 if there is no
    /// complete head.
    fn scan_current(&mut self, bytes: &[u8]) -> usize {
        match scan(bytes, false) {
            Err(HeadError::Partial) => 0,
            Err(HeadError::Broken) => {
                self.stop(StopReason::BrokenHead);
                0
            }
            Ok(head) => {
                self.unanswered += 1;
                self.current_untaken = true;
                self.set_remaining_body(head.behind);
                head.length
            }
        }
    }

    /// If no request is in progress, the first one in the buffer becomes the current request.
    fn find_current(&mut self) {
        if self.unanswered > 0 || self.unscanned.is_empty() || self.stopped.is_some() {
            return;
        }
        let bytes = std::mem::take(&mut self.unscanned);
        let length = self.scan_current(&bytes);
        if self.stopped.is_some() {
            return;
        }
        let behind = self.skip_body(&bytes[length..]);
        if self.stopped.is_some() {
            return;
        }
        let skipped = bytes.len() - behind.len();
        self.unscanned = bytes;
        self.unscanned.advance(skipped);
        self.check_head_length();
        self.release_buffer();
    }

    /// Sets the remaining body length from what follows a head.
    fn set_remaining_body(&mut self, behind: AfterHead) {
        match behind {
            AfterHead::Body(length) => self.body_left = BodyLeft::Bytes(length),
            AfterHead::Chunks => self.body_left = BodyLeft::Chunks(ChunkedBody::new()),
            AfterHead::Unknown => self.stop(StopReason::EndUnknown),
        }
    }

    /// Stops if the buffer exceeds the maximum head length without a complete head.
    fn check_head_length(&mut self) {
        if self.unanswered == 0 && self.unscanned.len() > self.max_head_bytes {
            self.stop(StopReason::BrokenHead);
        }
    }

    /// Frees the allocation of an empty buffer, so that an idle connection keeps none.
    fn release_buffer(&mut self) {
        if self.unscanned.is_empty() {
            self.unscanned = BytesMut::new();
        }
    }
}
