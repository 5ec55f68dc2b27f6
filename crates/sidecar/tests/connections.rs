//! The pool of connections to another process.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use wingspar_sidecar::body::Body;
use wingspar_sidecar::connections::{ConnectionPool, SendError};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Answers one request on a connection, then waits until the other side closes it.
async fn answer_once(mut stream: TcpStream) {
    let mut buffer = [0; 1024];
    let read = stream.read(&mut buffer).await.expect("a request");
    assert!(read > 0);
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(answer).await.expect("an answer");
    let rest = stream.read(&mut buffer).await.expect("the end");
    assert_eq!(rest, 0);
}

/// Runs a test on a single thread, so that its tasks needn't be `Send`.
fn run_locally(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn only_connections_idle_for_too_long_are_closed() {
    run_locally(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let closed = spawn_local(async move {
            let (stream, _) = listener.accept().await.expect("a connection");
            answer_once(stream).await;
        });
        let connections = ConnectionPool::new(address, CONNECT_TIMEOUT);
        let mut request = http::Request::new(Body::empty());
        *request.uri_mut() = http::Uri::from_static("/");
        let response = connections.send(request).await.expect("an answer");
        let body = http_body_util::BodyExt::collect(response.into_body()).await;
        assert!(body.is_ok());

        connections.close_idle_longer_than(Duration::from_secs(60));
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(!closed.is_finished(), "it hasn't been idle for long enough");

        connections.close_idle_longer_than(Duration::ZERO);
        let ended = tokio::time::timeout(Duration::from_secs(5), closed).await;
        assert!(matches!(ended, Ok(Ok(()))), "it wasn't closed");
    });
}

/// Answers each request as soon as its head has arrived, and records the number of the connection on which it came.
async fn answer_early(listener: TcpListener, heads: Rc<RefCell<Vec<usize>>>) {
    for connection in 0.. {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let heads = heads.clone();
        spawn_local(async move {
            let mut buffer = [0; 1024];
            while let Ok(read) = stream.read(&mut buffer).await
                && read > 0
            {
                if buffer.starts_with(b"POST") {
                    heads.borrow_mut().push(connection);
                    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                    stream.write_all(answer).await.expect("an answer");
                }
                // The rest of a large body is read later.
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        });
    }
}

#[test]
fn a_connection_is_not_reused_after_a_large_body() {
    const LARGE: u64 = 16 * 1024;
    run_locally(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let heads = Rc::new(RefCell::new(Vec::new()));
        spawn_local(answer_early(listener, heads.clone()));
        let connections = ConnectionPool::with_reuse_limit(address, CONNECT_TIMEOUT, LARGE);
        for length in [10, 10, 60_000, 10] {
            let mut request = http::Request::new(Body::whole(vec![b'u'; length]));
            *request.method_mut() = http::Method::POST;
            *request.uri_mut() = http::Uri::from_static("/");
            let response = connections.send(request).await.expect("an answer");
            let body = http_body_util::BodyExt::collect(response.into_body()).await;
            assert!(body.is_ok());
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
        assert_eq!(*heads.borrow(), [0, 0, 0, 1]);
    });
}

/// Guards against a status that no response can have and that passes for a response of a target, another node or the store.
#[test]
fn an_invalid_status_is_no_response() {
    run_locally(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let statuses = ["000", "099", "0", "600", "999", "101", "199", "200", "599"];
        spawn_local(async move {
            for status in statuses {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                let mut buffer = [0; 1024];
                let read = stream.read(&mut buffer).await.expect("a request");
                assert!(read > 0);
                let answer = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
                stream
                    .write_all(answer.as_bytes())
                    .await
                    .expect("an answer");
            }
        });
        for status in statuses {
            let connections = ConnectionPool::for_calls(address, CONNECT_TIMEOUT);
            let mut request = http::Request::new(Body::empty());
            *request.uri_mut() = http::Uri::from_static("/");
            let sent = connections.send(request).await;
            let is_valid = ["200", "599"].contains(&status);
            assert_eq!(sent.is_ok(), is_valid, "{status}");
            let may_have_run = matches!(sent, Err(SendError::MayHaveRun(_)));
            assert_eq!(may_have_run, !is_valid, "{status}");
        }
    });
}
