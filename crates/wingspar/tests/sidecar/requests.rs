//! What becomes of a request: where it runs, what targets are told, and how it is answered where they fail.

use wingspar_standins::fleet::{FleetTarget, TargetFaults};

use crate::deployment::{Deployment, eventually};

#[tokio::test]
async fn requests_reach_a_target_of_their_service_from_any_node() {
    let deployment = Deployment::start(1).await;
    for node in 0..deployment.nodes.len() {
        let id = format!("plain-{node}");
        let answer = deployment
            .request(node, "/orders/1", &id)
            .body("two")
            .send()
            .await
            .expect("an answer");
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.headers()["x-wingspar-request-id"], id.as_str());
        assert_eq!(answer.headers()["x-wingspar-response-signature"], "s");
        let seen = deployment.seen(&id);
        assert_eq!(seen.len(), 1, "it ran once");
        assert_eq!(seen[0].body, "two");
        let caller = &deployment.nodes[node].service;
        assert_eq!(
            &seen[0].caller, caller,
            "the caller is the service where it began"
        );
        assert!(seen[0].deadline_ms > 0 && seen[0].deadline_ms <= 2_000);
    }
}

#[tokio::test]
async fn what_a_client_says_of_the_inside_is_not_believed() {
    let deployment = Deployment::start(2).await;
    let request = deployment
        .request(0, "/orders/1", "forged")
        .header("x-wingspar-caller-service", "somebody")
        .header("x-wingspar-expect-instance", "somebody")
        .header("wingspar-service", "stock")
        .header("connection", "x-wingspar-request-id");
    let answer = request.send().await.expect("an answer");
    assert_eq!(answer.status(), 200);
    assert_eq!(
        deployment.seen("forged")[0].caller,
        deployment.nodes[0].service
    );
}

#[tokio::test]
async fn a_keyed_request_runs_where_its_key_is_held() {
    let deployment = Deployment::start(3).await;
    for key in [0_u16, 9_000, 30_000, 50_000, 65_535] {
        let id = format!("keyed-{key}");
        let answer = deployment.keyed(1, key, &id).await;
        assert_eq!(answer.status(), 200);
        assert_eq!(deployment.seen(&id).len(), 1);
    }
    let held = [0_u16, 9_000, 30_000, 50_000, 65_535].map(|key| {
        deployment
            .nodes
            .iter()
            .filter(|node| node.target.as_ref().is_some_and(|target| target.holds(key)))
            .count()
    });
    assert_eq!(held, [1; 5], "each key is held by one target");
}

#[tokio::test]
async fn work_that_may_have_run_is_not_repeated_unless_it_may_be() {
    let deployment = Deployment::start(9).await;
    let wrong = TargetFaults {
        wrong_id: true,
        ..TargetFaults::default()
    };
    deployment.plain_targets_do(wrong);
    let once = deployment
        .request(2, "/book/1", "once")
        .send()
        .await
        .expect("an answer");
    assert_eq!(once.status(), 502, "another request's answer is nobody's");
    assert_eq!(deployment.seen("once").len(), 1);
    let again = deployment
        .request(2, "/orders/1", "again")
        .send()
        .await
        .expect("an answer");
    assert_eq!(again.status(), 502);
    assert_eq!(deployment.seen("again").len(), 2, "max_attempts is 2");
    let unsigned = TargetFaults {
        unsigned: true,
        ..TargetFaults::default()
    };
    deployment.plain_targets_do(unsigned);
    let unsigned = deployment
        .request(2, "/book/1", "unsigned")
        .send()
        .await
        .expect("an answer");
    assert_eq!(unsigned.status(), 502);
}

#[tokio::test]
async fn a_rejected_request_is_told_not_run_and_when_to_come_back() {
    let deployment = Deployment::start(10).await;
    deployment.plain_targets_do(TargetFaults {
        sheds: true,
        ..TargetFaults::default()
    });
    let answer = deployment
        .request(0, "/book/1", "shed")
        .send()
        .await
        .expect("an answer");
    assert_eq!(answer.status(), 503);
    assert!(answer.headers().contains_key("retry-after"));
    assert!(deployment.seen("shed").is_empty());
}

#[tokio::test]
async fn a_silent_target_is_given_up_at_the_routes_timeout() {
    let deployment = Deployment::start(11).await;
    deployment.plain_targets_do(TargetFaults {
        silent: true,
        ..TargetFaults::default()
    });
    let answer = deployment
        .request(0, "/book/1", "silent")
        .send()
        .await
        .expect("an answer");
    assert_eq!(answer.status(), 504);
    assert_eq!(deployment.seen("silent").len(), 1);
}

#[tokio::test]
async fn work_is_given_up_when_its_client_leaves() {
    let deployment = Deployment::start(14).await;
    let targets = [2, 3].map(|node| deployment.nodes[node].target.as_ref().expect("a target"));
    for target in targets {
        target.set_faults(TargetFaults {
            silent: true,
            ..TargetFaults::default()
        });
    }
    let open = || {
        let connections = targets.iter().map(|target| target.open_connections());
        connections.sum::<u64>()
    };
    // The route has no time-out and the client's deadline is far: only its leaving ends the work.
    let request = deployment.request_within(0, "/patient/1", "left", 90_000);
    let client = tokio::spawn(request.send());
    eventually("a target works on it", || async {
        deployment.seen("left").len() == 1
    })
    .await;
    let busy = open();
    client.abort();
    eventually("its connection is closed", || async { open() < busy }).await;
}

#[tokio::test]
async fn an_address_that_another_target_has_taken_gets_nothing() {
    let mut deployment = Deployment::start(15).await;
    let taken = deployment.nodes[2].target.take().expect("a target");
    let address = taken.local_addr();
    taken.shutdown().await;
    let other = FleetTarget::start(address, "other", false)
        .await
        .expect("the address is free");
    for step in 0..10 {
        let id = format!("reused-{step}");
        let answer = deployment
            .request(2, "/orders/1", &id)
            .send()
            .await
            .expect("an answer");
        assert_eq!(
            answer.status(),
            200,
            "the other target of the service takes it"
        );
    }
    assert!(other.seen().is_empty());
}
