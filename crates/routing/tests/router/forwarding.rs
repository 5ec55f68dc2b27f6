//! A request on its way to the owner of its key.

use super::*;

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
