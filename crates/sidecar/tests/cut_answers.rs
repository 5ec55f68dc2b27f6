//! Answers that end before they are whole.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use http_body_util::BodyExt;
use tokio::task::LocalSet;
use wingspar_sidecar::body::Body;
use wingspar_sidecar::connections::ConnectionPool;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Answers one request on each connection: with no byte of `answer`, with one, and so on to all of them.
fn answer_in_parts(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for sent in 0..=answer.len() {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut buffer = [0; 1024];
            assert!(stream.read(&mut buffer).expect("a request") > 0);
            let part = &answer.as_bytes()[..sent];
            stream.write_all(part).expect("a part");
        }
    });
    address
}

/// The body of an answer, if it is whole.
async fn body_of_answer(address: SocketAddr) -> Option<Vec<u8>> {
    let pool = ConnectionPool::new(address, CONNECT_TIMEOUT);
    let mut request = http::Request::new(Body::empty());
    *request.uri_mut() = http::Uri::from_static("/");
    let response = pool.send(request).await.ok()?;
    let body = response.into_body().collect().await.ok()?;
    Some(body.to_bytes().to_vec())
}

/// An answer cut in its head, or in its body, counted as one with an empty or short body.
#[test]
fn an_answer_is_received_only_if_it_is_whole() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    for answer in [
        "HTTP/1.1 200 OK\r\nX-Line: value\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Line: value\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
    ] {
        let address = answer_in_parts(answer);
        for sent in 0..=answer.len() {
            let body = LocalSet::new().block_on(&runtime, body_of_answer(address));
            let expected = (sent == answer.len()).then(|| b"body".to_vec());
            assert_eq!(body, expected, "{sent} bytes of {answer:?}");
        }
    }
}
