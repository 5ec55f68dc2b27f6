//! How a configuration reaches the nodes, and what that costs the store.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use wingspar_standins::net::Harm;

use super::deployment::{self, Deployment, Wiring, eventually};

fn routes() -> Value {
    json!([deployment::route("late", "/late/", "idempotent", "orders")])
}

async fn in_force(deployment: &Deployment, node: usize, version: u64) {
    eventually("it is in force", || async {
        deployment.configuration_version(node).await == Some(version)
    })
    .await;
}

#[tokio::test]
async fn only_the_leader_reads_the_store_when_configurations_change() {
    let deployment = Deployment::start(24).await;
    let before = deployment.store.calls();
    // Ten changes; four nodes that all watched would make forty calls for these alone.
    for version in 10..20 {
        deployment.configure(version, routes());
        for node in 0..deployment.nodes.len() {
            in_force(&deployment, node, version).await;
        }
    }
    let calls = deployment.store.calls() - before;
    assert!(calls <= 30, "{calls} calls");
}

#[tokio::test]
async fn a_configuration_is_in_force_in_time_though_the_leader_does_not_reach_the_store() {
    let wiring = Wiring {
        through_proxies: true,
        ..Wiring::default()
    };
    let deployment = Deployment::start_with(25, &wiring).await;
    let leader = deployment.leader();
    deployment.nodes[leader].store_link.set(Harm::Silent);
    deployment.configure(30, routes());
    let written_at = Instant::now();
    for node in (0..deployment.nodes.len()).filter(|node| *node != leader) {
        in_force(&deployment, node, 30).await;
    }
    // Another leader would have taken over only after 3.5 s.
    let took = written_at.elapsed();
    assert!(took < Duration::from_secs(3), "{took:?}");
}
