//! How a holder assigns keys to its target in heartbeat responses, and how it handles the target's
//! reports.

mod support;

use std::time::Duration;

use support::LEASE_MS;
use wingspar_ownership::{
    Admission, Delivery, Fence, Holder, Holding, KeyRange, KeyReport, LeaseReply, Released, Time,
    Timing,
};

const RANGE: KeyRange = KeyRange { from: 100, to: 200 };

fn reply(sent_at: u64, assignment: u64, wanted: &[(KeyRange, u64)]) -> LeaseReply {
    support::reply(1, sent_at, assignment, wanted, Some("before"))
}

fn holding(range: KeyRange, fence: u64) -> Holding {
    Holding {
        range,
        fence: Fence(fence),
    }
}

fn report(holds: &[Holding]) -> KeyReport {
    KeyReport {
        holds: holds.to_vec(),
        released: Vec::new(),
    }
}

fn started(clean: bool) -> Holder {
    let mut holder =
        Holder::new(Timing::default(), clean).with_delivery(Delivery::HeartbeatAnswers);
    holder.observe_target(Time(1_000), "t");
    holder
}

/// Returns a holder whose target was assigned the range at time 1000 and reported at 1800 that it
/// holds it.
fn held() -> Holder {
    let mut holder = started(true);
    assert!(holder.lease(Time(1_000), &reply(1_000, 1, &[(RANGE, 10)])));
    assert!(
        holder.orders(Time(1_000)).is_empty(),
        "no call is made to the target"
    );
    assert!(holder.has_changes(Time(1_000)));
    let answer = holder.answer(Time(1_000), Time(1_000)).expect("a lease");
    assert_eq!(answer.rows.len(), 1);
    assert_eq!(answer.rows[0].handover.as_deref(), Some("before"));
    assert!(answer.hold.as_millis() < u128::from(LEASE_MS));
    holder.reported(Time(1_800), &report(&[holding(RANGE, 10)]));
    holder
}

#[test]
fn keys_are_served_once_a_response_has_assigned_them() {
    let mut holder = started(true);
    holder.lease(Time(1_000), &reply(1_000, 1, &[(RANGE, 10)]));
    assert_eq!(holder.admission(Time(1_001), 150), Admission::Pending);
    holder.answer(Time(1_500), Time(1_200));
    let at_once = holder.admission(Time(1_500), 150);
    assert_eq!(
        at_once,
        Admission::Pending,
        "the target has not read it yet"
    );
    assert_eq!(holder.admission(Time(1_510), 150), Admission::Granted);
    // The target counts the hold time from when it sent the heartbeat.
    assert_eq!(holder.admission(Time(3_395), 150), Admission::Pending);
}

#[test]
fn a_repeated_response_renews_the_hold_and_is_no_news() {
    let mut holder = held();
    assert!(!holder.has_changes(Time(1_801)));
    holder.lease(Time(1_900), &reply(1_900, 1, &[(RANGE, 10)]));
    let answer = holder.answer(Time(1_900), Time(1_900)).expect("a lease");
    assert_eq!(answer.rows[0].range, RANGE);
    assert_eq!(
        answer.rows[0].handover, None,
        "the target already has the token"
    );
    assert_eq!(holder.admission(Time(3_900), 150), Admission::Granted);
}

#[test]
fn keys_are_released_only_when_a_later_heartbeat_lacks_them() {
    let mut holder = held();
    holder.lease(Time(1_900), &reply(1_900, 2, &[]));
    assert_eq!(holder.admission(Time(1_900), 150), Admission::NotOwner);
    // A heartbeat without the range proves nothing until a response has left it out.
    holder.reported(Time(1_950), &report(&[]));
    assert_eq!(holder.held(Time(1_950)).len(), 1);
    let answer = holder.answer(Time(2_000), Time(1_950)).expect("a lease");
    assert!(answer.rows.is_empty());
    // The target is still working on a part of the range.
    let part = KeyRange { from: 100, to: 150 };
    holder.reported(Time(2_100), &report(&[holding(part, 10)]));
    assert_eq!(holder.held(Time(2_100)), [holding(part, 10)]);
    let released = Released {
        range: part,
        handover: Some("token".to_owned()),
    };
    let ended = KeyReport {
        holds: Vec::new(),
        released: vec![released.clone()],
    };
    holder.reported(Time(2_200), &ended);
    assert!(holder.held(Time(2_200)).is_empty());
    assert!(
        holder.released().contains(&released),
        "the next holder gets the token"
    );
}

