//! Guards against kept connections that are closed before the configured idle time is over, and against requests that
//! are lost because they cross such a close.

use std::time::Duration;

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::deployment::{Deployment, eventually};
use crate::raw_client::replies;

/// The machine whose node the clients are connected to.
const NODE: usize = 2;
/// After this time a node closes a connection that has been idle, with the shortest idle time that can be configured:
/// the time for a head, and a margin.
const SHORTEST_IDLE_TIME: Duration = Duration::from_secs(3 + 4);

fn request(id: &str) -> String {
    format!(
        "POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nX-Wingspar-Request-Id: {id}\r\n\
         X-Wingspar-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Configures how long clients may leave connections idle, in seconds, and waits until that is in force.
async fn configure_idle_time(deployment: &Deployment, version: u64, idle_s: u64) {
    let mut spec = deployment.store.read("config", "main").expect("one");
    spec["version"] = json!(version);
    spec["limits"]["idle_s"] = json!(idle_s);
    deployment.store.write("config", "main", spec);
    eventually("the configuration is in force", || async {
        deployment.configuration_version(NODE).await == Some(version)
    })
    .await;
}

/// A connection on which a request has been answered.
async fn used_connection(deployment: &Deployment, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(deployment.nodes[NODE].outbound)
        .await
        .expect("a connection");
    assert_eq!(status_of_next(&mut stream, id).await, Some(200));
    stream
}

/// Sends a request; the status of its answer, if there is any.
async fn status_of_next(stream: &mut TcpStream, id: &str) -> Option<u16> {
    let sent = stream.write_all(request(id).as_bytes()).await;
    let mut received = Vec::new();
    let mut piece = [0; 4096];
    while sent.is_ok() {
        match stream.read(&mut piece).await {
            Ok(length @ 1..) => received.extend_from_slice(&piece[..length]),
            _ => break,
        }
        if let Some(reply) = replies(&received, false).first()
            && reply.whole
        {
            return Some(reply.status);
        }
    }
    None
}

/// Guards against connections that are closed by the idle time that was configured when they were opened, while clients
/// already keep to a longer one.
#[tokio::test]
async fn a_connection_stays_open_for_an_idle_time_that_is_configured_later() {
    let deployment = Deployment::start(196).await;
    configure_idle_time(&deployment, 9, 1).await;
    let mut stream = used_connection(&deployment, "before").await;
    configure_idle_time(&deployment, 10, 15).await;
    sleep(SHORTEST_IDLE_TIME + Duration::from_secs(2)).await;
    assert_eq!(status_of_next(&mut stream, "after").await, Some(200));
}

/// Guards against a request that crosses the close of an idle connection and is read and discarded: a request that can't
/// be repeated may be sent again only if it hasn't been read.
#[tokio::test]
async fn a_request_that_crosses_the_close_of_an_idle_connection_is_not_read() {
    let deployment = Deployment::start(197).await;
    configure_idle_time(&deployment, 9, 1).await;
    let mut stream = used_connection(&deployment, "before").await;
    let mut nothing = [0; 16];
    let closed = stream.read(&mut nothing);
    let closed = timeout(2 * SHORTEST_IDLE_TIME, closed).await;
    assert_eq!(closed.expect("it is closed").ok(), Some(0));
    // The request of a client that hasn't seen the close yet.
    stream
        .write_all(request("crossing").as_bytes())
        .await
        .expect("the client may still send");
    sleep(Duration::from_millis(300)).await;
    // The reset of a connection whose bytes weren't read makes the next write fail.
    let next = stream.write_all(b"\r\n").await;
    assert!(next.is_err(), "the node still reads");
    assert!(deployment.seen("crossing").is_empty());
}
