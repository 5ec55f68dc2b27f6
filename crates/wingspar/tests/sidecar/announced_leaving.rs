//! Targets that say in their answers that they leave, and nowhere else.

use std::time::{Duration, Instant};

use reqwest::StatusCode;
use wingspar_standins::fleet::{FleetTarget, StoreFaults, TargetFaults};

use crate::deployment::{Deployment, eventually, follows_another, key_owned_by};
use crate::steady_load::{load, load_at};

/// A node sends a target nothing new this long after it has passed on the target's word that it leaves.
const DRAIN: Duration = Duration::from_secs(2);
/// The machine whose target leaves; the other one of its service is the next.
const LEAVES: usize = 2;

fn target(deployment: &Deployment, node: usize) -> &FleetTarget {
    deployment.nodes[node].target.as_ref().expect("a target")
}

fn leave(deployment: &Deployment, node: usize) {
    target(deployment, node).set_faults(TargetFaults {
        says_leaving: true,
        health_tells_nothing: true,
        ..TargetFaults::default()
    });
}

/// Sends requests to some nodes for as long as a target's drain lasts, and then some that must not reach it.
async fn drain_and_count(
    deployment: &Deployment,
    nodes: &[usize],
    path: &str,
    node: usize,
) -> (usize, usize) {
    load_at(deployment, nodes, "drains", path, DRAIN).await;
    let told_at = Instant::now();
    let ends = load_at(deployment, nodes, "drained", path, DRAIN).await;
    let seen = target(deployment, node).seen();
    let late = seen.iter().filter(|seen| seen.at > told_at).count();
    let served = ends.iter().filter(|end| end.status == StatusCode::OK);
    (late, ends.len() - served.count())
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
    let (late, unserved) = drain_and_count(&deployment, &all, "/book/1", LEAVES).await;
    assert_eq!((late, unserved), (0, 0), "late requests, unserved ones");
}

/// Guards against nodes that forget the word since the process beside the target has forgotten it.
#[tokio::test]
async fn a_process_that_starts_beside_a_leaving_target_brings_nobody_back() {
    let mut deployment = Deployment::start(79).await;
    leave(&deployment, LEAVES);
    let others = [0, 1, 3];
    load_at(
        &deployment,
        &others,
        "told",
        "/book/1",
        Duration::from_secs(1),
    )
    .await;
    assert!(
        !target(&deployment, LEAVES).seen().is_empty(),
        "it was used"
    );
    deployment.kill(LEAVES);
    follows_another(&deployment, LEAVES);
    deployment.start_process(LEAVES);
    deployment.heartbeat(LEAVES, "ready", 100).await;
    deployment.ready(LEAVES).await;
    let (late, unserved) = drain_and_count(&deployment, &others, "/book/1", LEAVES).await;
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
    let (late, unserved) = drain_and_count(&deployment, &all, "/stock/1", owner).await;
    assert_eq!((late, unserved), (0, 0), "late requests, unserved ones");
}