#[test]
fn a_lost_response_is_repeated() {
    let mut holder = started(true);
    holder.lease(Time(1_000), &reply(1_000, 1, &[(RANGE, 10)]));
    holder.answer(Time(1_000), Time(1_000));
    holder.reported(Time(1_900), &report(&[]));
    assert_eq!(holder.admission(Time(1_900), 150), Admission::Pending);
    let again = holder.answer(Time(1_900), Time(1_900)).expect("a lease");
    assert_eq!(again.rows[0].fence, Fence(10));
    assert_eq!(again.rows[0].handover.as_deref(), Some("before"));
}

#[test]
fn keys_that_the_target_refuses_are_dropped() {
    let mut holder = started(true);
    for round in 0..4 {
        let now = 1_000 + round * 870;
        holder.lease(Time(now), &reply(now, 1, &[(RANGE, 10)]));
        holder.reported(Time(now), &report(&[]));
        holder.answer(Time(now), Time(now));
    }
    assert!(
        holder.held(Time(3_700)).is_empty(),
        "the leader assigns them again under a higher fence"
    );
}

#[test]
fn the_held_part_of_a_partly_refused_row_is_reported_until_released() {
    let mut holder = started(true);
    let taken = KeyRange { from: 100, to: 150 };
    let refused = KeyRange { from: 151, to: 200 };
    for round in 0..4 {
        let now = 1_000 + round * 870;
        holder.lease(Time(now), &reply(now, 1, &[(RANGE, 10)]));
        let holds = if round == 0 {
            Vec::new()
        } else {
            vec![holding(taken, 10)]
        };
        holder.reported(Time(now), &report(&holds));
        if round == 1 {
            assert_eq!(holder.admission(Time(now), 120), Admission::Granted);
            assert_ne!(holder.admission(Time(now), 180), Admission::Granted);
        }
        if round < 3 {
            holder.answer(Time(now), Time(now));
        }
    }
    let now = Time(1_000 + 3 * 870);
    let held = holder.held(now);
    assert!(held.iter().all(|held| !held.range.overlaps(refused)));
    assert!(held.iter().any(|held| held.range == taken), "{held:?}");
    let answer = holder.answer(now, now).expect("a lease");
    assert!(
        answer.rows.is_empty(),
        "it is released, and assigned again with the rest"
    );
    holder.reported(Time(3_700), &report(&[]));
    assert!(holder.held(Time(3_700)).is_empty());
}

#[test]
fn keys_that_the_target_lacks_are_news() {
    let mut holder = started(true);
    holder.lease(Time(1_000), &reply(1_000, 1, &[(RANGE, 10)]));
    holder.answer(Time(1_000), Time(1_000));
    assert!(!holder.has_changes(Time(1_001)));
    holder.reported(Time(1_900), &report(&[]));
    assert!(holder.has_changes(Time(1_900)), "the answer was lost");
    holder.answer(Time(1_900), Time(1_900));
    holder.reported(Time(2_000), &report(&[holding(RANGE, 10)]));
    assert!(!holder.has_changes(Time(2_000)));
    holder.key_denied_by_target(Time(2_010), 150);
    assert!(
        holder.has_changes(Time(2_010)),
        "the target doesn't know that it holds the key"
    );
}

#[test]
fn a_new_process_has_the_target_release_its_keys() {
    let mut holder = started(false);
    // This heartbeat may have been sent before an earlier process assigned keys to the target.
    holder.reported(Time(1_000), &report(&[]));
    assert!(!holder.is_clean());
    let answer = holder
        .answer(Time(1_000), Time(1_000))
        .expect("a response without a lease");
    assert!(answer.rows.is_empty());
    holder.reported(Time(1_100), &report(&[holding(RANGE, 7)]));
    assert!(!holder.is_clean());
    holder.answer(Time(1_100), Time(1_100));
    let ended = KeyReport {
        holds: Vec::new(),
        released: vec![Released {
            range: RANGE,
            handover: Some("token".to_owned()),
        }],
    };
    holder.reported(Time(1_200), &ended);
    assert!(holder.is_clean());
    assert_eq!(holder.released().len(), 1);
}

