//! A soak of real processes with faults from outside them, and the promises checked while it runs.
//!
//! Each seed starts a deployment of four machines in two regions whose nodes reach the store and their targets through
//! proxies, sends requests, and injects faults: a store that comes back from a copy some seconds old; connections that are
//! delayed, reset, cut one way or silenced; processes that are paused, killed, stopped in order and started again; a store
//! that is down, throttles or forgets; tenants whose credentials come and go, whose quotas are lowered, and that send many times their usual while the
//! owner of their quota is paused or killed; regions that are lost; zones that are evacuated; targets that say that
//! they are slow after their start, that name a limit on requests, or something that can't be read as one, and that say in
//! their answers that they leave; a request under which targets end; targets that end and start again under a new id or the
//! same, heartbeats that are lost, that arrive late, after their sender's end too, or that another writer sends. Nodes aren't cut off from each other: they tell others
//! the address that they listen on, so nothing can stand between them.
//!
//! `SOAK_SEEDS=N SOAK_FIRST=S SOAK_SECONDS=T cargo test --release -p wingspar --test sidecar soak -- --nocapture` plays
//! other seeds than the fixed ones. `KEEP_LOGS=FOLDER` keeps the logs of nodes there.

mod announcements;
mod checks;
mod credentials;
mod faults;
mod heartbeats;
mod holders;
mod leaving;
mod load;
mod quotas;

use std::time::{Duration, Instant};

use crate::deployment::{Deployment, Wiring, eventually, kept_logs};
use crate::evacuations::{BOUND, ZONE_B};
use crate::quota_bound;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use checks::Promises;
use credentials::{STEADY, the_last_version_holds};
use faults::Faults;
use load::{CRASHING_PATH, Load};
use serde_json::json;
use wingspar_standins::fleet::TargetFaults;

/// Seeds that are always played: those that once failed, each with its cause, and others that never did.
const SEEDS: [(u64, &str); 3] = [
    (1, "never failed"),
    (2, "never failed; heartbeats name no births"),
    (3, "never failed; targets check the life that grants name"),
];
/// Length of the fixed seeds.
const SECONDS: u64 = 12;
/// Tries of the request under which targets end, after the faults.
const TRIES: usize = 12;
/// Time between two of them: a target is back after half a second.
const TRY_PAUSE: Duration = Duration::from_millis(800);
/// Targets that may end under them: three until all nodes must know.
const MOST_ENDS: u32 = 3;
/// All keys are served again this long after the faults.
const RECOVERY: Duration = Duration::from_secs(12);
/// Network of the first seed; the tests of the sidecar use those below.
const FIRST_NETWORK: u8 = 100;

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn plan() -> Vec<u64> {
    match number("SOAK_SEEDS") {
        Some(count) => {
            let first = number("SOAK_FIRST").unwrap_or(1);
            (first..first + count).collect()
        }
        None => SEEDS.iter().map(|(seed, _)| *seed).collect(),
    }
}

