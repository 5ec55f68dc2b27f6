//! Decisions about requests: forwarding, waiting, retrying, giving up.

mod support;

use std::time::Duration;

use support::*;
use wingspar_routing::{
    AgentRefusal, Attempt, AttemptResult, ConnectFailure, Counter, Decision, GiveUp, Input, Next,
    Outcome, Output, ProofSource, Reason, Resolved, Router, RouterSettings, RoutingEvent,
};
use wingspar_wire::{Availability, SliceStatus, StateVersion, TableUpdate};
use wingspar_world::SliceRange;

fn begin(router: &mut Router, millis: u64, resolved: Resolved) -> Attempt {
    router.begin(at(millis), resolved).expect("admitted")
}

fn refused(reason: &str, retry_after_ms: Option<u64>) -> AttemptResult {
    AttemptResult::Refused {
        refusal: AgentRefusal::ByAgent,
        reason: Reason::relayed(reason),
        retry_after: retry_after_ms.map(Duration::from_millis),
    }
}

fn ended(next: Next) -> GiveUp {
    match next {
        Next::GiveUp(give_up) => give_up,
        other => panic!("goes on: {other:?}"),
    }
}

fn proof(give_up: &GiveUp) -> ProofSource {
    match give_up.outcome {
        Outcome::NotRun(proof) => proof.source(),
        other => panic!("not proved: {other:?}"),
    }
}

#[test]
fn a_keyed_request_goes_to_its_owner_and_ends() {
    let mut router = router();
    let resolved = keyed(&mut router, "POST");
    let mut attempt = begin(&mut router, 0, resolved);
    let forward = forwarded(router.route(at(0), &mut attempt));
    assert_eq!(forward.target, target_name("s1"));
    assert_eq!(forward.fence, Some(fence(1)));
    assert_eq!(forward.remaining, Duration::from_secs(10));
    let next = router.after(at(5), &mut attempt, AttemptResult::Answered { status: 200 });
    assert_eq!(next, Next::Answer);
    assert_eq!(router.in_flight(), 1, "until the answer has been passed on");
    router.finish(at(9), attempt);
    assert_eq!(router.in_flight(), 0);
    assert_eq!(router.counters().get(Counter::Ran), 1);
}

#[test]
fn without_a_table_it_gives_up_at_once_and_pulls_all() {
    let mut router = Router::new(RouterSettings::default(), 1);
    let config = Input::Configuration(std::sync::Arc::new(configuration()));
    step(&mut router, 0, config);
    let resolved = keyed(&mut router, "GET");
    let mut attempt = begin(&mut router, 0, resolved);
    let give_up = given_up(router.route(at(0), &mut attempt));
    assert_eq!(give_up.reason, Reason::NOT_READY);
    assert_eq!(proof(&give_up), ProofSource::RefusedByRouter);
    assert!(router.has_pending_outputs());
    let have = StateVersion::default();
    assert_eq!(step(&mut router, 0, Input::Tick), [Output::Pull { have }]);
    // Unanswered, the pull is repeated.
    assert_eq!(router.next_wake(), at(2_000));
    assert_eq!(step(&mut router, 1_999, Input::Tick), []);
    assert_eq!(
        step(&mut router, 2_000, Input::Tick),
        [Output::Pull { have }]
    );
}

#[test]
fn an_unserved_key_is_given_up_at_once_with_the_time_it_is_expected_back() {
    let mut router = router();
    let status = SliceStatus::Unserved {
        retry_after_ms: 1_600,
    };
    let update = delta(10, 11, vec![slice(SliceRange::FULL, 1, status)]);
    step(&mut router, 100, Input::Table(update));
    let resolved = keyed(&mut router, "GET");
    let mut attempt = begin(&mut router, 700, resolved);
    let give_up = given_up(router.route(at(700), &mut attempt));
    assert_eq!(give_up.reason, Reason::UNSERVED);
    let retry_after = give_up.retry_after.as_millis();
    assert!((1_000..=1_200).contains(&retry_after), "{retry_after}");
}

