//! Which requests are refused and for how long, and how nodes agree on it.

use std::time::Duration;

use ciborium::cbor;
use quickcheck::quickcheck;
use wingspar_quarantine::{
    Caller, CallerRequest, Callers, Fingerprint, Observation, Quarantine, Report, Standing,
    TargetEnd, Verdict,
};

const CRASHING: CallerRequest = request(1);
const INNOCENT: CallerRequest = request(2);
const OTHERS: CallerRequest = request(3);

/// A request with this fingerprint of one caller.
const fn request(fingerprint: u64) -> CallerRequest {
    CallerRequest {
        fingerprint: Fingerprint(fingerprint),
        content: Fingerprint(fingerprint),
        caller: Caller(1),
    }
}

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Performs a renewal of a node's lease with the leader's reply.
fn renew(now: Duration, node: &mut Quarantine, leader: &mut Quarantine) {
    let report = node.snapshot(now).report();
    let reply = leader.snapshot(now).reply_to(report.as_ref());
    if let Some(report) = report {
        leader.reported(now, &report);
    }
    if let Some(reply) = reply {
        node.answered(now, &reply);
    }
}

#[test]
fn a_request_is_refused_after_two_ends_but_not_after_one() {
    let mut node = Quarantine::default();
    node.target_ended(at(10.0), TargetEnd(1), &[CRASHING]);
    assert!(!node.refuses(at(10.0), CRASHING));
    assert_eq!(node.ends(CRASHING.fingerprint), 1);
    node.target_ended(at(10.1), TargetEnd(1), &[CRASHING]);
    assert!(
        !node.refuses(at(10.1), CRASHING),
        "the same end counts once"
    );
    let changes = node.target_ended(at(13.0), TargetEnd(2), &[CRASHING]);
    assert_eq!(changes.len(), 1);
    assert_eq!(
        (changes[0].standing, changes[0].ends),
        (Standing::Refused, 2)
    );
    assert!(node.refuses(at(13.0), CRASHING));
    assert!(node.refuses(at(72.0), CRASHING));
    let ends = [(74.0, 373.0), (375.0, 2_700.0), (2_800.0, 20_000.0)];
    for (number, (ends_at, refused_at)) in ends.into_iter().enumerate() {
        assert!(!node.refuses(at(ends_at), CRASHING), "it is run again");
        let end = TargetEnd(3 + u64::try_from(number).expect("small"));
        node.target_ended(at(ends_at), end, &[CRASHING]);
        assert!(
            node.refuses(at(refused_at), CRASHING),
            "each refusal is longer than the one before"
        );
    }
}

#[test]
fn a_request_that_succeeds_between_ends_is_not_refused() {
    let mut node = Quarantine::default();
    for round in 0..10 {
        let now = at(10.0 + 3.0 * f64::from(round));
        let end = TargetEnd(u64::from(round as u32));
        node.target_ended(now, end, &[CRASHING, INNOCENT]);
        node.good_end(now + at(1.0), INNOCENT);
        assert!(!node.refuses(now + at(1.0), INNOCENT));
    }
    assert!(node.refuses(at(40.0), CRASHING));
}

#[test]
fn a_popular_request_is_not_refused_when_two_targets_end_at_once() {
    let [mut first, mut second, mut leader] = [(); 3].map(|()| Quarantine::default());
    for (number, node) in [&mut first, &mut second].into_iter().enumerate() {
        node.good_end(at(9.0), INNOCENT);
        let now = at(10.0 + number as f64 / 10.0);
        let end = TargetEnd(u64::try_from(number).expect("small"));
        node.target_ended(now, end, &[CRASHING, INNOCENT]);
        renew(now, node, &mut leader);
    }
    assert!(leader.refuses(at(10.2), CRASHING));
    assert!(!leader.refuses(at(10.2), INNOCENT));
}

