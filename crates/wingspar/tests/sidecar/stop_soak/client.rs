//! Clients and their habits.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use super::connection::{Connection, Request};
use super::exchange::{Exchange, LastAnswer, patience};

/// Bytes of a body behind a request that is being answered.
const BODY_BEHIND: usize = 60_000;
/// Bytes of a body that is rejected.
const REJECTED_BODY: usize = 3_000_000;
/// Bytes of a body that is sent late or slowly.
const LATE_BODY: usize = 40;
/// Requests that a client sends on one connection at most.
const MOST_ON_A_CONNECTION: usize = 40;
/// How long a client waits for an answer that it doesn't read late.
const DEADLINE: Duration = Duration::from_secs(5);
/// How long clients wait, some of them beyond the grace time, in milliseconds.
const DEADLINES_MS: [u64; 4] = [1_500, 3_000, 5_000, 8_000];
/// How late the end of a head comes, in milliseconds: nodes wait for 3 s.
const HEAD_MS: std::ops::Range<u64> = 200..2_900;
/// How late the end of a body comes, in milliseconds.
const BODY_MS: std::ops::Range<u64> = 200..4_500;
/// Time between two requests of a kept connection, in milliseconds.
const KEPT_MS: std::ops::Range<u64> = 0..3_000;
/// Paths whose requests may be repeated, may not, and have a key.
const PATHS: [&str; 3] = ["/orders/1", "/patient/1", "/stock/1"];

/// What a client does with a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Habit {
    /// Sends the next request when the answer has arrived.
    Sequential,
    /// As before, and reads slowly.
    Slow,
    /// Sends a body behind a request that is being answered, and reads slowly.
    BodyBehind,
    /// Is rejected while it sends a body.
    Rejected,
    /// Uses the connection again after a long pause, for requests that can't be repeated.
    Kept,
    /// Ends a head late.
    LateHead,
    /// Ends a body late.
    LateBody,
    /// Sends a byte at a time.
    Drip,
    /// Sends a request behind one that is being answered.
    Behind,
    /// Reads an answer slowly that its target doesn't end.
    Endless,
}

impl Habit {
    fn is_slow(self) -> bool {
        matches!(self, Self::Slow | Self::BodyBehind | Self::Endless)
    }
}

/// One client: a connection after the other until the end.
pub struct Client {
    pub name: String,
    pub nodes: Vec<SocketAddr>,
    /// The node that it is connected to.
    pub node: usize,
    pub habits: &'static [Habit],
    pub random: ChaCha8Rng,
    pub is_over: Arc<AtomicBool>,
    pub exchanges: Vec<Exchange>,
}

/// A request of a client before its answer has come.
struct Sending {
    id: String,
    habit: Habit,
    may_repeat: bool,
    deadline: Duration,
    began: Instant,
    sent: Option<Instant>,
}

impl Client {
    pub async fn run(mut self) -> Vec<Exchange> {
        for number in 0.. {
            if self.is_over.load(Ordering::Relaxed) {
                break;
            }
            self.node = self.random.random_range(0..self.nodes.len());
            let node = self.nodes[self.node];
            let habit = self.habits[self.random.random_range(0..self.habits.len())];
            let Ok(connection) = Connection::open(node).await else {
                sleep(Duration::from_millis(50)).await;
                continue;
            };
            let id = format!("{}-{number}", self.name);
            match habit {
                Habit::LateHead | Habit::LateBody | Habit::Drip => {
                    self.send_late(connection, habit, id).await;
                }
                Habit::Behind => self.send_behind(connection, id).await,
                _ => self.use_connection(connection, habit, &id).await,
            }
        }
        self.exchanges
    }

    /// Uses a connection until it ends, or for long enough.
    async fn use_connection(&mut self, mut connection: Connection, habit: Habit, prefix: &str) {
        for number in 0..MOST_ON_A_CONNECTION {
            let id = format!("{prefix}-{number}");
            let bytes = self.bytes(habit, &id);
            let began = Instant::now();
            let sent = connection.send(&bytes).await;
            let sending = Sending {
                id,
                habit,
                may_repeat: habit != Habit::Kept,
                deadline: DEADLINE,
                began,
                sent,
            };
            let goes_on = self.finish(&mut connection, sending, None).await;
            // The answer to what is behind would have to be told apart.
            let is_one = matches!(habit, Habit::BodyBehind | Habit::Rejected | Habit::Endless);
            if !goes_on || is_one || self.is_over.load(Ordering::Relaxed) {
                return;
            }
            let pause = match habit {
                Habit::Kept => self.random.random_range(KEPT_MS),
                _ => self.random.random_range(0..150),
            };
            sleep(Duration::from_millis(pause)).await;
            if connection.is_answered_or_ended() {
                return;
            }
        }
    }

