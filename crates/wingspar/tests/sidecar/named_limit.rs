//! Targets that name a limit on the requests that they take from all nodes together.

use std::time::{Duration, Instant};

use reqwest::{Method, StatusCode};
use wingspar_standins::fleet::{FleetTarget, TargetCall, TargetFaults};

use crate::deployment::{Deployment, eventually};
use crate::steady_load::load;

/// The span over which a target counts what it gets.
const SPAN: Duration = Duration::from_secs(4);
/// The machines of the service without owners.
const PLAIN_NODES: [usize; 2] = [2, 3];

/// Most requests within [`SPAN`] that a target puts up with which has named that limit.
fn allowed(requests_per_s: f64) -> usize {
    (1.5 * requests_per_s * SPAN.as_secs_f64() + 5.0) as usize
}

fn limited(limit: &'static str) -> TargetFaults {
    TargetFaults {
        names_limit: Some(limit),
        work: Duration::from_millis(100),
        ..TargetFaults::default()
    }
}

fn target(deployment: &Deployment, node: usize) -> &FleetTarget {
    deployment.nodes[node].target.as_ref().expect("a target")
}

/// The most requests that a target has run within [`SPAN`], of those that began at `from` or later.
fn most_within_span(target: &FleetTarget, from: Instant) -> usize {
    let seen = target.seen();
    let mut at = seen.iter().map(|seen| seen.at).collect::<Vec<_>>();
    at.retain(|at| *at >= from);
    at.sort();
    let within = at
        .iter()
        .map(|first| at.iter().filter(|at| (*first..*first + SPAN).contains(at)));
    within.map(Iterator::count).max().unwrap_or(0)
}

/// Guards against targets that get more requests than the limit that they name, from all nodes together.
#[tokio::test]
async fn a_target_gets_no_more_requests_than_the_limit_that_it_names() {
    let deployment = Deployment::start(74).await;
    deployment.plain_targets_do(limited("5.1"));
    load(&deployment, "before", "/book/1", Duration::from_secs(1)).await;
    let told_at = Instant::now();
    let ends = load(&deployment, "after", "/book/1", Duration::from_secs(6)).await;
    for node in PLAIN_NODES {
        let most = most_within_span(target(&deployment, node), told_at);
        assert!(most <= allowed(5.1), "node {node}: {most} requests");
        assert!(
            most >= 10,
            "node {node}: {most} requests, though it takes 20"
        );
    }
    let refused = ends
        .iter()
        .filter(|end| end.status == StatusCode::SERVICE_UNAVAILABLE)
        .collect::<Vec<_>>();
    assert!(refused.len() > ends.len() / 2, "most find no room");
    for end in refused {
        assert!(end.retry_after.is_some(), "it is told when to come back");
        assert!(end.took < Duration::from_millis(1_500), "{:?}", end.took);
    }
}

/// Guards against a flood from a process that has just started and doesn't know of the limit yet.
#[tokio::test]
async fn a_process_that_starts_beside_a_limited_target_sends_no_more_than_the_limit() {
    let mut deployment = Deployment::start(75).await;
    deployment.lose(3).await;
    target(&deployment, 2).set_faults(TargetFaults {
        tells_callers_only: true,
        ..limited("1.5")
    });
    load(&deployment, "before", "/patient/1", Duration::from_secs(1)).await;
    let told_at = Instant::now();
    for restart in 0..2 {
        deployment.kill(2);
        deployment.start_process(2);
        deployment.heartbeat(2, "ready", 2 + restart).await;
        deployment.ready(2).await;
        let name = format!("after-{restart}");
        load(&deployment, &name, "/patient/1", Duration::from_secs(2)).await;
    }
    let most = most_within_span(target(&deployment, 2), told_at);
    assert!(most <= allowed(1.5), "{most} requests");
}

