//! Nodes that route by a configuration that was replaced long before.
//!
//! Seen: two requests, eight seconds after a version had been acknowledged, were run where only versions of
//! half a minute before sent them; both came through one node. Half of the lookups of that time were refused.
//!
//! How it came about: the configuration had grown to 4,200 routes, most of a megabyte. Machines joined and left,
//! and the links of machines and between regions carried their usual load beside it.
//!
//! Cause: each node that the leader hadn't told for 1.8 s read all of the configuration from the store, gave up after 1.2 s
//! whatever had come, and began again. The reads filled the links that renewals and the leader's own reads needed too, so
//! more nodes were told nothing, leaders lost their office, and the congestion kept itself up for as long as nodes were
//! unsure: for good.
//!
//! Proof: on two plays of such a day 752 reads were given up, over a third of them with nearly half of the answer there,
//! while the store refused nothing, and nodes decided by configurations that they had last been sure of 25 s before. In the first
//! test a version never arrives on the code as it was.

use std::time::{Duration, Instant};

use serde_json::Value;

use super::deployment::{self, Deployment, Wiring, eventually};

/// Routes of the configuration, as many as the users' largest has.
const ROUTES: u64 = 4_200;
/// What the way to the store carries for all nodes together: half of a machine's link of 10 Mbit/s, which requests share.
const STORE_BYTES_A_SECOND: u64 = 625_000;
/// Within this time another leader serves after one is lost.
const LOSS: Duration = Duration::from_secs(4);
/// Within this time a configuration is in force everywhere.
const CONVERGED: Duration = Duration::from_secs(3);

/// Many routes, of which one differs from version to version.
fn routes(version: u64) -> Value {
    let many = (0..ROUTES).map(|number| {
        let (name, prefix) = (format!("r{number}"), format!("/part-{number}/"));
        deployment::route(&name, &prefix, "idempotent", "orders")
    });
    let prefix = format!("/only-{version}/");
    let own = deployment::route("only", &prefix, "idempotent", "orders");
    Value::Array(many.chain([own]).collect())
}

/// Waits until all nodes but one have a version; how long that took.
async fn in_force(deployment: &Deployment, lost: Option<usize>, version: u64) -> Duration {
    let written_at = Instant::now();
    for node in (0..deployment.nodes.len()).filter(|node| Some(*node) != lost) {
        eventually("it is in force", || async {
            deployment.configuration_version(node).await == Some(version)
        })
        .await;
    }
    written_at.elapsed()
}

/// A deployment with a large configuration in force at all nodes, and a way to the store that carries it in 1.4 s.
async fn deployment_with_many_routes(test: u8) -> Deployment {
    let wiring = Wiring {
        through_proxies: true,
        bounds: "converge_s = 3\n",
        ..Wiring::default()
    };
    let deployment = Deployment::start_with(test, &wiring).await;
    deployment.configure(10, routes(10));
    in_force(&deployment, None, 10).await;
    deployment.store_way.limit(STORE_BYTES_A_SECOND);
    deployment
}

#[tokio::test]
async fn a_large_configuration_is_in_force_in_time_though_the_leader_is_lost() {
    let mut deployment = deployment_with_many_routes(50).await;
    let leader = deployment.leader();
    deployment.kill(leader);
    let lost_at = Instant::now();
    for version in [11, 12, 13, 14] {
        deployment.configure(version, routes(version));
        let took = in_force(&deployment, Some(leader), version).await;
        println!("version {version}: {took:?}");
        let leaderless = LOSS.saturating_sub(lost_at.elapsed() - took);
        assert!(took < CONVERGED + leaderless, "version {version}: {took:?}");
    }
}

#[tokio::test]
async fn a_configuration_that_stays_the_same_is_not_carried_again() {
    let deployment = deployment_with_many_routes(51).await;
    deployment.nothing_changes().await;
    let before = deployment.store_way.carried();
    tokio::time::sleep(2 * CONVERGED).await;
    let carried = deployment.store_way.carried() - before;
    let whole = routes(10).to_string().len() as u64;
    assert!(carried < whole, "{carried} bytes of {whole} in all");
}