    fn bytes(&mut self, habit: Habit, id: &str) -> Vec<u8> {
        let chunked = self.random.random_range(0..2) == 0;
        let first = || Request::get("/orders/1", id, DEADLINE).bytes;
        let post =
            |path, id: &str, length| Request::post(path, id, DEADLINE, length, chunked).bytes;
        match habit {
            Habit::BodyBehind => {
                let behind = post("/orders/1", &format!("{id}-behind"), BODY_BEHIND);
                [first(), behind].concat()
            }
            Habit::Rejected => post("/nowhere/1", id, REJECTED_BODY),
            Habit::Kept => post("/patient/1", id, LATE_BODY),
            Habit::Endless => Request::get("/orders/endless", id, DEADLINE).bytes,
            _ => first(),
        }
    }

    /// Sends a request whose end comes late.
    async fn send_late(&mut self, mut connection: Connection, habit: Habit, id: String) {
        let (path, deadline) = (self.path(), self.deadline());
        let chunked = self.random.random_range(0..2) == 0;
        let request = Request::post(path, &id, deadline, LATE_BODY, chunked);
        let late = match habit {
            Habit::LateBody => self.random.random_range(BODY_MS),
            _ => self.random.random_range(HEAD_MS),
        };
        let late = Duration::from_millis(late);
        let length = request.bytes.len();
        let ends = match habit {
            Habit::LateHead => vec![30, length],
            Habit::LateBody => vec![length - 10, length],
            _ => (30..=length).collect(),
        };
        let pause = late.div_f64((ends.len() - 1) as f64);
        let (mut start, mut head_sent, mut sent) = (0, None, None);
        for end in ends {
            if start > 0 {
                sleep(pause).await;
                if connection.is_answered_or_ended() {
                    sent = None;
                    break;
                }
            }
            sent = connection.send(&request.bytes[start..end]).await;
            if end >= request.head {
                head_sent = head_sent.or(sent);
            }
            start = end;
        }
        let sending = Sending {
            id,
            habit,
            may_repeat: path != "/patient/1",
            deadline,
            began: head_sent.unwrap_or_else(Instant::now),
            sent: sent.filter(|_| start == length),
        };
        self.finish(&mut connection, sending, None).await;
    }

    /// Sends a request while the one before it on its connection is being answered.
    async fn send_behind(&mut self, mut connection: Connection, id: String) {
        let (path, deadline) = (self.path(), self.deadline());
        let first = Request::get("/orders/1", &format!("{id}-first"), DEADLINE).bytes;
        let began = Instant::now();
        let sent = connection.send(&first).await;
        sleep(Duration::from_millis(self.random.random_range(0..400))).await;
        let is_behind = !connection.is_answered_or_ended();
        let request = Request::post(path, &id, deadline, LATE_BODY, false).bytes;
        let behind_began = Instant::now();
        let behind_sent = if is_behind {
            connection.send(&request).await
        } else {
            None
        };
        let first = Sending {
            id: format!("{id}-first"),
            habit: Habit::Behind,
            may_repeat: true,
            deadline: DEADLINE,
            began,
            sent,
        };
        let goes_on = self.finish(&mut connection, first, None).await;
        if behind_sent.is_none() {
            return;
        }
        let last_answer = self.exchanges.last().filter(|_| !goes_on);
        let last_answer = last_answer.map(Exchange::as_last_answer);
        let behind = Sending {
            id,
            habit: Habit::Behind,
            may_repeat: path != "/patient/1",
            deadline,
            began: behind_began,
            sent: behind_sent,
        };
        self.finish(&mut connection, behind, last_answer).await;
    }

    /// Reads the answer; whether the connection may be used again.
    async fn finish(
        &mut self,
        connection: &mut Connection,
        sending: Sending,
        last_answer: Option<LastAnswer>,
    ) -> bool {
        // A request behind another one is only due when that one has ended.
        let until = Instant::now() + patience(sending.deadline);
        let (reply, ended) = connection.reply(sending.habit.is_slow(), until).await;
        let goes_on = reply
            .as_ref()
            .is_some_and(|reply| reply.whole && reply.header("connection") != Some("close"));
        let was_sent = sending.sent.is_some();
        self.exchanges.push(Exchange {
            id: sending.id,
            habit: sending.habit,
            node: self.node,
            may_repeat: sending.may_repeat,
            deadline: sending.deadline,
            began: sending.began,
            sent: sending.sent,
            reply,
            ended,
            gave_up: ended >= until,
            last_answer,
        });
        goes_on && was_sent
    }

    fn path(&mut self) -> &'static str {
        PATHS[self.random.random_range(0..PATHS.len())]
    }

    fn deadline(&mut self) -> Duration {
        Duration::from_millis(DEADLINES_MS[self.random.random_range(0..DEADLINES_MS.len())])
    }
}
