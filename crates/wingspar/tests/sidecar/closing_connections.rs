//! Guards against responses that are lost because a node closes their connection while the client still sends: closing
//! a socket with unread bytes resets the connection.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;
use wingspar_standins::fleet::TargetFaults;
use wingspar_standins::net::{AnswerEnd, InterceptedRequest, RawAnswer};

use crate::deployment::{Deployment, PLAIN, Wiring, eventually, route};
use crate::raw_client::{RawReply, replies};

/// The machine whose node the clients are connected to.
const NODE: usize = 2;
/// Bytes a second that a slow client reads.
const BYTES_PER_S: f64 = 1e6;
/// Bytes of an answer that such a client reads for about half a second.
const LARGE_ANSWER: usize = 540_000;
/// Bytes of a body that fill the buffers of a connection.
const LARGE_BODY: usize = 3_000_000;
/// Maximum length of a body in the configuration.
const MAX_BODY: u64 = 4 * 1024 * 1024;
/// How long a planned stop may take at most: `grace_s`.
const GRACE: Duration = Duration::from_secs(6);
/// How long a node reads from a connection that it is closing at most.
const MAX_LINGER: Duration = Duration::from_secs(10);
/// Added to bounds for the test's own processes.
const TOLERANCE: Duration = Duration::from_secs(2);

/// Bytes that a client sends, in one of the two framings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
}

impl Framing {
    /// A request with a body of `length` bytes.
    fn request(self, method_and_path: &str, id: &str, length: usize) -> Vec<u8> {
        let framing = match self {
            Self::Length => format!("Content-Length: {length}"),
            Self::Chunks => "Transfer-Encoding: chunked".to_owned(),
        };
        let head = format!("{}{framing}\r\n\r\n", head(method_and_path, id));
        let mut bytes = head.into_bytes();
        match self {
            Self::Length => bytes.extend(std::iter::repeat_n(b'u', length)),
            Self::Chunks => {
                for start in (0..length).step_by(16 * 1024) {
                    let size = (length - start).min(16 * 1024);
                    bytes.extend(format!("{size:x}\r\n").into_bytes());
                    bytes.extend(std::iter::repeat_n(b'u', size));
                    bytes.extend(b"\r\n");
                }
                bytes.extend(b"0\r\n\r\n");
            }
        }
        bytes
    }
}

/// The head of a request, but for its framing and its end.
fn head(method_and_path: &str, id: &str) -> String {
    format!(
        "{method_and_path} HTTP/1.1\r\nHost: shop.example\r\nX-Wingspar-Request-Id: {id}\r\n\
         X-Wingspar-Deadline-Ms: 20000\r\n"
    )
}

async fn with_large_bodies(test: u8) -> Deployment {
    let deployment = Deployment::start(test).await;
    let routes = serde_json::json!([
        route("upload", "/upload/", "upload", PLAIN),
        route("orders", "/orders/", "idempotent", PLAIN),
    ]);
    deployment.configure_with_bodies(9, routes, MAX_BODY);
    for node in 0..deployment.nodes.len() {
        eventually("the configuration is in force", || async {
            deployment.configuration_version(node).await == Some(9)
        })
        .await;
    }
    deployment
}

/// A connection with a small receive buffer, so that most of an answer stays with the sender until it is read.
async fn slow_connection(node: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(64 * 1024)
        .expect("a buffer size");
    socket.connect(node).await.expect("a connection")
}

/// Reads the connection to its end at [`BYTES_PER_S`].
async fn read_slowly(mut stream: TcpStream) -> Vec<RawReply> {
    let began_at = Instant::now();
    let mut bytes = Vec::new();
    let mut piece = vec![0; 16 * 1024];
    while let Ok(length @ 1..) = stream.read(&mut piece).await {
        bytes.extend_from_slice(&piece[..length]);
        let due = Duration::from_secs_f64(bytes.len() as f64 / BYTES_PER_S);
        tokio::time::sleep(due.saturating_sub(began_at.elapsed())).await;
    }
    replies(&bytes, false)
}