#[test]
fn a_request_waits_for_a_hand_over_and_goes_to_the_new_owner() {
    let mut router = router();
    let status = SliceStatus::HandingOver {
        from: target_name("s1"),
        to: target_name("s2"),
    };
    let moving = delta(10, 11, vec![slice(SliceRange::FULL, 1, status)]);
    step(&mut router, 0, Input::Table(moving));
    let resolved = keyed(&mut router, "POST");
    let mut attempt = begin(&mut router, 100, resolved);
    let decision = router.route(at(100), &mut attempt);
    assert_eq!(decision, Decision::Wait { until: at(1_600) });
    assert_eq!(router.waiting(), 1);
    let moved = delta(11, 12, vec![slice(SliceRange::FULL, 2, served("s2"))]);
    step(&mut router, 400, Input::Table(moved));
    let forward = forwarded(router.route(at(400), &mut attempt));
    assert_eq!(forward.target, target_name("s2"));
    assert_eq!(router.waiting(), 0);
}

#[test]
fn a_wait_is_bounded_by_its_own_limit_the_deadline_and_the_room() {
    let settings = RouterSettings {
        max_waiting: 1,
        ..RouterSettings::default()
    };
    let mut router = router_with(settings);
    let status = SliceStatus::HandingOver {
        from: target_name("s1"),
        to: target_name("s2"),
    };
    let moving = delta(10, 11, vec![slice(SliceRange::FULL, 1, status)]);
    step(&mut router, 0, Input::Table(moving));
    let resolved = keyed(&mut router, "POST");
    let mut first = begin(&mut router, 0, resolved.clone());
    assert_eq!(
        router.route(at(0), &mut first),
        Decision::Wait { until: at(1_500) }
    );
    let mut second = begin(&mut router, 0, resolved.clone());
    let give_up = given_up(router.route(at(0), &mut second));
    assert_eq!(give_up.reason, Reason::WAITING_ROOM_FULL);
    let give_up = given_up(router.route(at(1_500), &mut first));
    assert_eq!(give_up.reason, Reason::HANDING_OVER);
    assert_eq!(router.waiting(), 0);
    let hurried = Resolved {
        deadline: Duration::from_millis(300),
        ..resolved
    };
    let mut third = begin(&mut router, 2_000, hurried);
    assert_eq!(
        router.route(at(2_000), &mut third),
        Decision::Wait { until: at(2_300) }
    );
    let give_up = given_up(router.route(at(2_300), &mut third));
    assert_eq!(give_up.reason, Reason::DEADLINE);
    assert_eq!(proof(&give_up), ProofSource::RefusedByRouter);
    assert_eq!(give_up.status(), 503);
}

#[test]
fn a_stale_route_costs_a_wait_for_news_and_no_budget() {
    let mut router = router();
    let resolved = keyed(&mut router, "POST");
    let mut attempt = begin(&mut router, 0, resolved);
    forwarded(router.route(at(0), &mut attempt));
    let next = router.after(at(2), &mut attempt, refused("not_owner", None));
    assert_eq!(next, Next::Retry { at: at(2) });
    assert_eq!(
        router.route(at(2), &mut attempt),
        Decision::Wait { until: at(1_502) }
    );
    let have = version(10);
    assert_eq!(step(&mut router, 2, Input::Tick), [Output::Pull { have }]);
    let moved = delta(10, 12, vec![slice(SliceRange::FULL, 2, served("s2"))]);
    step(&mut router, 30, Input::Table(moved));
    assert_eq!(
        forwarded(router.route(at(30), &mut attempt)).fence,
        Some(fence(2))
    );
    // The same owner under a new fence is a new grant.
    let next = router.after(at(31), &mut attempt, refused("stale_fence", None));
    assert_eq!(next, Next::Retry { at: at(31) });
    let again = delta(12, 13, vec![slice(SliceRange::FULL, 3, served("s2"))]);
    step(&mut router, 40, Input::Table(again));
    assert_eq!(
        forwarded(router.route(at(40), &mut attempt)).fence,
        Some(fence(3))
    );
}

#[test]
fn denied_by_its_owner_to_the_end_of_the_wait_the_whole_table_is_pulled() {
    let mut router = router();
    let resolved = keyed(&mut router, "POST");
    let mut attempt = begin(&mut router, 0, resolved);
    forwarded(router.route(at(0), &mut attempt));
    router.after(at(0), &mut attempt, refused("not_owner", None));
    router.route(at(0), &mut attempt);
    step(&mut router, 0, Input::Tick);
    let stale = delta(9, 10, Vec::new());
    step(&mut router, 5, Input::Table(stale));
    let give_up = given_up(router.route(at(2_000), &mut attempt));
    assert_eq!(give_up.reason, Reason::NOT_OWNER);
    assert!(matches!(give_up.outcome, Outcome::NotRun(_)));
    let have = StateVersion::default();
    assert_eq!(
        step(&mut router, 2_000, Input::Tick),
        [Output::Pull { have }]
    );
}