#[test]
fn a_success_at_another_node_releases_the_request_on_all_nodes() {
    let [mut first, mut second, mut third, mut leader] = [(); 4].map(|()| Quarantine::default());
    first.target_ended(at(10.0), TargetEnd(1), &[INNOCENT]);
    renew(at(10.1), &mut first, &mut leader);
    third.good_end(at(11.0), INNOCENT);
    second.target_ended(at(12.0), TargetEnd(2), &[INNOCENT]);
    renew(at(12.1), &mut second, &mut leader);
    assert!(
        leader.refuses(at(12.1), INNOCENT),
        "no node has reported the success yet"
    );
    renew(at(12.2), &mut third, &mut leader);
    renew(at(12.6), &mut third, &mut leader);
    for node in [&mut first, &mut second] {
        renew(at(12.7), node, &mut leader);
    }
    for node in [&first, &second, &third, &leader] {
        assert!(!node.refuses(at(12.8), INNOCENT));
    }
}

#[test]
fn among_several_suspects_the_third_end_decides() {
    let mut node = Quarantine::default();
    node.target_ended(at(10.0), TargetEnd(1), &[CRASHING, INNOCENT, OTHERS]);
    node.target_ended(at(10.1), TargetEnd(2), &[CRASHING, INNOCENT]);
    for fingerprint in [CRASHING, INNOCENT, OTHERS] {
        assert!(!node.refuses(at(10.1), fingerprint));
    }
    node.good_end(at(11.0), INNOCENT);
    node.target_ended(at(13.0), TargetEnd(3), &[CRASHING, INNOCENT]);
    assert!(node.refuses(at(300.0), CRASHING));
    assert!(!node.refuses(at(13.0), INNOCENT));
}

#[test]
fn all_nodes_know_a_verdict_after_one_renewal_each() {
    let [mut first, mut second, mut third, mut leader] = [(); 4].map(|()| Quarantine::default());
    first.target_ended(at(10.0), TargetEnd(1), &[CRASHING, INNOCENT]);
    renew(at(10.1), &mut first, &mut leader);
    second.target_ended(at(12.0), TargetEnd(2), &[CRASHING, OTHERS]);
    renew(at(12.1), &mut second, &mut leader);
    assert!(!second.refuses(at(12.1), CRASHING), "it knows only one end");
    for node in [&mut first, &mut second, &mut third] {
        renew(at(12.5), node, &mut leader);
        assert!(node.refuses(at(12.5), CRASHING));
        assert!(!node.refuses(at(12.5), INNOCENT) && !node.refuses(at(12.5), OTHERS));
    }
}

#[test]
fn a_new_leader_receives_the_verdicts_of_its_predecessor() {
    let [mut first, mut second, mut leader, mut next] = [(); 4].map(|()| Quarantine::default());
    first.target_ended(at(10.0), TargetEnd(1), &[CRASHING]);
    first.target_ended(at(10.0), TargetEnd(1), &[INNOCENT]);
    renew(at(10.1), &mut first, &mut leader);
    assert!(!first.has_unacknowledged());
    first.leader_changed();
    second.leader_changed();
    assert!(first.has_unacknowledged());
    renew(at(12.0), &mut first, &mut next);
    second.target_ended(at(12.5), TargetEnd(2), &[CRASHING]);
    renew(at(12.6), &mut second, &mut next);
    assert!(next.refuses(at(12.6), CRASHING));
    renew(at(13.0), &mut second, &mut next);
    // The leader and the node that saw the first termination are lost; any node that has received a
    // verdict preserves it.
    let mut last = Quarantine::default();
    second.leader_changed();
    renew(at(15.0), &mut second, &mut last);
    assert!(last.refuses(at(15.0), CRASHING));
}

