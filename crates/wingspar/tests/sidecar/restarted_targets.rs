//! Targets that start again, and heartbeats that are lost, late or of others.

use std::time::{Duration, Instant};

use crate::deployment::{Deployment, Wiring, eventually};
use crate::ownership::keys_had_one_holder;

/// Keys spread over all.
const KEYS: [u16; 6] = [0, 9_000, 24_000, 40_000, 52_000, 65_535];
/// The two machines whose targets own keys.
const RESTARTED: usize = 0;
const OTHER: usize = 1;
/// Longer than any hold: by then a target that was granted keys in error has lost them.
const LONGER_THAN_A_HOLD: Duration = Duration::from_secs(6);
/// All keys are served this long after the last disruption.
const RECOVERY: Duration = Duration::from_secs(12);
/// How late a restarted target's first heartbeat is.
const FIRST_HEARTBEAT_LATE: Duration = Duration::from_secs(2);
/// Rounds in which all keys are served, one after the other, before that counts as lasting.
const SERVED_ROUNDS: usize = 5;
/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(200);

fn holds_all(deployment: &Deployment, node: usize) -> bool {
    KEYS.iter().all(|key| deployment.target(node).holds(*key))
}

/// Guards against keys staying unserved where a restarted target takes no grant that is meant for its earlier life.
#[tokio::test]
async fn a_restarted_target_that_checks_grants_gets_its_keys_again() {
    let began_at = Instant::now();
    let wiring = Wiring {
        checks_grants: true,
        ..Wiring::default()
    };
    let deployment = Deployment::start_with(186, &wiring).await;
    deployment.target(RESTARTED).end_life().await;
    deployment.target(RESTARTED).begin_life(false).await;
    tokio::time::sleep(FIRST_HEARTBEAT_LATE).await;
    let arrived_at = Instant::now();
    deployment.heartbeat(RESTARTED, "ready", 1).await;
    recovers(&deployment, arrived_at).await;
    pass(&deployment, LONGER_THAN_A_HOLD).await;
    check_holders(&deployment, began_at);
}

/// Lets time pass while the targets whose keys have owners send heartbeats.
async fn pass(deployment: &Deployment, time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        deployment.try_heartbeats().await;
        tokio::time::sleep(ROUND).await;
    }
}

/// Whether each key is served now.
async fn all_are_served(deployment: &Deployment, round: usize) -> bool {
    for key in KEYS {
        let id = format!("served-{round}-{key}");
        if deployment.keyed(round % 4, key, &id).await.status() != 200 {
            return false;
        }
    }
    true
}

/// All keys are served, and stay so, within the time for recovery.
async fn recovers(deployment: &Deployment, since: Instant) {
    let mut served = 0;
    for round in 0.. {
        deployment.try_heartbeats().await;
        if all_are_served(deployment, round).await {
            served += 1;
        } else {
            served = 0;
        }
        if served == SERVED_ROUNDS {
            return;
        }
        assert!(
            since.elapsed() < RECOVERY,
            "keys aren't served; held by the two targets: {:?}",
            [RESTARTED, OTHER].map(|node| KEYS.map(|key| deployment.target(node).holds(key)))
        );
        tokio::time::sleep(ROUND).await;
    }
}

fn check_holders(deployment: &Deployment, began_at: Instant) {
    let held = keys_had_one_holder(deployment, began_at, |_, _| false);
    assert_eq!(held, Ok(()));
}

/// A target starts again, and takes keys before its first heartbeat arrives.
async fn restart_and_take_keys(deployment: &Deployment, keeps_id: bool) {
    let target = deployment.target(RESTARTED);
    let held_before = KEYS.map(|key| target.holds(key));
    target.end_life().await;
    target.begin_life(keeps_id).await;
    eventually("it has taken its keys again", || async {
        KEYS.map(|key| target.holds(key)) == held_before
    })
    .await;
}

/// Guards against keys that a restarted target took before its first heartbeat being given to a target that joins.
#[tokio::test]
async fn keys_of_a_restarted_target_are_released_before_a_joining_target_gets_them() {
    let began_at = Instant::now();
    let deployment = Deployment::start(180).await;
    deployment.heartbeat(OTHER, "draining", 2).await;
    eventually("one target holds all keys", || async {
        holds_all(&deployment, RESTARTED)
    })
    .await;
    deployment.target(OTHER).end_life().await;
    deployment.target(OTHER).begin_life(false).await;
    restart_and_take_keys(&deployment, false).await;
    let joined_at = Instant::now();
    tokio::join!(
        deployment.heartbeat(RESTARTED, "ready", 1),
        deployment.heartbeat(OTHER, "ready", 1),
    );
    recovers(&deployment, joined_at).await;
    pass(&deployment, LONGER_THAN_A_HOLD).await;
    check_holders(&deployment, began_at);
}

