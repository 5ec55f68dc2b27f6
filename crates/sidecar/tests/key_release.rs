//! Which answers to a release prove that a target holds nothing any more.

use std::time::Duration;

use http::{Request, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use wingspar_sidecar::body::Body;
use wingspar_sidecar::key_release::{is_released, send};

/// Guards against keys that count as free because a target was too busy to read a release, or rejected it.
#[test]
fn only_a_success_shows_that_a_target_has_released_its_keys() {
    let released = (100..600)
        .filter_map(|code| StatusCode::from_u16(code).ok())
        .filter(|status| is_released(*status, true));
    assert!(released.clone().all(|status| status.is_success()));
    assert_eq!(released.count(), 100);
}

/// Guards against a node that is never clean because the target beside it doesn't implement releases.
#[test]
fn a_target_without_keys_has_nothing_to_release_if_it_rejects_the_call() {
    for status in [
        StatusCode::OK,
        StatusCode::BAD_REQUEST,
        StatusCode::NOT_FOUND,
        StatusCode::METHOD_NOT_ALLOWED,
    ] {
        assert!(is_released(status, false), "{status}");
    }
    for status in [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::INTERNAL_SERVER_ERROR,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::PERMANENT_REDIRECT,
    ] {
        assert!(!is_released(status, false), "{status}");
    }
}

/// Answers the first request on a connection, and every further one with a copy of that answer.
async fn answer_first(mut stream: TcpStream, status: u16) {
    let answer = format!("HTTP/1.1 {status} Any\r\ncontent-length: 0\r\n\r\n");
    let mut buffer = [0; 1024];
    while let Ok(read) = stream.read(&mut buffer).await
        && read > 0
    {
        stream
            .write_all(answer.as_bytes())
            .await
            .expect("an open connection");
    }
}

/// Guards against keys that count as free because a surplus answer to an earlier call came in the place of the
/// release's answer.
#[test]
fn a_release_is_not_answered_by_a_surplus_answer_to_an_earlier_call() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        spawn_local(async move {
            for status in [200, 503] {
                let (stream, _) = listener.accept().await.expect("a connection");
                spawn_local(answer_first(stream, status));
            }
        });
        let mut statuses = Vec::new();
        for _ in 0..2 {
            let request = Request::new(Body::empty());
            let answer = send(address, request, Duration::from_secs(5)).await;
            statuses.push(answer.expect("an answer").status().as_u16());
        }
        assert_eq!(statuses, [200, 503]);
    });
}