#[test]
fn an_operator_releases_a_request() {
    let [mut node, mut leader] = [(); 2].map(|()| Quarantine::default());
    for end in 1..=3 {
        node.target_ended(at(10.0), TargetEnd(end), &[CRASHING]);
    }
    renew(at(10.1), &mut node, &mut leader);
    renew(at(10.5), &mut node, &mut leader);
    assert!(leader.refuses(at(10.5), CRASHING));
    leader.release(at(11.0), CRASHING.fingerprint);
    renew(at(11.4), &mut node, &mut leader);
    assert!(!node.refuses(at(11.4), CRASHING));
    renew(at(11.8), &mut node, &mut leader);
    assert!(
        !leader.refuses(at(11.8), CRASHING),
        "no other node restores the refusal"
    );
    node.target_ended(at(12.0), TargetEnd(4), &[CRASHING]);
    assert!(
        !node.refuses(at(12.0), CRASHING),
        "earlier ends no longer count"
    );
    node.target_ended(at(15.0), TargetEnd(5), &[CRASHING]);
    assert!(node.refuses(at(15.0), CRASHING));
}

#[test]
fn many_verdicts_reach_all_nodes_in_bounded_datagrams() {
    let [mut node, mut leader] = [(); 2].map(|()| Quarantine::default());
    for number in 0..100 {
        let fingerprint = request(1_000 + number);
        for end in 0..3 {
            node.target_ended(at(10.0), TargetEnd(number * 3 + end), &[fingerprint]);
        }
    }
    let mut now = at(10.1);
    for _ in 0..100 {
        let shared = node.snapshot(now);
        assert!(shared.verdicts.len() <= 8 && shared.observations.len() <= 8);
        renew(now, &mut node, &mut leader);
        now += at(0.4);
    }
    assert_eq!(leader.refused(now).len(), 100);
    assert_eq!(node.snapshot(now).digest, leader.snapshot(now).digest);
}

#[test]
fn all_verdicts_are_sent_however_often_other_nodes_report() {
    let [mut node, mut leader] = [(); 2].map(|()| Quarantine::default());
    for number in 0..16 {
        for end in 0..3 {
            let fingerprint = request(1_000 + number);
            leader.target_ended(at(10.0), TargetEnd(number * 3 + end), &[fingerprint]);
        }
    }
    let mut now = at(10.1);
    for _ in 0..40 {
        renew(now, &mut node, &mut leader);
        // Another node reports in between.
        let _told = leader.snapshot(now + at(0.2));
        now += at(0.4);
    }
    assert_eq!(node.refused(now).len(), 16);
}

#[test]
fn observations_too_old_to_report_are_dropped() {
    let [mut node, mut leader, mut next] = [(); 3].map(|()| Quarantine::default());
    node.target_ended(at(10.0), TargetEnd(1), &[CRASHING]);
    renew(at(10.1), &mut node, &mut leader);
    node.target_ended(at(2_000.0), TargetEnd(2), &[]);
    node.leader_changed();
    renew(at(2_000.1), &mut node, &mut next);
    assert!(!node.has_unacknowledged());
}

#[test]
fn a_flood_of_distinct_requests_uses_bounded_memory() {
    let mut node = Quarantine::default();
    node.target_ended(at(1.0), TargetEnd(0), &[CRASHING]);
    node.target_ended(at(2.0), TargetEnd(1), &[CRASHING]);
    for number in 0..20_000 {
        let now = at(3.0) + Duration::from_millis(number);
        let fingerprints = [request(10_000 + number)];
        node.target_ended(now, TargetEnd(10 + number), &fingerprints);
        node.good_end(now, request(100_000 + number));
    }
    assert!(
        node.refuses(at(30.0), CRASHING),
        "a flood doesn't evict an existing verdict"
    );
    // The number of suspicions is bounded: the oldest of the flood is evicted, the newest is kept.
    node.target_ended(
        at(30.0),
        TargetEnd(50_000),
        &[request(10_000), request(29_999)],
    );
    assert!(!node.refuses(at(30.0), request(10_000)));
    assert!(node.refuses(at(30.0), request(29_999)));
}

/// The request of [`CRASHING`], which another caller sends.
const SERVED: CallerRequest = CallerRequest {
    caller: Caller(2),
    ..CRASHING
};

