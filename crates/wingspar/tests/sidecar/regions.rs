//! Two regions, one of which is lost for a while.

use std::time::Duration;

use serde_json::json;
use wingspar_standins::fleet::TargetCall;

use crate::deployment::{self, Deployment, KEYED, PLAIN, Wiring, eventually, key_owned_by};

/// Machines of region `north`: the first of the keyed service and the first of the other one.
const NORTH: [usize; 2] = [0, 2];
/// Machines of region `south`.
const SOUTH: [usize; 2] = [1, 3];
/// Requests by which it is seen where they run.
const ROUND: usize = 20;

async fn two_regions(test: u8) -> Deployment {
    let wiring = Wiring {
        two_zones: true,
        two_regions: true,
        ..Wiring::default()
    };
    Deployment::start_with(test, &wiring).await
}

/// How many of some requests of a client ran at a machine's target; nothing if one wasn't served.
async fn served_by(deployment: &Deployment, client: usize, machine: usize) -> Option<usize> {
    let target = deployment.nodes[machine].target.as_ref().expect("a target");
    let before = target.seen().len();
    for step in 0..ROUND {
        let request = deployment.request(client, "/orders/1", &format!("r{step}"));
        let answer = request.send().await.ok()?;
        if answer.status() != 200 {
            return None;
        }
    }
    Some(target.seen().len() - before)
}

async fn all_run_at(deployment: &Deployment, client: usize, machine: usize) {
    eventually("all requests run there", || async {
        deployment.try_heartbeats().await;
        served_by(deployment, client, machine).await == Some(ROUND)
    })
    .await;
}

#[tokio::test]
async fn requests_leave_their_region_while_no_target_is_left_there_and_come_back() {
    let deployment = two_regions(120).await;
    let (client, [_, near], [_, far]) = (SOUTH[0], SOUTH, NORTH);
    all_run_at(&deployment, client, near).await;
    deployment.signal(near, "-STOP");
    all_run_at(&deployment, client, far).await;
    deployment.signal(near, "-CONT");
    all_run_at(&deployment, client, near).await;
}

#[tokio::test]
async fn a_region_that_is_lost_as_a_whole_is_served_by_the_other_until_it_is_back() {
    let deployment = two_regions(121).await;
    let keys = [100, 20_000, 40_000, 60_000];
    for node in NORTH {
        deployment.signal(node, "-STOP");
    }
    for key in keys {
        eventually("keys are served by the region that is left", || async {
            deployment.try_heartbeats().await;
            let request = deployment.request(SOUTH[1], "/stock/1", &format!("k{key}"));
            let answer = request.header("x-wingspar-shard-key", key).send().await;
            answer.is_ok_and(|answer| answer.status() == 200)
        })
        .await;
    }
    all_run_at(&deployment, SOUTH[0], SOUTH[1]).await;
    for node in NORTH {
        deployment.signal(node, "-CONT");
    }
    for node in NORTH {
        deployment.ready(node).await;
    }
    all_run_at(&deployment, NORTH[0], NORTH[1]).await;
    eventually("the region that is back owns keys again", || async {
        deployment.try_heartbeats().await;
        let target = deployment.nodes[NORTH[0]]
            .target
            .as_ref()
            .expect("a target");
        (0..=u16::MAX).any(|key| target.holds(key))
    })
    .await;
}

#[tokio::test]
async fn calls_of_targets_run_only_where_their_tenant_is_allowed() {
    let deployment = two_regions(122).await;
    let routes = json!([
        deployment::route("stock", "/stock/", "idempotent", KEYED),
        deployment::route("called", "/called/", "idempotent", PLAIN),
    ]);
    let tenants = json!([
        {"name": "anywhere", "api_keys": ["any"]},
        {"name": "northern", "api_keys": ["north"], "allowed_regions": ["north"]},
    ]);
    deployment.configure_tenants(10, routes, tenants);
    for machine in [NORTH[0], SOUTH[0]] {
        let node = &deployment.nodes[machine];
        let target = node.target.as_ref().expect("a target");
        target.set_call(TargetCall {
            node: node.outbound,
            host: "shop.example".to_owned(),
            path: "/called/1".to_owned(),
            credential: "north".to_owned(),
        });
        eventually("the configuration is in force", || async {
            deployment.configuration_version(machine).await == Some(10)
        })
        .await;
    }
    let mut callers = [0; 4];
    for key in (0..u16::MAX).step_by(4_096) {
        let id = format!("outer-{key}");
        let request = deployment.request_as(SOUTH[1], "/stock/1", &id, Some("any"));
        let request = request.header("x-wingspar-shard-key", key);
        let request = request.timeout(Duration::from_secs(3)).send().await;
        assert_eq!(request.expect("an answer").status(), 200);
        callers[key_owned_by(&deployment, key).expect("an owner")] += 1;
        let seen = deployment.seen(&format!("{id}-call"));
        assert_eq!(seen.len(), 1, "its call ran once");
        assert_eq!(seen[0].tenants, ["northern"]);
        assert_eq!(seen[0].caller, KEYED);
    }
    let ran_at = |machine: usize| {
        let target = deployment.nodes[machine].target.as_ref().expect("a target");
        let seen = target.seen();
        seen.iter()
            .filter(|seen| seen.id.ends_with("-call"))
            .count()
    };
    assert_eq!(ran_at(SOUTH[1]), 0, "the tenant isn't allowed there");
    assert!(
        callers[NORTH[0]] > 0 && callers[SOUTH[0]] > 0,
        "{callers:?}"
    );
    for machine in [NORTH[0], SOUTH[0]] {
        let target = deployment.nodes[machine].target.as_ref().expect("a target");
        let answered = target.calls_answered();
        assert!(
            answered.iter().all(|line| line.contains(" 200 ")),
            "{answered:?}"
        );
    }
}
