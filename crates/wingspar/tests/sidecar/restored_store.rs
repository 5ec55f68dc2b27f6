//! The store comes back from a copy: what it had acknowledged last is lost, and its revisions are given out again.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::deployment::{self, Deployment, KEYED, Wiring, eventually, key_owned_by};
use super::evacuations::{BOUND, ZONE_B};

/// Within this time a configuration is in force everywhere, the store being there.
const CONVERGED: Duration = Duration::from_secs(3);
/// Keys that are looked at for owners.
const KEYS: [u16; 5] = [0, 9_000, 30_000, 50_000, 65_535];

fn routes(version: u64) -> Value {
    let prefix = format!("/only-{version}/");
    json!([
        deployment::route("only", &prefix, "idempotent", "orders"),
        deployment::route("stock", "/stock/", "idempotent", KEYED),
    ])
}

async fn in_force(deployment: &Deployment, version: u64) {
    for node in 0..deployment.nodes.len() {
        eventually("it is in force", || async {
            deployment.configuration_version(node).await == Some(version)
        })
        .await;
    }
}

#[tokio::test]
async fn a_version_that_is_written_at_a_revision_of_a_lost_one_is_in_force_in_time() {
    let deployment = Deployment::start(52).await;
    deployment.configure(10, routes(10));
    in_force(&deployment, 10).await;
    deployment.nothing_changes().await;
    let copy = deployment.store.copy();
    deployment.configure(11, routes(11));
    in_force(&deployment, 11).await;
    deployment.store.come_back(copy);
    deployment.configure(12, routes(12));
    let written_at = Instant::now();
    in_force(&deployment, 12).await;
    let took = written_at.elapsed();
    assert!(took < CONVERGED, "{took:?}");
}

#[tokio::test]
async fn a_zone_is_evacuated_in_time_at_a_revision_that_was_given_out_before() {
    let wiring = Wiring {
        two_zones: true,
        ..Wiring::default()
    };
    let deployment = Deployment::start_with(53, &wiring).await;
    let copy = deployment.store.copy();
    for number in 0..20 {
        deployment.store.write("notes", "note", json!(number));
    }
    deployment.store.write("evacuations", "a", json!({}));
    tokio::time::sleep(BOUND).await;
    deployment.store.remove("evacuations", "a");
    tokio::time::sleep(BOUND / 2).await;
    deployment.store.come_back(copy);
    deployment.store.write("evacuations", "b", json!({}));
    tokio::time::sleep(BOUND).await;
    for step in 0..8 {
        let id = format!("evacuated-{step}");
        let request = deployment.request(step % 4, "/orders/1", &id);
        let answer = request.send().await.expect("an answer");
        assert_eq!(answer.status(), 200);
        for machine in ZONE_B {
            let target = deployment.nodes[machine].target.as_ref().expect("one");
            assert!(target.seen().iter().all(|seen| seen.id != id), "{id}");
        }
    }
}

#[tokio::test]
async fn keys_have_one_owner_though_the_store_has_lost_who_leads() {
    let mut deployment = Deployment::start(54).await;
    let copy = deployment.store.copy();
    let first = deployment.leader();
    deployment.kill(first);
    eventually("another leads", || async { deployment.leader() != first }).await;
    let second = deployment.leader();
    deployment.store.come_back(copy);
    // It leads by a claim that the store has lost; the store names one that is gone.
    deployment.signal(second, "-STOP");
    deployment.start_process(first);
    tokio::time::sleep(Duration::from_secs(4)).await;
    deployment.signal(second, "-CONT");
    let ends_at = Instant::now() + Duration::from_secs(10);
    while Instant::now() < ends_at {
        for key in KEYS {
            let holders = deployment.nodes.iter().filter(|node| {
                let target = node.target.as_ref();
                target.is_some_and(|target| target.holds(key))
            });
            assert!(holders.count() <= 1, "key {key}");
        }
        deployment.try_heartbeats().await;
    }
    eventually("all keys are served", || async {
        deployment.try_heartbeats().await;
        let owned = KEYS.map(|key| key_owned_by(&deployment, key).is_some());
        owned.iter().all(|owned| *owned)
    })
    .await;
    let leadership = deployment.store.read("wingspar-leadership", "leader");
    let epoch = leadership.expect("a leader")["leader"]["epoch"].as_u64();
    assert!(epoch > Some(1_000), "above all that was lost: {epoch:?}");
}
