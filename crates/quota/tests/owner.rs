//! What an owner grants, takes back and remembers.

mod support;

use support::{ask, limit, millis, tenure, tolerance};
use wingspar_quota::{Ask, Owner, Returned};

const RATE: f64 = 10.0;

/// An owner whose bucket of the tenant is full: its tenure began long ago.
fn settled() -> (Owner, std::time::Duration) {
    (Owner::new(tolerance()), millis(100_000))
}

#[test]
fn a_full_bucket_grants_the_burst_and_more_but_not_without_end() {
    let (mut owner, now) = settled();
    let decision = owner.decide(now, tenure(1, millis(0)), &ask(1, 1_000, limit(1, RATE)));
    let depth = tolerance().depth(&limit(1, RATE));
    assert_eq!(f64::from(decision.granted), depth.floor());
    assert!(decision.retry_after_ms > 0 && decision.retry_after_ms <= 100);
}

#[test]
fn a_new_owner_starts_empty_and_fills_at_the_rate() {
    let (mut owner, now) = settled();
    let rate = limit(1, RATE);
    let held = tenure(1, now);
    assert_eq!(owner.decide(now, held, &ask(1, 1_000, rate)).granted, 0);
    let later = now + millis(500);
    assert_eq!(owner.decide(later, held, &ask(2, 1_000, rate)).granted, 5);
}

#[test]
fn an_owner_in_another_tenure_forgets_what_it_had() {
    let (mut owner, now) = settled();
    let rate = limit(1, RATE);
    owner.decide(now, tenure(1, millis(0)), &ask(1, 1, rate));
    let decision = owner.decide(now, tenure(2, now), &ask(2, 1_000, rate));
    assert_eq!(decision.granted, 0);
}

#[test]
fn an_ask_that_is_sent_again_gets_the_same_answer_and_takes_nothing() {
    let (mut owner, now) = settled();
    let held = tenure(1, millis(0));
    let first = owner.decide(now, held, &ask(1, 5, limit(1, RATE)));
    let again = owner.decide(now + millis(30), held, &ask(1, 5, limit(1, RATE)));
    assert_eq!(first, again);
    let usage = owner.usage(now);
    assert_eq!(usage[0].tokens, tolerance().depth(&limit(1, RATE)) - 5.0);
}

#[test]
fn callers_that_are_refused_are_told_different_times() {
    let (mut owner, now) = settled();
    let held = tenure(1, millis(0));
    owner.decide(now, held, &ask(0, owner_depth(), limit(1, RATE)));
    let told = (1..=20)
        .map(|number| {
            owner
                .decide(now, held, &ask(number, 1, limit(1, RATE)))
                .retry_after_ms
        })
        .collect::<Vec<_>>();
    assert!(told.windows(2).all(|two| two[0] < two[1]), "{told:?}");
    assert!(told.iter().all(|told| *told <= 5_000));
}

#[test]
fn a_caller_that_comes_back_at_the_time_told_finds_a_token() {
    let (mut owner, now) = settled();
    let held = tenure(1, millis(0));
    let rate = limit(1, RATE);
    owner.decide(now, held, &ask(0, owner_depth(), rate));
    let refused = owner.decide(now, held, &ask(1, 1, rate));
    assert_eq!(refused.granted, 0);
    let back = now + millis(u64::from(refused.retry_after_ms) + 1);
    assert_eq!(owner.decide(back, held, &ask(2, 1, rate)).granted, 1);
}

fn owner_depth() -> u16 {
    tolerance().depth(&limit(1, RATE)) as u16
}

/// An ask that gives back tokens of a decision and takes none.
fn giving_back(number: u64, returned: Returned) -> Ask {
    Ask {
        returned: vec![returned],
        ..ask(number, 0, limit(1, RATE))
    }
}