#[test]
fn what_may_have_run_is_never_sent_again_unless_repeatable() {
    for result in [
        AttemptResult::Lost,
        AttemptResult::BadAnswer,
        AttemptResult::Unknown {
            reason: Reason::relayed("connection_lost"),
        },
    ] {
        let mut router = router();
        let resolved = keyed(&mut router, "POST");
        let mut attempt = begin(&mut router, 0, resolved);
        forwarded(router.route(at(0), &mut attempt));
        let give_up = ended(router.after(at(1), &mut attempt, result.clone()));
        assert_eq!(give_up.outcome, Outcome::Unknown);
        assert_eq!(give_up.status(), 502);

        let resolved = keyed(&mut router, "GET");
        let mut attempt = begin(&mut router, 0, resolved);
        forwarded(router.route(at(0), &mut attempt));
        let next = router.after(at(1), &mut attempt, result);
        assert!(matches!(next, Next::Retry { .. }), "{next:?}");
        // Refused now, it still may have run the first time.
        forwarded(router.route(at(50), &mut attempt));
        let give_up = ended(router.after(at(51), &mut attempt, refused("overloaded", None)));
        assert_eq!(give_up.outcome, Outcome::Unknown);
    }
}

#[test]
fn another_attempt_under_way_is_a_conflict() {
    let mut router = router();
    let resolved = keyed(&mut router, "POST");
    let mut attempt = begin(&mut router, 0, resolved);
    forwarded(router.route(at(0), &mut attempt));
    let reason = Reason::relayed("in_progress");
    let give_up = ended(router.after(at(1), &mut attempt, AttemptResult::Unknown { reason }));
    assert_eq!((give_up.outcome, give_up.status()), (Outcome::Unknown, 409));
}

#[test]
fn a_spent_body_is_never_sent_again() {
    let mut router = router();
    let resolved = unkeyed(&mut router, "POST");
    let mut attempt = begin(&mut router, 0, resolved);
    forwarded(router.route(at(0), &mut attempt));
    attempt.mark_body_spent();
    let give_up = ended(router.after(at(1), &mut attempt, refused("overloaded", Some(70))));
    assert_eq!(proof(&give_up), ProofSource::RefusedByAgent);
    let retry_after = give_up.retry_after.as_millis();
    assert!((70..=84).contains(&retry_after), "{retry_after}");
}

#[test]
fn deadlines_end_as_unknown_under_way_and_as_not_run_before() {
    let mut router = router();
    let resolved = keyed(&mut router, "GET");
    let mut attempt = begin(&mut router, 0, resolved.clone());
    forwarded(router.route(at(0), &mut attempt));
    let next = router.after(at(10_000), &mut attempt, AttemptResult::DeadlinePassed);
    let give_up = ended(next);
    assert_eq!((give_up.outcome, give_up.status()), (Outcome::Unknown, 504));
    let mut attempt = begin(&mut router, 0, resolved);
    let next = router.after(at(10_000), &mut attempt, AttemptResult::DeadlinePassed);
    let give_up = ended(next);
    assert_eq!(proof(&give_up), ProofSource::RefusedByRouter);
    assert_eq!(give_up.status(), 503);
}

#[test]
fn an_unreachable_owner_is_tried_twice_then_proved_not_run() {
    let mut router = router();
    let resolved = keyed(&mut router, "POST");
    let mut attempt = begin(&mut router, 0, resolved);
    forwarded(router.route(at(0), &mut attempt));
    let failure = AttemptResult::NotConnected(ConnectFailure);
    let next = router.after(at(1), &mut attempt, failure.clone());
    assert!(
        matches!(next, Next::Retry { at: when } if when <= at(11)),
        "{next:?}"
    );
    forwarded(router.route(at(11), &mut attempt));
    let give_up = ended(router.after(at(12), &mut attempt, failure));
    assert_eq!(proof(&give_up), ProofSource::NeverSent);
    assert!(give_up.retry_after >= Duration::from_secs(2));
}

