//! When a request is given up, and what is said of it then.

use super::*;

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
fn a_cancelled_caller_gives_everything_back() {
    let mut router = router();
    let resolved = unkeyed(&mut router, "GET");
    let mut attempt = begin(&mut router, 0, resolved);
    forwarded(router.route(at(0), &mut attempt));
    router.cancel(at(1), attempt);
    assert_eq!(router.in_flight(), 0);
    assert_eq!(router.counters().get(Counter::Cancelled), 1);
}
