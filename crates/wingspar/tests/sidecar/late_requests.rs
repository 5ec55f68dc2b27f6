//! Guards against requests that a stopping node has read and whose connections end without an answer: requests that come
//! late in the grace time, outlast it, or wait behind others on their connection.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
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

/// Sends a request of which `kind` is sent `late` after the signal at `signalled`.
async fn send_late(
    node: SocketAddr,
    (kind, path, late): (Late, &str, Duration),
    signalled: Instant,
) -> Outcome {
    let id = format!("late-{kind:?}-{}-{}", &path[1..3], late.as_millis());
    let bytes = request(&format!("POST {path}"), &id);
    let early = match kind {
        Late::Head | Late::Drip => 30,
        Late::Body => bytes.len() - 10,
        Late::Behind => 0,
    };
    let until = |at: Duration| (signalled + at).saturating_duration_since(Instant::now());
    let mut client = Client::connect(node).await;
    client.send(&bytes[..early]).await;
    let expected = if kind == Late::Behind {
        sleep(until(late.saturating_sub(Duration::from_millis(600)))).await;
        client
            .send(&request("GET /orders/1", &format!("first-{id}")))
            .await;
        2
    } else {
        1
    };
    if kind == Late::Drip {
        let last = bytes.len() - 1;
        for number in early..last {
            let share = (number - early) as f64 / (last - early) as f64;
            sleep(until(late.mul_f64(share))).await;
            client.send(&bytes[number..=number]).await;
        }
        sleep(until(late)).await;
        client.send(&bytes[last..]).await;
    } else {
        sleep(until(late)).await;
        if client.was_told_to_close().await {
            return Outcome {
                id,
                description: format!("{kind:?} of {path} at {late:?}"),
                sent: None,
                reply: None,
            };
        }
        client.send(&bytes[early..]).await;
    }
    let sent = Instant::now().saturating_duration_since(signalled);
    let mut answers = client.answers(expected).await;
    let reply = (answers.len() >= expected).then(|| answers.remove(expected - 1));
    Outcome {
        id,
        description: format!("{kind:?} of {path} at {late:?}"),
        sent: Some(sent),
        reply,
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

async fn play_late_requests(test: u8, work: Duration) {
    let mut deployment = deployment(test, work).await;
    let node = deployment.nodes[NODE].outbound;
    // The connections are opened before the signal.
    let signalled = Instant::now() + Duration::from_secs(1);
    let late = KINDS.into_iter().flat_map(|kind| {
        let paths = PATHS.into_iter();
        paths.flat_map(move |path| LATE_MS.map(|late| (kind, path, Duration::from_millis(late))))
    });
    let clients = late.map(|late| tokio::spawn(send_late(node, late, signalled)));
    let clients = clients.collect::<Vec<_>>();
    sleep(signalled.saturating_duration_since(Instant::now())).await;
    deployment.terminate(NODE);
    let exited = exit_time(&mut deployment, signalled).await;
    let outcomes = join_all(clients).await.into_iter();
    let outcomes = outcomes.map(|outcome| outcome.expect("no panic"));
    check(&deployment, &outcomes.collect::<Vec<_>>(), exited);
}

/// Guards against requests that come late in a planned stop, are sent to a target and are cut when the process exits.
#[tokio::test]
async fn requests_that_come_late_in_a_planned_stop_are_answered() {
    play_late_requests(190, Duration::from_millis(1_000)).await;
}

/// Guards against the same with work that takes a large part of the grace time.
#[tokio::test]
async fn late_requests_with_long_work_are_answered() {
    play_late_requests(191, Duration::from_millis(2_400)).await;
}

/// Guards against requests that are cut without any answer because they outlast the grace time.
#[tokio::test]
async fn a_request_that_outlasts_the_grace_time_gets_an_answer_before_the_exit() {
    let mut deployment = deployment(192, Duration::from_secs(9)).await;
    let node = deployment.nodes[NODE].outbound;
    let clients = (0..4).map(|number| async move {
        let path = PATHS[number % 2];
        let id = format!("long-{number}");
        let mut client = Client::connect(node).await;
        client
            .send(&request_within(&format!("POST {path}"), &id, 20_000))
            .await;
        Outcome {
            description: format!("{path}, {number}"),
            id,
            sent: Some(Duration::ZERO),
            reply: client.answers(1).await.pop(),
        }
    });
    let clients = clients.map(tokio::spawn).collect::<Vec<_>>();
    sleep(Duration::from_millis(400)).await;
    deployment.terminate(NODE);
    let exited = exit_time(&mut deployment, Instant::now()).await;
    let outcomes = join_all(clients).await.into_iter();
    let outcomes = outcomes
        .map(|outcome| outcome.expect("no panic"))
        .collect::<Vec<_>>();
    check(&deployment, &outcomes, exited);
    for outcome in outcomes {
        let status = outcome.reply.map(|reply| reply.status);
        assert_eq!(status, Some(502), "{}", outcome.description);
    }
}

/// Guards against a request that a node has read behind another one and leaves unanswered when it closes the connection
/// after that one's response.
#[tokio::test]
async fn a_request_behind_the_one_in_progress_is_answered_before_its_connection_is_closed() {
    let mut deployment = deployment(193, Duration::from_millis(800)).await;
    let node = deployment.nodes[NODE].outbound;
    deployment.terminate(NODE);
    let signalled = Instant::now();
    sleep(CLOSING - Duration::from_millis(500)).await;
    let clients = (0..8).map(|number| async move {
        let mut client = Client::connect(node).await;
        let (first, behind) = (format!("first-{number}"), format!("behind-{number}"));
        let path = PATHS[number % 2];
        let mut bytes = request("GET /orders/1", &first);
        let second = request(&format!("POST {path}"), &behind);
        if number < 4 {
            bytes.extend(second);
            client.send(&bytes).await;
        } else {
            // It arrives while the first one is being answered.
            client.send(&bytes).await;
            sleep(Duration::from_millis(100)).await;
            client.send(&second).await;
        }
        let sent = signalled.elapsed();
        let mut answers = client.answers(2).await;
        Outcome {
            id: behind,
            description: format!("{path}, {number}"),
            sent: Some(sent),
            reply: (answers.len() == 2).then(|| answers.remove(1)),
        }
    });
    let outcomes = join_all(clients).await;
    let exited = exit_time(&mut deployment, signalled).await;
    check(&deployment, &outcomes, exited);
    let unanswered = outcomes.iter().filter(|outcome| outcome.reply.is_none());
    assert_eq!(unanswered.count(), 0, "{outcomes:#?}");
}

/// Guards against the same behind a request whose body has chunks, so that its end isn't known from its head.
#[tokio::test]
async fn a_request_behind_a_body_in_chunks_is_answered_before_its_connection_is_closed() {
    let mut deployment = deployment(231, Duration::from_millis(800)).await;
    let node = deployment.nodes[NODE].outbound;
    deployment.terminate(NODE);
    let signalled = Instant::now();
    sleep(CLOSING - Duration::from_millis(500)).await;
    let clients = (0..4).map(|number| async move {
        let mut client = Client::connect(node).await;
        let behind = format!("behind-chunks-{number}");
        let mut bytes = in_chunks("PUT /orders/1", &format!("chunks-{number}"));
        bytes.extend(request(&format!("POST {}", PATHS[number % 2]), &behind));
        client.send(&bytes).await;
        let sent = signalled.elapsed();
        let mut answers = client.answers(2).await;
        Outcome {
            id: behind,
            description: number.to_string(),
            sent: Some(sent),
            reply: (answers.len() == 2).then(|| answers.remove(1)),
        }
    });
    let outcomes = join_all(clients).await;
    let exited = exit_time(&mut deployment, signalled).await;
    check(&deployment, &outcomes, exited);
    let unanswered = outcomes.iter().filter(|outcome| outcome.reply.is_none());
    assert_eq!(unanswered.count(), 0, "{outcomes:#?}");
}

/// Guards against requests that get no answer, or run twice, because the node that they were passed on to exits while
/// they run at its target.
#[tokio::test]
async fn requests_at_another_node_that_exits_are_answered_by_their_own() {
    let mut deployment = deployment(233, Duration::from_secs(9)).await;
    let router = deployment.nodes[0].outbound;
    let clients = (0..8).map(|number| async move {
        let id = format!("elsewhere-{number}");
        let mut client = Client::connect(router).await;
        client
            .send(&request_within("POST /patient/1", &id, 20_000))
            .await;
        Outcome {
            description: id.clone(),
            id,
            sent: Some(Duration::ZERO),
            reply: client.answers(1).await.pop(),
        }
    });
    let clients = clients.map(tokio::spawn).collect::<Vec<_>>();
    sleep(Duration::from_millis(400)).await;
    deployment.terminate(NODE);
    let exited = exit_time(&mut deployment, Instant::now()).await;
    let outcomes = join_all(clients).await.into_iter();
    let outcomes = outcomes
        .map(|outcome| outcome.expect("no panic"))
        .collect::<Vec<_>>();
    check(&deployment, &outcomes, exited);
    let statuses = outcomes
        .iter()
        .filter_map(|outcome| outcome.reply.as_ref())
        .map(|reply| reply.status)
        .collect::<Vec<_>>();
    assert!(statuses.contains(&502), "some ran there: {statuses:?}");
    assert!(
        statuses.iter().all(|status| matches!(status, 200 | 502)),
        "{statuses:?}"
    );
}

/// Guards against a request of another node that is sent to the target so late in a planned stop that the exit cuts it,
/// because it waited for its body.
#[tokio::test]
async fn a_hop_whose_body_comes_late_in_a_planned_stop_is_refused() {
    let mut deployment = deployment(232, Duration::from_millis(100)).await;
    let internal = SocketAddr::new(deployment.nodes[NODE].ready.ip(), INTERNAL_PORT);
    let mut client = Client::connect(internal).await;
    let head = format!(
        "POST /patient/1 HTTP/1.1\r\nHost: shop.example\r\nX-Wingspar-Request-Id: late-hop\r\n\
         Wingspar-Service: {PLAIN}\r\nWingspar-Left-Ms: 20000\r\nWingspar-Patience-Ms: 1000\r\n\
         Wingspar-Priority: 0\r\nWingspar-Due-Ms: 1000\r\n\
         Wingspar-Fingerprint: 1\r\nContent-Length: 4\r\n\r\n"
    );
    client.send(head.as_bytes()).await;
    let signalled = Instant::now();
    deployment.terminate(NODE);
    sleep(CLOSING + Duration::from_millis(300)).await;
    client.send(b"body").await;
    let reply = client.answers(1).await.pop().expect("an answer");
    assert_eq!(reply.header("wingspar-outcome"), Some("leaving"));
    assert!(deployment.seen("late-hop").is_empty());
    exit_time(&mut deployment, signalled).await;
}

/// Guards against a request on a kept connection that a stopping node reads and discards, because it has already closed
/// its side.
#[tokio::test]
async fn a_request_on_an_idle_connection_of_a_stopping_node_is_answered_or_not_read() {
    let mut deployment = deployment(194, Duration::from_millis(900)).await;
    let node = deployment.nodes[NODE].outbound;
    let mut clients = Vec::new();
    for number in 0..6 {
        let mut client = Client::connect(node).await;
        client
            .send(&request("GET /orders/1", &format!("kept-{number}")))
            .await;
        assert_eq!(client.answers(1).await.len(), 1);
        client.received.clear();
        clients.push(client);
    }
    let signalled = Instant::now();
    deployment.terminate(NODE);
    sleep(CLOSING - Duration::from_millis(100)).await;
    let busy = tokio::spawn(async move {
        // Keeps the process from exiting at once.
        let mut client = Client::connect(node).await;
        client.send(&request("GET /orders/1", "busy")).await;
        client.answers(1).await.len()
    });
    sleep(Duration::from_millis(300)).await;
    let sending = clients
        .into_iter()
        .enumerate()
        .map(|(number, mut client)| async move {
            let id = format!("crossing-{number}");
            let path = PATHS[number % 2];
            let was_open = client.send(&request(&format!("POST {path}"), &id)).await;
            Outcome {
                id,
                description: format!("{path}, {number}"),
                sent: was_open.then(|| signalled.elapsed()),
                reply: client.answers(1).await.pop(),
            }
        });
    let outcomes = join_all(sending).await;
    let exited = exit_time(&mut deployment, signalled).await;
    check(&deployment, &outcomes, exited);
    assert_eq!(busy.await.expect("no panic"), 1);
}

/// Guards against connections that are refused while the process still has something to finish.
#[tokio::test]
async fn a_stopping_node_accepts_connections_until_it_exits() {
    let mut deployment = deployment(201, Duration::from_millis(300)).await;
    let node = deployment.nodes[NODE].outbound;
    let agent = SocketAddr::new(deployment.nodes[NODE].ready.ip(), INTERNAL_PORT);
    let signalled = Instant::now();
    deployment.terminate(NODE);
    sleep(CLOSING - Duration::from_millis(100)).await;
    let mut busy = Client::connect(node).await;
    // It is answered before the exit.
    busy.send(&request_within("POST /patient/1", "busy", 1_500))
        .await;
    sleep(Duration::from_millis(200)).await;
    for (deadline_ms, status) in [(1_500, 200), (DEADLINE_MS, 503)] {
        let mut client = Client::connect(node).await;
        let id = format!("new-{deadline_ms}");
        client
            .send(&request_within("POST /orders/1", &id, deadline_ms))
            .await;
        let reply = client.answers(1).await.pop().expect("an answer");
        assert_eq!(reply.status, status);
        assert_eq!(reply.header("connection"), Some("close"));
    }
    assert!(TcpStream::connect(agent).await.is_ok(), "for other nodes");
    exit_time(&mut deployment, signalled).await;
}

/// Guards against connections that are reset because the node hasn't accepted them when it begins to close connections.
#[tokio::test]
async fn connections_that_wait_to_be_accepted_are_served_before_the_listener_is_closed() {
    let mut deployment = deployment(195, Duration::from_millis(100)).await;
    let node = deployment.nodes[NODE].outbound;
    let signalled = Instant::now();
    deployment.terminate(NODE);
    sleep(CLOSING - Duration::from_millis(200)).await;
    // The process sees both at once: connections that have been opened, and that it is time to close the listener.
    deployment.signal(NODE, "-STOP");
    let clients = (0..24).map(|number| async move {
        let mut client = Client::connect(node).await;
        let id = format!("queued-{number}");
        client.send(&request("POST /patient/1", &id)).await;
        Outcome {
            description: id.clone(),
            id,
            sent: Some(signalled.elapsed()),
            reply: client.answers(1).await.pop(),
        }
    });
    let clients = clients.map(tokio::spawn).collect::<Vec<_>>();
    sleep(Duration::from_millis(400)).await;
    deployment.signal(NODE, "-CONT");
    let exited = exit_time(&mut deployment, signalled).await;
    let outcomes = join_all(clients).await.into_iter();
    let outcomes = outcomes.map(|outcome| outcome.expect("no panic"));
    check(&deployment, &outcomes.collect::<Vec<_>>(), exited);
}

/// Guards against requests that are held until the end of the grace time although they can't be sent any more: their
/// bodies are incomplete when the node begins to close its connections.
#[tokio::test]
async fn a_request_whose_body_is_incomplete_is_refused_when_it_can_no_longer_be_sent() {
    let mut deployment = deployment(198, Duration::from_millis(100)).await;
    let node = deployment.nodes[NODE].outbound;
    let signalled = Instant::now();
    deployment.terminate(NODE);
    sleep(CLOSING - Duration::from_millis(500)).await;
    let mut clients = Vec::new();
    for path in PATHS {
        let id = format!("incomplete-{}", &path[1..3]);
        let bytes = request(&format!("POST {path}"), &id);
        let mut client = Client::connect(node).await;
        client.send(&bytes[..bytes.len() - 10]).await;
        clients.push((path, id, client));
    }
    for (path, id, client) in &mut clients {
        let reply = client.answers(1).await.pop().expect("an answer");
        let took = signalled.elapsed();
        assert_eq!(reply.status, 503, "{path}");
        assert_eq!(reply.header("connection"), Some("close"), "{path}");
        assert!(took < CLOSING + READ_TIME, "{path}: refused after {took:?}");
        assert!(deployment.seen(id).is_empty(), "{path}");
    }
    exit_time(&mut deployment, signalled).await;
}

/// Guards against refusing requests that certainly end before the process does.
#[tokio::test]
async fn a_late_request_that_ends_before_the_exit_is_served() {
    let mut deployment = deployment(199, Duration::from_millis(300)).await;
    let node = deployment.nodes[NODE].outbound;
    let mut clients = Vec::new();
    for path in PATHS {
        let id = format!("short-{}", &path[1..3]);
        let bytes = request_within(&format!("POST {path}"), &id, 1_500);
        let mut client = Client::connect(node).await;
        client.send(&bytes[..30]).await;
        clients.push((client, bytes));
    }
    let signalled = Instant::now();
    deployment.terminate(NODE);
    sleep(CLOSING + Duration::from_millis(300)).await;
    for (client, bytes) in &mut clients {
        client.send(&bytes[30..]).await;
    }
    for (client, _) in &mut clients {
        let reply = client.answers(1).await.pop().expect("an answer");
        assert_eq!(reply.status, 200);
        assert_eq!(reply.header("connection"), Some("close"));
    }
    exit_time(&mut deployment, signalled).await;
}

/// Guards against a client that always sends another request before it has the answer, and so keeps the node from
/// announcing the close until the exit cuts a request.
#[tokio::test]
async fn a_client_that_keeps_requests_under_way_is_told_of_the_close() {
    let mut deployment = deployment(200, Duration::from_millis(50)).await;
    let node = deployment.nodes[NODE].outbound;
    let mut stream = TcpStream::connect(node).await.expect("a connection");
    let flood = tokio::spawn(async move {
        let (mut reader, mut writer) = stream.split();
        let send = async {
            for number in 0.. {
                let id = format!("flood-{number}");
                let bytes = request_within("GET /orders/1", &id, 400);
                if writer.write_all(&bytes).await.is_err() {
                    break;
                }
                sleep(Duration::from_millis(20)).await;
            }
        };
        let mut received = Vec::new();
        let receive = reader.read_to_end(&mut received);
        tokio::select! {
            () = send => {}
            _ = receive => {}
        }
        replies(&received, false)
    });
    let signalled = Instant::now();
    deployment.terminate(NODE);
    exit_time(&mut deployment, signalled).await;
    let received = flood.await.expect("no panic");
    let last = received.last().expect("answers");
    assert!(last.whole, "cut: {last:?}");
    assert_eq!(last.header("connection"), Some("close"));
}

/// A request as another node forwards it to the agent of the stopping node.
fn forwarded(method_and_path: &str, id: &str) -> Vec<u8> {
    format!(
        "{method_and_path} HTTP/1.1\r\nHost: node\r\nwingspar-service: {PLAIN}\r\n\
         wingspar-left-ms: {DEADLINE_MS}\r\nwingspar-patience-ms: 500\r\nwingspar-priority: 0\r\n\
         wingspar-due-ms: {DEADLINE_MS}\r\nwingspar-fingerprint: 0000000000000000\r\n\
         X-Wingspar-Request-Id: {id}\r\nContent-Length: 20\r\n\r\nbbbbbbbbbbbbbbbbbbbb"
    )
    .into_bytes()
}

/// Sends a large body through another node, which forwards it as it arrives; its end is sent `late` after the signal.
async fn upload_late(
    node: SocketAddr,
    (path, late): (&str, Duration),
    signalled: Instant,
) -> Outcome {
    const LENGTH: usize = 200 * 1024;
    let id = format!("upload-{}-{}", &path[1..3], late.as_millis());
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Wingspar-Request-Id: {id}\r\n\
         X-Wingspar-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {LENGTH}\r\n\r\n"
    );
    let mut client = Client::connect(node).await;
    let half = vec![b'b'; LENGTH / 2];
    client.send(head.as_bytes()).await;
    client.send(&half).await;
    sleep((signalled + late).saturating_duration_since(Instant::now())).await;
    client.send(&half).await;
    Outcome {
        description: format!("upload to {path} at {late:?}"),
        sent: Some(signalled.elapsed()),
        reply: client.answers(1).await.pop(),
        id,
    }
}

/// Sends the stopping node's agent a request of which the head or the body ends `late` after the signal.
async fn forward_late(
    agent: SocketAddr,
    (kind, path, late): (Late, &str, Duration),
    signalled: Instant,
) -> Outcome {
    let id = format!("forwarded-{kind:?}-{}-{}", &path[1..3], late.as_millis());
    let bytes = forwarded(&format!("POST {path}"), &id);
    let early = match kind {
        Late::Body => bytes.len() - 10,
        _ => 30,
    };
    let mut client = Client::connect(agent).await;
    client.send(&bytes[..early]).await;
    sleep((signalled + late).saturating_duration_since(Instant::now())).await;
    let was_open = client.send(&bytes[early..]).await;
    Outcome {
        description: format!("forwarded {kind:?} of {path} at {late:?}"),
        sent: was_open.then(|| signalled.elapsed()),
        reply: client.answers(1).await.pop(),
        id,
    }
}

/// Guards against requests that another node forwards, that end late in a planned stop and are cut when the process
/// exits.
#[tokio::test]
async fn requests_of_another_node_that_end_late_in_a_planned_stop_are_answered() {
    let mut deployment = deployment(198, Duration::from_millis(1_000)).await;
    let other = deployment.nodes[0].outbound;
    let agent = SocketAddr::new(deployment.nodes[NODE].ready.ip(), INTERNAL_PORT);
    let signalled = Instant::now() + Duration::from_millis(500);
    let mut clients = Vec::new();
    for late in LATE_MS.map(Duration::from_millis) {
        for path in PATHS {
            clients.push(tokio::spawn(upload_late(other, (path, late), signalled)));
            for kind in [Late::Head, Late::Body] {
                let late = (kind, path, late);
                clients.push(tokio::spawn(forward_late(agent, late, signalled)));
            }
        }
    }
    sleep(signalled.saturating_duration_since(Instant::now())).await;
    deployment.terminate(NODE);
    let exited = exit_time(&mut deployment, signalled).await;
    let outcomes = join_all(clients).await.into_iter();
    let outcomes = outcomes.map(|outcome| outcome.expect("no panic"));
    let outcomes = outcomes.collect::<Vec<_>>();
    check(&deployment, &outcomes, exited);
    let forwarded = outcomes
        .iter()
        .filter(|outcome| outcome.id.starts_with("forwarded-"));
    let statuses = forwarded.filter_map(|outcome| Some(outcome.reply.as_ref()?.status));
    let statuses = statuses.collect::<HashSet<_>>();
    assert_eq!(
        statuses,
        HashSet::from([200, 503]),
        "some run, some come too late"
    );
}

/// Guards against a node that closes its client's connection, and drops a request behind, because the node that it had
/// sent the request to is stopping.
#[tokio::test]
async fn another_nodes_planned_stop_closes_no_connection_of_a_client() {
    let mut deployment = deployment(196, Duration::from_secs(3)).await;
    let node = deployment.nodes[0].outbound;
    let clients = (0..8).map(|number| async move {
        let mut client = Client::connect(node).await;
        client
            .send(&request("GET /orders/1", &format!("first-{number}")))
            .await;
        sleep(Duration::from_millis(100)).await;
        client
            .send(&request("POST /patient/1", &format!("behind-{number}")))
            .await;
        client.answers(2).await
    });
    let clients = clients.map(tokio::spawn).collect::<Vec<_>>();
    // The responses come once the other node has begun to close its connections.
    sleep(Duration::from_millis(300)).await;
    deployment.terminate(NODE);
    for client in clients {
        let answers = client.await.expect("no panic");
        let connections = answers.iter().map(|reply| reply.header("connection"));
        assert_eq!(connections.collect::<Vec<_>>(), [None, None]);
    }
    assert!(deployment.exited_well(NODE).await);
}

/// Guards against requests in progress that end without an answer when their route is removed, or on SIGHUP.
#[tokio::test]
async fn a_request_in_progress_is_answered_though_its_route_is_removed() {
    let work = Duration::from_secs(3);
    let deployment = deployment(235, work).await;
    let began_at = Instant::now();
    let mut client = Client::connect(deployment.nodes[NODE].outbound).await;
    client.send(&request("POST /patient/1", "removed")).await;
    sleep(Duration::from_millis(200)).await;
    deployment.configure(10, json!([route("other", "/other/", "idempotent", PLAIN)]));
    deployment.signal(NODE, "-HUP");
    eventually("the configuration is in force", || async {
        deployment.configuration_version(NODE).await == Some(10)
    })
    .await;
    assert!(began_at.elapsed() < work, "it is no longer in progress");
    let reply = client.answers(1).await.pop().expect("an answer");
    assert_eq!((reply.status, reply.whole), (200, true));
    assert_eq!(deployment.seen("removed").len(), 1);
}