/// Sends everything before it reads, and gives up at the first failure, as clients do whose reader fails with the
/// writer.
async fn send_then_read(node: SocketAddr, bytes: &[u8]) -> Result<Vec<RawReply>, std::io::Error> {
    let mut stream = TcpStream::connect(node).await?;
    for piece in bytes.chunks(64 * 1024) {
        stream.write_all(piece).await?;
    }
    stream.shutdown().await?;
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await?;
    Ok(replies(&received, true))
}

/// Guards against a planned stop that resets a connection on which the body of a pipelined request is unread, and so
/// cuts the answer before it.
#[tokio::test]
async fn a_planned_stop_does_not_reset_an_answer_with_an_unread_body_behind_it() {
    for framing in [Framing::Length, Framing::Chunks] {
        let mut deployment = with_large_bodies(130).await;
        deployment.plain_targets_do(TargetFaults {
            answer_bytes: LARGE_ANSWER,
            work: Duration::from_millis(400),
            ..TargetFaults::default()
        });
        deployment.terminate(NODE);
        let stopped_at = Instant::now();
        // The answers are under way when the node begins to close its connections after 2.5 s.
        tokio::time::sleep(Duration::from_millis(1_700)).await;
        let clients = (0..8_u64).map(|number| {
            let node = deployment.nodes[NODE].outbound;
            async move {
                tokio::time::sleep(Duration::from_millis(80 * number)).await;
                let mut stream = slow_connection(node).await;
                let first = format!("{}\r\n", head("GET /orders/1", &format!("first-{number}")));
                let behind = framing.request("POST /orders/1", &format!("behind-{number}"), 60_000);
                let bytes = [first.into_bytes(), behind].concat();
                stream.write_all(&bytes).await.expect("it is sent");
                read_slowly(stream).await
            }
        });
        let answers = join_all(clients).await;
        let cut = answers.iter().enumerate().filter(|(number, replies)| {
            let ran = !deployment.seen(&format!("first-{number}")).is_empty();
            ran && !replies.first().is_some_and(RawReply::is_success)
        });
        let cut = cut.map(|(number, _)| number).collect::<Vec<_>>();
        assert!(cut.is_empty(), "{framing:?}: cut answers: {cut:?}");
        assert!(deployment.exited_well(NODE).await);
        assert!(stopped_at.elapsed() < GRACE + TOLERANCE);
    }
}

/// The answer to a request by its id: a whole one, or one that ends early.
fn whole_or_cut(request: &InterceptedRequest) -> Option<RawAnswer> {
    let id = request.header("x-wingspar-request-id")?;
    let length = match id.split('-').next()? {
        "whole" => LARGE_ANSWER,
        "cut" => 4 * LARGE_ANSWER,
        _ => return None,
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Wingspar-Request-Id: {id}\r\nX-Wingspar-Response-Signature: s\r\n\
         Content-Length: {length}\r\n\r\n"
    );
    let sent = length.min(3 * LARGE_ANSWER);
    Some(RawAnswer {
        start: [head.into_bytes(), vec![b'a'; sent]].concat(),
        end: AnswerEnd::Close,
    })
}

