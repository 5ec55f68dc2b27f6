//! Heartbeats that another sender has written under the target's own id, with a sequence number or a birth that the
//! target never reaches: what they cost, and for how long.

use std::time::Duration;

use quickcheck::quickcheck;
use wingspar_ownership::Time;
use wingspar_platform::{Heartbeat, LifecycleState, life_name};
use wingspar_sidecar::target::{MAX_HEARTBEAT_DELAY, Target, TargetChange};

const START: Time = Time(100_000);
const SECOND: Duration = Duration::from_secs(1);
const ID: &str = "a";

fn heartbeat(state: LifecycleState, sequence: u64) -> Heartbeat {
    Heartbeat {
        born: None,
        address: "10.0.0.1:80".parse().expect("an address"),
        service: "s".to_owned(),
        slots: 18,
        state,
        sequence,
        warmup_left: 0.0,
        held_keys: None,
        released_keys: Vec::new(),
    }
}

fn ready(sequence: u64) -> Heartbeat {
    heartbeat(LifecycleState::Ready, sequence)
}

/// A target whose life has been replaced by `foreign`, or whose sequence number has.
fn disturbed(life: &str, foreign: &str, sequence: u64) -> Target {
    let mut target = Target::unknown("s", None);
    assert_eq!(
        target.heartbeat(START, life, &ready(4)),
        TargetChange::NewLife
    );
    target.heartbeat(START, foreign, &ready(sequence));
    assert!(target.is_latest(foreign, sequence));
    target
}

/// Heartbeats of the target's own from one second after the start on; the time after which one of them counts.
fn recovers_after(target: &mut Target, life: &str) -> Option<Duration> {
    (5..60).find_map(|sequence| {
        let after = SECOND * u32::try_from(sequence - 4).expect("a small number");
        target.heartbeat(START + after, life, &ready(sequence));
        target.is_latest(life, sequence).then_some(after)
    })
}

/// Guards against a target that says that it leaves, is acknowledged, and gets new work all the same, as a foreign
/// heartbeat with a larger sequence number arrived before.
#[test]
fn a_leave_counts_below_the_highest_sequence_number() {
    for life in [ID.to_owned(), life_name(ID, Some(5_000))] {
        let mut target = disturbed(&life, &life, u64::MAX);
        let leaving = heartbeat(LifecycleState::Draining, 5);
        assert_eq!(
            target.heartbeat(START + SECOND, &life, &leaving),
            TargetChange::Leaves
        );
        assert!(target.is_leaving() && !target.accepting(START + SECOND));
    }
}

/// Guards against a target whose heartbeats are ignored for good after a foreign one with the largest sequence number.
#[test]
fn a_wrong_sequence_number_is_forgotten_in_time() {
    for wrong in [1_000, u64::MAX] {
        let mut target = disturbed(ID, ID, wrong);
        assert_eq!(recovers_after(&mut target, ID), Some(MAX_HEARTBEAT_DELAY));
        assert!(target.accepting(START + MAX_HEARTBEAT_DELAY));
    }
}

/// Guards against the same after a foreign heartbeat with a birth that lies ahead of the target's own.
#[test]
fn a_wrong_birth_is_forgotten_in_time() {
    let life = life_name(ID, Some(5_000));
    for wrong in [5_001, u64::MAX] {
        let mut target = disturbed(&life, &life_name(ID, Some(wrong)), 1);
        assert_eq!(
            recovers_after(&mut target, &life),
            Some(MAX_HEARTBEAT_DELAY)
        );
        assert_eq!(target.life(), Some(&*life));
        assert!(target.accepting(START + MAX_HEARTBEAT_DELAY));
    }
}

#[test]
fn a_deregistered_life_does_not_come_back() {
    let life = life_name(ID, Some(5_000));
    let mut target = disturbed(&life, &life, 1_000);
    target.leave(START, ID);
    assert_eq!(recovers_after(&mut target, &life), None);
    assert!(!target.accepting(START + SECOND * 60));
}

quickcheck! {
    /// Two lives under one id, each with a heartbeat a second, which arrive late or not at all: the latest that has
    /// arrived counts, and a life that has said that it leaves gets no more work.
    fn late_heartbeats_change_nothing(delays: Vec<u16>, restart: u8, leave: u8) -> bool {
        let restart = u64::from(restart) % 30;
        let leave = u64::from(leave) % 30;
        let longest = u16::try_from(MAX_HEARTBEAT_DELAY.as_millis()).expect("a small number");
        let mut arrivals = Vec::new();
        for (step, delay) in (0_u64..).zip(&delays) {
            let born = if step < restart { 1_000 } else { 2_000 };
            let sequence = if step < restart { step + 1 } else { step - restart + 1 };
            let sent_at = START + SECOND * u32::try_from(step).expect("a small number");
            // One in four is lost.
            if delay % 4 > 0 {
                let arrives_at = sent_at + Duration::from_millis(u64::from(delay % longest));
                let state = if sequence > leave { LifecycleState::Draining } else { LifecycleState::Ready };
                arrivals.push((arrives_at, born, sequence, state));
            }
        }
        arrivals.sort_by_key(|(arrives_at, ..)| *arrives_at);
        let mut target = Target::unknown("s", None);
        let mut latest = (0, 0);
        let mut left = Vec::new();
        arrivals.into_iter().all(|(now, born, sequence, state)| {
            target.heartbeat(now, &life_name(ID, Some(born)), &heartbeat(state, sequence));
            latest = latest.max((born, sequence));
            if state == LifecycleState::Draining {
                left.push(born);
            }
            let (born, sequence) = latest;
            target.is_latest(&life_name(ID, Some(born)), sequence)
                && target.is_leaving() == left.contains(&born)
        })
    }
}
