//! Entries that can't be read: in a configuration, where all others are served, at a start and beside a version in force,
//! and among the registered nodes.

use serde_json::{Value, json};

use crate::deployment::{Deployment, PLAIN, eventually, route};

/// Routes of which the second can't be read.
fn routes() -> Value {
    let mut unreadable = route("book", "/book/", "non_idempotent", PLAIN);
    unreadable["timeout_s"] = json!({"at_most": 1.2});
    json!([route("orders", "/orders/", "idempotent", PLAIN), unreadable])
}

async fn status(deployment: &Deployment, node: usize, path: &str) -> u16 {
    let answer = deployment.request(node, path, "id").send().await;
    answer.expect("an answer").status().as_u16()
}

async fn serves_all_others(deployment: &Deployment, node: usize) {
    eventually("the version is in force", || async {
        deployment.configuration_version(node).await == Some(9)
    })
    .await;
    assert_eq!(status(deployment, node, "/orders/1").await, 200);
    assert_eq!(
        status(deployment, node, "/book/1").await,
        503,
        "its place is known"
    );
    assert_eq!(status(deployment, node, "/nothing/1").await, 404);
    let metrics = deployment
        .operate(node, reqwest::Method::GET, "/metrics")
        .await;
    let is_told = metrics
        .lines()
        .any(|line| line == "wingspar_configuration_unreadable_entries 1");
    assert!(is_told, "{metrics}");
}

#[tokio::test]
async fn all_other_routes_are_served() {
    let mut deployment = Deployment::start(123).await;
    deployment.configure(9, routes());
    for node in 0..deployment.nodes.len() {
        serves_all_others(&deployment, node).await;
    }
    for node in 0..deployment.nodes.len() {
        deployment.kill(node);
    }
    for node in 0..deployment.nodes.len() {
        deployment.start_process(node);
    }
    deployment.heartbeats(2).await;
    for node in 0..deployment.nodes.len() {
        deployment.ready(node).await;
        eventually("requests are served again", || async {
            status(&deployment, node, "/orders/1").await == 200
        })
        .await;
        serves_all_others(&deployment, node).await;
    }
}

/// Values that no node writes: nested deeply, numbers that are too large, ports out of range.
fn odd_values(registration: &Value) -> Vec<Value> {
    let nested = (0..120).fold(json!(1), |inner, _| json!([inner]));
    let mut values = vec![
        nested.clone(),
        json!(null),
        json!("not a registration"),
        json!([1e308, u64::MAX]),
    ];
    let fields = registration.as_object().expect("a table").keys();
    let odd = [
        nested,
        json!(1e308),
        json!(-1),
        json!("127.0.0.1:99999"),
        json!("127.0.0.1:-1"),
    ];
    for field in fields {
        for value in &odd {
            let mut registration = registration.clone();
            registration[field] = value.clone();
            values.push(registration);
        }
    }
    values
}

/// Guards against an odd entry of another writer in the lists of nodes that ends the processes which read them, or makes
/// them stop following the store.
#[tokio::test]
async fn odd_entries_among_the_nodes_end_no_process() {
    let mut deployment = Deployment::start(124).await;
    let registration = deployment.store.read("wingspar-nodes", "node-0");
    let odd = odd_values(&registration.expect("it is registered"));
    for kind in ["wingspar-nodes", "wingspar-registry"] {
        for (number, value) in odd.iter().enumerate() {
            let name = format!("odd-{number}");
            deployment.store.write(kind, &name, value.clone());
        }
    }
    // Each new leader reads the lists.
    for round in 0..2 {
        let leader = deployment.leader();
        deployment.kill(leader);
        eventually("another node leads", || async {
            deployment.leader() != leader
        })
        .await;
        deployment.start_process(leader);
        deployment.try_heartbeats().await;
        let version = 9 + round;
        deployment.configure(
            version,
            json!([route("orders", "/orders/", "idempotent", PLAIN)]),
        );
        for node in 0..deployment.nodes.len() {
            deployment.ready(node).await;
            eventually("the configuration is in force", || async {
                deployment.configuration_version(node).await == Some(version)
            })
            .await;
        }
    }
    for (number, node) in deployment.nodes.iter_mut().enumerate() {
        let process = node.process.as_mut().expect("a process");
        let ended = process.try_wait().expect("a status");
        assert!(ended.is_none(), "node {number} has ended: {ended:?}");
    }
    deployment.try_heartbeats().await;
    eventually("requests are served", || async {
        deployment.try_heartbeats().await;
        status(&deployment, 2, "/orders/1").await == 200
    })
    .await;
}