/// Plays one seed; what it counted, or the promise that broke.
async fn play(seed: u64, network: u8, length: Duration) -> Result<String, String> {
    let wiring = Wiring {
        through_proxies: true,
        two_zones: true,
        two_regions: true,
        bounds: quota_bound::SETTINGS,
        without_births: seed.is_multiple_of(2),
        checks_grants: seed.is_multiple_of(3),
        keeps_logs: kept_logs().is_some(),
        ..Wiring::default()
    };
    let mut deployment = Deployment::start_with(network, &wiring).await;
    deployment.all_targets_do(TargetFaults {
        crashes_on: Some(CRASHING_PATH),
        ..TargetFaults::default()
    });
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut faults = Faults::new(seed);
    deployment.credential = Some(STEADY);
    faults.configure(&deployment);
    for node in 0..deployment.nodes.len() {
        eventually("the tenants are known", || async {
            deployment.configuration_version(node).await == Some(faults.configuration())
        })
        .await;
    }
    let mut load = Load::new(seed);
    let ends_at = Instant::now() + length;
    while Instant::now() < ends_at {
        load.send_some(&deployment, &mut faults, &mut random);
        faults.step(&mut deployment, &mut random).await;
        faults.send_heartbeats(&deployment, &mut random);
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    faults.heal(&mut deployment).await;
    let answers = load.finish().await;
    let promises = Promises::new(&deployment, &answers, &faults);
    promises.check()?;
    let summary = promises.summary();
    for node in 0..deployment.nodes.len() {
        deployment.try_heartbeats().await;
        deployment.ready(node).await;
    }
    serves_all_keys(&deployment, &format!("healed-{seed}")).await?;
    the_last_version_holds(&deployment, &mut faults, seed).await?;
    refuses_what_ends_targets(&deployment, seed).await?;
    // By now the last late heartbeat has arrived.
    serves_all_keys(&deployment, &format!("late-{seed}")).await?;
    evacuates_still(&deployment, seed).await?;
    faults.holders().check(&deployment)?;
    Ok(summary)
}

/// After all that, all keys are served again.
async fn serves_all_keys(deployment: &Deployment, name: &str) -> Result<(), String> {
    let healed_at = Instant::now();
    let mut unserved = load::keys().collect::<Vec<_>>();
    for tries in 0.. {
        if unserved.is_empty() {
            break;
        }
        if healed_at.elapsed() > RECOVERY {
            return Err(format!("keys {unserved:?} aren't served again"));
        }
        deployment.try_heartbeats().await;
        let key = unserved[0];
        let id = format!("{name}-{key}-{tries}");
        let node = tries % deployment.nodes.len();
        if deployment.keyed(node, key, &id).await.status() == 200 {
            unserved.remove(0);
        } else {
            tokio::time::sleep(Duration::from_millis(60)).await;
        }
    }
    Ok(())
}

/// After all that the request under which targets end reaches few more of them, through whichever node it comes.
async fn refuses_what_ends_targets(deployment: &Deployment, seed: u64) -> Result<(), String> {
    let before = deployment.crashes();
    let mut last = before;
    for step in 0..TRIES {
        let id = format!("crashing-{seed}-{step}");
        let request = deployment.request(step % 4, CRASHING_PATH, &id);
        let _whatever = request.timeout(Duration::from_secs(3)).send().await;
        let pause = Instant::now() + TRY_PAUSE;
        while Instant::now() < pause {
            deployment.try_heartbeats().await;
            tokio::time::sleep(Duration::from_millis(60)).await;
        }
        if step + 4 == TRIES {
            last = deployment.crashes();
        }
    }
    let after = deployment.crashes();
    if after - before > MOST_ENDS || after > last {
        let more = after - before;
        return Err(format!(
            "{more} targets ended after the faults, {after} in all"
        ));
    }
    Ok(())
}

/// After all that, with no fault under way, an evacuated zone still gets nothing once the operator's bound is over, and quotas hold.
async fn evacuates_still(deployment: &Deployment, seed: u64) -> Result<(), String> {
    deployment.store.write("evacuations", "b", json!({}));
    let written_at = Instant::now();
    // The operator's bound leaves time for what needs a rest from faults, too.
    quotas::hold_at_rest(deployment, seed).await?;
    tokio::time::sleep(BOUND.saturating_sub(written_at.elapsed())).await;
    for step in 0..20 {
        deployment.try_heartbeats().await;
        let id = format!("evacuated-{seed}-{step}");
        let sent = deployment.request(step % 4, "/orders/1", &id).send().await;
        let served = sent.is_ok_and(|answer| answer.status() == 200);
        let in_zone = ZONE_B.map(|machine| deployment.nodes[machine].target.as_ref());
        let mut in_zone = in_zone.into_iter().flatten();
        if in_zone.any(|target| target.seen().iter().any(|seen| seen.id == id)) {
            return Err(format!("{id} ran in an evacuated zone"));
        }
        if !served {
            return Err(format!("{id} wasn't served by the other zone"));
        }
    }
    Ok(())
}

#[tokio::test]
async fn promises_hold_under_faults_from_outside() {
    let length = Duration::from_secs(number("SOAK_SECONDS").unwrap_or(SECONDS));
    let mut failures = Vec::new();
    for (index, seed) in plan().into_iter().enumerate() {
        let network = FIRST_NETWORK + u8::try_from(index % 100).unwrap_or(0);
        match play(seed, network, length).await {
            Ok(summary) => println!("seed {seed}: {summary}"),
            Err(problem) => {
                println!("seed {seed} FAILED: {problem}");
                failures.push(format!("seed {seed}: {problem}"));
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
