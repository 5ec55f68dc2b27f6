//! Targets that say in their answers that they leave, and nowhere else.

use std::time::{Duration, Instant};

use reqwest::StatusCode;
use wingspar_standins::fleet::{FleetTarget, StoreFaults, TargetFaults};

use crate::deployment::{Deployment, eventually, key_owned_by};
use crate::steady_load::{load, load_at};

/// A node sends a target nothing new this long after it has passed on the target's word that it leaves.
const DRAIN: Duration = Duration::from_secs(2);
/// How long the target works on a request: so long that all nodes have sent it some before its first answer.
const WORK: Duration = Duration::from_millis(300);
/// Requests that each of these nodes sends at once: with both targets' slots in use, some of them go to either.
const AT_ONCE: usize = 8;
/// The machine whose target leaves; the other one of its service is the next.
const LEAVES: usize = 2;

fn target(deployment: &Deployment, node: usize) -> &FleetTarget {
    deployment.nodes[node].target.as_ref().expect("a target")
}

fn leave(deployment: &Deployment, node: usize) {
    target(deployment, node).set_faults(TargetFaults {
        says_leaving: true,
        tells_callers_only: true,
        work: WORK,
        ..TargetFaults::default()
    });
}

/// Sends requests to some nodes; how many reach a target, and how many nobody serves.
async fn late_and_unserved(
    deployment: &Deployment,
    nodes: &[usize],
    path: &str,
    node: usize,
) -> (usize, usize) {
    let from = Instant::now();
    let ends = load_at(deployment, nodes, "late", path, DRAIN).await;
    let seen = target(deployment, node).seen();
    let late = seen.iter().filter(|seen| seen.at > from).count();
    let served = ends.iter().filter(|end| end.status == StatusCode::OK);
    (late, ends.len() - served.count())
}

/// Has each of some nodes pass on an answer in which a target says that it leaves.
async fn tell(deployment: &Deployment, nodes: &[usize]) {
    let requests = nodes
        .iter()
        .flat_map(|node| (0..AT_ONCE).map(move |step| (*node, step)));
    let answers = requests.map(async |(node, step)| {
        let request = deployment.request(node, "/book/1", &format!("told-{node}-{step}"));
        let answer = request.send().await.expect("an answer");
        (node, answer.headers().contains_key("server-leaving"))
    });
    let answers = futures_util::future::join_all(answers).await;
    for node in nodes {
        assert!(answers.contains(&(*node, true)), "node {node} is told");
    }
}

/// Guards against work for a target whose word that it leaves was only passed on.
#[tokio::test]
async fn a_target_that_says_so_in_its_answers_gets_nothing_new() {
    let deployment = Deployment::start(78).await;
    deployment.store.set_faults(StoreFaults {
        unavailable: true,
        ..StoreFaults::default()
    });
    leave(&deployment, LEAVES);
    load(&deployment, "told", "/book/1", Duration::from_secs(1)).await;
    let all = [0, 1, 2, 3];
    load(&deployment, "drains", "/book/1", DRAIN).await;
    let (late, unserved) = late_and_unserved(&deployment, &all, "/book/1", LEAVES).await;
    assert_eq!((late, unserved), (0, 0), "late requests, unserved ones");
}

/// Guards against nodes that forget the word since the process beside the target has forgotten it.
#[tokio::test]
async fn a_process_that_starts_beside_a_leaving_target_brings_nobody_back() {
    let mut deployment = Deployment::start(79).await;
    leave(&deployment, LEAVES);
    let others = [0, 1];
    tell(&deployment, &others).await;
    let drained_at = Instant::now() + DRAIN;
    deployment.kill(LEAVES);
    deployment.start_process(LEAVES);
    deployment.heartbeat(LEAVES, "ready", 100).await;
    deployment.ready(LEAVES).await;
    tokio::time::sleep_until(drained_at.into()).await;
    let (late, unserved) = late_and_unserved(&deployment, &others, "/book/1", LEAVES).await;
    assert_eq!((late, unserved), (0, 0), "late requests, unserved ones");
}

/// Guards against keys that stay with an owner that leaves.
#[tokio::test]
async fn keys_of_an_owner_that_says_that_it_leaves_move() {
    let deployment = Deployment::start(80).await;
    let owner = key_owned_by(&deployment, 0).expect("an owner");
    leave(&deployment, owner);
    load(&deployment, "told", "/stock/1", Duration::from_secs(1)).await;
    eventually("it owns no key", || async {
        (0..=u16::MAX)
            .step_by(997)
            .all(|key| !target(&deployment, owner).holds(key))
    })
    .await;
    let all = [0, 1, 2, 3];
    load(&deployment, "drains", "/stock/1", DRAIN).await;
    let (late, unserved) = late_and_unserved(&deployment, &all, "/stock/1", owner).await;
    assert_eq!((late, unserved), (0, 0), "late requests, unserved ones");
}
