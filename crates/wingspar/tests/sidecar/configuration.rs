//! How a configuration reaches the nodes, and what that costs the store.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use wingspar_standins::fleet::StoreFaults;
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

/// Many routes, of which one differs from version to version.
fn many_routes(version: u64) -> Value {
    let mut routes = (0..400)
        .map(|number| {
            let (name, prefix) = (format!("r{number}"), format!("/part-{number}/"));
            deployment::route(&name, &prefix, "idempotent", "orders")
        })
        .collect::<Vec<_>>();
    let (name, prefix) = (format!("v{version}"), format!("/only-{version}/"));
    routes.push(deployment::route(&name, &prefix, "idempotent", "orders"));
    Value::Array(routes)
}

/// Whether a node serves the route of a version, and not that of the one before.
async fn serves_only(deployment: &Deployment, node: usize, version: u64) {
    for (of, expected) in [(version, 200), (version - 1, 404)] {
        let request = deployment.request(node, &format!("/only-{of}/1"), "only");
        let answer = request.send().await.expect("an answer");
        assert_eq!(answer.status(), expected, "version {of} at node {node}");
    }
}

#[tokio::test]
async fn versions_in_quick_succession_are_in_force_in_time_and_told_by_their_changes() {
    let wiring = Wiring {
        keeps_logs: true,
        ..Wiring::default()
    };
    let deployment = Deployment::start_with(70, &wiring).await;
    deployment.configure(100, many_routes(100));
    for node in 0..deployment.nodes.len() {
        in_force(&deployment, node, 100).await;
    }
    let stopped = (deployment.leader() + 1) % deployment.nodes.len();
    let calls_before = deployment.store.calls();
    for version in 101..=150 {
        if version == 105 {
            // It misses more versions than others remember the changes of.
            deployment.signal(stopped, "-STOP");
        }
        if version == 145 {
            deployment.signal(stopped, "-CONT");
        }
        deployment.configure(version, many_routes(version));
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    let written_at = Instant::now();
    for node in 0..deployment.nodes.len() {
        in_force(&deployment, node, 150).await;
        serves_only(&deployment, node, 150).await;
    }
    let took = written_at.elapsed();
    assert!(took < Duration::from_secs(2), "{took:?}");
    let calls = deployment.store.calls() - calls_before;
    assert!(calls < 120, "{calls} calls");
    for node in 0..deployment.nodes.len() {
        let log = deployment.log(node);
        if log.contains("leadership_taken") {
            // It has read the store itself for a while.
            continue;
        }
        let by = |source: &str| log.matches(&format!("\"source\":\"{source}\"")).count();
        assert!(by("changes") > 0, "node {node}: {log}");
        if node != stopped {
            assert!(by("changes") > by("node"), "node {node}: {log}");
        }
    }
}

#[tokio::test]
async fn no_route_no_id_and_a_configuration_that_changes() {
    let deployment = Deployment::start(4).await;
    let unknown = deployment
        .request(0, "/nothing/1", "a")
        .send()
        .await
        .expect("an answer");
    assert_eq!(unknown.status(), 404);
    let client = reqwest::Client::new();
    let url = format!("http://{}/orders/1", deployment.nodes[0].outbound);
    let without_id = client
        .get(url)
        .header("host", "shop.example")
        .send()
        .await
        .expect("an answer");
    assert_eq!(without_id.status(), 400);
    deployment.configure(
        9,
        json!([deployment::route("late", "/late/", "idempotent", "orders")]),
    );
    eventually("the new route is served and the old one isn't", || async {
        let late = deployment.request(2, "/late/1", "b").send().await;
        let old = deployment.request(2, "/orders/1", "c").send().await;
        late.is_ok_and(|answer| answer.status() == 200)
            && old.is_ok_and(|answer| answer.status() == 404)
    })
    .await;
    // A broken configuration is passed over, and the one in force stays.
    deployment
        .store
        .write("config", "main", json!({"version": 10, "routes": "none"}));
    tokio::time::sleep(Duration::from_millis(500)).await;
    let still = deployment
        .request(2, "/late/1", "d")
        .send()
        .await
        .expect("an answer");
    assert_eq!(still.status(), 200);
}

#[tokio::test]
async fn a_configuration_is_in_force_everywhere_though_no_watch_tells_of_it() {
    let deployment = Deployment::start(18).await;
    deployment.store.set_faults(StoreFaults {
        hides_kinds: true,
        ..StoreFaults::default()
    });
    // The watches that wait already tell of the first change; nothing tells of the second.
    let routes = |name| json!([deployment::route(name, "/late/", "idempotent", "orders")]);
    for version in [9, 10] {
        deployment.configure(version, routes("late"));
        for node in 0..deployment.nodes.len() {
            eventually("it is in force", || async {
                deployment.configuration_version(node).await == Some(version)
            })
            .await;
        }
    }
}
