//! The sidecar as real processes on loopback, against stand-ins of the users' platform.

mod configuration;
mod crashing_request;
mod deployment;
mod evacuations;
mod full_target;
mod kept_connection;
mod key_heartbeats;
mod machine;
mod network;
mod pipelined_client;
mod pipelining;
mod quotas;
mod resting;
mod soak;
mod tenants;

use std::time::Duration;

use deployment::{Deployment, Wiring, eventually, key_owned_by};
use serde_json::json;
use wingspar_standins::fleet::{FleetTarget, StoreFaults, TargetFaults};
use wingspar_standins::net::Harm;

#[tokio::test]
async fn requests_reach_a_target_of_their_service_from_any_node() {
    let deployment = Deployment::start(1).await;
    for node in 0..deployment.nodes.len() {
        let id = format!("plain-{node}");
        let answer = deployment
            .request(node, "/orders/1", &id)
            .body("two")
            .send()
            .await
            .expect("an answer");
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.headers()["x-wingspar-request-id"], id.as_str());
        assert_eq!(answer.headers()["x-wingspar-response-signature"], "s");
        let seen = deployment.seen(&id);
        assert_eq!(seen.len(), 1, "it ran once");
        assert_eq!(seen[0].body, "two");
        let caller = &deployment.nodes[node].service;
        assert_eq!(
            &seen[0].caller, caller,
            "the caller is the service where it began"
        );
        assert!(seen[0].deadline_ms > 0 && seen[0].deadline_ms <= 2_000);
    }
}

#[tokio::test]
async fn what_a_client_says_of_the_inside_is_not_believed() {
    let deployment = Deployment::start(2).await;
    let request = deployment
        .request(0, "/orders/1", "forged")
        .header("x-wingspar-caller-service", "somebody")
        .header("x-wingspar-expect-instance", "somebody")
        .header("wingspar-service", "stock")
        .header("connection", "x-wingspar-request-id");
    let answer = request.send().await.expect("an answer");
    assert_eq!(answer.status(), 200);
    assert_eq!(
        deployment.seen("forged")[0].caller,
        deployment.nodes[0].service
    );
}

#[tokio::test]
async fn a_keyed_request_runs_where_its_key_is_held() {
    let deployment = Deployment::start(3).await;
    for key in [0_u16, 9_000, 30_000, 50_000, 65_535] {
        let id = format!("keyed-{key}");
        let answer = deployment.keyed(1, key, &id).await;
        assert_eq!(answer.status(), 200);
        assert_eq!(deployment.seen(&id).len(), 1);
    }
    let held = [0_u16, 9_000, 30_000, 50_000, 65_535].map(|key| {
        deployment
            .nodes
            .iter()
            .filter(|node| node.target.as_ref().is_some_and(|target| target.holds(key)))
            .count()
    });
    assert_eq!(held, [1; 5], "each key is held by one target");
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

#[tokio::test]
async fn work_that_may_have_run_is_not_repeated_unless_it_may_be() {
    let deployment = Deployment::start(9).await;
    let wrong = TargetFaults {
        wrong_id: true,
        ..TargetFaults::default()
    };
    deployment.plain_targets_do(wrong);
    let once = deployment
        .request(2, "/book/1", "once")
        .send()
        .await
        .expect("an answer");
    assert_eq!(once.status(), 502, "another request's answer is nobody's");
    assert_eq!(deployment.seen("once").len(), 1);
    let again = deployment
        .request(2, "/orders/1", "again")
        .send()
        .await
        .expect("an answer");
    assert_eq!(again.status(), 502);
    assert_eq!(deployment.seen("again").len(), 2, "max_attempts is 2");
    let unsigned = TargetFaults {
        unsigned: true,
        ..TargetFaults::default()
    };
    deployment.plain_targets_do(unsigned);
    let unsigned = deployment
        .request(2, "/book/1", "unsigned")
        .send()
        .await
        .expect("an answer");
    assert_eq!(unsigned.status(), 502);
}

#[tokio::test]
async fn a_rejected_request_is_told_not_run_and_when_to_come_back() {
    let deployment = Deployment::start(10).await;
    deployment.plain_targets_do(TargetFaults {
        sheds: true,
        ..TargetFaults::default()
    });
    let answer = deployment
        .request(0, "/book/1", "shed")
        .send()
        .await
        .expect("an answer");
    assert_eq!(answer.status(), 503);
    assert!(answer.headers().contains_key("retry-after"));
    assert!(deployment.seen("shed").is_empty());
}

#[tokio::test]
async fn a_silent_target_is_given_up_at_the_routes_timeout() {
    let deployment = Deployment::start(11).await;
    deployment.plain_targets_do(TargetFaults {
        silent: true,
        ..TargetFaults::default()
    });
    let answer = deployment
        .request(0, "/book/1", "silent")
        .send()
        .await
        .expect("an answer");
    assert_eq!(answer.status(), 504);
    assert_eq!(deployment.seen("silent").len(), 1);
}

#[tokio::test]
async fn work_is_given_up_when_its_client_leaves() {
    let deployment = Deployment::start(14).await;
    let targets = [2, 3].map(|node| deployment.nodes[node].target.as_ref().expect("a target"));
    for target in targets {
        target.set_faults(TargetFaults {
            silent: true,
            ..TargetFaults::default()
        });
    }
    let open = || {
        let connections = targets.iter().map(|target| target.open_connections());
        connections.sum::<u64>()
    };
    // The route has no time-out and the client's deadline is far: only its leaving ends the work.
    let request = deployment.request_within(0, "/patient/1", "left", 90_000);
    let client = tokio::spawn(request.send());
    eventually("a target works on it", || async {
        deployment.seen("left").len() == 1
    })
    .await;
    let busy = open();
    client.abort();
    eventually("its connection is closed", || async { open() < busy }).await;
}

#[tokio::test]
async fn an_address_that_another_target_has_taken_gets_nothing() {
    let mut deployment = Deployment::start(15).await;
    let taken = deployment.nodes[2].target.take().expect("a target");
    let address = taken.local_addr();
    taken.shutdown().await;
    let other = FleetTarget::start(address, "other", false)
        .await
        .expect("the address is free");
    for step in 0..10 {
        let id = format!("reused-{step}");
        let answer = deployment
            .request(2, "/orders/1", &id)
            .send()
            .await
            .expect("an answer");
        assert_eq!(
            answer.status(),
            200,
            "the other target of the service takes it"
        );
    }
    assert!(other.seen().is_empty());
}

#[tokio::test]
async fn a_leaving_target_gets_nothing_new() {
    let deployment = Deployment::start(12).await;
    deployment.heartbeat(2, "draining", 100).await;
    // A heartbeat that was overtaken doesn't bring it back.
    deployment.heartbeat(2, "ready", 50).await;
    eventually("everything goes to the other target", || async {
        let id = "probe";
        deployment
            .request(2, "/orders/1", id)
            .send()
            .await
            .is_ok_and(|answer| answer.status() == 200)
            && deployment.nodes[3]
                .target
                .as_ref()
                .is_some_and(|target| target.seen().iter().any(|seen| seen.id == id))
    })
    .await;
    tokio::time::sleep(Duration::from_millis(900)).await;
    let before = deployment.nodes[2]
        .target
        .as_ref()
        .expect("a target")
        .seen()
        .len();
    for step in 0..10 {
        let answer = deployment
            .request(2, "/orders/1", &format!("l{step}"))
            .send()
            .await
            .expect("an answer");
        assert_eq!(answer.status(), 200);
    }
    assert_eq!(
        deployment.nodes[2]
            .target
            .as_ref()
            .expect("a target")
            .seen()
            .len(),
        before
    );
}

#[tokio::test]
async fn a_planned_stop_ends_what_runs_and_hands_keys_over() {
    let mut deployment = Deployment::start(13).await;
    let key = 60_000;
    let owner = key_owned_by(&deployment, key).expect("an owner");
    for node in 0..4 {
        let faults = TargetFaults {
            work: Duration::from_millis(600),
            ..TargetFaults::default()
        };
        deployment.nodes[node]
            .target
            .as_ref()
            .expect("a target")
            .set_faults(faults);
    }
    let running = deployment.request(owner, "/orders/1", "running").send();
    let stopping = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
    };
    let (answer, ()) = tokio::join!(running, async {
        stopping.await;
        deployment.terminate(owner);
    });
    assert_eq!(answer.expect("an answer").status(), 200);
    assert!(
        deployment.exited_well(owner).await,
        "it ends by itself with code 0"
    );
    let other = (owner + 1) % 2;
    eventually("another owns the key", || async {
        deployment.keyed(other, key, "after").await.status() == 200
    })
    .await;
}

