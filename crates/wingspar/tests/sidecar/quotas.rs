//! A tenant's quota over all nodes, with the owner of its shard alive and lost.

use std::time::{Duration, Instant};

use serde_json::json;

use super::deployment::{self, Deployment, PLAIN, eventually};

/// Requests a second, and at once beyond that, that the tenant may have run.
const RATE: f64 = 10.0;
const BURST: f64 = 10.0;
/// A bucket that was empty is full after this long.
const FILLED: Duration = Duration::from_millis(1_500);

/// A deployment with a tenant that has a quota; its bucket is full.
async fn with_a_quota(test: u8) -> Deployment {
    let deployment = Deployment::start(test).await;
    let service = json!({"name": PLAIN, "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false,
        "sharded": false});
    let tenant = json!({"name": "acme", "api_keys": ["key"], "rate_per_s": RATE, "burst": BURST});
    let limits =
        json!({"header_bytes": 16384, "max_body_bytes": 1048576, "header_s": 3, "idle_s": 15});
    let routes = [deployment::route("orders", "/orders/", "idempotent", PLAIN)];
    let spec = json!({"version": 50, "routes": routes, "services": [service], "limits": limits, "tenants": [tenant]});
    deployment.store.write("config", "main", spec);
    for node in 0..deployment.nodes.len() {
        eventually("the configuration is in force", || async {
            deployment.configuration_version(node).await == Some(50)
        })
        .await;
        serves(&deployment, node).await;
    }
    tokio::time::sleep(FILLED).await;
    deployment
}

async fn status(deployment: &Deployment, node: usize, id: &str) -> (u16, Option<f64>) {
    let request = deployment.request(node, "/orders/1", id).body("two");
    let sent = request.header("x-wingspar-credential", "key").send().await;
    let Ok(answer) = sent else {
        return (0, None);
    };
    let retry_after = answer.headers().get("retry-after");
    let retry_after = retry_after.and_then(|wait| wait.to_str().ok()?.parse().ok());
    (answer.status().as_u16(), retry_after)
}

/// Waits until a node serves the tenant.
async fn serves(deployment: &Deployment, node: usize) {
    eventually("the node serves the tenant", || async {
        let id = format!("probe-{node}-{:?}", Instant::now());
        status(deployment, node, &id).await.0 == 200
    })
    .await;
}

#[tokio::test]
async fn a_quota_is_counted_over_all_nodes() {
    let deployment = with_a_quota(60).await;
    let began_at = Instant::now();
    let mut admitted = 0.0;
    for number in 0..80 {
        let (id, node) = (format!("r-{number}"), number % deployment.nodes.len());
        match status(&deployment, node, &id).await {
            (200, _) => admitted += 1.0,
            (429, Some(retry_after)) => {
                assert!(retry_after > 0.0 && retry_after <= 5.0, "{retry_after}");
                assert!(deployment.seen(&id).is_empty(), "a refused request ran");
            }
            other => panic!("{other:?}"),
        }
    }
    let allowed = BURST + RATE * began_at.elapsed().as_secs_f64() + 1.0;
    assert!(admitted <= allowed, "{admitted} of {allowed}");
    assert!(admitted >= BURST - 1.0, "{admitted}");
}

#[tokio::test]
async fn another_node_owns_the_quota_after_the_owner_is_lost() {
    let mut deployment = with_a_quota(61).await;
    let mut owner = None;
    for node in 0..deployment.nodes.len() {
        if deployment.quotas(node).await.contains("acme") {
            owner = Some(node);
        }
    }
    let owner = owner.expect("a node that owns the tenant's shard");
    deployment.kill(owner);
    for node in (0..deployment.nodes.len()).filter(|node| *node != owner) {
        serves(&deployment, node).await;
    }
}
