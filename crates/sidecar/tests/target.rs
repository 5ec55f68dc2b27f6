//! How heartbeats, including delayed ones, change the state of the target.

use std::time::Duration;

use wingspar_ownership::Time;
use wingspar_platform::{Heartbeat, LifecycleState};
use wingspar_sidecar::settings::Bounds;
use wingspar_sidecar::target::{Health, Target, TargetChange, WarmupState};

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

const START: Time = Time(10_000);
const DRAIN_GRACE: Duration = Duration::from_millis(700);

/// Applies the first heartbeat of another target, which a health check has shown at the address.
fn confirmed_heartbeat(target: &mut Target, now: Time, id: &str, first: &Heartbeat) {
    assert_eq!(target.heartbeat(now, id, first), TargetChange::Unconfirmed);
    target.health_checked_for(id, id);
    assert_eq!(target.heartbeat(now, id, first), TargetChange::NewLife);
}

fn ready() -> Target {
    let mut target = Target::unknown("s", None);
    assert_eq!(
        target.heartbeat(START, "a", &heartbeat(LifecycleState::Ready, 1)),
        TargetChange::NewLife
    );
    target
}

#[test]
fn a_heartbeat_is_stale_after_a_later_one_or_a_new_life() {
    let mut target = ready();
    assert!(target.is_latest("a", 1) && !target.is_stale(START, "a", 2));
    assert!(target.is_stale(START, "a", 1), "a copy is ignored");
    let first = heartbeat(LifecycleState::Ready, 1);
    confirmed_heartbeat(&mut target, START, "b", &first);
    assert!(!target.is_latest("a", 1) && target.is_latest("b", 1));
    assert!(target.is_stale(START, "a", 9), "its life has ended");
}

#[test]
fn a_target_is_silent_without_heartbeats() {
    let mut target = ready();
    let span = Duration::from_millis(2_200);
    assert!(!target.is_silent(START + Duration::from_millis(2_199), span));
    let later = START + span;
    assert!(target.is_silent(later, span));
    // A delayed copy of an earlier heartbeat is ignored.
    target.heartbeat(later, "a", &heartbeat(LifecycleState::Ready, 1));
    assert!(target.is_silent(later, span));
    target.heartbeat(later, "a", &heartbeat(LifecycleState::Ready, 2));
    assert!(!target.is_silent(later, span));
}

#[test]
fn a_leaving_target_gets_no_new_requests_despite_a_late_heartbeat() {
    let mut target = ready();
    assert!(target.accepting(START) && target.may_start(START, DRAIN_GRACE));
    assert_eq!(
        target.heartbeat(START, "a", &heartbeat(LifecycleState::Draining, 5)),
        TargetChange::Leaves
    );
    assert_eq!(
        target.heartbeat(START, "a", &heartbeat(LifecycleState::Ready, 4)),
        TargetChange::None
    );
    assert!(!target.accepting(START));
    assert!(
        target.may_start(START, DRAIN_GRACE),
        "routers may not know of the leave yet"
    );
    assert!(!target.may_start(START + Duration::from_millis(1_000), DRAIN_GRACE));
}

fn bounds(drain_s: f64) -> Bounds {
    let text = format!(
        "drain_s = {drain_s:?}\ngrace_s = 6\nbudget_ratio = 0.2\nbudget_window_s = 10\nbudget_extra = 60\nmax_hold_s = 10"
    );
    toml::from_str(&text).expect("bounds")
}

/// Guards against requests that still start at a leaving target after its deployment's drain time.
#[test]
fn requests_start_only_within_the_drain_time_of_a_leave() {
    for drain_s in [0.2, 0.5, 1.0, 2.0, 60.0] {
        let drain_grace = bounds(drain_s).drain_grace();
        let mut target = ready();
        assert_eq!(target.announces_leaving(START), TargetChange::Leaves);
        assert!(target.may_start(START, drain_grace));
        let half = START + Duration::from_secs_f64(drain_s / 2.0);
        assert!(
            !target.may_start(half, drain_grace),
            "{drain_grace:?} of {drain_s} s"
        );
    }
}

