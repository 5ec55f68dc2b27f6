//! Zones that the operator empties for a while, and targets that are slow after their start.

use std::time::{Duration, Instant};

use serde_json::json;
use wingspar_standins::fleet::{Seen, TargetFaults};
use wingspar_standins::net::Harm;

use super::deployment::{Deployment, Wiring, eventually};

/// The operator's bound for an evacuation in these tests.
pub const BOUND: Duration = Duration::from_secs(5);
/// Machines of zone `b`: the second of the keyed service, the second of the other one.
pub const ZONE_B: [usize; 2] = [1, 3];

fn wiring() -> Wiring {
    Wiring {
        through_proxies: true,
        two_zones: true,
        ..Wiring::default()
    }
}

fn evacuate(deployment: &Deployment, zone: &str) -> Instant {
    deployment.store.write("evacuations", zone, json!({}));
    Instant::now()
}

/// Requests that targets of a zone have run.
fn seen_in(deployment: &Deployment, machines: [usize; 2]) -> Vec<Seen> {
    let targets = machines.map(|machine| deployment.nodes[machine].target.as_ref());
    let targets = targets.into_iter().flatten();
    targets.flat_map(|target| target.seen()).collect()
}

/// Sends requests with and without keys from all machines until some time after the bound; returns how many of those
/// in the last second weren't served.
async fn send_past_the_bound(deployment: &Deployment, written_at: Instant) -> usize {
    let mut failed = 0;
    for step in 0.. {
        if written_at.elapsed() > BOUND + Duration::from_secs(1) {
            break;
        }
        let node = step % 4;
        let plain = deployment.request(node, "/orders/1", &format!("p{step}"));
        let plain = plain.send().await.expect("an answer").status();
        let key = u16::try_from(step * 7_919 % 65_536).expect("a key");
        let keyed = deployment.keyed(node, key, &format!("k{step}")).await;
        if written_at.elapsed() > BOUND && (plain != 200 || keyed.status() != 200) {
            failed += 1;
        }
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    failed
}

fn assert_nothing_after_the_bound(deployment: &Deployment, written_at: Instant) {
    let late = seen_in(deployment, ZONE_B)
        .into_iter()
        .filter(|seen| seen.at > written_at + BOUND)
        .collect::<Vec<_>>();
    assert!(late.is_empty(), "{late:?}");
}

#[tokio::test]
async fn an_evacuated_zone_gets_nothing_and_all_is_served_elsewhere_until_it_is_back() {
    let deployment = Deployment::start_with(26, &wiring()).await;
    let written_at = evacuate(&deployment, "b");
    assert_eq!(send_past_the_bound(&deployment, written_at).await, 0);
    assert_nothing_after_the_bound(&deployment, written_at);
    assert!(deployment.store.remove("evacuations", "b"));
    eventually("the zone gets work again", || async {
        let before = seen_in(&deployment, ZONE_B).len();
        let _sent = deployment.request(3, "/orders/1", "again").send().await;
        seen_in(&deployment, ZONE_B).len() > before
    })
    .await;
}

#[tokio::test]
async fn an_evacuation_is_in_force_in_time_though_the_leader_does_not_reach_the_store() {
    let deployment = Deployment::start_with(27, &wiring()).await;
    deployment.nodes[deployment.leader()]
        .store_link
        .set(Harm::Silent);
    let written_at = evacuate(&deployment, "b");
    send_past_the_bound(&deployment, written_at).await;
    assert_nothing_after_the_bound(&deployment, written_at);
}

#[tokio::test]
async fn a_process_that_starts_in_an_evacuated_zone_sends_its_target_nothing() {
    let mut deployment = Deployment::start_with(28, &wiring()).await;
    let written_at = evacuate(&deployment, "b");
    send_past_the_bound(&deployment, written_at).await;
    let before = seen_in(&deployment, ZONE_B).len();
    deployment.kill(3);
    deployment.start_process(3);
    deployment.heartbeats(50).await;
    deployment.ready(3).await;
    for step in 0..20 {
        let request = deployment.request(3, "/orders/1", &format!("r{step}"));
        assert_eq!(request.send().await.expect("an answer").status(), 200);
    }
    assert_eq!(seen_in(&deployment, ZONE_B).len(), before);
}

#[tokio::test]
async fn where_all_zones_are_evacuated_requests_are_refused_at_once_saying_when_to_come_back() {
    let deployment = Deployment::start_with(29, &wiring()).await;
    evacuate(&deployment, "a");
    evacuate(&deployment, "nowhere");
    let written_at = evacuate(&deployment, "b");
    tokio::time::sleep(BOUND).await;
    let sent_at = Instant::now();
    let request = deployment.request(0, "/orders/1", "nobody");
    let answer = request.send().await.expect("an answer");
    assert_eq!(answer.status(), 503);
    assert!(answer.headers().contains_key("retry-after"));
    assert!(sent_at.elapsed() < Duration::from_millis(500));
    assert_nothing_after_the_bound(&deployment, written_at);
}

/// The most requests that a target has begun within a second.
fn most_in_a_second(seen: &[Seen]) -> usize {
    let begun = seen.iter().map(|seen| seen.at).collect::<Vec<_>>();
    let within = |first: &Instant| {
        let second = begun
            .iter()
            .filter(|at| **at >= *first && at.duration_since(*first) < Duration::from_secs(1));
        second.count()
    };
    begun.iter().map(within).max().unwrap_or(0)
}

#[tokio::test]
async fn a_target_that_is_slow_after_its_start_gets_few_requests_a_second() {
    let deployment = Deployment::start_with(30, &wiring()).await;
    let slow = TargetFaults {
        warmup: Duration::from_secs(30),
        ..TargetFaults::default()
    };
    deployment.plain_targets_do(slow);
    deployment.heartbeats(100).await;
    // Nothing that was sent before counts.
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let requests = (0..160).map(|step| {
        let request = deployment.request(step % 4, "/orders/1", &format!("s{step}"));
        async move { request.send().await.expect("an answer").status() }
    });
    let answers = futures_util::future::join_all(requests).await;
    assert!(
        answers
            .iter()
            .all(|status| [200, 503].contains(&status.as_u16()))
    );
    for machine in [2, 3] {
        let target = deployment.nodes[machine].target.as_ref().expect("a target");
        let seen = target.seen().into_iter();
        let seen = seen
            .filter(|seen| seen.id.starts_with('s'))
            .collect::<Vec<_>>();
        // 8 a second by the configuration, times 1.5, and 8 more by the settings.
        let most = most_in_a_second(&seen);
        assert!((10..=20).contains(&most), "{most} at machine {machine}");
    }
}