/// Guards against an answer that a target cuts, and that takes the end of the whole answer before it away.
#[tokio::test]
async fn a_cut_answer_leaves_the_answer_before_it_whole() {
    let wiring = Wiring {
        intercepted: true,
        ..Wiring::default()
    };
    let deployment = Deployment::start_with(137, &wiring).await;
    for node in &deployment.nodes {
        node.target_interceptor.answer_by(whole_or_cut);
    }
    let clients = (0..4).map(|number| {
        let node = deployment.nodes[NODE].outbound;
        async move {
            let mut stream = slow_connection(node).await;
            let first = format!("{}\r\n", head("GET /orders/1", &format!("whole-{number}")));
            let second = format!("{}\r\n", head("GET /orders/1", &format!("cut-{number}")));
            let behind = Framing::Length.request("POST /orders/1", "behind", 60_000);
            let bytes = [first.into_bytes(), second.into_bytes(), behind].concat();
            stream.write_all(&bytes).await.expect("it is sent");
            read_slowly(stream).await
        }
    });
    for replies in join_all(clients).await {
        let whole = replies.iter().map(RawReply::is_success);
        assert_eq!(whole.collect::<Vec<_>>(), [true, false]);
    }
}

/// Guards against rejections that are lost because the node closes the connection before the client has sent the body.
#[tokio::test]
async fn a_rejection_reaches_a_client_that_is_still_sending_a_body() {
    let deployment = with_large_bodies(131).await;
    let too_long = usize::try_from(MAX_BODY).expect("it fits") + 100_000;
    let mut lost = Vec::new();
    for framing in [Framing::Length, Framing::Chunks] {
        for (path, length, status) in [
            ("POST /nowhere/1", LARGE_BODY, 404),
            ("POST /upload/1", too_long, 413),
        ] {
            for number in 0..8 {
                let id = format!("{status}-{framing:?}-{number}");
                let node = deployment.nodes[number % 4].outbound;
                let sent = send_then_read(node, &framing.request(path, &id, length)).await;
                let answered = sent
                    .as_ref()
                    .is_ok_and(|replies| replies.len() == 1 && replies[0].status == status);
                if !answered {
                    lost.push(format!("{id}: {sent:?}"));
                }
                assert!(deployment.seen(&id).is_empty(), "{id} has run");
            }
        }
    }
    assert!(lost.is_empty(), "{} lost: {:#?}", lost.len(), lost.first());
}

/// Guards against a request that is read and discarded behind a rejected one: the node closes the connection after a
/// rejection that comes before the body, so it has to say so.
#[tokio::test]
async fn a_rejection_that_comes_before_the_body_announces_the_close() {
    let deployment = Deployment::start(234).await;
    for framing in [Framing::Length, Framing::Chunks] {
        let bytes = framing.request("POST /nowhere/1", &format!("{framing:?}"), LARGE_BODY);
        let mut stream = TcpStream::connect(deployment.nodes[NODE].outbound)
            .await
            .expect("a connection");
        stream.write_all(&bytes[..1_000]).await.expect("it is open");
        let mut received = Vec::new();
        stream
            .read_to_end(&mut received)
            .await
            .expect("the connection isn't reset");
        let replies = replies(&received, true);
        let told = replies.iter().map(|reply| reply.header("connection"));
        assert_eq!(told.collect::<Vec<_>>(), [Some("close")], "{framing:?}");
    }
}

/// Guards against rejections that are lost where the HTTP server itself rejects a head.
#[tokio::test]
async fn a_rejection_of_a_malformed_head_reaches_a_client_that_is_still_sending() {
    let deployment = Deployment::start(132).await;
    for number in 0..8 {
        let mut bytes = b"GET /orders/1 HTTP/1.1\r\nthis is no header\r\n\r\n".to_vec();
        bytes.extend(std::iter::repeat_n(b'x', 1_000_000));
        let sent = send_then_read(deployment.nodes[NODE].outbound, &bytes).await;
        let sent = sent.expect("the connection isn't reset");
        assert_eq!(sent[0].status, 400, "{number}: {sent:?}");
    }
}

