//! Targets that take their keys in the answers to their heartbeats.

use crate::deployment::{Deployment, Wiring, eventually, key_owned_by};

const KEYS: [u16; 5] = [0, 9_000, 30_000, 50_000, 65_535];

fn wiring() -> Wiring {
    Wiring {
        node_settings: "grants = \"heartbeat\"\nheartbeat_s = 0.3",
        keys_by_heartbeats: true,
        ..Wiring::default()
    }
}

#[tokio::test]
async fn keyed_requests_run_where_a_heartbeat_answer_gave_the_key() {
    let deployment = Deployment::start_with(30, &wiring()).await;
    for key in KEYS {
        let id = format!("told-{key}");
        assert_eq!(deployment.keyed(3, key, &id).await.status(), 200);
        let seen = deployment.seen(&id);
        assert_eq!(seen.len(), 1);
        assert!(seen[0].fence.is_some(), "under a grant");
    }
}

#[tokio::test]
async fn keys_move_from_a_process_that_stops_as_planned_and_no_request_fails() {
    let mut deployment = Deployment::start_with(31, &wiring()).await;
    let key = 100;
    let owner = key_owned_by(&deployment, key).expect("an owner");
    let other = (owner + 1) % 2;
    deployment.terminate(owner);
    eventually("the key is held by the other", || async {
        key_owned_by(&deployment, key) == Some(other)
    })
    .await;
    assert_eq!(deployment.keyed(other, key, "moved").await.status(), 200);
    assert!(deployment.exited_well(owner).await);
}

#[tokio::test]
async fn all_processes_are_killed_while_the_targets_live_on() {
    let mut deployment = Deployment::start_with(32, &wiring()).await;
    for node in 0..deployment.nodes.len() {
        deployment.kill(node);
    }
    for node in 0..deployment.nodes.len() {
        deployment.start_process(node);
    }
    for node in 0..deployment.nodes.len() {
        deployment.ready(node).await;
    }
    eventually("all keys are served again", || async {
        for key in KEYS {
            if deployment.keyed(2, key, "after").await.status() != 200 {
                return false;
            }
        }
        true
    })
    .await;
}

#[tokio::test]
async fn the_keys_of_a_lost_machine_are_served_by_another() {
    let mut deployment = Deployment::start_with(33, &wiring()).await;
    let key = 100;
    let owner = key_owned_by(&deployment, key).expect("an owner");
    let other = (owner + 1) % 2;
    deployment.lose(owner).await;
    eventually("the key is served by another", || async {
        deployment.keyed(other, key, "lost").await.status() == 200
    })
    .await;
}
