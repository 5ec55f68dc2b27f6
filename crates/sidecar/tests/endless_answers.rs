//! Answers of other processes without end.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use http_body_util::BodyExt;
use tokio::task::LocalSet;
use wingspar_sidecar::body::Body;
use wingspar_sidecar::connections::{ConnectionPool, MAX_CALL_RESPONSE};
use wingspar_sidecar::key_release;
use wingspar_sidecar::receive::{self, BodyTimeouts, MAX_LENGTH, ReceiveError};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// What the stand-in sends in all, far more than sockets hold.
const ALL: usize = 64 * 1024 * 1024;
/// What it may have sent when the caller has given up: two limits of four and two megabytes, and what sockets hold.
const MOST: usize = 24 * 1024 * 1024;
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Answers one request with `start` and then `repeated` again and again; tells how many bytes it could send.
fn answer_without_end(
    start: &'static str,
    repeated: &'static str,
) -> (SocketAddr, Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (sender, sent) = channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buffer = [0; 1024];
        assert!(stream.read(&mut buffer).expect("a request") > 0);
        let piece = repeated.repeat(64 * 1024 / repeated.len());
        let mut length = 0;
        let started = stream.write_all(start.as_bytes());
        while started.is_ok() && length < ALL && stream.write_all(piece.as_bytes()).is_ok() {
            length += piece.len();
        }
        let _told = sender.send(length);
    });
    (address, sent)
}

fn request() -> http::Request<Body> {
    let mut request = http::Request::new(Body::empty());
    *request.uri_mut() = http::Uri::from_static("/");
    request
}

/// Runs a test on a single thread, so that its tasks needn't be `Send`.
fn run_locally<Output>(test: impl Future<Output = Output>) -> Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test)
}

/// Sends a request and reads the whole body of its answer.
async fn call(pool: &Rc<ConnectionPool>) -> bool {
    match pool.send(request()).await {
        Ok(response) => response.into_body().collect().await.is_ok(),
        Err(_) => false,
    }
}

/// Bytes without end that aren't part of a body kept the event loop busy for as long as they came.
#[test]
fn a_connection_without_progress_is_closed_after_a_bounded_number_of_bytes() {
    let trailer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nx-line: ";
    let spaces = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4";
    let extension = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;";
    for (start, repeated) in [
        ("", "nonsense"),
        ("", "\r\n"),
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("HTTP/1.1 200 ", "O"),
        ("HTTP/1.1 200 OK\r\nx-line: ", "a"),
        ("HTTP/1.1 200 OK\r\n", "x-line: a\r\n"),
        (CHUNKED, "0"),
        (spaces, " "),
        (extension, "e"),
        (trailer, "t"),
    ] {
        let (address, sent) = answer_without_end(start, repeated);
        let pool = ConnectionPool::new(address, CONNECT_TIMEOUT);
        assert!(!run_locally(call(&pool)), "{start:?} {repeated:?}");
        drop(pool);
        let sent = sent.recv().expect("a length");
        assert!(sent <= MOST, "{start:?} {repeated:?}: {sent} bytes");
    }
}

/// The body of an answer to an order was kept in memory for as long as it came.
#[test]
fn a_long_response_to_a_call_fails_and_closes_its_connection() {
    for start in ["HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 409 Conflict\r\n\r\n"] {
        let (address, sent) = answer_without_end(start, "body");
        let pool = ConnectionPool::for_calls(address, CONNECT_TIMEOUT);
        assert!(!run_locally(call(&pool)));
        let sent = sent.recv().expect("a length");
        assert!(sent <= MOST, "{sent} bytes");
    }
}

/// Guards against a release whose answer is kept in memory for as long as it comes.
#[test]
fn a_long_answer_to_a_release_fails_and_closes_its_connection() {
    const RELEASE_TIME: Duration = Duration::from_secs(20);
    for (start, repeated) in [
        ("HTTP/1.1 200 OK\r\n\r\n", "body"),
        ("HTTP/1.1 409 Conflict\r\n\r\n", "body"),
        (CHUNKED, "4\r\nbody\r\n"),
    ] {
        let (address, sent) = answer_without_end(start, repeated);
        let answer = run_locally(key_release::send(address, request(), RELEASE_TIME));
        let sent = sent.recv().expect("a length");
        assert!(sent <= MOST, "{start:?}: {sent} bytes");
        assert!(answer.is_none(), "{start:?}: {answer:?}");
    }
}

/// The limit of a call's response is for all of its frames together, and takes its full length.
#[test]
fn a_response_to_a_call_may_be_as_long_as_the_limit() {
    for (surplus, expected) in [(0, true), (1, false)] {
        let length = MAX_CALL_RESPONSE + surplus;
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        let (address, _sent) = answer_without_end(head.leak(), "body");
        let pool = ConnectionPool::for_calls(address, CONNECT_TIMEOUT);
        assert_eq!(run_locally(call(&pool)), expected, "{length} bytes");
    }
}

/// The answer of the store or of another node was kept in memory for as long as it came.
#[test]
fn a_body_that_is_too_long_is_not_received() {
    const TIMEOUTS: BodyTimeouts = BodyTimeouts {
        idle: Duration::from_secs(20),
        whole: Duration::from_secs(20),
    };
    let (address, sent) = answer_without_end("HTTP/1.1 200 OK\r\n\r\n", "body");
    let pool = ConnectionPool::new(address, CONNECT_TIMEOUT);
    let received = Cell::new(0);
    let result = run_locally(async {
        let response = pool.send(request()).await.expect("a head");
        receive::whole(response.into_body(), TIMEOUTS, &received).await
    });
    assert!(matches!(result, Err(ReceiveError::TooLong)), "{result:?}");
    assert!(received.get() <= MAX_LENGTH);
    let sent = sent.recv().expect("a length");
    assert!(sent <= MOST, "{sent} bytes");
}

/// Bytes behind an answer don't spoil it, and end its connection.
#[test]
fn bytes_without_end_behind_an_answer_close_its_connection() {
    let start = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    let (address, sent) = answer_without_end(start, "z");
    let pool = ConnectionPool::new(address, CONNECT_TIMEOUT);
    run_locally(async {
        assert!(call(&pool).await);
        tokio::time::sleep(Duration::from_millis(200)).await;
    });
    let sent = sent.recv().expect("a length");
    assert!(sent <= MOST, "{sent} bytes");
}