#[test]
fn leaving_without_draining_is_final() {
    let mut target = ready();
    assert_eq!(target.leave(START, "a"), TargetChange::Leaves);
    assert_eq!(
        target.heartbeat(START, "a", &heartbeat(LifecycleState::Ready, 9)),
        TargetChange::None
    );
    assert!(!target.accepting(START));
    assert!(!target.may_start(START + Duration::from_millis(1_000), DRAIN_GRACE));
}

#[test]
fn an_earlier_life_does_not_come_back() {
    let mut target = ready();
    let first = heartbeat(LifecycleState::Ready, 1);
    confirmed_heartbeat(&mut target, START, "b", &first);
    assert_eq!(
        target.heartbeat(START, "a", &heartbeat(LifecycleState::Ready, 7)),
        TargetChange::None
    );
    assert_eq!(target.leave(START, "a"), TargetChange::None);
    assert_eq!(target.id(), Some("b"));
    assert!(target.accepting(START));
}

#[test]
fn a_new_process_probes_before_it_trusts_a_heartbeat() {
    let until = START + Duration::from_millis(1_200);
    let mut target = Target::unknown("s", Some(until));
    target.heartbeat(START, "a", &heartbeat(LifecycleState::Ready, 3));
    assert!(!target.accepting(START));
    assert!(
        target.accepting(until),
        "a target that doesn't respond is trusted eventually"
    );
    let health = Health {
        takes_work: false,
        slots: None,
        warmup_left: Duration::ZERO,
    };
    target.probed(START, "a", health);
    assert!(
        !target.accepting(until),
        "an earlier process may have acknowledged that it leaves"
    );
}

#[test]
fn an_unreachable_target_is_back_with_its_next_heartbeat() {
    let mut target = ready();
    target.failed(START);
    assert!(!target.accepting(START));
    assert_eq!(
        target.heartbeat(START, "a", &heartbeat(LifecycleState::Ready, 2)),
        TargetChange::Changed
    );
    assert!(target.accepting(START));
}

#[test]
fn another_target_at_the_address_gets_nothing_before_its_heartbeat() {
    let mut target = ready();
    assert!(target.found_at_address("other"));
    assert!(!target.accepting(START) && !target.may_start(START, DRAIN_GRACE));
    let late = target.heartbeat(START, "a", &heartbeat(LifecycleState::Ready, 9));
    assert_eq!(
        (late, target.id()),
        (TargetChange::Unconfirmed, None),
        "the previous target has ended"
    );
    let mut of_another_service = heartbeat(LifecycleState::Ready, 1);
    of_another_service.service = "t".to_owned();
    assert_eq!(
        target.heartbeat(START, "other", &of_another_service),
        TargetChange::NewLife
    );
    assert_eq!(target.service(), "t");
}

fn warming_for(sequence: u64, warmup_left: f64) -> Heartbeat {
    Heartbeat {
        warmup_left,
        ..heartbeat(LifecycleState::Ready, sequence)
    }
}

#[test]
fn a_target_warms_up_for_the_time_it_reports() {
    let mut target = ready();
    assert_eq!(target.warmup_state(START), WarmupState::Warm);
    confirmed_heartbeat(&mut target, START, "b", &warming_for(1, 3.0));
    let until = START + Duration::from_secs(3);
    assert_eq!(target.warmup_state(START), WarmupState::WarmingUntil(until));
    assert_eq!(target.warmup_state(until), WarmupState::Warm);
}

