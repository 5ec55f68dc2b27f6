//! Requests that another node has sent to the stopping one.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use tokio::time::sleep;

use super::*;

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