/// Guards against a limit on connections that are being closed which is too low for many clients at once.
#[tokio::test]
async fn rejections_reach_many_clients_that_send_bodies_at_once() {
    const CLIENTS: usize = 200;
    let deployment = with_large_bodies(133).await;
    let clients = (0..CLIENTS).map(|number| {
        let node = deployment.nodes[NODE].outbound;
        async move {
            let id = format!("many-{number}");
            let bytes = Framing::Length.request("POST /nowhere/1", &id, 500_000);
            let sent = send_then_read(node, &bytes).await;
            sent.is_ok_and(|replies| replies.len() == 1 && replies[0].status == 404)
        }
    });
    let answered = join_all(clients).await;
    let answered = answered.into_iter().filter(|answered| *answered).count();
    assert_eq!(answered, CLIENTS);
}

/// How a client goes on after it has been rejected.
#[derive(Debug, Clone, Copy)]
enum After {
    /// Sends without end.
    Floods,
    /// Sends a byte from time to time.
    Drips,
    /// Neither sends nor reads nor closes.
    Rests,
}

impl After {
    /// Goes on until the node has closed the connection for good; returns after how long.
    async fn go_on(self, mut stream: TcpStream) -> Duration {
        let began_at = Instant::now();
        let mut chunk = vec![b'u'; 64 * 1024];
        if matches!(self, Self::Drips) {
            chunk.truncate(1);
        }
        loop {
            match self {
                Self::Floods => {}
                Self::Drips => tokio::time::sleep(Duration::from_secs(1)).await,
                Self::Rests => {
                    tokio::time::sleep(Duration::from_secs(4)).await;
                    chunk.truncate(1);
                }
            }
            if stream.write_all(&chunk).await.is_err() {
                return began_at.elapsed();
            }
        }
    }
}

/// A client whose request has been rejected while its body is due.
async fn rejected_client(node: SocketAddr, number: usize) -> TcpStream {
    let mut stream = TcpStream::connect(node).await.expect("a connection");
    let id = format!("rejected-{number}");
    let head = format!(
        "{}Content-Length: 1000000000\r\n\r\n",
        head("POST /nowhere/1", &id)
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    let mut answer = [0; 64];
    stream.read_exact(&mut answer).await.expect("an answer");
    assert!(answer.starts_with(b"HTTP/1.1 404"));
    stream
}

/// Guards against connections that stay open because their clients never stop sending, or never close.
#[tokio::test]
async fn a_client_that_goes_on_sending_after_its_answer_is_cut_off_in_time() {
    let deployment = Deployment::start(134).await;
    let kinds = [After::Floods, After::Drips, After::Rests];
    let clients = (0..12).map(|number| {
        let node = deployment.nodes[NODE].outbound;
        async move {
            let stream = rejected_client(node, number).await;
            let kind = kinds[number % kinds.len()];
            let took = timeout(2 * MAX_LINGER, kind.go_on(stream)).await;
            (kind, took.unwrap_or(2 * MAX_LINGER))
        }
    });
    for (kind, took) in join_all(clients).await {
        assert!(took < MAX_LINGER + TOLERANCE, "{kind:?}: {took:?}");
    }
    let answer = deployment.request(NODE, "/orders/1", "after").send().await;
    assert_eq!(answer.expect("an answer").status(), 200);
}

/// Guards against a planned stop that such clients prolong beyond its grace time.
#[tokio::test]
async fn clients_that_go_on_sending_do_not_prolong_a_planned_stop() {
    let mut deployment = Deployment::start(135).await;
    let node = deployment.nodes[NODE].outbound;
    deployment.terminate(NODE);
    let stopped_at = Instant::now();
    tokio::time::sleep(Duration::from_millis(2_200)).await;
    let mut clients = Vec::new();
    for number in 0..6 {
        let stream = rejected_client(node, number).await;
        let kind = [After::Floods, After::Drips][number % 2];
        clients.push(tokio::spawn(kind.go_on(stream)));
    }
    assert!(deployment.exited_well(NODE).await);
    assert!(
        stopped_at.elapsed() < GRACE + TOLERANCE,
        "{:?}",
        stopped_at.elapsed()
    );
    for client in clients {
        client.await.expect("it ends with the process");
    }
}