#[test]
fn unkeyed_retries_go_elsewhere_and_end_when_all_shed() {
    let mut router = router();
    let resolved = unkeyed(&mut router, "POST");
    let mut attempt = begin(&mut router, 0, resolved.clone());
    let mut seen = Vec::new();
    for _ in 0..3 {
        seen.push(forwarded(router.route(at(0), &mut attempt)).target);
        let next = router.after(at(0), &mut attempt, refused("overloaded", Some(300)));
        assert!(matches!(next, Next::Retry { .. }));
    }
    seen.push(forwarded(router.route(at(0), &mut attempt)).target);
    seen.sort();
    seen.dedup();
    assert_eq!(seen.len(), 4, "never the same one twice");
    ended(router.after(at(0), &mut attempt, refused("overloaded", Some(200))));
    // Each target is tried by one request at a time from now on; others are given up at once.
    let mut probes = Vec::new();
    for _ in 0..4 {
        let mut probe = begin(&mut router, 0, resolved.clone());
        forwarded(router.route(at(0), &mut probe));
        probes.push(probe);
    }
    let mut next = begin(&mut router, 0, resolved);
    let give_up = given_up(router.route(at(0), &mut next));
    assert_eq!(give_up.reason, Reason::OVERLOADED);
    let retry_after = give_up.retry_after.as_millis();
    assert!(
        (200..=240).contains(&retry_after),
        "the first to be back: {retry_after}"
    );
    router.after(
        at(5),
        &mut probes[0],
        AttemptResult::Answered { status: 200 },
    );
    router.finish(at(5), probes.swap_remove(0));
    forwarded(router.route(at(5), &mut next));
}

#[test]
fn windows_follow_what_targets_take() {
    let mut router = router();
    let resolved = unkeyed(&mut router, "POST");
    // Every target takes ten from this router.
    let mut held: Vec<(Attempt, String)> = Vec::new();
    let mut refusals = 0;
    for round in 0..2_000u64 {
        let now = at(round * 20);
        let Ok(mut attempt) = router.begin(now, resolved.clone()) else {
            panic!("below the class limits")
        };
        if let Decision::Forward(forward) = router.route(now, &mut attempt) {
            let target = forward.target.to_string();
            let taken = held.iter().filter(|(_, one)| *one == target).count();
            if taken < 10 {
                held.push((attempt, target));
                continue;
            }
            refusals += 1;
            router.after(now, &mut attempt, refused("overloaded", Some(20)));
        }
        router.finish(now, attempt);
        if round % 4 == 0 {
            let (mut done, _) = held.remove(0);
            router.after(now, &mut done, AttemptResult::Answered { status: 200 });
            router.finish(now, done);
        }
    }
    assert!(held.len() >= 24, "{} of 40 slots used", held.len());
    assert!((4..=400).contains(&refusals), "{refusals} refusals");
}

#[test]
fn retries_stay_a_share_of_first_attempts() {
    let mut router = router();
    let mut retries = 0;
    const REQUESTS: u64 = 2_000;
    for number in 0..REQUESTS {
        let now = number * 10;
        let resolved = keyed(&mut router, "GET");
        let mut attempt = begin(&mut router, now, resolved);
        forwarded(router.route(at(now), &mut attempt));
        while let Next::Retry { at: when } =
            router.after(at(now), &mut attempt, AttemptResult::Lost)
        {
            retries += 1;
            forwarded(router.route(when, &mut attempt));
        }
        router.finish(at(now + 1), attempt);
    }
    let budget = REQUESTS / 10 + 20;
    assert!(retries <= budget, "{retries} retries");
    assert!(retries >= REQUESTS / 10, "{retries} retries");
    assert!(router.counters().get(Counter::RetryBudgetEmpty) > 0);
}

