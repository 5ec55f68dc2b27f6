//! A soak of planned stops: nodes stop and start again in overlapping series, beside changes of the configuration, while
//! clients go on using their connections until the process is gone. Some read slowly, some send bodies behind requests
//! that are still being answered, some are rejected while they send.
//!
//! The promise: an answer to a request that a target has run reaches its client whole, and so does a rejection.
//!
//! `STOP_SOAK_SEEDS=N STOP_SOAK_FIRST=S STOP_SOAK_SECONDS=T STOP_SOAK_CLIENTS=C cargo test -p wingspar --test sidecar
//! stop_soak -- --nocapture` plays other seeds than the fixed ones.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use wingspar_standins::fleet::TargetFaults;

use crate::deployment::{Deployment, PLAIN, eventually, route};
use crate::raw_client::{RawReply, replies};

/// Seeds that are always played.
const SEEDS: std::ops::Range<u64> = 1..3;
/// Length of the fixed seeds, in seconds.
const SECONDS: u64 = 12;
/// Clients of the fixed seeds.
const CLIENTS: u64 = 24;
/// Bytes of an answer.
const ANSWER: usize = 400_000;
/// Bytes of a body behind a request that is being answered.
const BODY_BEHIND: usize = 60_000;
/// Bytes of a body that is rejected.
const REJECTED_BODY: usize = 3_000_000;
/// Maximum length of a body in the configuration.
const MAX_BODY: u64 = 4 * 1024 * 1024;
/// Work of a target on a request.
const WORK: Duration = Duration::from_millis(300);
/// Bytes a second that a slow client reads.
const SLOW_BYTES_PER_S: f64 = 800_000.0;
/// Requests that a client sends on one connection at most.
const MOST_ON_A_CONNECTION: usize = 40;
/// Time between two stops, and until a stopped process starts again, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 100..1_200;
/// Time after which a process must have ended: `grace_s` and what starting and observing it takes.
const LONGEST_STOP: Duration = Duration::from_millis(6_500);

fn number(name: &str, default: u64) -> u64 {
    let value = std::env::var(name)
        .ok()
        .and_then(|value| value.parse().ok());
    value.unwrap_or(default)
}

/// What a client does with a connection.
#[derive(Debug, Clone, Copy)]
enum Habit {
    /// Sends the next request when the answer has arrived.
    Sequential,
    /// As before, and reads slowly.
    Slow,
    /// Sends a body behind a request that is being answered, and reads slowly.
    BodyBehind,
    /// Is rejected while it sends a body.
    Rejected,
}

const HABITS: [Habit; 4] = [
    Habit::Sequential,
    Habit::Slow,
    Habit::BodyBehind,
    Habit::Rejected,
];

/// A request whose answer was due, and how the connection ended.
#[derive(Debug)]
struct Exchange {
    id: String,
    habit: Habit,
    /// The answer, if there is any part of one.
    reply: Option<RawReply>,
    /// Whether the whole request was sent.
    was_sent: bool,
}

impl Exchange {
    fn is_whole(&self) -> bool {
        self.reply.as_ref().is_some_and(|reply| reply.whole)
    }

    /// What is wrong with it, given whether a target has run the request.
    fn problem(&self, has_run: bool) -> Option<String> {
        let begun = self.reply.as_ref().map(|reply| reply.status);
        let is_lost = match self.habit {
            Habit::Rejected => begun.is_some() && !(self.is_whole() && self.was_sent),
            _ => has_run && !self.is_whole() || begun.is_some() && !self.is_whole(),
        };
        is_lost.then(|| {
            let received = self.reply.as_ref().map_or(0, |reply| reply.body.len());
            format!(
                "{} ({:?}): run {has_run}, status {begun:?}, {received} bytes of the answer",
                self.id, self.habit
            )
        })
    }
}

/// One client: a connection after the other until the end.
struct Client {
    name: String,
    nodes: Vec<SocketAddr>,
    random: ChaCha8Rng,
    is_over: Arc<AtomicBool>,
    exchanges: Vec<Exchange>,
}