/// The first heartbeat of a target that has started again says that it leaves.
async fn restarts_and_leaves(test: u8, keeps_id: bool) {
    let began_at = Instant::now();
    let deployment = Deployment::start(test).await;
    restart_and_take_keys(&deployment, keeps_id).await;
    let left_at = Instant::now();
    deployment.heartbeat(RESTARTED, "draining", 1).await;
    eventually("the other holds all keys", || async {
        holds_all(&deployment, OTHER)
    })
    .await;
    assert!(left_at.elapsed() < RECOVERY);
    tokio::time::sleep(LONGER_THAN_A_HOLD).await;
    check_holders(&deployment, began_at);
}

/// Guards against keys that a restarted target took before its first heartbeat being given to another at once, while
/// the restarted one holds them.
#[tokio::test]
async fn keys_of_a_target_restarted_under_a_new_id_are_released_before_another_gets_them() {
    restarts_and_leaves(182, false).await;
}

/// Guards against the same where the restarted target keeps its id and names a later birth.
#[tokio::test]
async fn keys_of_a_target_restarted_under_its_id_are_released_before_another_gets_them() {
    restarts_and_leaves(181, true).await;
}

/// The nodes of two targets have started anew when late heartbeats of earlier lives arrive.
async fn late_heartbeats_at_restarted_nodes(test: u8, without_births: bool) {
    let began_at = Instant::now();
    let wiring = Wiring {
        without_births,
        ..Wiring::default()
    };
    let mut deployment = Deployment::start_with(test, &wiring).await;
    let mut late = Vec::new();
    for node in [RESTARTED, OTHER] {
        late.extend(deployment.heartbeat_of(node, "ready", 900));
        deployment.target(node).end_life().await;
        deployment.target(node).begin_life(false).await;
        deployment.heartbeat(node, "ready", 1).await;
        deployment.kill(node);
        deployment.start_process(node);
        deployment.heartbeat(node, "ready", 2).await;
        deployment.ready(node).await;
    }
    eventually("all keys are served", || async {
        deployment.try_heartbeats().await;
        all_are_served(&deployment, 0).await
    })
    .await;
    let arrived_at = Instant::now();
    for heartbeat in &late {
        let sent = deployment.heartbeat_request(heartbeat).send().await;
        assert!(sent.expect("an answer").status().is_success());
    }
    pass(&deployment, LONGER_THAN_A_HOLD).await;
    recovers(&deployment, arrived_at).await;
    check_holders(&deployment, began_at);
}

/// Guards against late heartbeats of earlier lives displacing the present ones for good at nodes that have started
/// anew and so don't know that these lives have ended.
#[tokio::test]
async fn late_heartbeats_of_earlier_lives_change_nothing_at_restarted_nodes() {
    late_heartbeats_at_restarted_nodes(183, true).await;
}

/// Guards against the same where heartbeats say when a life began.
#[tokio::test]
async fn late_heartbeats_that_name_births_change_nothing_at_restarted_nodes() {
    late_heartbeats_at_restarted_nodes(185, false).await;
}

/// Guards against heartbeats of another writer, for the same address and under an id that no target there has, ending
/// the target's life time and again.
#[tokio::test]
async fn heartbeats_under_a_foreign_id_beside_the_targets_own_change_nothing() {
    let began_at = Instant::now();
    let deployment = Deployment::start(184).await;
    let until = Instant::now() + LONGER_THAN_A_HOLD;
    let mut sequence = 10;
    while Instant::now() < until {
        sequence += 1;
        let mut foreign = deployment
            .heartbeat_of(RESTARTED, "ready", sequence)
            .expect("a heartbeat");
        foreign.url = deployment.heartbeat_url(RESTARTED, "foreign");
        let _taken = deployment.heartbeat_request(&foreign).send().await;
        deployment.try_heartbeats().await;
        tokio::time::sleep(ROUND).await;
    }
    recovers(&deployment, until).await;
    check_holders(&deployment, began_at);
}
