//! A target that never answers a request for which it has no room.

use std::time::Duration;

use wingspar_standins::fleet::{FleetTarget, TargetFaults};

use crate::deployment::{Deployment, eventually};

/// Requests that the target has room for: 8 slots and a queue for half as many.
const ROOM: usize = 12;
/// Requests at a time: as many as the target has slots.
const SLOTS: usize = 8;
/// The machine whose target is full; the other one of its service is gone.
const NODE: usize = 2;

/// A deployment with one target of the plain service, which works so long on each request.
async fn deployment_with(test: u8, work: Duration) -> Deployment {
    let mut deployment = Deployment::start(test).await;
    deployment.lose(NODE + 1).await;
    let faults = TargetFaults {
        work,
        room: Some(ROOM),
        ..TargetFaults::default()
    };
    target(&deployment).set_faults(faults);
    deployment
}

fn target(deployment: &Deployment) -> &FleetTarget {
    deployment.nodes[NODE].target.as_ref().expect("a target")
}

/// Sends requests that wait for their answers in tasks of their own.
fn send(deployment: &Deployment, name: &str, deadline_ms: u64) -> Vec<tokio::task::JoinHandle<()>> {
    let requests = (0..SLOTS).map(|number| {
        let id = format!("{name}-{number}");
        let request = deployment.request_within(NODE, "/patient/1", &id, deadline_ms);
        tokio::spawn(async move {
            let _whatever = request.send().await;
        })
    });
    requests.collect()
}

#[tokio::test]
async fn work_of_an_earlier_process_keeps_its_place_at_the_target() {
    let mut deployment = deployment_with(50, Duration::from_secs(7)).await;
    let _waiting = send(&deployment, "before", 20_000);
    eventually("all run", || async {
        target(&deployment).seen().len() >= SLOTS
    })
    .await;
    deployment.kill(NODE);
    deployment.start_process(NODE);
    deployment.heartbeats(2).await;
    deployment.ready(NODE).await;
    let _waiting = send(&deployment, "after", 20_000);
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(target(&deployment).without_room(), 0);
    eventually("all that came later run, too", || async {
        let seen = target(&deployment).seen();
        let after = seen.iter().filter(|seen| seen.id.starts_with("after"));
        after.count() == SLOTS
    })
    .await;
    assert_eq!(target(&deployment).without_room(), 0);
}

#[tokio::test]
async fn work_that_was_given_up_keeps_its_place_at_the_target() {
    let deployment = deployment_with(51, Duration::from_secs(4)).await;
    for step in 0..4 {
        let waiting = send(&deployment, &format!("wave{step}"), 600);
        for waiting in waiting {
            waiting.await.expect("no panic");
        }
    }
    assert_eq!(target(&deployment).without_room(), 0);
    tokio::time::sleep(Duration::from_secs(5)).await;
    let answer = deployment.request_within(NODE, "/patient/1", "later", 20_000);
    let answer = answer.send().await.expect("an answer");
    assert_eq!(answer.status(), 200, "its place is free again");
}

#[tokio::test]
async fn a_request_that_is_never_answered_gives_its_slot_back_and_may_have_run() {
    let deployment = deployment_with(52, Duration::from_millis(20)).await;
    target(&deployment).set_faults(TargetFaults {
        room: Some(0),
        ..TargetFaults::default()
    });
    let requests = (0..SLOTS).map(|number| {
        let id = format!("silent-{number}");
        let request = deployment.request_within(NODE, "/patient/1", &id, 700);
        tokio::spawn(async move { request.send().await.expect("an answer").status() })
    });
    for status in requests.collect::<Vec<_>>() {
        assert_eq!(status.await.expect("no panic"), 504);
    }
    target(&deployment).set_faults(TargetFaults::default());
    let answer = deployment.request(NODE, "/patient/1", "later");
    assert_eq!(answer.send().await.expect("an answer").status(), 200);
}

#[tokio::test]
async fn a_full_target_is_waited_for_though_the_other_one_cannot_be_reached() {
    let deployment = deployment_with(53, Duration::from_secs(1)).await;
    let _waiting = send(&deployment, "first", 20_000);
    let _waiting = send(&deployment, "second", 20_000);
    eventually("all run", || async {
        target(&deployment).seen().len() == 2 * SLOTS
    })
    .await;
}

/// Callers that leave soon, each on a connection of its own, keep the target full, also while its node starts again and
/// asks the target how it is.
#[tokio::test]
async fn a_target_that_stays_full_is_sent_no_more_than_it_holds_over_new_connections_and_a_restart()
{
    let mut deployment = deployment_with(54, Duration::from_secs(2)).await;
    for step in 0..80 {
        let request = deployment.request_within(NODE, "/patient/1", &format!("n{step}"), 400);
        let request = request.header("connection", "close");
        tokio::spawn(async move {
            let _whatever = request.send().await;
        });
        if step == 40 {
            deployment.kill(NODE);
            deployment.start_process(NODE);
            deployment.heartbeats(2).await;
            deployment.ready(NODE).await;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let seen = target(&deployment).seen();
    let began = |from: usize| {
        let ids = from..from + 40;
        let ids = ids.map(|step| format!("n{step}")).collect::<Vec<_>>();
        seen.iter().filter(|seen| ids.contains(&seen.id)).count()
    };
    assert!(
        began(0) >= SLOTS && began(40) > 0,
        "{} and {}",
        began(0),
        began(40)
    );
    assert_eq!(target(&deployment).without_room(), 0);
    eventually("it is used again", || async {
        let request = deployment.request_within(NODE, "/patient/1", "later", 5_000);
        request
            .send()
            .await
            .is_ok_and(|answer| answer.status() == 200)
    })
    .await;
    assert_eq!(target(&deployment).without_room(), 0);
}
