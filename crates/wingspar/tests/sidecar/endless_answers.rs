//! Guards against answers that don't end until the caller closes: the connection outlives its request or call, the
//! node's memory grows with the bytes, the node serves nothing else, or such an answer counts as done.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use wingspar_standins::net::{
    AnswerEnd, EndlessAnswer, InterceptedRequest, Interceptor, RawAnswer,
};

use crate::deployment::{Deployment, Wiring, eventually, key_owned_by};
use crate::pipelined_client::request;
use crate::raw_client::replies;

/// How long after its time a connection may still be open.
const TOLERANCE: Duration = Duration::from_millis(500);
/// How long clients wait.
const DEADLINE: Duration = Duration::from_millis(400);
/// How long other requests may take: clients give up a node that hasn't read a request for so long.
const OTHERS: Duration = Duration::from_secs(1);
/// How long a connection may stay open at most before the test gives up.
const PATIENCE: Duration = Duration::from_secs(12);
/// By how much the memory of a node may grow: the read buffer (408 KB) and the part of a body (64 KB) of each of some
/// dozen connections, each up to twice while it grows.
const MEMORY_GROWTH: u64 = 24 * 1024;
/// Timeout of a grant and of a health check.
const GRANT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a release.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout of a call to the store: for the response's beginning and for its body.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_200 + 6_000);
/// Where nodes answer other nodes.
const INTERNAL_PORT: u16 = 7620;
/// Bytes of an answer that a test's client keeps.
const KEPT: usize = 64 * 1024;

/// Bytes without end in one part of an answer.
struct Endless {
    part: &'static str,
    start: &'static str,
    repeated: &'static str,
}

macro_rules! signed {
    ($rest:literal) => {
        concat!(
            "HTTP/1.1 200 OK\r\nX-Wingspar-Response-Signature: s\r\n",
            $rest
        )
    };
}

const fn endless(part: &'static str, start: &'static str, repeated: &'static str) -> Endless {
    Endless {
        part,
        start,
        repeated,
    }
}

/// None of these answers is whole.
const PARTS: [Endless; 13] = [
    endless("nonsense", "", "r"),
    endless("empty lines", "", "\r\n"),
    endless("status line", "HTTP/1.1 200 ", "O"),
    endless("header line", signed!("x-long: "), "a"),
    endless("header lines", signed!(""), "x-line: value\r\n"),
    endless("informational", "", "HTTP/1.1 100 Continue\r\n\r\n"),
    endless("body without a length", signed!("\r\n"), "b"),
    endless(
        "chunks",
        signed!("Transfer-Encoding: chunked\r\n\r\n"),
        "4\r\nbody\r\n",
    ),
    endless("size", signed!("Transfer-Encoding: chunked\r\n\r\n"), "0"),
    endless(
        "spaces",
        signed!("Transfer-Encoding: chunked\r\n\r\n4"),
        " ",
    ),
    endless(
        "extension",
        signed!("Transfer-Encoding: chunked\r\n\r\n4;"),
        "e",
    ),
    endless(
        "trailer",
        signed!("Transfer-Encoding: chunked\r\n\r\n0\r\nx-trailer: "),
        "t",
    ),
    endless(
        "trailers",
        signed!("Transfer-Encoding: chunked\r\n\r\n0\r\n"),
        "x-line: t\r\n",
    ),
];

/// A whole answer, with bytes without end behind it.
const BEHIND: Endless = endless("behind", signed!("Content-Length: 4\r\n\r\nbody"), "z");

/// An answer that says that the request hasn't run.
const REJECTION: Endless = endless(
    "rejection",
    "HTTP/1.1 503 Service Unavailable\r\nX-Wingspar-Not-Executed: 1\r\n\r\n",
    "b",
);

impl Endless {
    fn answer(&self) -> RawAnswer {
        RawAnswer {
            start: self.start.as_bytes().to_vec(),
            end: AnswerEnd::Endless(self.repeated),
        }
    }
}

/// What a test has found, so that it names all of it.
#[derive(Default)]
struct Findings(RefCell<Vec<String>>);

impl Findings {
    fn expect(&self, holds: bool, finding: impl FnOnce() -> String) {
        if !holds {
            self.0.borrow_mut().push(finding());
        }
    }

