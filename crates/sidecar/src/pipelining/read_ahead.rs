//! Which requests of a connection may start before those ahead of them are answered.
//!
//! Sees the bytes that arrive, and is told when the HTTP server takes a request and when its answer has ended. The first
//! request that isn't answered is the *current* one; those behind it that run already were started *ahead*. Does no
//! input or output.

use bytes::{Buf, BytesMut};
use http::Request;

use super::head::{Behind, NoHead, scan};

/// Requests of one connection that run at once, behind the one whose turn it is. A page of a client's application asks
/// for about as many things at a time; a connection that asks for more is served in steps.
pub const MOST_AHEAD: usize = 8;

/// Why reading ahead on a connection has stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stopped {
    /// Something that isn't a head, or is too long for one; the HTTP server refuses it when its turn comes.
    BrokenHead,
    /// What follows the last request can't be told apart from its body, or isn't read any more.
    EndUnknown,
    /// The HTTP server took a request that wasn't seen here.
    OutOfStep,
}

/// The requests of one connection that have arrived and aren't answered yet.
#[derive(Debug)]
pub struct ReadAhead {
    /// Bytes that have arrived behind the last request that was seen.
    unscanned: BytesMut,
    /// Bytes of that request's body that are still to come.
    body_left: u64,
    /// Requests that have been seen and aren't answered.
    unanswered: usize,
    /// Those of them that were started ahead and that the HTTP server has not taken.
    ahead: usize,
    /// The head of the current request has been seen, and the HTTP server hasn't taken it.
    current_untaken: bool,
    /// Whether others may run beside the current request.
    current_may_share: bool,
    stopped: Option<Stopped>,
    /// Bytes beyond which there is no head.
    longest_head: usize,
}

impl ReadAhead {
    /// A connection on which nothing has arrived; heads have at most `longest_head` bytes.
    pub fn new(longest_head: usize) -> Self {
        Self {
            unscanned: BytesMut::new(),
            body_left: 0,
            unanswered: 0,
            ahead: 0,
            current_untaken: false,
            current_may_share: false,
            stopped: None,
            longest_head,
        }
    }

    /// Bytes have arrived.
    pub fn arrived(&mut self, bytes: &[u8]) {
        if self.stopped.is_some() {
            return;
        }
        let mut bytes = self.skip_body(bytes);
        if self.unscanned.is_empty() && self.unanswered == 0 {
            // The usual case: one request at a time, each in one piece. Nothing of it is kept.
            let length = self.see_current(bytes);
            bytes = self.skip_body(&bytes[length..]);
        }
        if self.stopped.is_none() {
            self.unscanned.extend_from_slice(bytes);
            self.look_for_current();
        }
    }

    /// The HTTP server has taken the current request; `may_share` says whether others may run beside it. Returns
    /// whether it was started ahead.
    pub fn taken(&mut self, may_share: bool) -> bool {
        self.current_may_share = may_share;
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

    /// The answer to the request that was taken last has ended.
    pub fn answered(&mut self) {
        self.unanswered = self.unanswered.saturating_sub(1);
        self.look_for_current();
    }

    /// The next request that may start now, in order, if `may_start` says so of it.
    pub fn start(&mut self, may_start: impl FnOnce(&Request<()>) -> bool) -> Option<Request<()>> {
        if !self.may_start() {
            return None;
        }
        match scan(&self.unscanned, true) {
            Ok(head) => {
                let request = head.request.filter(may_start);
                if request.is_none() {
                    // It waits for its turn, and so do those behind it.
                    self.current_may_share = false;
                    return None;
                }
                self.unscanned.advance(head.length);
                self.follow(head.behind);
                self.unanswered += 1;
                self.ahead += 1;
                self.free_unused();
                request
            }
            Err(NoHead::Partial) => None,
            Err(NoHead::Broken) => {
                self.give_up(Stopped::BrokenHead);
                None
            }
        }
    }

    /// The current request runs alone.
    pub fn run_alone(&mut self) {
        self.current_may_share = false;
    }

    /// Whether [`Self::start`] may have something to start.
    pub fn may_start(&self) -> bool {
        self.may_start_more() && !self.unscanned.is_empty()
    }

    /// What was started ahead isn't what the HTTP server takes: all of it is forgotten, and nothing more is started.
    pub fn out_of_step(&mut self) {
        self.unanswered = self.unanswered.saturating_sub(self.ahead);
        self.ahead = 0;
        self.give_up(Stopped::OutOfStep);
    }

    /// Why nothing is started ahead any more; nothing if it is.
    pub fn stopped(&self) -> Option<Stopped> {
        self.stopped
    }

    /// Requests that were started ahead and that the HTTP server has not taken.
    pub fn ahead(&self) -> usize {
        self.ahead
    }

    /// Whether reading on could show another request, or the client's end, while one is being answered.
    pub fn wants_more(&self) -> bool {
        self.unanswered > 0 && self.body_left == 0 && self.stopped.is_none()
    }

    /// Whether all that has arrived belongs to requests that are answered.
    pub fn is_at_rest(&self) -> bool {
        self.unanswered == 0
            && self.body_left == 0
            && self.unscanned.is_empty()
            && self.stopped.is_none()
    }

    /// Nothing is started ahead any more; what was started stays.
    fn give_up(&mut self, why: Stopped) {
        self.stopped = Some(why);
        self.current_may_share = false;
        self.unscanned = BytesMut::new();
    }

    fn may_start_more(&self) -> bool {
        self.current_may_share
            && !self.current_untaken
            && self.stopped.is_none()
            && self.ahead < MOST_AHEAD
    }

    fn skip_body<'bytes>(&mut self, bytes: &'bytes [u8]) -> &'bytes [u8] {
        let skipped = bytes
            .len()
            .min(usize::try_from(self.body_left).unwrap_or(usize::MAX));
        self.body_left -= skipped as u64;
        &bytes[skipped..]
    }

    /// Sees the head of the next current request at the beginning of some bytes; its length, 0 without one.
    fn see_current(&mut self, bytes: &[u8]) -> usize {
        match scan(bytes, false) {
            Err(NoHead::Partial) => 0,
            Err(NoHead::Broken) => {
                self.give_up(Stopped::BrokenHead);
                0
            }
            Ok(head) => {
                self.unanswered += 1;
                self.current_untaken = true;
                self.follow(head.behind);
                head.length
            }
        }
    }

    /// If nothing is being answered, what stands first becomes the current request.
    fn look_for_current(&mut self) {
        if self.unanswered > 0 || self.unscanned.is_empty() || self.stopped.is_some() {
            return;
        }
        let bytes = std::mem::take(&mut self.unscanned);
        let length = self.see_current(&bytes);
        if self.stopped.is_some() {
            return;
        }
        let behind = self.skip_body(&bytes[length..]);
        let skipped = bytes.len() - behind.len();
        self.unscanned = bytes;
        self.unscanned.advance(skipped);
        self.check_length();
        self.free_unused();
    }

    /// Takes in what follows a head.
    fn follow(&mut self, behind: Behind) {
        match behind {
            Behind::Body(length) => self.body_left = length,
            Behind::Unknown => self.give_up(Stopped::EndUnknown),
        }
    }

    /// A head that isn't whole after so many bytes is none.
    fn check_length(&mut self) {
        if self.unanswered == 0 && self.unscanned.len() > self.longest_head {
            self.give_up(Stopped::BrokenHead);
        }
    }

    /// A connection that rests keeps no buffer.
    fn free_unused(&mut self) {
        if self.unscanned.is_empty() {
            self.unscanned = BytesMut::new();
        }
    }
}
