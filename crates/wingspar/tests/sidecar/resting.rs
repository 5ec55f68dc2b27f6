//! Client connections that rest between their requests.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::deployment::Deployment;
use crate::kept_connection::KeptConnection;

/// The machine whose node the clients are connected to.
const NODE: usize = 2;
/// Long enough for a connection to be at rest.
const REST: Duration = Duration::from_millis(100);
/// Bytes of a process that one more connection at rest may take: as many as the HTTP library's buffers alone would.
const MOST_BYTES_AT_REST: usize = 16 * 1024;

/// Memory of a node's process that is in use, in bytes.
fn memory(deployment: &Deployment) -> usize {
    let process = deployment.nodes[NODE].process.as_ref().expect("a process");
    let path = format!("/proc/{}/status", process.id());
    let status = std::fs::read_to_string(path).expect("a status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
    kilobytes.expect("a size") * 1024
}

async fn connected(deployment: &Deployment) -> TcpStream {
    let stream = TcpStream::connect(deployment.nodes[NODE].outbound).await;
    stream.expect("a connection")
}

/// What a connection says until it is closed.
async fn rest_of(mut stream: TcpStream) -> String {
    let mut said = Vec::new();
    let _reset_or_closed = stream.read_to_end(&mut said).await;
    String::from_utf8_lossy(&said).into_owned()
}

#[tokio::test]
async fn a_connection_that_rests_takes_little_memory() {
    const CONNECTIONS: usize = 400;
    let deployment = Deployment::start(70).await;
    let mut kept = Vec::new();
    let mut before = 0;
    for number in 0..2 * CONNECTIONS {
        if number == CONNECTIONS {
            // What the first ones needed for the time of their requests is there.
            before = memory(&deployment);
        }
        let mut connection = KeptConnection::open(deployment.nodes[NODE].outbound).await;
        let id = format!("rest-{number}");
        assert_eq!(connection.get("/orders/1", &id, "").await, 200);
        kept.push(connection);
    }
    let each = (memory(&deployment).saturating_sub(before)) / CONNECTIONS;
    assert!(each < MOST_BYTES_AT_REST, "{each} bytes a connection");
    for (number, connection) in kept.iter_mut().enumerate() {
        let id = format!("again-{number}");
        assert_eq!(connection.get("/orders/1", &id, "").await, 200);
    }
}

#[tokio::test]
async fn requests_that_come_in_pieces_after_a_rest_are_answered() {
    let deployment = Deployment::start(71).await;
    let mut stream = connected(&deployment).await;
    for number in 0..3 {
        let pieces = [
            "POST /book/1 HTTP/1.1\r\nhost: shop.exa".to_owned(),
            format!("mple\r\nx-wingspar-request-id: piece-{number}\r\ncontent-length: 6\r\n"),
            "\r\nbo".to_owned(),
            "dy".to_owned(),
            "-1".to_owned(),
        ];
        for piece in pieces {
            tokio::time::sleep(REST).await;
            stream.write_all(piece.as_bytes()).await.expect("sent");
        }
        let mut answer = [0; 4096];
        let length = stream.read(&mut answer).await.expect("an answer");
        let answer = String::from_utf8_lossy(&answer[..length]).into_owned();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        let seen = deployment.seen(&format!("piece-{number}"));
        assert_eq!(seen.len(), 1);
        assert_eq!(seen[0].body, "body-1");
    }
    // Two requests at once, and the client's end of sending behind them.
    let request = "GET /orders/1 HTTP/1.1\r\nhost: shop.example\r\nx-wingspar-request-id:";
    let both = format!("{request} last-1\r\n\r\n{request} last-2\r\n\r\n");
    stream.write_all(both.as_bytes()).await.expect("sent");
    tokio::time::sleep(REST).await;
    stream.shutdown().await.expect("an end");
    assert_eq!(rest_of(stream).await.matches("HTTP/1.1 200").count(), 2);
}

#[tokio::test]
async fn a_stop_closes_connections_at_rest_and_answers_what_has_arrived() {
    let deployment = Deployment::start(72).await;
    let mut resting = Vec::new();
    for number in 0..20 {
        let mut stream = connected(&deployment).await;
        let request = format!(
            "GET /orders/1 HTTP/1.1\r\nhost: shop.example\r\nx-wingspar-request-id: first-{number}\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await.expect("sent");
        let mut answer = [0; 4096];
        let length = stream.read(&mut answer).await.expect("an answer");
        assert!(answer[..length].starts_with(b"HTTP/1.1 200"));
        resting.push(stream);
    }
    let never_used = connected(&deployment).await;
    tokio::time::sleep(REST).await;
    deployment.terminate(NODE);
    // Half of them are used while the node stops.
    for (number, stream) in resting
        .iter_mut()
        .enumerate()
        .filter(|(number, _)| number % 2 == 0)
    {
        let request = format!(
            "GET /orders/1 HTTP/1.1\r\nhost: shop.example\r\nx-wingspar-request-id: late-{number}\r\n\r\n"
        );
        let _closed_already = stream.write_all(request.as_bytes()).await;
    }
    for (number, stream) in resting.into_iter().enumerate() {
        let said = rest_of(stream).await;
        let ran = !deployment.seen(&format!("late-{number}")).is_empty();
        let answered = said.starts_with("HTTP/1.1 200");
        assert_eq!(ran, answered, "{number}: {said}");
        assert!(answered || said.is_empty(), "{number}: {said}");
    }
    assert_eq!(rest_of(never_used).await, "");
}

/// The process sleeps while requests arrive and the time to close its connections comes, so that it sees both at once.
#[tokio::test]
async fn requests_that_arrive_as_connections_are_closed_are_answered() {
    /// Shortly before a node that was told to stop closes its connections, and after that.
    const BEFORE_CLOSING: Duration = Duration::from_millis(1_300);
    const OVER_CLOSING: Duration = Duration::from_millis(1_300);
    let deployment = Deployment::start(73).await;
    let mut resting = Vec::new();
    for number in 0..5 {
        let mut connection = connected(&deployment).await;
        let request = format!(
            "GET /orders/1 HTTP/1.1\r\nhost: shop.example\r\nx-wingspar-request-id: early-{number}\r\n\r\n"
        );
        connection
            .write_all(request.as_bytes())
            .await
            .expect("sent");
        let mut answer = [0; 4096];
        let length = connection.read(&mut answer).await.expect("an answer");
        assert!(answer[..length].starts_with(b"HTTP/1.1 200"));
        resting.push(connection);
    }
    deployment.terminate(NODE);
    tokio::time::sleep(BEFORE_CLOSING).await;
    deployment.signal(NODE, "-STOP");
    for (number, connection) in resting.iter_mut().enumerate() {
        let request = format!(
            "GET /orders/1 HTTP/1.1\r\nhost: shop.example\r\nx-wingspar-request-id: closing-{number}\r\n\r\n"
        );
        connection
            .write_all(request.as_bytes())
            .await
            .expect("sent");
    }
    tokio::time::sleep(OVER_CLOSING).await;
    deployment.signal(NODE, "-CONT");
    for (number, connection) in resting.into_iter().enumerate() {
        let said = rest_of(connection).await;
        assert!(said.starts_with("HTTP/1.1 "), "{number}: {said:?}");
    }
}
