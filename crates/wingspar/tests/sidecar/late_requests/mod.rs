//! Guards against requests that a stopping node has read and whose connections end without an answer: requests that come
//! late in the grace time, outlast it, or wait behind others on their connection.

mod arriving_late;
mod connections;
mod other_nodes;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use wingspar_standins::fleet::TargetFaults;

use crate::deployment::{Deployment, PLAIN, eventually, route};
use crate::raw_client::{RawReply, replies};

/// The machine whose node stops.
const NODE: usize = 2;
/// The grace time in the settings of nodes.
const GRACE: Duration = Duration::from_secs(6);
/// When a stopping node begins to close its connections.
const CLOSING: Duration = Duration::from_millis(2_500);
/// Where nodes answer other nodes.
const INTERNAL_PORT: u16 = 7620;
/// How long clients wait for an answer in all, in milliseconds.
const DEADLINE_MS: u64 = 6_000;
/// How long a node may take to read bytes that have been sent.
const READ_TIME: Duration = Duration::from_millis(200);

/// When the ends of late requests are sent, in milliseconds after the signal.
const LATE_MS: [u64; 9] = [500, 2_000, 2_450, 2_600, 3_200, 4_000, 4_800, 5_200, 5_400];
/// Routes of requests that may be repeated, and that may not.
const PATHS: [&str; 2] = ["/orders/1", "/patient/1"];

/// Which part of a late request is sent late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Late {
    /// All but the beginning of the head.
    Head,
    /// The end of the body.
    Body,
    /// A byte at a time, the last one late.
    Drip,
    /// All, behind a request that is being answered.
    Behind,
}

const KINDS: [Late; 4] = [Late::Head, Late::Body, Late::Drip, Late::Behind];

/// A request with a short body, whose client waits for [`DEADLINE_MS`].
fn request(method_and_path: &str, id: &str) -> Vec<u8> {
    request_within(method_and_path, id, DEADLINE_MS)
}

/// A request with a short body.
fn request_within(method_and_path: &str, id: &str, deadline_ms: u64) -> Vec<u8> {
    format!(
        "{method_and_path} HTTP/1.1\r\nHost: shop.example\r\nX-Wingspar-Request-Id: {id}\r\n\
         X-Wingspar-Deadline-Ms: {deadline_ms}\r\nContent-Length: 20\r\n\r\nbbbbbbbbbbbbbbbbbbbb"
    )
    .into_bytes()
}

/// A request with a short body in chunks.
fn in_chunks(method_and_path: &str, id: &str) -> Vec<u8> {
    format!(
        "{method_and_path} HTTP/1.1\r\nHost: shop.example\r\nX-Wingspar-Request-Id: {id}\r\n\
         X-Wingspar-Deadline-Ms: {DEADLINE_MS}\r\nTransfer-Encoding: chunked\r\n\r\n\
         5\r\nbbbbb\r\n0\r\n\r\n"
    )
    .into_bytes()
}

/// What became of a request.
#[derive(Debug)]
struct Outcome {
    id: String,
    description: String,
    /// When its last byte was sent, after the signal; `None` if the connection had ended before.
    sent: Option<Duration>,
    /// Its answer, as far as it came.
    reply: Option<RawReply>,
}

impl Outcome {
    /// What is wrong with it. `exited` is when the process ended, after the signal.
    fn problem(&self, deployment: &Deployment, exited: Duration) -> Option<String> {
        let runs = deployment.seen(&self.id).len();
        let status = self.reply.as_ref().map(|reply| reply.status);
        let is_whole = self.reply.as_ref().is_some_and(|reply| reply.whole);
        let was_read = self.sent.is_some_and(|sent| sent + READ_TIME < exited);
        let is_cut = !is_whole && (runs > 0 || was_read);
        let promises_not_run = matches!(status, Some(408 | 421 | 429 | 503));
        let is_wrong = is_cut || runs > 1 || promises_not_run && runs > 0;
        is_wrong.then(|| {
            let Self {
                description, sent, ..
            } = self;
            format!(
                "{description}: sent {sent:?}, run {runs} times, status {status:?}, whole {is_whole}"
            )
        })
    }
}

/// A connection with requests on it, of which some bytes are sent before the signal.
struct Client {
    stream: TcpStream,
    received: Vec<u8>,
}

impl Client {
    async fn connect(node: SocketAddr) -> Self {
        let stream = TcpStream::connect(node).await.expect("a connection");
        stream.set_nodelay(true).expect("an option");
        Self {
            stream,
            received: Vec::new(),
        }
    }

    /// Sends bytes; whether the connection was still open.
    async fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).await.is_ok()
    }

    /// Whether an answer that has arrived announces that the node closes the connection. Clients send nothing more then.
    async fn was_told_to_close(&mut self) -> bool {
        let _nothing_yet = timeout(Duration::from_millis(1), self.answers(1)).await;
        let received = replies(&self.received, false);
        received
            .iter()
            .any(|reply| reply.header("connection") == Some("close"))
    }

    /// Reads until so many answers are whole, or the connection ends.
    async fn answers(&mut self, count: usize) -> Vec<RawReply> {
        let mut piece = [0; 4096];
        loop {
            let found = replies(&self.received, false);
            let whole = found.iter().filter(|reply| reply.whole).count();
            let read = timeout(2 * GRACE, self.stream.read(&mut piece));
            if whole >= count {
                return found;
            }
            match read.await {
                Ok(Ok(length @ 1..)) => self.received.extend_from_slice(&piece[..length]),
                _ => return found,
            }
        }
    }
}

/// Starts a deployment with routes whose requests may take as long as their clients wait.
async fn deployment(test: u8, work: Duration) -> Deployment {
    let deployment = Deployment::start(test).await;
    let patient = |name: &str, prefix: &str, kind: &str| {
        let mut route = route(name, prefix, kind, PLAIN);
        route["timeout_s"] = json!(20);
        route["max_attempts"] = json!(1);
        route
    };
    let routes = json!([
        patient("orders", "/orders/", "idempotent"),
        patient("patient", "/patient/", "non_idempotent"),
    ]);
    deployment.configure(9, routes);
    for node in 0..deployment.nodes.len() {
        eventually("the configuration is in force", || async {
            deployment.configuration_version(node).await == Some(9)
        })
        .await;
    }
    deployment.plain_targets_do(TargetFaults {
        work,
        ..TargetFaults::default()
    });
    deployment
}

/// When a process has ended, after the signal.
async fn exit_time(deployment: &mut Deployment, signalled: Instant) -> Duration {
    let process = deployment.nodes[NODE].process.as_mut().expect("a process");
    while process.try_wait().expect("a status").is_none() {
        assert!(signalled.elapsed() < GRACE, "it would have been killed");
        sleep(Duration::from_millis(5)).await;
    }
    signalled.elapsed()
}

fn check(deployment: &Deployment, outcomes: &[Outcome], exited: Duration) {
    let problems = outcomes
        .iter()
        .filter_map(|outcome| outcome.problem(deployment, exited))
        .collect::<Vec<_>>();
    assert!(
        problems.is_empty(),
        "{} of {}, exit after {exited:?}: {problems:#?}",
        problems.len(),
        outcomes.len()
    );
}
