//! Which requests a holder admits, and when it drops ranges.

mod support;

use std::time::Duration;

use support::LEASE_MS;
use wingspar_ownership::{
    Admission, Epoch, Fence, GrantResult, Holder, KeyRange, LeaseReply, Order, Time, Timing,
};

const RANGE: KeyRange = KeyRange { from: 100, to: 200 };

fn reply(epoch: u64, sent_at: u64, assignment: u64, wanted: &[(KeyRange, u64)]) -> LeaseReply {
    support::reply(epoch, sent_at, assignment, wanted, None)
}

/// Returns a holder that was granted the range at time 1000.
fn holding() -> Holder {
    let mut holder = Holder::new(Timing::default(), true);
    holder.observe_target(Time(1_000), "t");
    assert!(holder.lease(Time(1_000), &reply(1, 1_000, 1, &[(RANGE, 10)])));
    let orders = holder.orders(Time(1_000));
    let [
        Order::Grant {
            range, fence, hold, ..
        },
    ] = orders.as_slice()
    else {
        panic!("expected one grant, got {orders:?}");
    };
    assert!(
        *hold < Duration::from_millis(LEASE_MS),
        "leaves room for a slow clock of the target"
    );
    assert_eq!(holder.admission(Time(1_001), 150), Admission::Pending);
    holder.granted(
        Time(1_005),
        *range,
        *fence,
        Time(1_000),
        *hold,
        GrantResult::Granted,
    );
    holder
}

#[test]
fn nothing_is_admitted_before_the_grant_or_after_the_lease() {
    let mut holder = holding();
    assert_eq!(holder.admission(Time(1_010), 150), Admission::Granted);
    assert_eq!(holder.admission(Time(1_010), 99), Admission::NotOwner);
    assert_ne!(
        holder.admission(Time(1_000 + LEASE_MS), 150),
        Admission::Granted
    );
    assert!(
        holder.held(Time(1_000 + LEASE_MS)).is_empty(),
        "nothing is held after the lease ends"
    );
}

#[test]
fn a_lower_epoch_is_refused() {
    let mut holder = holding();
    holder.promise(Epoch(2));
    assert!(!holder.lease(Time(1_100), &reply(1, 1_100, 2, &[])));
    assert_eq!(holder.admission(Time(1_200), 150), Admission::Granted);
}

#[test]
fn keys_that_are_no_longer_assigned_stop_at_once_and_are_released() {
    let mut holder = holding();
    let kept = KeyRange { from: 100, to: 149 };
    holder.lease(Time(1_100), &reply(1, 1_100, 2, &[(kept, 10)]));
    assert_eq!(holder.admission(Time(1_100), 150), Admission::NotOwner);
    assert_eq!(holder.admission(Time(1_100), 120), Admission::Granted);
    let orders = holder.orders(Time(1_100));
    let release = orders
        .iter()
        .find(|order| matches!(order, Order::Release { .. }));
    let Some(Order::Release { range, fence }) = release else {
        panic!("expected a release, got {orders:?}");
    };
    assert_eq!(*range, KeyRange { from: 150, to: 200 });
    assert_eq!(
        *fence,
        Fence(11),
        "higher than the grant, so that a late copy of the grant is refused"
    );
    assert_eq!(
        holder.held(Time(1_100)).len(),
        2,
        "the target may still hold them"
    );
    holder.release_ended(Time(1_150), *range, *fence, true, Some("token".to_owned()));
    assert_eq!(holder.held(Time(1_150)).len(), 1);
    assert_eq!(holder.released()[0].handover.as_deref(), Some("token"));
    // The same grant isn't accepted again, even if a stale reply lists it.
    holder.lease(Time(1_160), &reply(1, 1_160, 2, &[(RANGE, 10)]));
    assert_eq!(holder.admission(Time(1_160), 180), Admission::NotOwner);
}

#[test]
fn a_stale_reply_grants_nothing() {
    let mut holder = Holder::new(Timing::default(), true);
    holder.observe_target(Time(1_000), "t");
    holder.lease(Time(1_510), &reply(1, 1_500, 1, &[]));
    // The leader has freed the range since, because the renewal sent at 1500 reported no ranges.
    holder.lease(Time(1_520), &reply(1, 1_400, 1, &[(RANGE, 10)]));
    assert!(holder.orders(Time(1_520)).is_empty());
    assert_eq!(holder.admission(Time(1_520), 150), Admission::NotOwner);
}

#[test]
fn keys_are_not_released_while_their_grant_is_in_flight() {
    let mut holder = holding();
    let renewal = holder.orders(Time(1_900));
    let [
        Order::Grant {
            range, fence, hold, ..
        },
    ] = renewal.as_slice()
    else {
        panic!("expected a renewed grant, got {renewal:?}");
    };
    let kept = KeyRange { from: 100, to: 149 };
    holder.lease(Time(1_901), &reply(1, 1_890, 2, &[(kept, 10)]));
    assert_eq!(holder.admission(Time(1_901), 150), Admission::NotOwner);
    let early = holder.orders(Time(1_901));
    assert!(
        early.is_empty(),
        "it could arrive before the grant: {early:?}"
    );
    holder.granted(
        Time(1_903),
        *range,
        *fence,
        Time(1_900),
        *hold,
        GrantResult::Granted,
    );
    let orders = holder.orders(Time(1_903));
    let released_range = KeyRange { from: 150, to: 200 };
    let is_release =
        |order: &Order| matches!(order, Order::Release { range, .. } if *range == released_range);
    assert!(orders.iter().any(is_release), "{orders:?}");
}