/// Guards against a request that is never refused because another caller's same request is served.
#[test]
fn a_success_of_another_caller_clears_nothing() {
    let [mut first, mut second, mut leader] = [(); 3].map(|()| Quarantine::default());
    let mut now = at(100.0);
    for end in 0..3 {
        let node = if end == 1 { &mut second } else { &mut first };
        node.good_end(now, SERVED);
        node.target_ended(now + at(1.0), TargetEnd(end), &[SERVED, CRASHING]);
        now += at(5.0);
        renew(now, node, &mut leader);
    }
    renew(now, &mut first, &mut leader);
    renew(now, &mut second, &mut leader);
    for node in [&mut first, &mut second, &mut leader] {
        assert!(node.refuses(now, CRASHING));
        assert!(!node.refuses(now, SERVED), "it was served");
        let third = CallerRequest {
            caller: Caller(3),
            ..CRASHING
        };
        assert!(node.refuses(now, third), "it may come from another one");
        node.good_end(now, SERVED);
        assert!(node.refuses(now, CRASHING), "the other one's success");
    }
}

/// Guards against a popular request that is refused because it was in flight when two targets crashed by themselves, though
/// other tenants and callers were served with the same content.
#[test]
fn two_ends_do_not_refuse_a_request_whose_content_is_served() {
    let other_tenants = CallerRequest {
        fingerprint: Fingerprint(77),
        ..CRASHING
    };
    for served in [SERVED, other_tenants] {
        let [mut node, mut leader] = [(); 2].map(|()| Quarantine::default());
        node.good_end(at(10.0), served);
        for end in 0..2 {
            node.target_ended(at(20.0), TargetEnd(end), &[CRASHING]);
        }
        renew(at(21.0), &mut node, &mut leader);
        assert!(!node.refuses(at(21.0), CRASHING) && !leader.refuses(at(21.0), CRASHING));
        node.target_ended(at(22.0), TargetEnd(2), &[CRASHING]);
        renew(at(23.0), &mut node, &mut leader);
        assert!(node.refuses(at(23.0), CRASHING) && leader.refuses(at(23.0), CRASHING));
    }
}

/// Guards against a caller that stays exempt although its requests terminate targets too.
#[test]
fn a_caller_that_was_served_is_refused_once_it_terminates_targets() {
    let mut node = Quarantine::default();
    node.good_end(at(10.0), SERVED);
    for end in 0..2 {
        node.target_ended(at(20.0), TargetEnd(end), &[CRASHING]);
    }
    assert!(!node.refuses(at(21.0), SERVED));
    node.target_ended(at(60.0), TargetEnd(2), &[SERVED]);
    assert!(node.refuses(at(61.0), SERVED));
    assert!(node.refuses(at(61.0), CRASHING));
}

/// A request that is sent by another caller each time is the same one.
#[test]
fn terminations_count_whoever_the_caller_is() {
    let mut node = Quarantine::default();
    for number in 0..2 {
        let suspect = CallerRequest {
            caller: Caller(10 + number),
            ..CRASHING
        };
        node.target_ended(at(10.0), TargetEnd(u64::from(number)), &[suspect]);
    }
    assert!(node.refuses(at(11.0), CRASHING));
}

/// What is left of the evidence against one caller isn't cleared by another's success; its own clears all.
#[test]
fn a_success_of_the_only_suspected_caller_releases_the_request() {
    let mut node = Quarantine::default();
    for end in 0..2 {
        node.target_ended(at(10.0), TargetEnd(end), &[CRASHING]);
    }
    assert!(node.refuses(at(11.0), SERVED));
    let change = node.good_end(at(12.0), CRASHING).expect("a change");
    assert_eq!(change.standing, Standing::Released);
    assert!(!node.refuses(at(12.0), SERVED));
}

