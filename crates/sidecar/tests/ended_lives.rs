//! Targets that were taken for ended although they run.

use std::time::Duration;

use wingspar_ownership::Time;
use wingspar_platform::{Heartbeat, LifecycleState, life_name};
use wingspar_sidecar::target::{Target, TargetChange};

const START: Time = Time(10_000);
const INTERVAL: Duration = Duration::from_secs(1);

fn heartbeat(sequence: u64) -> Heartbeat {
    Heartbeat {
        born: None,
        address: "10.0.0.1:80".parse().expect("an address"),
        service: "s".to_owned(),
        slots: 18,
        state: LifecycleState::Ready,
        sequence,
        warmup_left: 0.0,
        held_keys: None,
        released_keys: Vec::new(),
    }
}

fn known(id: &str) -> Target {
    let mut target = Target::unknown("s", None);
    let change = target.heartbeat(START, id, &heartbeat(1));
    assert_eq!(change, TargetChange::NewLife);
    target
}

/// Whether heartbeats of a target lead to its acceptance, or to a health check that can show it at the address.
fn is_noticed(target: &mut Target, id: &str) -> bool {
    (2..40).any(|sequence| {
        let now = START + INTERVAL * u32::try_from(sequence).expect("a small number");
        target.heartbeat(now, id, &heartbeat(sequence)) != TargetChange::None
    })
}

/// Guards against a target that is never accepted: its first heartbeat came while the one before still answered at the
/// address, for instance on its way out.
#[test]
fn a_target_that_starts_before_the_leaving_one_has_ended_is_accepted_later() {
    let mut target = known("a");
    target.leave(START, "a");
    let first = target.heartbeat(START, "b", &heartbeat(1));
    assert_eq!(first, TargetChange::Unconfirmed);
    target.health_checked_for("b", "a");
    target.failed(START + INTERVAL);
    assert!(is_noticed(&mut target, "b"));
}

/// Guards against a heartbeat without a birth, of another writer or a faulty target, that ends the life which it names:
/// the running target's keys are given away, and its own heartbeats are ignored.
#[test]
fn a_heartbeat_without_a_birth_does_not_end_the_known_life() {
    let (now, life) = (START + INTERVAL, &*life_name("a", Some(5_000)));
    let mut target = known(life);
    let change = target.heartbeat(now, "a", &heartbeat(2));
    target.heartbeat(now + INTERVAL, life, &heartbeat(3));
    assert!(target.is_latest(life, 3), "the running target is ignored");
    assert_ne!(change, TargetChange::NewLife);
}
