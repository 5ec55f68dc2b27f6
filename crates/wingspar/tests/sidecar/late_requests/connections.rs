//! Requests behind others, on idle connections and on new ones while a node closes its connections.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::*;

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