/// Observations and verdicts of earlier versions, which know no callers.
#[test]
fn messages_without_callers_are_read() {
    let observation = cbor!({"fingerprint" => 1, "end" => 7, "ms_ago" => 5, "good_ms_ago" => null});
    let observation = observation.and_then(|value| value.deserialized::<Observation>());
    let observation = observation.expect("an observation");
    assert_eq!(observation.caller, Caller::UNKNOWN);
    let verdict = cbor!({
        "fingerprint" => 1, "revision" => 1, "standing" => "Refused", "ends" => 2,
        "first_end_ms_ago" => 9, "left_ms" => 9_000,
    });
    let verdict = verdict.and_then(|value| value.deserialized::<Verdict>());
    let verdict = verdict.expect("a verdict");
    let mut node = Quarantine::default();
    let report = Report {
        verdicts: vec![verdict],
        observations: vec![observation],
        ..Report::default()
    };
    node.reported(at(10.0), &report);
    assert!(node.refuses(at(10.0), CRASHING) && node.refuses(at(10.0), SERVED));
}

quickcheck! {
    /// Arbitrary reports cause no panic, and memory stays bounded.
    fn arbitrary_reports_are_harmless(told: Vec<(u64, u64, u64, u64)>) -> bool {
        let mut node = Quarantine::default();
        let verdict = |(fingerprint, revision, ago, left): &(u64, u64, u64, u64)| Verdict {
            fingerprint: Fingerprint(*fingerprint),
            revision: u32::try_from(*revision).unwrap_or(u32::MAX),
            standing: if left % 2 == 0 { Standing::Refused } else { Standing::Released },
            ends: u8::MAX,
            first_end_ms_ago: *ago,
            left_ms: *left,
            served: [Caller(1), Caller(9)].into_iter().collect(),
        };
        let observation = |(fingerprint, end, ago, good): &(u64, u64, u64, u64)| Observation {
            fingerprint: Fingerprint(*fingerprint),
            end: TargetEnd(*end),
            ms_ago: *ago,
            good_ms_ago: Some(*good),
            caller: Caller(u32::from(good % 2 == 0)),
            served: Callers::default(),
            is_content_served: good % 3 == 0,
        };
        let report = Report {
            digest: u64::MAX,
            verdicts: told.iter().map(verdict).collect(),
            observations: told.iter().map(observation).collect(),
            newest: u64::MAX,
        };
        node.reported(at(10.0), &report);
        node.target_ended(at(11.0), TargetEnd(1), &[CRASHING]);
        node.target_ended(at(12.0), TargetEnd(2), &[CRASHING]);
        let shared = node.snapshot(at(12.0));
        shared.verdicts.len() <= 8 && shared.observations.len() <= 8
    }

    /// Two nodes and their leader converge to the same verdicts, whatever the order of events.
    fn nodes_converge_to_the_same_verdicts(events: Vec<(bool, u8, u8, u8)>) -> bool {
        let [mut left, mut right, mut leader] = [(); 3].map(|()| Quarantine::default());
        let mut now = at(10.0);
        for (is_left, end, fingerprint, good) in events {
            now += at(0.3);
            let node = if is_left { &mut left } else { &mut right };
            // Each termination is seen by one node only.
            let end = TargetEnd(u64::from(end % 8) * 2 + u64::from(is_left));
            let suspect = CallerRequest {
                caller: Caller(1 + u32::from(fingerprint % 3)),
                ..request(u64::from(fingerprint % 5))
            };
            node.target_ended(now, end, &[suspect]);
            if good % 3 == 0 {
                let served = CallerRequest {
                    caller: Caller(1 + u32::from(good % 2)),
                    ..request(u64::from(good % 5))
                };
                node.good_end(now, served);
            }
            if good % 4 == 0 {
                renew(now, node, &mut leader);
            }
        }
        for _ in 0..200 {
            now += at(0.04);
            renew(now, &mut left, &mut leader);
            renew(now, &mut right, &mut leader);
        }
        let fingerprints = (0..5).map(request);
        let callers = (1..4).map(Caller);
        let requests = fingerprints.flat_map(|request| {
            callers.clone().map(move |caller| CallerRequest { caller, ..request })
        });
        requests.into_iter().all(|request| {
            let decisions = [&left, &right, &leader].map(|node| node.refuses(now, request));
            decisions[0] == decisions[1] && decisions[1] == decisions[2]
        })
    }
}