#[test]
fn draining_down_and_removed_targets_get_no_unkeyed_work() {
    let mut router = router();
    let states = [
        ("t1", 11, Availability::Draining),
        ("t2", 12, Availability::Down),
        ("t3", 13, Availability::Removed),
    ];
    let mut targets = Vec::new();
    for (name, port, availability) in states {
        let mut entry = target_entry(name, "tal", port);
        entry.availability = availability;
        targets.push(entry);
    }
    let update = TableUpdate {
        targets,
        ..delta(10, 11, Vec::new())
    };
    step(&mut router, 0, Input::Table(update));
    let resolved = unkeyed(&mut router, "GET");
    for _ in 0..50 {
        let mut attempt = begin(&mut router, 0, resolved.clone());
        let forward = forwarded(router.route(at(0), &mut attempt));
        assert_eq!(forward.target, target_name("t4"));
        router.finish(at(0), attempt);
    }
    let mut entry = target_entry("t4", "tal", 14);
    entry.availability = Availability::Down;
    let update = TableUpdate {
        targets: vec![entry],
        ..delta(11, 12, Vec::new())
    };
    step(&mut router, 0, Input::Table(update));
    let mut attempt = begin(&mut router, 0, resolved);
    assert_eq!(
        given_up(router.route(at(0), &mut attempt)).reason,
        Reason::NO_TARGET
    );
}

#[test]
fn a_failing_target_is_ejected_within_the_bounded_share_and_comes_back() {
    let mut router = router();
    let resolved = unkeyed(&mut router, "POST");
    let serve = |router: &mut Router, millis: u64, bad: &[&str]| {
        let mut attempt = begin(router, millis, resolved.clone());
        let target = forwarded(router.route(at(millis), &mut attempt)).target;
        let status = if bad.contains(&target.as_str()) {
            500
        } else {
            200
        };
        router.after(
            at(millis + 1),
            &mut attempt,
            AttemptResult::Answered { status },
        );
        router.finish(at(millis + 1), attempt);
        target.to_string()
    };
    for _ in 0..200 {
        serve(&mut router, 0, &["t1", "t2", "t3"]);
    }
    let ejected = router.counters().get(Counter::Ejections);
    assert_eq!(ejected, 2, "half of four at most");
    let outputs = step(&mut router, 10, Input::Tick);
    let event =
        |output: &Output| matches!(output, Output::Event(RoutingEvent::TargetEjected { .. }));
    assert_eq!(outputs.iter().filter(|output| event(output)).count(), 2);
    let mut seen: Vec<String> = (0..200).map(|_| serve(&mut router, 1_500, &[])).collect();
    seen.sort();
    seen.dedup();
    assert_eq!(seen.len(), 4, "all are back after a second");
}

#[test]
fn load_spreads_by_what_the_router_sees() {
    let mut router = router();
    let resolved = unkeyed(&mut router, "GET");
    let mut counts = std::collections::BTreeMap::new();
    let mut held = Vec::new();
    for _ in 0..80 {
        let mut attempt = begin(&mut router, 0, resolved.clone());
        let target = forwarded(router.route(at(0), &mut attempt)).target;
        *counts.entry(target).or_insert(0) += 1;
        held.push(attempt);
    }
    assert_eq!(counts.len(), 4);
    assert!(
        counts.values().all(|&count| (15..=25).contains(&count)),
        "{counts:?}"
    );
}

#[test]
fn checks_and_bulk_leave_headroom_for_interactive_requests() {
    let mut router = router();
    let mut held = Vec::new();
    let mut admit = |router: &mut Router, path: &str| {
        let resolved = resolved(router, "GET", "tal.example", path);
        router
            .begin(at(0), resolved)
            .map(|attempt| held.push(attempt))
    };
    // Four targets with twenty slots each.
    let bulk = (0..200)
        .filter(|_| admit(&mut router, "/bulk/1").is_ok())
        .count();
    assert_eq!(bulk, 16, "a fifth");
    let checks = (0..200)
        .filter(|_| admit(&mut router, "/check").is_ok())
        .count();
    assert_eq!(checks, 32, "two fifths, whatever bulk holds");
    let refusal = admit(&mut router, "/check").unwrap_err();
    assert_eq!(refusal.reason, Reason::CLASS_LIMIT);
    assert!(matches!(refusal.outcome, Outcome::NotRun(_)));
    let interactive = (0..200)
        .filter(|_| admit(&mut router, "/pay").is_ok())
        .count();
    assert_eq!(interactive, 112, "up to twice the slots in all");
    for attempt in held {
        router.finish(at(100), attempt);
    }
    assert_eq!(router.in_flight(), 0);
}

