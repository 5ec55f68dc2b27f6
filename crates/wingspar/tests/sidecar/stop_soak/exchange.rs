//! What became of a request, and what is wrong with it.

use std::time::{Duration, Instant};

use super::client::Habit;
use super::{ANSWER, GRACE, Plan};
use crate::raw_client::RawReply;

/// How long a node may take to read bytes that have been sent.
const READ_TIME: Duration = Duration::from_millis(200);
/// How long a node's process is suspended at most.
pub const LONGEST_FREEZE: Duration = Duration::from_millis(400);
/// Requests that were sent until then after SIGTERM may be given up at the end of the grace time.
const MAY_OUTLAST: Duration = Duration::from_secs(3);
/// Difference between the clocks of a node and its client, which see bytes at other times.
const TOLERANCE: Duration = Duration::from_millis(150);
/// Statuses that promise that the request hasn't run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// A request whose answer was due, and how the connection ended.
#[derive(Debug)]
pub struct Exchange {
    pub id: String,
    pub habit: Habit,
    /// The node that its client was connected to.
    pub node: usize,
    /// Whether it may run more than once.
    pub may_repeat: bool,
    /// How long its client waits.
    pub deadline: Duration,
    /// When its head had been sent.
    pub began: Instant,
    /// When its last byte was sent; `None` if it wasn't sent whole.
    pub sent: Option<Instant>,
    /// The answer, if there is any part of one.
    pub reply: Option<RawReply>,
    /// When the answer was whole, the connection ended, or the client gave up.
    pub ended: Instant,
    /// Whether the client gave up.
    pub gave_up: bool,
    /// The answer before it on its connection, if that one was the connection's last.
    pub last_answer: Option<LastAnswer>,
}

/// An answer after which a connection couldn't be used any more: it announced the close, or wasn't whole.
#[derive(Debug)]
pub struct LastAnswer {
    /// When it ended.
    pub ended: Instant,
    /// What it was, for a failure's text.
    pub description: String,
}

/// What happened to the nodes beside the requests.
pub struct Events<'plan> {
    /// What was played.
    pub plan: &'plan Plan,
    /// When nodes got SIGTERM.
    pub stops: Vec<Instant>,
}

impl Exchange {
    pub fn is_whole(&self) -> bool {
        self.reply.as_ref().is_some_and(|reply| reply.whole)
    }

    /// This answer as the last one of its connection, on which another request was sent.
    pub fn as_last_answer(&self) -> LastAnswer {
        let reply = self.reply.as_ref();
        let description = reply.map_or("none".to_owned(), |reply| {
            let RawReply {
                status,
                whole,
                body,
                ..
            } = reply;
            let connection = reply.header("connection");
            format!(
                "{status}, whole {whole}, {} bytes, connection {connection:?}",
                body.len()
            )
        });
        LastAnswer {
            ended: self.ended,
            description,
        }
    }

    fn status(&self) -> Option<u16> {
        self.reply.as_ref().map(|reply| reply.status)
    }

    /// What is wrong with it, given how often targets have run the request.
    pub fn problem(&self, runs: usize, events: &Events) -> Option<String> {
        let is_calm = !events.plan.kills;
        let found = [
            (runs > 1 && !self.may_repeat, "run more than once"),
            (
                runs > 0 && self.promises_not_run(),
                "run despite its promise",
            ),
            (self.is_garbled(), "another answer"),
            (is_calm && self.is_lost(runs, events), "lost"),
            (is_calm && self.is_broken_off(runs, events), "broken off"),
        ];
        let (_, what) = found.into_iter().find(|(is_wrong, _)| *is_wrong)?;
        let received = self.reply.as_ref().map_or(0, |reply| reply.body.len());
        let took = |time: Option<Instant>| time.map(|time| time - self.began);
        let stops = events.stops.iter();
        let since_stops = stops
            .filter(|stop| **stop <= self.ended && **stop + 2 * GRACE > self.began)
            .map(|stop| self.ended.duration_since(*stop));
        Some(format!(
            "{} ({:?}, node {}) {what}: run {runs} times, status {:?}, {received} bytes of the answer, sent after {:?}, ended \
             after {:?}, of {:?}, last answer before it: {:?}; SIGTERM so long before the end: {:?}",
            self.id,
            self.habit,
            self.node,
            self.status(),
            took(self.sent),
            self.ended - self.began,
            self.deadline,
            self.last_answer.as_ref().map(|answer| &answer.description),
            since_stops.collect::<Vec<_>>(),
        ))
    }

    fn promises_not_run(&self) -> bool {
        let status = self.status().filter(|_| self.is_whole());
        status.is_some_and(|status| NOT_RUN.contains(&status))
    }

    /// Whether a whole answer of a target isn't the one to this request.
    fn is_garbled(&self) -> bool {
        let own = |reply: &RawReply| {
            reply.header("x-wingspar-request-id") == Some(&self.id) && reply.body.len() == ANSWER
        };
        let reply = self.reply.as_ref();
        reply.is_some_and(|reply| reply.is_success() && !own(reply))
    }

    /// Whether it ended without a whole answer although one was due.
    fn is_lost(&self, runs: usize, events: &Events) -> bool {
        let begun = self.reply.is_some();
        let has_run = runs > 0;
        match self.habit {
            Habit::Rejected => begun && !(self.is_whole() && self.sent.is_some()),
            Habit::Endless => false,
            _ if self.is_whole() => false,
            _ if events.plan.has_long_work() && self.is_past_deadline() => self.is_silent(),
            _ if begun => !(events.plan.has_long_work() && self.may_be_given_up(events)),
            _ => has_run || self.was_read(events),
        }
    }

    /// Whether the client gave up: the connection was open without an answer long after the deadline.
    fn is_silent(&self) -> bool {
        self.reply.is_none() && self.gave_up
    }

    fn last_byte(&self) -> Instant {
        self.sent.unwrap_or(self.ended)
    }

    fn is_past_deadline(&self) -> bool {
        self.ended + TOLERANCE >= self.began + self.deadline
    }

    /// Whether the node had the time to read it whole, on a connection whose close hadn't been announced.
    fn was_read(&self, events: &Events) -> bool {
        let freeze = if events.plan.freezes {
            LONGEST_FREEZE + TOLERANCE
        } else {
            Duration::ZERO
        };
        let is_due = |end: Instant| {
            let waited = self.sent.map(|sent| end.saturating_duration_since(sent));
            waited.is_some_and(|waited| waited > READ_TIME + freeze)
        };
        let last_answer = self.last_answer.as_ref().map(|answer| answer.ended);
        is_due(last_answer.unwrap_or(self.ended).min(self.ended))
    }

    /// Whether a node answered in place of a target that was at work on it.
    fn is_broken_off(&self, runs: usize, events: &Events) -> bool {
        let is_own = matches!(self.status(), Some(502 | 504)) && self.is_whole();
        let is_allowed = matches!(self.habit, Habit::Endless)
            || self.is_past_deadline()
            || self.may_be_given_up(events);
        runs > 0 && is_own && !is_allowed
    }

    /// Whether it was sent early enough in a stop, and ended late enough in it, to be given up.
    fn may_be_given_up(&self, events: &Events) -> bool {
        events.stops.iter().any(|stop| {
            self.last_byte() <= *stop + MAY_OUTLAST
                && self.ended + TOLERANCE >= *stop + GRACE - GRACE / 6
                && self.ended <= *stop + GRACE + TOLERANCE
        })
    }
}

/// How long a client with such a deadline waits for an answer.
pub fn patience(deadline: Duration) -> Duration {
    deadline + Duration::from_secs(3)
}
