//! Heartbeats of a target that started again under its id, and of other writers.

use std::time::Duration;

use serde_json::{Value, json};
use wingspar_standins::fleet::TargetFaults;

use crate::deployment::{Deployment, eventually, key_owned_by};

/// A request to this path ends the target.
const CRASHING: &str = "/stock/crash";

#[tokio::test]
async fn a_target_that_starts_again_under_its_id_gets_its_keys_again() {
    let deployment = Deployment::start(56).await;
    let key = 100;
    let owner = key_owned_by(&deployment, key).expect("an owner");
    // Its counts are high before its end, and begin anew after it.
    deployment.heartbeat(owner, "ready", 900).await;
    let target = deployment.nodes[owner].target.as_ref().expect("one");
    target.set_faults(TargetFaults {
        crashes_on: Some(CRASHING),
        keeps_id: true,
        ..TargetFaults::default()
    });
    let crash = deployment.request(owner, CRASHING, "crash");
    let _cut = crash.header("x-wingspar-shard-key", key).send().await;
    eventually("the target is back", || async {
        target.crashes() == 1 && target.is_up()
    })
    .await;
    deployment.heartbeat(owner, "ready", 1).await;
    eventually("all keys are served again", || async {
        let first = deployment.keyed(0, key, "again-1").await.status();
        let last = deployment.keyed(1, 65_000, "again-2").await.status();
        first == 200 && last == 200
    })
    .await;
    // Keys are dealt by their load, so it may be only the few that were asked for.
    eventually("it holds keys again", || async {
        (0..=65_535).any(|key| target.holds(key))
    })
    .await;
}

#[tokio::test]
async fn heartbeats_of_other_writers_name_no_target_to_use() {
    let deployment = Deployment::start(57).await;
    let whole = json!({
        "born": 1_700_000_000_009_u64, "address": "127.0.0.1:9",
        "info": {"service": "orders", "version": "v1", "zone": "a", "capacity": 8},
        "status": {"state": "ready", "seq": 1, "warmup_left_s": 0.0},
    });
    let without = |field: &str| {
        let mut body = whole.clone();
        body.as_object_mut().expect("a table").remove(field);
        body
    };
    let with = |table: &str, field: &str, value: Value| {
        let mut body = whole.clone();
        body[table][field] = value;
        body
    };
    let others = [
        without("address"),
        without("info"),
        with("status", "state", json!("resting")),
        with("status", "seq", json!("1")),
        with("info", "service", json!("nobody's")),
        with("info", "capacity", json!(-1)),
        json!("not a heartbeat"),
    ];
    let client = reqwest::Client::new();
    let url = format!("http://{}/instances/other", deployment.nodes[2].heartbeats);
    for body in others {
        let sent = client.put(&url).body(body.to_string()).send().await;
        assert_eq!(sent.expect("an answer").status(), 400, "{body}");
    }
    let sent = client.put(&url).body(vec![0xff, 0x00, 0x7b]).send().await;
    assert_eq!(sent.expect("an answer").status(), 400);
    tokio::time::sleep(Duration::from_millis(300)).await;
    for step in 0..4 {
        let id = format!("still-{step}");
        let request = deployment.request(2, "/orders/1", &id);
        let answer = request.send().await.expect("an answer");
        assert_eq!(answer.status(), 200);
    }
}
