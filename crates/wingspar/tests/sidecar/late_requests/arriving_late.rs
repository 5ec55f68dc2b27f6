//! Requests whose end, or whose answer, comes late in the grace time.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use tokio::time::sleep;

use super::*;

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