#[test]
fn tokens_come_back_once_and_only_while_the_bucket_lacked_them() {
    let (mut owner, now) = settled();
    let held = tenure(1, millis(0));
    let rate = limit(1, RATE);
    owner.decide(now, held, &ask(1, owner_depth(), rate));
    let granted = owner.decide(now + millis(300), held, &ask(2, 2, rate));
    assert_eq!(granted.granted, 2);
    let returned = Returned {
        tenure: granted.tenure,
        granted_at_ms: granted.decided_at_ms,
        tokens: 2,
    };
    let later = now + millis(400);
    let before = owner.usage(later)[0].tokens;
    owner.decide(later, held, &giving_back(3, returned));
    owner.decide(later, held, &giving_back(3, returned));
    let after = owner.usage(later)[0].tokens;
    assert!((after - before - 2.0).abs() < 1e-6, "{before} {after}");
    // Long after, the bucket may have been full in between.
    let much_later = later + millis(20_000);
    owner.decide(much_later, held, &ask(4, owner_depth(), rate));
    let before = owner.usage(much_later)[0].tokens;
    owner.decide(much_later, held, &giving_back(5, returned));
    assert_eq!(owner.usage(much_later)[0].tokens, before);
}

#[test]
fn tokens_of_another_tenure_do_not_come_back() {
    let (mut owner, now) = settled();
    let held = tenure(1, millis(0));
    let granted = owner.decide(now, held, &ask(1, owner_depth(), limit(1, RATE)));
    let returned = Returned {
        tenure: tenure(7, now).id,
        granted_at_ms: granted.decided_at_ms,
        tokens: 5,
    };
    let before = owner.usage(now)[0].tokens;
    owner.decide(now, held, &giving_back(2, returned));
    assert_eq!(owner.usage(now)[0].tokens, before);
}

#[test]
fn a_lower_limit_holds_at_once_and_an_older_one_is_passed_over() {
    let (mut owner, now) = settled();
    let held = tenure(1, millis(0));
    owner.decide(now, held, &ask(1, 1, limit(1, 100.0)));
    let lower = limit(2, 2.0);
    let granted = owner.decide(now, held, &ask(2, 1_000, lower)).granted;
    assert!(f64::from(granted) <= tolerance().depth(&lower));
    let stale = owner.decide(now, held, &ask(3, 1_000, limit(1, 100.0)));
    assert_eq!(stale.granted, 0);
}

#[test]
fn a_higher_limit_gives_no_tokens_that_have_not_come_yet() {
    let (mut owner, now) = settled();
    let held = tenure(1, millis(0));
    owner.decide(now, held, &ask(1, 1_000, limit(1, 2.0)));
    assert_eq!(
        owner
            .decide(now, held, &ask(2, 1_000, limit(2, 100.0)))
            .granted,
        0
    );
}

#[test]
fn a_clock_that_stands_still_or_goes_back_brings_no_tokens() {
    let (mut owner, now) = settled();
    let held = tenure(1, millis(0));
    let rate = limit(1, RATE);
    owner.decide(now, held, &ask(1, 1_000, rate));
    for number in 2..50 {
        let before = now - millis(number * 10);
        assert_eq!(owner.decide(now, held, &ask(number, 1, rate)).granted, 0);
        assert_eq!(
            owner
                .decide(before, held, &ask(number + 100, 1, rate))
                .granted,
            0
        );
    }
}

#[test]
fn tenants_that_use_nothing_are_forgotten() {
    let (mut owner, now) = settled();
    let held = tenure(1, millis(0));
    for number in 0..10_000 {
        let one = Ask {
            tenant: format!("tenant-{number}"),
            ..ask(number, 1, limit(1, RATE))
        };
        owner.decide(now, held, &one);
    }
    owner.decide(now + millis(10_000), held, &ask(20_000, 1, limit(1, RATE)));
    assert_eq!(owner.usage(now + millis(10_000)).len(), 1);
}

#[test]
fn tokens_come_back_across_a_version_that_leaves_the_limit_as_it_was() {
    let (mut owner, now) = settled();
    let held = tenure(1, millis(0));
    owner.decide(now, held, &ask(1, owner_depth(), limit(1, RATE)));
    let later = now + millis(300);
    let granted = owner.decide(later, held, &ask(2, 2, limit(1, RATE)));
    let returned = Returned {
        tenure: granted.tenure,
        granted_at_ms: granted.decided_at_ms,
        tokens: granted.granted,
    };
    let before = owner.usage(later)[0].tokens;
    owner.decide(later, held, &ask(3, 0, limit(2, RATE)));
    owner.decide(later, held, &giving_back(4, returned));
    assert_eq!(owner.usage(later)[0].tokens, before + 2.0);
}