/// Guards against a limit that outlasts the target's word, and against one that is lifted by a target's silence.
#[tokio::test]
async fn a_limit_ends_when_the_target_no_longer_names_it() {
    let deployment = Deployment::start(76).await;
    deployment.plain_targets_do(limited("0"));
    load(&deployment, "none", "/book/1", Duration::from_secs(1)).await;
    let told_at = Instant::now();
    load(&deployment, "still", "/book/1", Duration::from_secs(4)).await;
    for node in PLAIN_NODES {
        let most = most_within_span(target(&deployment, node), told_at);
        assert!(most <= allowed(0.0), "node {node}: {most} requests");
    }
    deployment.plain_targets_do(TargetFaults::default());
    eventually("both take everything again", || async {
        let ends = load(&deployment, "again", "/book/1", Duration::from_millis(300)).await;
        ends.iter().all(|end| end.status == StatusCode::OK)
    })
    .await;
}

/// Guards against an owner of keys that names a limit and keeps more keys than that serves.
#[tokio::test]
async fn keys_move_away_from_an_owner_that_names_a_limit() {
    let deployment = Deployment::start(77).await;
    let work = TargetFaults {
        work: Duration::from_millis(100),
        ..TargetFaults::default()
    };
    deployment.all_targets_do(work);
    load(&deployment, "before", "/stock/1", Duration::from_secs(2)).await;
    target(&deployment, 0).set_faults(limited("6"));
    let told_at = Instant::now();
    eventually("nine in ten are served", || async {
        let ends = load(&deployment, "after", "/stock/1", Duration::from_secs(1)).await;
        let served = ends.iter().filter(|end| end.status == StatusCode::OK);
        served.count() * 10 >= ends.len() * 9
    })
    .await;
    let told_at = told_at + Duration::from_secs(1);
    let most = most_within_span(target(&deployment, 0), told_at);
    assert!(most <= allowed(6.0), "{most} requests");
}

/// Guards against a header that can't be read being taken for a limit, or for the end of one.
#[tokio::test]
async fn what_is_no_limit_changes_nothing() {
    let deployment = Deployment::start(81).await;
    deployment.plain_targets_do(limited("-1"));
    let ends = load(&deployment, "none", "/book/1", Duration::from_secs(1)).await;
    let unserved = ends.iter().filter(|end| end.status != StatusCode::OK);
    assert_eq!(unserved.count(), 0, "no limit was named");
    deployment.plain_targets_do(limited("5.1"));
    load(&deployment, "named", "/book/1", Duration::from_secs(1)).await;
    let told_at = Instant::now();
    deployment.plain_targets_do(limited("many"));
    load(&deployment, "still", "/book/1", Duration::from_secs(5)).await;
    for node in PLAIN_NODES {
        let most = most_within_span(target(&deployment, node), told_at);
        assert!(most <= allowed(5.1), "node {node}: {most} requests");
    }
    let metrics = deployment.operate(2, Method::GET, "/metrics").await;
    let unreadable = metrics
        .lines()
        .find_map(|line| line.strip_prefix("wingspar_unreadable_announcements_total "));
    assert!(
        unreadable.is_some_and(|count| count != "0"),
        "{unreadable:?}"
    );
}

/// Guards against calls that targets make through their own nodes passing a limit by.
#[tokio::test]
async fn calls_of_targets_count_against_the_limit() {
    let deployment = Deployment::start(82).await;
    deployment.plain_targets_do(limited("5.1"));
    for node in [0, 1] {
        target(&deployment, node).set_call(TargetCall {
            node: deployment.nodes[node].outbound,
            host: "shop.example".to_owned(),
            path: "/orders/1".to_owned(),
            credential: String::new(),
        });
    }
    load(&deployment, "before", "/stock/1", Duration::from_secs(1)).await;
    let told_at = Instant::now();
    load(&deployment, "after", "/stock/1", Duration::from_secs(5)).await;
    for node in PLAIN_NODES {
        let most = most_within_span(target(&deployment, node), told_at);
        assert!(most <= allowed(5.1), "node {node}: {most} requests");
        assert!(most >= 10, "node {node}: {most} calls, though it takes 20");
    }
}
