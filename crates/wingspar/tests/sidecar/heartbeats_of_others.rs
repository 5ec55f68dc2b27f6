//! Heartbeats of a target that started again under its id, and of other writers.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use wingspar_standins::fleet::TargetFaults;

use crate::deployment::{Deployment, PLAIN, eventually, key_owned_by};
use crate::ownership::keys_had_one_holder;

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
        "born": 1_700_000_000_009_u64, "address": deployment.nodes[2].target_address.to_string(),
        "info": {"service": "orders", "version": "v1", "zone": "a", "capacity": 8},
        "status": {"state": "ready", "seq": 1, "warmup_left_s": 0.0},
    });
    let without = |table: &str, field: &str| {
        let mut body = whole.clone();
        let table = body.pointer_mut(table).and_then(Value::as_object_mut);
        table.expect("a table").remove(field);
        body
    };
    let with = |table: &str, field: &str, value: Value| {
        let mut body = whole.clone();
        body.pointer_mut(table).expect("a table")[field] = value;
        body
    };
    let others = [
        without("", "address"),
        without("", "info"),
        without("/info", "version"),
        without("/info", "zone"),
        without("/status", "warmup_left_s"),
        with("", "address", json!("127.0.0.1:9")),
        with("", "address", json!("127.0.0.1:99999")),
        with("", "born", json!("yesterday")),
        with("/info", "version", json!(5)),
        with("/info", "zone", json!({"a": 1})),
        with("/info", "service", json!("nobody's")),
        with("/info", "capacity", json!(-1)),
        with("/status", "state", json!("resting")),
        with("/status", "seq", json!("1")),
        with("/status", "warmup_left_s", json!(1e300)),
        with("/status", "warmup_left_s", json!(-1)),
        json!("not a heartbeat"),
    ];
    let client = reqwest::Client::new();
    let own = deployment.target(2).id();
    for id in ["other", &own] {
        let url = deployment.heartbeat_url(2, id);
        for body in &others {
            let sent = client.put(&url).body(body.to_string()).send().await;
            assert_eq!(sent.expect("an answer").status(), 400, "{id}: {body}");
        }
    }
    let url = deployment.heartbeat_url(2, "other");
    let metrics = deployment
        .operate(2, reqwest::Method::GET, "/metrics")
        .await;
    let rejected = metrics
        .lines()
        .filter(|line| line.starts_with("wingspar_rejected_heartbeats_total"))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<usize>().ok());
    assert_eq!(rejected.sum::<usize>(), 2 * others.len(), "{metrics}");
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

/// Guards against a heartbeat of another writer, with fields missing and for another service, that counts as a new life
/// of a target: its keys were given to others while it held them, and its own heartbeats were ignored from then on.
#[tokio::test]
async fn an_incomplete_heartbeat_for_another_service_frees_no_keys() {
    let began_at = Instant::now();
    let deployment = Deployment::start(58).await;
    let (key, other) = (100, 65_000);
    let owner = key_owned_by(&deployment, key).expect("an owner");
    let foreign = json!({
        "address": format!("{}:8301", deployment.nodes[3].ready.ip()),
        "info": {"service": PLAIN, "capacity": 18},
        "status": {"state": "ready", "seq": 1},
    });
    let url = deployment.heartbeat_url(owner, "another-writer");
    let sent = deployment.client.put(&url).body(foreign.to_string());
    let answer = sent.send().await.expect("an answer");
    let mut statuses = Vec::new();
    let until = Instant::now() + Duration::from_secs(4);
    while Instant::now() < until {
        deployment.try_heartbeats().await;
        for key in [key, other] {
            statuses.push(deployment.keyed(2, key, "served").await.status());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let held = keys_had_one_holder(&deployment, began_at, |_, _| false);
    assert_eq!(held, Ok(()));
    assert!(deployment.target(owner).holds(key), "it keeps its keys");
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert_eq!(answer.status(), 400);
    // Its own heartbeats still count.
    let heartbeat = deployment.next_heartbeat(owner).expect("a target");
    let sequence = heartbeat.body["status"]["seq"].as_u64().expect("a number");
    deployment.heartbeat(owner, "draining", sequence + 1).await;
    eventually("its keys move to the other target", || async {
        deployment.target(1 - owner).holds(key)
    })
    .await;
}

/// Guards against new work for a target that has said that it leaves, after another writer's heartbeat under the
/// target's own id with a larger sequence number.
#[tokio::test]
async fn a_leave_counts_despite_a_foreign_heartbeat_with_a_larger_sequence_number() {
    let deployment = Deployment::start(59).await;
    let key = 100;
    let owner = key_owned_by(&deployment, key).expect("an owner");
    deployment.heartbeat(owner, "ready", 1 << 50).await;
    deployment.heartbeat(owner, "draining", 100).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    eventually("its keys move to the other target", || async {
        deployment.target(1 - owner).holds(key)
    })
    .await;
    for step in 0..10 {
        let id = format!("left-{step}");
        assert_eq!(deployment.keyed(2, key, &id).await.status(), 200);
        let seen = deployment.target(owner).seen();
        assert!(seen.iter().all(|seen| seen.id != id), "{id} ran there");
    }
}
