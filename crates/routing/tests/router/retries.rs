//! Retries, and targets that shouldn't get work.

use super::*;

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
