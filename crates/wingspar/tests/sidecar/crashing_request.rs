//! Seen: a lookup under which three targets had ended was sent to targets four times more, and seven ended in all.
//!
//! How it came about: the caller sent the same lookup again every few seconds, each time with a new id and to another node. Each
//! node took it for new, gave it to the key's next owner, and that target ended too.
//!
//! Cause: sends were counted by id, at one node. Nothing kept what the request was, or under which requests a target had
//! ended. Proof: the same content, sent with new ids through all nodes, ends targets for as long as it is sent.

use std::time::Duration;

use wingspar_standins::fleet::TargetFaults;

use crate::deployment::{Deployment, Wiring};

/// All nodes must know of the third target's end after this long.
const IN_TOUCH: Duration = Duration::from_secs(3);
/// Targets that may end before the request must be known.
const ENDS_UNKNOWN: u32 = 3;
/// Sends of it that may reach targets afterwards, in all.
const SENDS_AFTERWARDS: usize = 3;
/// Time between two tries of its caller.
const CALLER_PAUSE: Duration = Duration::from_millis(400);

/// The body of the request, the same each time.
const BODY: &str = "same";

/// Lets time pass while targets report.
async fn pass(deployment: &Deployment, time: Duration) {
    let until = std::time::Instant::now() + time;
    while std::time::Instant::now() < until {
        deployment.try_heartbeats().await;
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
}

/// Sends the request through one node after the other; returns each try's status.
async fn send_it(deployment: &Deployment, path: &str, name: &str, tries: usize) -> Vec<u16> {
    let mut statuses = Vec::new();
    for number in 0..tries {
        let request = deployment.request(number % 4, path, &format!("{name}-{number}"));
        let request = request.header("x-wingspar-shard-key", 100).body(BODY);
        let sent = request.send().await;
        statuses.push(sent.map_or(0, |answer| answer.status().as_u16()));
        pass(deployment, CALLER_PAUSE).await;
    }
    statuses
}

fn runs(deployment: &Deployment, name: &str) -> usize {
    let targets = deployment
        .nodes
        .iter()
        .filter_map(|node| node.target.as_ref());
    let seen = targets.flat_map(|target| target.seen());
    seen.filter(|seen| seen.id.starts_with(name)).count()
}

/// Whether requests of a path that crashes targets cease to reach them.
async fn is_refused_by_every_node(deployment: &Deployment, faults: TargetFaults) {
    let path = faults.crashes_on.expect("a path that crashes targets");
    deployment.all_targets_do(faults);
    for round in 0..8 {
        if deployment.crashes() >= ENDS_UNKNOWN {
            break;
        }
        send_it(deployment, path, &format!("before-{round}"), 2).await;
    }
    pass(deployment, IN_TOUCH).await;
    let ended = deployment.crashes();
    assert!(ended <= ENDS_UNKNOWN, "{ended} targets ended");
    let statuses = send_it(deployment, path, "after", 16).await;
    let sends = runs(deployment, "after");
    assert!(
        sends <= SENDS_AFTERWARDS,
        "it reached targets {sends} times more, {} ended in all: {statuses:?}",
        deployment.crashes()
    );
}

/// Sends the request until it is refused.
async fn until_refused(deployment: &Deployment, path: &str) {
    for round in 0..8 {
        let statuses = send_it(deployment, path, &format!("until-{round}"), 2).await;
        if statuses == [503, 503] && deployment.crashes() > 1 {
            return;
        }
    }
    panic!("it isn't refused, {} targets ended", deployment.crashes());
}

#[tokio::test]
async fn a_request_that_is_refused_is_told_so_and_others_are_served() {
    let path = "/orders/crashing";
    let deployment = Deployment::start(36).await;
    deployment.all_targets_do(crashing_on(path));
    until_refused(&deployment, path).await;
    pass(&deployment, IN_TOUCH).await;
    for node in 0..deployment.nodes.len() {
        let began_at = std::time::Instant::now();
        let request = deployment.request(node, path, &format!("refused-{node}"));
        let answer = request.body(BODY).send().await.expect("an answer");
        assert_eq!(answer.status(), 503);
        assert!(began_at.elapsed() < Duration::from_millis(200), "at once");
        assert!(!answer.headers().contains_key("retry-after"));
        assert_eq!(answer.text().await.expect("a body"), "quarantined");
        let other = deployment.request(node, "/orders/17", &format!("other-{node}"));
        let other = other.body(BODY).send().await.expect("an answer");
        assert_eq!(other.status(), 200);
    }
}

#[tokio::test]
async fn an_operator_lets_a_refused_request_through() {
    let path = "/orders/crashing";
    let deployment = Deployment::start(37).await;
    deployment.all_targets_do(crashing_on(path));
    until_refused(&deployment, path).await;
    deployment.all_targets_do(TargetFaults::default());
    pass(&deployment, IN_TOUCH).await;
    let listed = deployment
        .operate(0, reqwest::Method::GET, "/quarantine")
        .await;
    let fingerprint = listed.split(' ').next().expect("a fingerprint");
    let released = format!("/quarantine/{fingerprint}");
    let told = deployment
        .operate(0, reqwest::Method::DELETE, &released)
        .await;
    assert_eq!(told, "released");
    pass(&deployment, IN_TOUCH).await;
    for node in 0..deployment.nodes.len() {
        let request = deployment.request(node, path, &format!("released-{node}"));
        let answer = request.body(BODY).send().await.expect("an answer");
        assert_eq!(answer.status(), 200);
    }
}

/// Faults of targets that end under each request of a path.
fn crashing_on(path: &'static str) -> TargetFaults {
    TargetFaults {
        crashes_on: Some(path),
        ..TargetFaults::default()
    }
}

#[tokio::test]
async fn a_request_under_which_targets_end_is_refused_by_every_node() {
    let deployment = Deployment::start(34).await;
    is_refused_by_every_node(&deployment, crashing_on("/orders/crashing")).await;
}

#[tokio::test]
async fn a_request_for_a_key_under_which_its_owners_end_is_refused_by_every_node() {
    let deployment = Deployment::start(35).await;
    is_refused_by_every_node(&deployment, crashing_on("/stock/crashing")).await;
}

/// Guards against a request that is never refused because the only target that it crashes comes back under its id.
#[tokio::test]
async fn a_request_under_which_a_target_that_keeps_its_id_ends_is_refused_by_every_node() {
    let deployment = Deployment::start(88).await;
    deployment.target(3).end_life().await;
    let faults = TargetFaults {
        keeps_id: true,
        ..crashing_on("/orders/crashing")
    };
    is_refused_by_every_node(&deployment, faults).await;
}

/// As above, where heartbeats don't tell lives apart.
#[tokio::test]
async fn a_request_under_which_a_target_without_births_ends_is_refused_by_every_node() {
    let wiring = Wiring {
        without_births: true,
        ..Wiring::default()
    };
    let deployment = Deployment::start_with(89, &wiring).await;
    deployment.target(3).end_life().await;
    let faults = TargetFaults {
        keeps_id: true,
        ..crashing_on("/orders/crashing")
    };
    is_refused_by_every_node(&deployment, faults).await;
}