/// A client's connection may have been accepted before the stop, and its first request be read after it: the process
/// must not end while that is answered.
#[tokio::test]
async fn a_planned_stop_waits_for_a_request_that_comes_late_on_an_open_connection() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut deployment = Deployment::start(31).await;
    deployment.plain_targets_do(TargetFaults {
        work: Duration::from_millis(1_000),
        ..TargetFaults::default()
    });
    deployment.terminate(0);
    tokio::time::sleep(Duration::from_millis(2_300)).await;
    let mut connection = tokio::net::TcpStream::connect(deployment.nodes[0].outbound)
        .await
        .expect("it still accepts");
    tokio::time::sleep(Duration::from_millis(400)).await;
    let request = "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nX-Wingspar-Request-Id: late\r\n\
                   X-Wingspar-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n";
    let written = connection.write_all(request.as_bytes()).await;
    let mut answer = Vec::new();
    let _end = connection.read_to_end(&mut answer).await;
    if deployment.seen("late").is_empty() {
        // Closed before the request was read: the client may send it elsewhere.
        assert!(written.is_err() || answer.is_empty(), "no answer was due");
    } else {
        let answer = String::from_utf8_lossy(&answer);
        assert!(answer.starts_with("HTTP/1.1 200"), "cut: {answer:?}");
    }
    assert!(deployment.exited_well(0).await);
}

#[tokio::test]
async fn a_planned_stop_does_not_cut_a_large_answer() {
    // 400 kB over a link of 1 Mbit/s take longer than the node needs to have nothing else to do.
    let mut deployment = Deployment::start_with(
        16,
        &Wiring {
            node_settings: "link_mbps = 1.0",
            ..Wiring::default()
        },
    )
    .await;
    deployment.plain_targets_do(TargetFaults {
        answer_bytes: 400_000,
        ..TargetFaults::default()
    });
    // No target of the service is on this machine, so the answer comes over a link.
    let request = deployment.request_within(0, "/patient/1", "large", 20_000);
    let answer = request.send().await.expect("an answer");
    assert_eq!(answer.status(), 200);
    deployment.terminate(0);
    let body = answer.bytes().await.expect("a whole body");
    assert_eq!(body.len(), 400_000);
    assert!(deployment.exited_well(0).await);
}

#[test]
fn wrong_settings_are_told_and_end_with_their_own_code() {
    let folder =
        std::env::temp_dir().join(format!("wingspar-sidecar-settings-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("node.toml");
    std::fs::write(&file, "[node]\nname = 5\n").expect("a file");
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_wingspar"))
        .args(["sidecar", "--settings"])
        .arg(&file)
        .output()
        .expect("it starts");
    assert_eq!(output.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&output.stderr).contains("settings are wrong"));
}
