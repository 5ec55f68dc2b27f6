//! A ticket's life in the HTTP front: ended exactly once, whatever becomes of the request.

use std::sync::{Arc, Mutex, PoisonError};

use bytes::{Bytes, BytesMut};
use wingspar_agent::{Finish, Ticket};

use super::SharedAgent;
use crate::body::{BodyEnd, BodyWatcher};
use crate::clock::Clock;

/// Ends its ticket as cancelled when dropped before it was ended otherwise, so that a caller who
/// goes away frees the slot at once.
pub(super) struct RunningTicket {
    agent: SharedAgent,
    clock: Clock,
    ticket: Option<Ticket>,
}

impl RunningTicket {
    pub(super) fn new(agent: SharedAgent, clock: Clock, ticket: Ticket) -> Self {
        Self {
            agent,
            clock,
            ticket: Some(ticket),
        }
    }

    pub(super) fn finish(&mut self, finish: Finish) {
        if let Some(ticket) = self.ticket.take() {
            self.agent.finish((self.clock)(), ticket, finish);
        }
    }
}

impl Drop for RunningTicket {
    fn drop(&mut self) {
        self.finish(Finish::Cancelled);
    }
}

/// Tells the deadline's watch that the answer's end has passed.
pub(super) type Ended = Arc<tokio::sync::Notify>;

/// Follows an answer's body to its end and keeps a small one for replay.
pub(super) struct AnswerWatcher {
    // A mutex only to be `Sync`, as the server library wants; there is no second holder.
    ticket: Mutex<RunningTicket>,
    status: u16,
    content_type: Option<String>,
    kept: Option<BytesMut>,
    keep_limit: usize,
    ended: Ended,
}

impl AnswerWatcher {
    /// `keep_limit` is the largest body kept, in bytes; `None` keeps none.
    pub(super) fn new(
        ticket: RunningTicket,
        status: u16,
        content_type: Option<String>,
        keep_limit: Option<usize>,
        ended: Ended,
    ) -> Self {
        Self {
            ticket: Mutex::new(ticket),
            status,
            content_type,
            kept: keep_limit.map(|_| BytesMut::new()),
            keep_limit: keep_limit.unwrap_or_default(),
            ended,
        }
    }
}

impl BodyWatcher for AnswerWatcher {
    fn on_data(&mut self, data: &Bytes) {
        let Some(kept) = &mut self.kept else {
            return;
        };
        if kept.len() + data.len() <= self.keep_limit {
            kept.extend_from_slice(data);
        } else {
            self.kept = None;
        }
    }

    fn on_end(&mut self, end: BodyEnd) {
        let kept = self.kept.take();
        let finish = match end {
            BodyEnd::Whole => Finish::Ran {
                status: self.status,
                content_type: self.content_type.take(),
                body: kept.map(BytesMut::freeze),
            },
            // Broken off: the work may have been given up halfway, whatever the status said.
            BodyEnd::Truncated => Finish::Unknown,
            BodyEnd::Abandoned => Finish::Cancelled,
        };
        let ticket = self.ticket.get_mut();
        let ticket = ticket.unwrap_or_else(PoisonError::into_inner);
        ticket.finish(finish);
        self.ended.notify_one();
    }
}
