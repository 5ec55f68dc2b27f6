//! Seen: a lookup under which three targets had ended was sent to targets four times more, and seven ended in all.
//!
//! How it came about: the caller sent the same lookup again every few seconds, each time with a new id and to another node. Each
//! node took it for new, gave it to the key's next owner, and that target ended too.
//!
//! Cause: sends were counted by id, at one node. Nothing kept what the request was, or under which requests a target had
//! ended. Proof: the same content, sent with new ids through all nodes, ends targets for as long as it is sent.

use std::time::Duration;

use wingspar_standins::fleet::TargetFaults;

use crate::deployment::Deployment;

/// All nodes must know of the third target's end after this long.
const IN_TOUCH: Duration = Duration::from_secs(3);
/// Targets that may end before the request must be known.
const ENDS_UNKNOWN: u32 = 3;
/// Sends of it that may reach targets afterwards, in all.
const SENDS_AFTERWARDS: usize = 3;
/// Time between two tries of its caller.
const CALLER_PAUSE: Duration = Duration::from_millis(400);

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
        let request = request.header("x-wingspar-shard-key", 100).body("same");
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

async fn is_refused_by_every_node(test: u8, path: &'static str) {
    let deployment = Deployment::start(test).await;
    deployment.all_targets_do(TargetFaults {
        crashes_on: Some(path),
        ..TargetFaults::default()
    });
    for round in 0..20 {
        if deployment.crashes() >= ENDS_UNKNOWN {
            break;
        }
        send_it(&deployment, path, &format!("before-{round}"), 2).await;
    }
    pass(&deployment, IN_TOUCH).await;
    let statuses = send_it(&deployment, path, "after", 16).await;
    let sends = runs(&deployment, "after");
    assert!(
        sends <= SENDS_AFTERWARDS,
        "it reached targets {sends} times more, {} ended in all: {statuses:?}",
        deployment.crashes()
    );
}

#[tokio::test]
async fn a_request_under_which_targets_end_is_refused_by_every_node() {
    is_refused_by_every_node(34, "/orders/crashing").await;
}

#[tokio::test]
async fn a_request_for_a_key_under_which_its_owners_end_is_refused_by_every_node() {
    is_refused_by_every_node(35, "/stock/crashing").await;
}
