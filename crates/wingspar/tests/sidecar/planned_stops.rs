//! Targets and processes that stop as planned.

use std::time::Duration;

use wingspar_standins::fleet::TargetFaults;

use crate::deployment::{Deployment, Wiring, eventually, key_owned_by};

#[tokio::test]
async fn a_leaving_target_gets_nothing_new() {
    let deployment = Deployment::start(12).await;
    deployment.heartbeat(2, "draining", 100).await;
    // A heartbeat that was overtaken doesn't bring it back.
    deployment.heartbeat(2, "ready", 50).await;
    eventually("everything goes to the other target", || async {
        let id = "probe";
        deployment
            .request(2, "/orders/1", id)
            .send()
            .await
            .is_ok_and(|answer| answer.status() == 200)
            && deployment.nodes[3]
                .target
                .as_ref()
                .is_some_and(|target| target.seen().iter().any(|seen| seen.id == id))
    })
    .await;
    tokio::time::sleep(Duration::from_millis(900)).await;
    let before = deployment.nodes[2]
        .target
        .as_ref()
        .expect("a target")
        .seen()
        .len();
    for step in 0..10 {
        let answer = deployment
            .request(2, "/orders/1", &format!("l{step}"))
            .send()
            .await
            .expect("an answer");
        assert_eq!(answer.status(), 200);
    }
    assert_eq!(
        deployment.nodes[2]
            .target
            .as_ref()
            .expect("a target")
            .seen()
            .len(),
        before
    );
}

#[tokio::test]
async fn a_planned_stop_ends_what_runs_and_hands_keys_over() {
    let mut deployment = Deployment::start(13).await;
    let key = 60_000;
    let owner = key_owned_by(&deployment, key).expect("an owner");
    for node in 0..4 {
        let faults = TargetFaults {
            work: Duration::from_millis(600),
            ..TargetFaults::default()
        };
        deployment.nodes[node]
            .target
            .as_ref()
            .expect("a target")
            .set_faults(faults);
    }
    let running = deployment.request(owner, "/orders/1", "running").send();
    let stopping = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
    };
    let (answer, ()) = tokio::join!(running, async {
        stopping.await;
        deployment.terminate(owner);
    });
    assert_eq!(answer.expect("an answer").status(), 200);
    assert!(
        deployment.exited_well(owner).await,
        "it ends by itself with code 0"
    );
    let other = (owner + 1) % 2;
    eventually("another owns the key", || async {
        deployment.keyed(other, key, "after").await.status() == 200
    })
    .await;
}

/// A client's connection may have been accepted before the stop, and its first request be read after it: the process
/// must not end while that is answered.
#[tokio::test]
async fn a_planned_stop_waits_for_a_request_that_comes_late_on_an_open_connection() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut deployment = Deployment::start(31).await;
    deployment.plain_targets_do(TargetFaults {
        work: Duration::from_millis(1_000),
        ..TargetFaults::default()
    });
    deployment.terminate(0);
    tokio::time::sleep(Duration::from_millis(2_300)).await;
    let mut connection = tokio::net::TcpStream::connect(deployment.nodes[0].outbound)
        .await
        .expect("it still accepts");
    tokio::time::sleep(Duration::from_millis(400)).await;
    let request = "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nX-Wingspar-Request-Id: late\r\n\
                   X-Wingspar-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n";
    let written = connection.write_all(request.as_bytes()).await;
    let mut answer = Vec::new();
    let _end = connection.read_to_end(&mut answer).await;
    if deployment.seen("late").is_empty() {
        // Closed before the request was read: the client may send it elsewhere.
        assert!(written.is_err() || answer.is_empty(), "no answer was due");
    } else {
        let answer = String::from_utf8_lossy(&answer);
        assert!(answer.starts_with("HTTP/1.1 200"), "cut: {answer:?}");
    }
    assert!(deployment.exited_well(0).await);
}

#[tokio::test]
async fn a_planned_stop_does_not_cut_a_large_answer() {
    // 400 kB over a link of 1 Mbit/s take longer than the node needs to have nothing else to do.
    let mut deployment = Deployment::start_with(
        16,
        &Wiring {
            node_settings: "link_mbps = 1.0",
            ..Wiring::default()
        },
    )
    .await;
    deployment.plain_targets_do(TargetFaults {
        answer_bytes: 400_000,
        ..TargetFaults::default()
    });
    // No target of the service is on this machine, so the answer comes over a link.
    let request = deployment.request_within(0, "/patient/1", "large", 20_000);
    let answer = request.send().await.expect("an answer");
    assert_eq!(answer.status(), 200);
    deployment.terminate(0);
    let body = answer.bytes().await.expect("a whole body");
    assert_eq!(body.len(), 400_000);
    assert!(deployment.exited_well(0).await);
}