#[test]
fn a_possibly_cold_target_is_suspected_until_it_reports() {
    let mut target = ready();
    let trusted_from = START + Duration::from_secs(1);
    target.suspect_warmup(trusted_from);
    // This heartbeat may have been sent before the target became cold.
    target.heartbeat(START, "a", &warming_for(2, 0.0));
    assert_eq!(target.warmup_state(START), WarmupState::Suspected);
    target.heartbeat(trusted_from, "a", &warming_for(3, 0.0));
    assert_eq!(target.warmup_state(trusted_from), WarmupState::Warm);
}

#[test]
fn a_health_check_reports_the_remaining_warmup() {
    let mut target = ready();
    target.suspect_warmup(START + Duration::from_secs(1));
    let health = Health {
        takes_work: true,
        slots: Some(18),
        warmup_left: Duration::from_millis(1_500),
    };
    target.probed(START, "a", health);
    let until = START + Duration::from_millis(1_500);
    assert_eq!(target.warmup_state(START), WarmupState::WarmingUntil(until));
    assert_eq!(target.slots(), 18);
}

#[test]
fn an_unreachable_target_may_be_cold_when_it_is_back() {
    let mut target = ready();
    target.failed(START);
    assert_eq!(target.warmup_state(START), WarmupState::Suspected);
    target.heartbeat(START, "a", &warming_for(2, 0.0));
    assert_eq!(target.warmup_state(START), WarmupState::Warm);
}

/// The name of a life of target `a`.
fn life(born: u64) -> String {
    wingspar_platform::life_name("a", Some(born))
}

#[test]
fn a_restart_under_the_same_id_is_a_new_life() {
    let mut target = Target::unknown("s", None);
    let beat = |sequence| heartbeat(LifecycleState::Ready, sequence);
    assert_eq!(
        target.heartbeat(START, &life(5), &beat(40)),
        TargetChange::NewLife
    );
    assert_eq!(
        target.heartbeat(START, &life(9), &beat(1)),
        TargetChange::NewLife
    );
    assert_eq!(target.id(), Some("a"));
    assert!(target.is_latest(&life(9), 1));
    assert!(target.is_stale(START, &life(5), 41), "its life has ended");
    assert_eq!(
        target.heartbeat(START, &life(5), &beat(41)),
        TargetChange::None
    );
    assert_eq!(target.past_life(), Some(&*life(5)));
}

#[test]
fn a_heartbeat_of_an_unseen_earlier_life_is_stale() {
    let mut target = Target::unknown("s", None);
    let beat = heartbeat(LifecycleState::Ready, 1);
    target.heartbeat(START, &life(9), &beat);
    assert!(target.is_stale(START, &life(7), 80));
    assert_eq!(target.heartbeat(START, &life(7), &beat), TargetChange::None);
}

#[test]
fn a_target_that_leaves_and_restarts_takes_work() {
    let mut target = Target::unknown("s", None);
    let beat = heartbeat(LifecycleState::Ready, 1);
    target.heartbeat(START, &life(5), &beat);
    assert_eq!(target.leave(START, "a"), TargetChange::Leaves);
    assert_eq!(
        target.heartbeat(START, &life(6), &beat),
        TargetChange::NewLife
    );
    assert!(target.accepting(START));
}

#[test]
fn a_probed_life_keeps_its_name_after_its_first_heartbeat() {
    let mut target = Target::unknown("s", None);
    let health = Health {
        takes_work: true,
        slots: Some(18),
        warmup_left: Duration::ZERO,
    };
    target.probed(START, "a", health);
    let beat = heartbeat(LifecycleState::Ready, 3);
    assert_ne!(
        target.heartbeat(START, &life(5), &beat),
        TargetChange::NewLife
    );
    assert_eq!(target.life(), Some("a"));
    assert!(target.is_stale(START, &life(5), 3));
    assert_eq!(
        target.heartbeat(START, &life(8), &heartbeat(LifecycleState::Ready, 1)),
        TargetChange::NewLife
    );
}

