//! Guards against a request that is never refused although it crashes its targets, because another caller's request with
//! the same path and body is served; and against the other caller's being refused for it.

use std::cell::Cell;
use std::time::{Duration, Instant};

use serde_json::json;
use wingspar_standins::fleet::TargetFaults;

use crate::deployment::{Deployment, KEYED, PLAIN, eventually, route};

/// The path of both callers' requests.
const PATH: &str = "/orders/statement";
/// The body of both callers' requests.
const BODY: &str = "statement";
/// All nodes must know of the third target's end after this long.
const IN_TOUCH: Duration = Duration::from_secs(3);
/// Ends of targets after which the request must be known.
const ENDS_BEFORE: u32 = 3;
/// Sends of it that may reach targets afterwards, in all.
const SENDS_AFTERWARDS: usize = 3;
/// Time between two tries of the request that crashes targets.
const CRASHING_PAUSE: Duration = Duration::from_millis(900);
/// Time between two requests of the other caller.
const SERVED_PAUSE: Duration = Duration::from_millis(30);

/// A caller: the machine that it sends from, and its credential.
#[derive(Debug, Clone, Copy)]
struct Caller {
    node: usize,
    credential: &'static str,
}

/// The status and the body of an answer to a caller's request.
async fn ask(deployment: &Deployment, caller: Caller, id: &str) -> (u16, String) {
    let request = deployment.request(caller.node, PATH, id);
    let request = request.header("x-wingspar-credential", caller.credential);
    match request.body(BODY).send().await {
        Ok(answer) => {
            let status = answer.status().as_u16();
            (status, answer.text().await.unwrap_or_default())
        }
        Err(error) => (0, error.to_string()),
    }
}

/// Sends the other caller's requests, one after the other, until the trial is over; returns how many were served and the
/// refusals among the answers.
async fn serve(deployment: &Deployment, caller: Caller, is_over: &Cell<bool>) -> (usize, usize) {
    let (mut served, mut refused) = (0, 0);
    for number in 0.. {
        if is_over.get() {
            break;
        }
        let (status, body) = ask(deployment, caller, &format!("served-{number}")).await;
        served += usize::from(status == 200);
        refused += usize::from(body == "quarantined");
        deployment.try_heartbeats().await;
        tokio::time::sleep(SERVED_PAUSE).await;
    }
    (served, refused)
}

/// How often a target has begun a request whose id begins so.
fn runs(deployment: &Deployment, name: &str) -> usize {
    let seen = deployment.all_seen();
    seen.iter().filter(|seen| seen.id.starts_with(name)).count()
}

/// Sends the request that crashes targets again and again; returns how often it reached targets after it must be known.
async fn crash(deployment: &Deployment, caller: Caller) -> usize {
    let began = Instant::now();
    let mut number = 0;
    while deployment.crashes() < ENDS_BEFORE && began.elapsed() < Duration::from_secs(12) {
        number += 1;
        ask(deployment, caller, &format!("before-{number}")).await;
        tokio::time::sleep(CRASHING_PAUSE).await;
    }
    tokio::time::sleep(IN_TOUCH).await;
    for number in 0..8 {
        ask(deployment, caller, &format!("after-{number}")).await;
        tokio::time::sleep(CRASHING_PAUSE).await;
    }
    runs(deployment, "after")
}

/// Plays both callers; the targets crash under the requests of one of them.
async fn only_one_is_refused(
    test: u8,
    tenants: serde_json::Value,
    [crashing, served]: [Caller; 2],
    faults: TargetFaults,
) {
    let deployment = Deployment::start(test).await;
    let routes = json!([route("orders", "/orders/", "idempotent", PLAIN)]);
    deployment.configure_tenants(10, routes, tenants);
    for node in 0..deployment.nodes.len() {
        eventually("the tenants are in force", || async {
            deployment.configuration_version(node).await == Some(10)
        })
        .await;
    }
    deployment.plain_targets_do(TargetFaults {
        work: Duration::from_millis(40),
        crashes_on: Some(PATH),
        ..faults
    });
    let is_over = Cell::new(false);
    let crash = async {
        let sends = crash(&deployment, crashing).await;
        is_over.set(true);
        sends
    };
    let (sends, (served, refused)) = tokio::join!(crash, serve(&deployment, served, &is_over));
    assert!(
        sends <= SENDS_AFTERWARDS,
        "it reached targets {sends} times more, {} ended in all",
        deployment.crashes()
    );
    assert!(served > 50, "{served} requests of the other caller served");
    assert_eq!(refused, 0, "requests of the other caller refused");
}

/// Two tenants, with a credential each.
fn two_tenants() -> serde_json::Value {
    json!([
        {"name": "north", "api_keys": ["n-1"], "priority": 1},
        {"name": "south", "api_keys": ["s-1"], "priority": 1},
    ])
}

#[tokio::test]
async fn a_request_that_crashes_targets_is_refused_while_another_tenants_is_served() {
    let faults = TargetFaults {
        crashes_for: Some("north"),
        ..TargetFaults::default()
    };
    let callers = ["n-1", "s-1"].map(|credential| Caller {
        node: 0,
        credential,
    });
    only_one_is_refused(102, two_tenants(), callers, faults).await;
}

#[tokio::test]
async fn a_request_that_crashes_targets_is_refused_while_another_services_is_served() {
    let faults = TargetFaults {
        crashes_for_service: Some(KEYED),
        ..TargetFaults::default()
    };
    let callers = [0, 2].map(|node| Caller {
        node,
        credential: "n-1",
    });
    only_one_is_refused(107, two_tenants(), callers, faults).await;
}

#[tokio::test]
async fn a_request_that_crashes_targets_is_refused_while_another_services_is_served_without_tenants()
 {
    let faults = TargetFaults {
        crashes_for_service: Some(KEYED),
        ..TargetFaults::default()
    };
    let callers = [0, 2].map(|node| Caller {
        node,
        credential: "",
    });
    only_one_is_refused(108, json!([]), callers, faults).await;
}