#[test]
fn an_unanswered_release_is_retried() {
    let mut holder = holding();
    holder.lease(Time(1_100), &reply(1, 1_100, 2, &[]));
    let first = holder.orders(Time(1_100));
    let Some(Order::Release { range, fence }) = first.first().cloned() else {
        panic!("expected a release, got {first:?}");
    };
    assert!(holder.orders(Time(1_200)).is_empty(), "one is in flight");
    holder.release_ended(Time(1_600), range, fence, false, None);
    assert_eq!(holder.orders(Time(2_100)), first);
}

/// Sends a renewed grant of the range, which the target refuses because of a higher fence.
fn outranked(holder: &mut Holder, sent_at: Time, now: Time, range: KeyRange) {
    let hold = Duration::from_millis(LEASE_MS);
    holder.granted(now, range, Fence(10), sent_at, hold, GrantResult::Outranked);
}

/// Guards against keys that count as free although the target, which refused to renew a grant
/// because of one key, still holds the others under it.
#[test]
fn an_outranked_grant_is_released_and_never_sent_again() {
    let mut holder = holding();
    outranked(&mut holder, Time(1_890), Time(1_900), RANGE);
    assert_eq!(holder.admission(Time(1_900), 150), Admission::NotOwner);
    assert_eq!(holder.held(Time(1_900)).len(), 1, "the target may hold it");
    let fence = Fence(11);
    let release = Order::Release {
        range: RANGE,
        fence,
    };
    assert_eq!(holder.orders(Time(1_900)), [release]);
    holder.release_ended(Time(1_910), RANGE, fence, true, None);
    assert!(holder.held(Time(1_910)).is_empty());
    // The leader keeps naming the same fence, which is never tried again.
    for now in (2_000..9_000).step_by(400) {
        holder.lease(Time(now), &reply(1, now, 2, &[(RANGE, 10)]));
        let orders = holder.orders(Time(now));
        assert!(orders.is_empty(), "{now}: {orders:?}");
        assert!(holder.held(Time(now)).is_empty());
    }
    // A higher fence is tried.
    holder.lease(Time(9_000), &reply(1, 9_000, 3, &[(RANGE, 12)]));
    assert_eq!(holder.orders(Time(9_000)).len(), 1);
}

#[test]
fn an_outranked_part_releases_all_parts_of_its_grant() {
    let mut holder = holding();
    let parts = [
        KeyRange { from: 100, to: 150 },
        KeyRange { from: 151, to: 200 },
    ];
    holder.lease(
        Time(1_100),
        &reply(1, 1_100, 2, &parts.map(|part| (part, 10))),
    );
    let now = Time(2_000);
    outranked(&mut holder, now, now, parts[1]);
    let fence = Fence(11);
    let releases = parts.map(|range| Order::Release { range, fence });
    assert_eq!(holder.orders(now), releases);
}

#[test]
fn the_whole_of_a_partly_outranked_range_is_released() {
    let mut holder = holding();
    let upper = KeyRange { from: 150, to: 200 };
    outranked(&mut holder, Time(1_890), Time(1_900), upper);
    holder.lease(Time(2_000), &reply(1, 2_000, 2, &[(RANGE, 10)]));
    let fence = Fence(11);
    let release = Order::Release {
        range: RANGE,
        fence,
    };
    assert_eq!(holder.orders(Time(2_000)), [release]);
    holder.release_ended(Time(2_050), RANGE, fence, true, None);
    // The leader sees that nothing is held, and grants the whole range again under a higher fence.
    assert!(holder.held(Time(2_100)).is_empty());
    holder.lease(Time(2_400), &reply(1, 2_400, 2, &[(RANGE, 10)]));
    assert!(holder.orders(Time(2_400)).is_empty());
}

#[test]
fn a_new_target_incarnation_is_granted_nothing_by_earlier_assignments() {
    let mut holder = holding();
    assert_eq!(holder.observe_target(Time(1_010), "t2"), Some(1));
    assert_eq!(holder.admission(Time(1_010), 150), Admission::NotOwner);
    // A reply about the previous incarnation of the target grants nothing, not even a lease.
    let lease_until = holder.lease_until();
    holder.lease(Time(1_100), &reply(1, 1_100, 1, &[(RANGE, 10)]));
    assert_eq!(holder.lease_until(), lease_until);
    let release = Order::Release {
        range: RANGE,
        fence: Fence(11),
    };
    assert_eq!(holder.orders(Time(1_100)), [release]);
    holder.release_ended(Time(1_110), RANGE, Fence(11), true, None);
    holder.lease(Time(1_200), &reply(1, 1_200, 1, &[(RANGE, 10)]));
    assert!(holder.orders(Time(1_200)).is_empty());
}

#[test]
fn a_new_process_clears_its_target_first() {
    let mut holder = Holder::new(Timing::default(), false);
    holder.observe_target(Time(1_000), "t");
    let mut answer = reply(1, 1_000, 1, &[(RANGE, 10)]);
    answer.clean_fence = Some(Fence(8));
    holder.lease(Time(1_000), &answer);
    assert_eq!(
        holder.orders(Time(1_000)),
        [Order::Clear { fence: Fence(8) }]
    );
    assert!(!holder.is_clean());
    holder.clear_ended(Time(1_020), true, Some("token".to_owned()));
    assert!(holder.is_clean());
    assert_eq!(holder.released()[0].range, KeyRange::ALL);
}