/// Guards against a leaving target that is revived by a delayed heartbeat, and against a new life that inherits the
/// leave.
#[test]
fn an_announced_leave_applies_to_the_current_life_only() {
    let mut target = ready();
    assert_eq!(target.announces_leaving(START), TargetChange::Leaves);
    assert_eq!(target.announces_leaving(START), TargetChange::None);
    assert!(!target.accepting(START) && target.may_start(START, DRAIN_GRACE));
    let later = START + Duration::from_secs(2);
    target.heartbeat(later, "a", &heartbeat(LifecycleState::Ready, 2));
    assert!(!target.accepting(later) && !target.may_start(later, DRAIN_GRACE));
    let first = heartbeat(LifecycleState::Ready, 1);
    confirmed_heartbeat(&mut target, later, "b", &first);
    assert!(target.accepting(later) && !target.is_leaving());
}

/// Guards against a late heartbeat of an earlier life, unknown to this process, that displaces the current one.
#[test]
fn a_heartbeat_of_a_life_that_does_not_answer_at_the_address_changes_nothing() {
    let mut target = ready();
    let late = heartbeat(LifecycleState::Draining, 30);
    assert_eq!(
        target.heartbeat(START, "earlier", &late),
        TargetChange::Unconfirmed
    );
    assert!(target.id() == Some("a") && target.accepting(START));
    target.health_checked_for("earlier", "a");
    assert!(target.is_stale(START, "earlier", 31));
    assert_eq!(
        target.heartbeat(START, "earlier", &late),
        TargetChange::None
    );
    assert!(target.id() == Some("a") && target.accepting(START));
    target.heartbeat(START, "a", &heartbeat(LifecycleState::Ready, 2));
    assert!(target.is_latest("a", 2));
}

/// Guards against a late heartbeat that names a life while neither it nor the known one is at the address.
#[test]
fn a_third_target_that_answers_ends_the_known_life_and_the_one_of_the_heartbeat() {
    let mut target = ready();
    let first = heartbeat(LifecycleState::Ready, 1);
    target.heartbeat(START, "b", &first);
    target.health_checked_for("b", "c");
    assert_eq!(target.id(), None);
    for ended in ["a", "b"] {
        let late = target.heartbeat(START, ended, &first);
        assert_eq!((late, target.id()), (TargetChange::Unconfirmed, None));
    }
    assert_eq!(target.heartbeat(START, "c", &first), TargetChange::NewLife);
}

/// Guards against a running target whose heartbeats are ignored for good, because it was taken for ended.
#[test]
fn a_life_that_answers_at_the_address_has_not_ended() {
    let beat = heartbeat(LifecycleState::Ready, 2);
    let mut target = ready();
    assert!(target.found_at_address("b"));
    let late = target.heartbeat(START, "a", &beat);
    assert_eq!((late, target.id()), (TargetChange::Unconfirmed, None));
    assert!(!target.found_at_address("a"), "none was known");
    assert_eq!(target.heartbeat(START, "a", &beat), TargetChange::NewLife);
    confirmed_heartbeat(&mut target, START, "b", &beat);
    let health = Health {
        takes_work: true,
        slots: Some(18),
        warmup_left: Duration::ZERO,
    };
    assert_eq!(target.probed(START, "a", health), TargetChange::NewLife);
    assert_eq!(target.id(), Some("a"));
}

/// Guards against work for a target that has deregistered and still answers health checks.
#[test]
fn a_deregistered_target_that_answers_gets_nothing() {
    let mut target = Target::unknown("s", None);
    assert_eq!(target.leave(START, "a"), TargetChange::None);
    let health = Health {
        takes_work: true,
        slots: Some(18),
        warmup_left: Duration::ZERO,
    };
    assert_eq!(target.probed(START, "a", health), TargetChange::None);
    let beat = heartbeat(LifecycleState::Ready, 2);
    assert_eq!(target.heartbeat(START, "a", &beat), TargetChange::None);
    assert!(!target.accepting(START));
}