#[test]
fn refusals_for_load_shrink_the_share_of_checks_and_time_restores_it() {
    let mut router = router();
    let check = resolved(&mut router, "GET", "tal.example", "/check");
    let admitted = |router: &mut Router, millis: u64| {
        let mut held = Vec::new();
        while let Ok(attempt) = router.begin(at(millis), check.clone()) {
            held.push(attempt);
        }
        let count = held.len();
        let give_back = |attempt| router.finish(at(millis), attempt);
        held.into_iter().for_each(give_back);
        count
    };
    assert_eq!(admitted(&mut router, 0), 32);
    for millis in [0, 200, 400, 600, 800, 1_000, 1_200, 1_400] {
        let mut attempt = begin(&mut router, millis, check.clone());
        forwarded(router.route(at(millis), &mut attempt));
        router.after(at(millis), &mut attempt, refused("overloaded", None));
        router.finish(at(millis), attempt);
    }
    assert_eq!(admitted(&mut router, 2_000), 3, "a tenth of it at least");
    let resolved = unkeyed(&mut router, "GET");
    let answer = |router: &mut Router, millis: u64| {
        let mut attempt = begin(router, millis, resolved.clone());
        forwarded(router.route(at(millis), &mut attempt));
        let answered = AttemptResult::Answered { status: 200 };
        router.after(at(millis), &mut attempt, answered);
        router.finish(at(millis), attempt);
    };
    (0..1_000).for_each(|_| answer(&mut router, 3_000));
    assert_eq!(
        admitted(&mut router, 3_000),
        3,
        "not by the number of answers"
    );
    (3_000..13_000)
        .step_by(50)
        .for_each(|millis| answer(&mut router, millis));
    assert_eq!(admitted(&mut router, 13_000), 32);
}

#[test]
fn a_target_without_room_for_checks_still_gets_interactive_requests() {
    let mut router = router();
    let check = resolved(&mut router, "GET", "tal.example", "/check");
    for _ in 0..100 {
        let mut attempt = begin(&mut router, 0, check.clone());
        if let Decision::Forward(_) = router.route(at(0), &mut attempt) {
            router.after(at(0), &mut attempt, refused("overloaded", Some(1_000)));
        }
        router.finish(at(0), attempt);
    }
    let mut held = Vec::new();
    let mut count = |router: &mut Router, resolved: &Resolved| {
        let mut forwarded = 0;
        while forwarded < 50 {
            let mut attempt = begin(router, 0, resolved.clone());
            let decision = router.route(at(0), &mut attempt);
            held.push(attempt);
            match decision {
                Decision::Forward(_) => forwarded += 1,
                _ => break,
            }
        }
        forwarded
    };
    let interactive = unkeyed(&mut router, "POST");
    assert_eq!(count(&mut router, &interactive), 50);
    assert_eq!(count(&mut router, &check), 4, "one probe a target");
}

#[test]
fn a_cancelled_caller_gives_everything_back() {
    let mut router = router();
    let resolved = unkeyed(&mut router, "GET");
    let mut attempt = begin(&mut router, 0, resolved);
    forwarded(router.route(at(0), &mut attempt));
    router.cancel(at(1), attempt);
    assert_eq!(router.in_flight(), 0);
    assert_eq!(router.counters().get(Counter::Cancelled), 1);
}

#[test]
fn targets_of_a_table_in_parts_add_up() {
    let mut router = router();
    let mut first = full(20, vec![slice(SliceRange::FULL, 1, served("s1"))]);
    let last_targets = first.targets.split_off(3);
    first.more = true;
    step(&mut router, 0, Input::Table(first));
    let last = TableUpdate {
        targets: last_targets[..2].to_vec(),
        ..full(20, Vec::new())
    };
    step(&mut router, 0, Input::Table(last));
    let resolved = unkeyed(&mut router, "GET");
    let mut seen = std::collections::BTreeSet::new();
    for _ in 0..100 {
        let mut attempt = begin(&mut router, 0, resolved.clone());
        seen.insert(
            forwarded(router.route(at(0), &mut attempt))
                .target
                .to_string(),
        );
        router.finish(at(0), attempt);
    }
    assert_eq!(
        seen.into_iter().collect::<Vec<_>>(),
        ["t1", "t2", "t3"],
        "t4 is gone"
    );
}