    fn check(&self) {
        let found = self.0.borrow();
        assert!(found.is_empty(), "{found:#?}");
    }
}

async fn intercepted(test: u8) -> Deployment {
    let wiring = Wiring {
        intercepted: true,
        ..Wiring::default()
    };
    Deployment::start_with(test, &wiring).await
}

/// The largest memory of a node's process so far, in KB.
fn peak_memory(deployment: &Deployment, node: usize) -> u64 {
    let process = deployment.nodes[node].process.as_ref();
    let id = process.expect("a process").id();
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("a status");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    kilobytes.expect("its peak")
}

/// Sends other requests through these nodes while something is done, and checks that they are served and that the
/// nodes' memory stays bounded.
async fn beside_others(
    deployment: &Deployment,
    nodes: &[usize],
    findings: &Findings,
    done: impl Future<Output = ()>,
) {
    let before = nodes.iter().map(|node| peak_memory(deployment, *node));
    let before = before.collect::<Vec<_>>();
    let others = async {
        for number in 0.. {
            for node in nodes {
                let sent_at = Instant::now();
                let id = format!("other-{node}-{number}");
                let answer = deployment.request(*node, "/orders/1", &id).send().await;
                let status = answer.map_or(0, |answer| answer.status().as_u16());
                let took = sent_at.elapsed();
                findings.expect(status == 200 && took <= OTHERS, || {
                    format!("another request at node {node}: {status} after {took:?}")
                });
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::select! {
        () = others => {}
        () = done => {}
    }
    for (node, before) in nodes.iter().zip(before) {
        let grown = peak_memory(deployment, *node).saturating_sub(before);
        findings.expect(grown <= MEMORY_GROWTH, || {
            format!("the memory of node {node} has grown by {grown} KB")
        });
    }
}

/// Waits until the caller has closed an interceptor's endless answers and checks when it did.
async fn check_closed(interceptor: &Interceptor, limit: Duration, findings: &Findings) {
    let until = Instant::now() + PATIENCE;
    let is_open = |answer: &EndlessAnswer| answer.ended.is_none();
    while interceptor.endless_answers().iter().any(is_open) && Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    for (number, answer) in interceptor.endless_answers().iter().enumerate() {
        let open = answer.ended.map(|ended| ended - answer.began);
        let in_time = open.is_some_and(|open| open <= limit + TOLERANCE);
        findings.expect(in_time, || {
            let (path, bytes) = (&answer.path, answer.bytes);
            format!("answer {number} to {path} was open for {open:?}, {bytes} bytes")
        });
    }
}

/// What a client gets on a connection of its own.
struct Received {
    start: Vec<u8>,
    length: usize,
    end: Vec<u8>,
    in_order: bool,
    took: Duration,
}

async fn receive(node: SocketAddr, sent: &str) -> Received {
    let sent_at = Instant::now();
    let mut stream = TcpStream::connect(node).await.expect("a connection");
    stream.write_all(sent.as_bytes()).await.expect("it is sent");
    let mut received = Received {
        start: Vec::new(),
        length: 0,
        end: Vec::new(),
        in_order: false,
        took: Duration::ZERO,
    };
    let mut buffer = vec![0; KEPT];
    let reading = async {
        while let Ok(length) = stream.read(&mut buffer).await {
            received.in_order = length == 0;
            if length == 0 {
                return;
            }
            received.length += length;
            let kept = length.min(KEPT - received.start.len());
            received.start.extend_from_slice(&buffer[..kept]);
            received.end.extend_from_slice(&buffer[..length]);
            let surplus = received.end.len().saturating_sub(16);
            received.end.drain(..surplus);
        }
    };
    let _late = timeout(PATIENCE, reading).await;
    received.took = sent_at.elapsed();
    received
}

impl Received {
    /// Whether a client takes it for a success.
    fn is_success(&self) -> bool {
        if self.length > self.start.len() {
            return self.end.ends_with(b"\r\n0\r\n\r\n");
        }
        let replies = replies(&self.start, self.in_order);
        replies.iter().any(|reply| reply.is_success())
    }
}

/// The part that a request's path names.
fn named_part(request: &InterceptedRequest) -> Option<RawAnswer> {
    let number = request.path.strip_prefix("/book/endless-")?;
    let number = number.parse::<usize>().ok()?;
    Some(PARTS.get(number).unwrap_or(&BEHIND).answer())
}

/// Sends a request for each kind of answer without end at a node.
async fn check_requests(test: u8, node: usize) {
    let deployment = intercepted(test).await;
    for node in &deployment.nodes {
        node.target_interceptor.answer_by(named_part);
    }
    let findings = Findings::default();
    let all = async {
        for number in 0..=PARTS.len() {
            let part = PARTS.get(number).unwrap_or(&BEHIND).part;
            let path = format!("/book/endless-{number}");
            let lines = "Connection: close\r\n";
            let sent = request("GET", &path, &path[6..], lines);
            let deadline = format!("Deadline-Ms: {}\r\n", DEADLINE.as_millis());
            let sent = sent.replace("Deadline-Ms: 4000\r\n", &deadline);
            assert!(sent.contains(&deadline));
            let received = receive(deployment.nodes[node].outbound, &sent).await;
            let took = received.took;
            findings.expect(took <= DEADLINE + TOLERANCE, || {
                format!("{part}: the client's connection ended after {took:?}")
            });
            let whole = received.is_success();
            findings.expect(whole == (part == BEHIND.part), || {
                let start = String::from_utf8_lossy(&received.start);
                format!("{part}: {whole}, {}", start.get(..300).unwrap_or(&start))
            });
        }
    };
    beside_others(&deployment, &[0, 2, 3], &findings, all).await;
    let mut played = 0;
    for node in &deployment.nodes {
        check_closed(&node.target_interceptor, DEADLINE, &findings).await;
        played += node.target_interceptor.endless_answers().len();
    }
    findings.expect(played == PARTS.len() + 1, || {
        format!("{played} were played")
    });
    findings.check();
}

#[tokio::test]
async fn endless_answers_of_a_target_end_with_their_requests() {
    check_requests(160, 2).await;
}

#[tokio::test]
async fn endless_answers_that_pass_to_another_node_end_with_their_requests() {
    check_requests(161, 0).await;
}

/// The body of a rejection was kept in memory for as long as it came.
#[tokio::test]
async fn an_endless_body_behind_a_rejection_takes_no_memory() {
    let deployment = intercepted(168).await;
    let findings = Findings::default();
    for node in &deployment.nodes {
        node.target_interceptor.answer_by(|request| {
            let rejected = request.path.starts_with("/book/");
            rejected.then(|| REJECTION.answer())
        });
    }
    let all = async {
        let sent = request("GET", "/book/1", "rejected", "Connection: close\r\n");
        let received = receive(deployment.nodes[2].outbound, &sent).await;
        let whole = received.is_success();
        findings.expect(!whole, || "it was a success".to_owned());
    };
    beside_others(&deployment, &[2, 3], &findings, all).await;
    let mut played = 0;
    for node in &deployment.nodes {
        check_closed(&node.target_interceptor, GRANT_TIMEOUT, &findings).await;
        played += node.target_interceptor.endless_answers().len();
    }
    findings.expect(played > 0, || "none was played".to_owned());
    findings.check();
}

/// Answers requests to paths that begin so, each with the next part.
fn each_part_in_turn(interceptor: &Interceptor, prefix: &'static str) {
    answer_in_turn(interceptor, prefix, 0);
}

/// Answers requests to paths that begin so, each with the next part from `first` on.
fn answer_in_turn(interceptor: &Interceptor, prefix: &'static str, first: usize) {
    let next = AtomicUsize::new(first);
    interceptor.answer_by(move |request| {
        let number = || next.fetch_add(1, Ordering::Relaxed) % PARTS.len();
        let applies = request.path.starts_with(prefix);
        applies.then(|| PARTS[number()].answer())
    });
}

async fn each_part_played(interceptor: &Interceptor) {
    eventually("each part was sent", || async {
        interceptor.endless_answers().len() >= PARTS.len()
    })
    .await;
}

/// How many grants a node counts as done.
async fn grants(deployment: &Deployment, node: usize) -> String {
    let metrics = deployment
        .operate(node, reqwest::Method::GET, "/metrics")
        .await;
    let mut lines = metrics.lines();
    let line = lines.find(|line| line.contains("key_orders") && line.contains("granted"));
    line.expect("a count").to_owned()
}

#[tokio::test]
async fn a_grant_with_an_endless_answer_is_not_done() {
    let deployment = intercepted(162).await;
    let findings = Findings::default();
    let node = key_owned_by(&deployment, 77).expect("an owner");
    let interceptor = &deployment.nodes[node].target_interceptor;
    each_part_in_turn(interceptor, "/grant");
    let all = async {
        // Grants that were under way.
        tokio::time::sleep(GRANT_TIMEOUT).await;
        let before = grants(&deployment, node).await;
        each_part_played(interceptor).await;
        let after = grants(&deployment, node).await;
        findings.expect(before == after, || format!("{before}, later {after}"));
    };
    beside_others(&deployment, &[node, 2], &findings, all).await;
    interceptor.pass_all();
    check_closed(interceptor, GRANT_TIMEOUT, &findings).await;
    eventually("the keys are served again", || async {
        deployment.keyed(node, 77, "again").await.status() == 200
    })
    .await;
    findings.check();
}

#[tokio::test]
async fn a_release_with_an_endless_answer_is_not_done() {
    const KEYS: [u16; 6] = [0, 77, 9_000, 20_000, 40_000, 65_535];
    let deployment = intercepted(163).await;
    let findings = Findings::default();
    let node = key_owned_by(&deployment, 77).expect("an owner");
    let targets = [0, 1].map(|node| deployment.nodes[node].target.as_ref().expect("a target"));
    let interceptor = &deployment.nodes[node].target_interceptor;
    each_part_in_turn(interceptor, "/release");
    let all = async {
        deployment.heartbeat(node, "draining", 500).await;
        let until = Instant::now() + Duration::from_secs(5);
        while Instant::now() < until {
            for key in KEYS {
                let held_twice = targets.iter().all(|target| target.holds(key));
                findings.expect(!held_twice, || format!("both targets hold key {key}"));
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    beside_others(&deployment, &[node, 2], &findings, all).await;
    assert!(!interceptor.endless_answers().is_empty());
    interceptor.pass_all();
    check_closed(interceptor, RELEASE_TIMEOUT, &findings).await;
    findings.check();
}

/// Guards against answers to releases whose bodies are kept in memory for as long as they come.
#[tokio::test]
async fn an_endless_body_behind_a_release_takes_no_memory() {
    let deployment = intercepted(169).await;
    let findings = Findings::default();
    let node = key_owned_by(&deployment, 77).expect("an owner");
    let interceptor = &deployment.nodes[node].target_interceptor;
    interceptor.answer_by(|request| {
        let part = PARTS
            .iter()
            .find(|part| part.part == "body without a length");
        let applies = request.path.starts_with("/release");
        part.filter(|_| applies).map(Endless::answer)
    });
    let all = async {
        deployment.heartbeat(node, "draining", 500).await;
        tokio::time::sleep(2 * RELEASE_TIMEOUT).await;
    };
    beside_others(&deployment, &[node, 2], &findings, all).await;
    let taken = interceptor.endless_answers();
    let taken = taken.iter().map(|answer| answer.bytes).max();
    findings.expect(
        taken.is_some_and(|taken| taken <= MEMORY_GROWTH * 1024),
        || format!("{taken:?} bytes of an answer were taken"),
    );
    interceptor.pass_all();
    check_closed(interceptor, RELEASE_TIMEOUT, &findings).await;
    findings.check();
}

#[tokio::test]
async fn a_health_check_with_an_endless_answer_shows_no_target() {
    const NODE: usize = 2;
    /// Health checks by a process that has just started.
    const HEALTH_CHECKS: usize = 4;
    let wiring = Wiring {
        intercepted: true,
        keeps_logs: true,
        ..Wiring::default()
    };
    let mut deployment = Deployment::start_with(164, &wiring).await;
    let findings = Findings::default();
    let restart = |deployment: &mut Deployment| {
        deployment.kill(NODE);
        deployment.start_process(NODE);
    };
    let shown = |deployment: &Deployment| {
        let log = deployment.log(NODE);
        log.matches("\"health_check\"").count()
    };
    let first = PARTS.iter().position(|part| part.part == "informational");
    let interceptor = &deployment.nodes[NODE].target_interceptor;
    answer_in_turn(interceptor, "/healthz", first.expect("a part"));
    let before = shown(&deployment);
    restart(&mut deployment);
    let interceptor = &deployment.nodes[NODE].target_interceptor;
    let all = async {
        eventually("the target's health is checked", || async {
            interceptor.endless_answers().len() >= HEALTH_CHECKS
        })
        .await;
    };
    beside_others(&deployment, &[0], &findings, all).await;
    check_closed(interceptor, GRANT_TIMEOUT, &findings).await;
    let after = shown(&deployment);
    findings.expect(before == after, || format!("{after} health checks count"));
    let memory = peak_memory(&deployment, NODE).saturating_sub(peak_memory(&deployment, 3));
    findings.expect(memory <= MEMORY_GROWTH, || {
        format!("its memory has grown by {memory} KB")
    });
    interceptor.pass_all();
    restart(&mut deployment);
    eventually("a health check with an answer shows the target", || async {
        shown(&deployment) > before
    })
    .await;
    findings.check();
}

#[tokio::test]
async fn endless_answers_of_the_store_end_with_their_calls() {
    let deployment = intercepted(165).await;
    let findings = Findings::default();
    // Together the nodes get each part.
    let parts_of_each = PARTS.len().div_ceil(deployment.nodes.len());
    for (number, node) in deployment.nodes.iter().enumerate() {
        answer_in_turn(&node.store_interceptor, "/", number * parts_of_each);
    }
    let all = async {
        for node in &deployment.nodes {
            eventually("its parts were sent", || async {
                node.store_interceptor.endless_answers().len() >= parts_of_each
            })
            .await;
        }
    };
    beside_others(&deployment, &[0, 1, 2, 3], &findings, all).await;
    for node in &deployment.nodes {
        node.store_interceptor.pass_all();
        check_closed(&node.store_interceptor, STORE_TIMEOUT, &findings).await;
    }
    findings.check();
}

#[tokio::test]
async fn endless_answers_of_another_node_end_with_their_calls() {
    let mut deployment = intercepted(166).await;
    let findings = Findings::default();
    let lost = 3;
    deployment.kill(lost);
    let address = SocketAddr::new(deployment.nodes[lost].ready.ip(), INTERNAL_PORT);
    let peer = Interceptor::start(address, None).expect("its port is free");
    each_part_in_turn(&peer, "/");
    let all = async {
        for number in 0..3 * PARTS.len() {
            let id = format!("peer-{number}");
            let sent = request("GET", "/book/1", &id, "Connection: close\r\n");
            let received = receive(deployment.nodes[0].outbound, &sent).await;
            let whole = received.is_success();
            let took = received.took;
            findings.expect(took <= Duration::from_secs(2) + TOLERANCE, || {
                format!("{number}: the client's connection ended after {took:?}")
            });
            let has_run = deployment.seen(&id).len() == 1;
            findings.expect(whole == has_run, || format!("{number}: success {whole}"));
        }
    };
    beside_others(&deployment, &[1], &findings, all).await;
    assert!(!peer.endless_answers().is_empty());
    check_closed(&peer, Duration::from_secs(2), &findings).await;
    findings.check();
}

#[tokio::test]
async fn a_load_report_without_end_is_refused() {
    /// Far more than a node takes and sockets hold.
    const ALL: usize = 256 * 1024 * 1024;
    let deployment = intercepted(167).await;
    let findings = Findings::default();
    let address = SocketAddr::new(deployment.nodes[0].ready.ip(), INTERNAL_PORT);
    let mut sent = 0;
    let all = async {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let head = "POST /load HTTP/1.1\r\nHost: node\r\nTransfer-Encoding: chunked\r\n\r\n";
        let chunk = format!("{KEPT:x}\r\n{}\r\n", "r".repeat(KEPT));
        let mut going_on = stream.write_all(head.as_bytes()).await.is_ok();
        while going_on && sent < ALL {
            sent += chunk.len();
            going_on = stream.write_all(chunk.as_bytes()).await.is_ok();
        }
    };
    beside_others(&deployment, &[0], &findings, all).await;
    findings.expect(sent < ALL, || "all of it was taken".to_owned());
    findings.check();
}