impl Client {
    async fn run(mut self) -> Vec<Exchange> {
        for connection in 0.. {
            if self.is_over.load(Ordering::Relaxed) {
                break;
            }
            let node = self.nodes[self.random.random_range(0..self.nodes.len())];
            let habit = HABITS[self.random.random_range(0..HABITS.len())];
            let Ok(stream) = connect(node).await else {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            self.use_connection(stream, habit, connection).await;
        }
        self.exchanges
    }

    /// Uses a connection until it ends, or for long enough.
    async fn use_connection(&mut self, mut stream: TcpStream, habit: Habit, connection: usize) {
        for number in 0..MOST_ON_A_CONNECTION {
            let id = format!("{}-{connection}-{number}", self.name);
            let chunked = self.random.random_range(0..2) == 0;
            let bytes = match habit {
                Habit::Sequential | Habit::Slow => request("GET", "/orders/1", &id, ""),
                Habit::BodyBehind => {
                    let first = request("GET", "/orders/1", &id, "");
                    let behind =
                        with_body("/orders/1", &format!("{id}-behind"), BODY_BEHIND, chunked);
                    [first, behind].concat()
                }
                Habit::Rejected => with_body("/nowhere/1", &id, REJECTED_BODY, chunked),
            };
            let was_sent = stream.write_all(&bytes).await.is_ok();
            let is_slow = matches!(habit, Habit::Slow | Habit::BodyBehind);
            let reply = read_reply(&mut stream, is_slow).await;
            let goes_on = reply
                .as_ref()
                .is_some_and(|reply| reply.whole && reply.header("connection") != Some("close"));
            self.exchanges.push(Exchange {
                id,
                habit,
                reply,
                was_sent,
            });
            // The answer to what is behind would have to be told apart.
            if !goes_on || !was_sent || matches!(habit, Habit::BodyBehind | Habit::Rejected) {
                return;
            }
            if self.is_over.load(Ordering::Relaxed) {
                return;
            }
            let pause = self.random.random_range(0..150);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }
}

/// A connection with a small receive buffer.
async fn connect(node: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(32 * 1024)?;
    socket.connect(node).await
}

fn request(method: &str, path: &str, id: &str, framing: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Wingspar-Request-Id: {id}\r\n\
         X-Wingspar-Deadline-Ms: 5000\r\n{framing}\r\n"
    )
    .into_bytes()
}

fn with_body(path: &str, id: &str, length: usize, chunked: bool) -> Vec<u8> {
    let body = vec![b'u'; length];
    if !chunked {
        let head = request("POST", path, id, &format!("Content-Length: {length}\r\n"));
        return [head, body].concat();
    }
    let head = request("POST", path, id, "Transfer-Encoding: chunked\r\n");
    let size = format!("{length:x}\r\n").into_bytes();
    [head, size, body, b"\r\n0\r\n\r\n".to_vec()].concat()
}

/// The next answer of a connection, as far as it comes; `None` if the connection ends without any.
async fn read_reply(stream: &mut TcpStream, is_slow: bool) -> Option<RawReply> {
    let began_at = Instant::now();
    let mut bytes = Vec::new();
    let mut piece = vec![0; 16 * 1024];
    loop {
        let read = stream.read(&mut piece).await.unwrap_or(0);
        bytes.extend_from_slice(&piece[..read]);
        let first = (!bytes.is_empty()).then(|| replies(&bytes, false).into_iter().next());
        let first = first.flatten();
        if read == 0 || first.as_ref().is_some_and(|reply| reply.whole) {
            return first;
        }
        if is_slow {
            let due = Duration::from_secs_f64(bytes.len() as f64 / SLOW_BYTES_PER_S);
            tokio::time::sleep(due.saturating_sub(began_at.elapsed())).await;
        }
    }
}

/// Stops nodes and starts them again, two at a time at most, beside changes of the configuration, until the end.
async fn stop_nodes(
    deployment: &mut Deployment,
    random: &mut ChaCha8Rng,
    until: Instant,
) -> Result<usize, String> {
    /// What becomes of a node.
    enum State {
        Runs,
        Stops(Instant),
        StartsAt(Instant),
    }
    let mut states = [State::Runs, State::Runs, State::Runs, State::Runs];
    let mut next_at = Instant::now();
    let (mut version, mut stops) = (20, 0);
    loop {
        let now = Instant::now();
        let pause = Duration::from_millis(random.random_range(PAUSE_MS));
        for (node, state) in states.iter_mut().enumerate() {
            match state {
                State::Stops(since) => {
                    let process = deployment.nodes[node].process.as_mut().expect("a process");
                    if let Some(status) = process.try_wait().expect("a status") {
                        if !status.success() {
                            return Err(format!("node {node} ended with {status}"));
                        }
                        *state = State::StartsAt(now + pause);
                    } else if since.elapsed() > LONGEST_STOP {
                        return Err(format!("node {node} didn't end in {LONGEST_STOP:?}"));
                    }
                }
                State::StartsAt(at) if now >= *at => {
                    deployment.start_process(node);
                    *state = State::Runs;
                }
                State::Runs | State::StartsAt(_) => {}
            }
        }
        let away = states.iter().filter(|state| !matches!(state, State::Runs));
        let away = away.count();
        if now >= until && away == 0 {
            return Ok(stops);
        }
        if now >= next_at && now < until {
            next_at = now + pause;
            let node = random.random_range(0..states.len());
            if matches!(states[node], State::Runs) && away < 2 && deployment.is_ready(node).await {
                deployment.terminate(node);
                states[node] = State::Stops(now);
                stops += 1;
            } else {
                version += 1;
                deployment.configure_with_bodies(version, routes(), MAX_BODY);
            }
        }
        deployment.try_heartbeats().await;
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
}

fn routes() -> serde_json::Value {
    let mut orders = route("orders", "/orders/", "idempotent", PLAIN);
    orders["timeout_s"] = json!(5);
    json!([orders])
}

/// Plays one seed; what it counted, or the promise that broke.
async fn play(seed: u64, network: u8, length: Duration, clients: u64) -> Result<String, String> {
    let mut deployment = Deployment::start(network).await;
    deployment.configure_with_bodies(20, routes(), MAX_BODY);
    for node in 0..deployment.nodes.len() {
        eventually("the configuration is in force", || async {
            deployment.configuration_version(node).await == Some(20)
        })
        .await;
    }
    deployment.all_targets_do(TargetFaults {
        answer_bytes: ANSWER,
        work: WORK,
        ..TargetFaults::default()
    });
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let is_over = Arc::new(AtomicBool::new(false));
    let running = (0..clients).map(|number| {
        let client = Client {
            name: format!("c{seed}-{number}"),
            nodes: deployment.nodes.iter().map(|node| node.outbound).collect(),
            random: ChaCha8Rng::seed_from_u64(seed * 1_000 + number),
            is_over: is_over.clone(),
            exchanges: Vec::new(),
        };
        tokio::spawn(client.run())
    });
    let running = running.collect::<Vec<_>>();
    let stops = stop_nodes(&mut deployment, &mut random, Instant::now() + length).await;
    is_over.store(true, Ordering::Relaxed);
    let exchanges = join_all(running).await.into_iter();
    let exchanges = exchanges.flat_map(|client| client.expect("a client's task doesn't panic"));
    let exchanges = exchanges.collect::<Vec<_>>();
    let stops = stops?;
    let seen = deployment.all_seen().into_iter().map(|seen| seen.id);
    let seen = seen.collect::<HashSet<_>>();
    let problems = exchanges.iter();
    let problems = problems.filter_map(|exchange| exchange.problem(seen.contains(&exchange.id)));
    let problems = problems.collect::<Vec<_>>();
    let whole = exchanges.iter().filter(|exchange| exchange.is_whole());
    let summary = format!(
        "{} requests, {} whole answers, {stops} planned stops",
        exchanges.len(),
        whole.count()
    );
    if problems.is_empty() {
        Ok(summary)
    } else {
        let first = problems.iter().take(6).cloned().collect::<Vec<_>>();
        Err(format!(
            "{} lost ({summary}): {}",
            problems.len(),
            first.join("; ")
        ))
    }
}

#[tokio::test]
async fn planned_stops_cut_no_answer() {
    let first = number("STOP_SOAK_FIRST", SEEDS.start);
    let count = number("STOP_SOAK_SEEDS", SEEDS.end - SEEDS.start);
    let length = Duration::from_secs(number("STOP_SOAK_SECONDS", SECONDS));
    let clients = number("STOP_SOAK_CLIENTS", CLIENTS);
    let mut failures = Vec::new();
    for seed in first..first + count {
        let network = 200 + u8::try_from(seed % 40).expect("a small number");
        match play(seed, network, length, clients).await {
            Ok(summary) => println!("seed {seed}: {summary}"),
            Err(problem) => {
                println!("seed {seed} FAILED: {problem}");
                failures.push(format!("seed {seed}: {problem}"));
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
