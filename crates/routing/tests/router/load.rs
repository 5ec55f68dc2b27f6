//! Limits and choices by load.

use super::*;

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
