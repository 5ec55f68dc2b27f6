//! Machines and processes that are lost, and a store that is down or refuses.

use std::time::{Duration, Instant};

use wingspar_standins::fleet::StoreFaults;
use wingspar_standins::net::Harm;

use crate::deployment::{Deployment, Wiring, eventually, key_owned_by};
use crate::kept_connection::KeptConnection;

#[tokio::test]
async fn the_keys_of_a_lost_machine_are_served_again() {
    let mut deployment = Deployment::start(5).await;
    let key = 100;
    let owner = key_owned_by(&deployment, key).expect("an owner");
    deployment.lose(owner).await;
    let other = (owner + 1) % 2;
    eventually("the key is served by another", || async {
        deployment.keyed(other, key, "again").await.status() == 200
    })
    .await;
}

#[tokio::test]
async fn any_number_of_processes_may_be_killed_at_once() {
    let mut deployment = Deployment::start(6).await;
    for node in 0..deployment.nodes.len() {
        deployment.kill(node);
    }
    for node in 0..deployment.nodes.len() {
        deployment.start_process(node);
    }
    deployment.heartbeats(2).await;
    eventually("all keys are served again", || async {
        deployment.keyed(2, 40_000, "x").await.status() == 200
            && deployment.keyed(3, 5, "y").await.status() == 200
    })
    .await;
}

#[tokio::test]
async fn a_store_that_is_down_stops_nobody() {
    let deployment = Deployment::start(7).await;
    deployment.store.set_faults(StoreFaults {
        silent: true,
        ..StoreFaults::default()
    });
    // Longer than any lease: whoever still serves does so by renewals alone.
    tokio::time::sleep(Duration::from_secs(5)).await;
    eventually("keys are served while the store is silent", || async {
        deployment.keyed(0, 20_000, "outage-1").await.status() == 200
            && deployment.keyed(3, 50_000, "outage-2").await.status() == 200
    })
    .await;
}

#[tokio::test]
async fn a_node_that_the_store_refuses_learns_from_others() {
    let mut deployment = Deployment::start(8).await;
    deployment.kill(3);
    deployment.start_process(3);
    deployment.heartbeats(2).await;
    deployment.ready(3).await;
    deployment.store.set_faults(StoreFaults {
        throttled: true,
        ..StoreFaults::default()
    });
    let answer = deployment
        .request(3, "/orders/1", "throttled")
        .send()
        .await
        .expect("an answer");
    assert_eq!(answer.status(), 200);
}

#[tokio::test]
async fn a_node_that_the_store_refuses_from_its_start_learns_from_the_leader() {
    let wiring = Wiring {
        through_proxies: true,
        ..Wiring::default()
    };
    let mut deployment = Deployment::start_with(17, &wiring).await;
    deployment.kill(3);
    deployment.nodes[3].store_link.set(Harm::Reset);
    // By now its loss is old news: nothing changes any more that all nodes are told of.
    tokio::time::sleep(Duration::from_secs(11)).await;
    deployment.start_process(3);
    deployment.heartbeats(2).await;
    deployment.ready(3).await;
    let answer = deployment
        .request(3, "/orders/1", "refused-from-the-start")
        .send()
        .await
        .expect("an answer");
    assert_eq!(answer.status(), 200);
}

/// Clients and readiness are served by one loop: a node that doesn't take the former doesn't say that it is ready.
#[tokio::test]
async fn a_node_that_says_ready_takes_connections_after_a_start_and_a_freeze() {
    let mut deployment = Deployment::start(56).await;
    let node = 0;
    for round in 0..4 {
        if round % 2 == 0 {
            deployment.kill(node);
            deployment.start_process(node);
            deployment.try_heartbeats().await;
        } else {
            deployment.signal(node, "-STOP");
            assert!(!deployment.is_ready(node).await, "it stands still");
            deployment.signal(node, "-CONT");
        }
        eventually("the node is ready", || async {
            deployment.try_heartbeats().await;
            deployment.is_ready(node).await
        })
        .await;
        let sent_at = Instant::now();
        let mut connection = KeptConnection::open(deployment.nodes[node].outbound).await;
        let id = format!("ready-{round}");
        assert_eq!(connection.get("/orders/1", &id, "").await, 200);
        assert!(sent_at.elapsed() < Duration::from_secs(1));
    }
}