/// Guards against late heartbeats, sent before an earlier process of the node granted keys, that pass
/// for reports that the target has released everything.
#[test]
fn reports_show_no_release_while_leases_of_an_earlier_process_are_valid() {
    let timing = Timing::default();
    let started_at = Time(1_000);
    let mut holder = started(false).with_start(started_at);
    let expired_at = started_at + timing.lease + timing.lease_margin;
    for late in [started_at, started_at + Duration::from_millis(100)] {
        holder.reported(late, &report(&[]));
        holder.answer(late, late);
        assert!(!holder.is_clean());
    }
    holder.reported(expired_at, &report(&[]));
    assert!(holder.is_clean());
}

/// Guards against a late heartbeat of an earlier life with another service, which made keys that an
/// earlier process granted count as free.
#[test]
fn a_heartbeat_of_an_unkeyed_service_does_not_show_that_earlier_grants_have_ended() {
    let mut holder = started(false).with_start(Time(1_000));
    holder.set_unkeyed(Time(1_000));
    assert!(!holder.is_clean());
    holder.set_unkeyed(Time(1_000 + LEASE_MS));
    assert!(!holder.is_clean(), "the leader waits for the margin too");
    let margin = Timing::default().lease_margin;
    holder.set_unkeyed(Time(1_000 + LEASE_MS) + margin);
    assert!(holder.is_clean(), "every lease from before has expired");
}

#[test]
fn a_response_without_a_lease_assigns_no_keys() {
    let mut holder = held();
    assert_eq!(holder.answer(Time(3_350), Time(3_350)), None);
    assert!(holder.held(Time(3_401)).is_empty());
    assert_eq!(holder.answer(Time(3_401), Time(3_401)), None);
}

#[test]
fn a_reply_to_a_renewal_from_before_a_lapse_grants_no_keys() {
    let mut holder = held();
    assert!(holder.held(Time(3_401)).is_empty(), "the lease has expired");
    // The renewal was sent while the keys were held; a later one has reported that they are gone.
    holder.lease(Time(3_410), &reply(3_300, 1, &[(RANGE, 10)]));
    assert_eq!(holder.admission(Time(3_410), 150), Admission::NotOwner);
    holder.lease(Time(3_420), &reply(3_405, 2, &[(RANGE, 20)]));
    assert_eq!(holder.admission(Time(3_420), 150), Admission::Pending);
}

#[test]
fn keys_under_a_new_fence_wait_until_the_target_has_released_the_old_ones() {
    let mut holder = held();
    holder.lease(Time(1_900), &reply(1_900, 2, &[(RANGE, 20)]));
    let answer = holder.answer(Time(1_900), Time(1_900)).expect("a lease");
    assert!(answer.rows.is_empty());
    holder.reported(Time(2_000), &report(&[]));
    let answer = holder.answer(Time(2_000), Time(2_000)).expect("a lease");
    assert_eq!(answer.rows[0].fence, Fence(20));
}

#[test]
fn adjacent_parts_of_one_grant_form_one_row() {
    let mut holder = held();
    let parts = [
        KeyRange { from: 100, to: 150 },
        KeyRange { from: 151, to: 200 },
    ];
    let wanted = parts.map(|range| (range, 10));
    holder.lease(Time(1_900), &reply(1_900, 2, &wanted));
    let answer = holder.answer(Time(1_900), Time(1_900)).expect("a lease");
    assert_eq!(answer.rows.len(), 1);
    assert_eq!(answer.rows[0].range, RANGE);
    holder.reported(Time(2_700), &report(&[holding(RANGE, 10)]));
    assert_eq!(holder.admission(Time(2_701), 151), Admission::Granted);
}

#[test]
fn a_response_stays_small() {
    let mut holder = started(true);
    let wanted = (0..300_u16)
        .map(|index| {
            let range = KeyRange {
                from: index * 100,
                to: index * 100 + 9,
            };
            (range, 10 + u64::from(index) * 2)
        })
        .collect::<Vec<_>>();
    holder.lease(Time(1_000), &reply(1_000, 1, &wanted));
    let answer = holder.answer(Time(1_000), Time(1_000)).expect("a lease");
    // In the platform's encoding, with a fence of ten digits: within 4 KiB.
    let written = answer.rows.iter().map(|row| {
        let handover = row.handover.as_deref().unwrap_or("");
        format!(
            "[{},{},{:010},\"{handover}\"],",
            row.range.from, row.range.to, row.fence.0
        )
        .len()
    });
    let written = written.sum::<usize>();
    assert!(written <= 4_000, "{written} bytes");
    assert!(answer.rows.len() >= 80, "the available space is used");
}
