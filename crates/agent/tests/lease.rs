//! Session and lease: what counts as the right to serve, and when it ends.

mod common;

use common::*;
use wingspar_agent::{Admit, Finish, Output, RefusalReason};
use wingspar_wire::{Message, RenewalVerdict, SessionId, Takeover};
use wingspar_world::{ConfigVersion, KeyHash, SliceRange};

fn reason(admit: Admit) -> RefusalReason {
    match admit {
        Admit::Refuse(refusal) => {
            assert!(!refusal.retry_after.is_zero(), "tells when to come back");
            refusal.reason
        }
        other => panic!("should be refused: {other:?}"),
    }
}

#[test]
fn serves_under_a_running_lease_with_the_grants_fence() {
    let mut fixture = Fixture::serving();
    let Admit::Run(ticket) = fixture.agent.admit(ms(10), admission(b"rose", ms(5_000))) else {
        panic!("the request should run");
    };
    let clearance = fixture.agent.start(ms(20), ticket).unwrap();
    let grant = clearance.grant.unwrap();
    assert_eq!(grant.fence.sequence, 10);
    assert_eq!(grant.range, SliceRange::FULL);
    assert_eq!(clearance.ttl.as_millis(), 1_480);
    assert!(fixture.agent.finish(ms(30), ticket, ran("ok")).is_empty());
    assert_eq!(fixture.agent.in_flight(), 0);
}

#[test]
fn lease_counts_from_the_sending_of_the_renewal() {
    let mut fixture = Fixture::new(Default::default());
    fixture.tick(0);
    let sent_at = fixture.renewals()[0].sent_at;
    let verdict = fixture.renewed();
    fixture.verdict(1_000, sent_at, verdict);
    assert!(fixture.agent.session(ms(LEASE_MS - 1)).is_some());
    assert!(fixture.agent.session(ms(LEASE_MS)).is_none());
}

#[test]
fn lapse_is_seen_at_every_look() {
    let mut fixture = Fixture::serving();
    let late = fixture
        .agent
        .admit(ms(LEASE_MS), admission(b"rose", ms(9_000)));
    assert_eq!(reason(late), RefusalReason::NoLease);

    let mut fixture = Fixture::serving();
    let Admit::Run(ticket) = fixture.agent.admit(ms(10), admission(b"rose", ms(9_000))) else {
        panic!("the request should run");
    };
    let paused = fixture.agent.start(ms(LEASE_MS), ticket);
    assert_eq!(paused.unwrap_err().reason, RefusalReason::NoLease);
}

#[test]
fn lapse_cancels_what_runs_and_wakes_what_waits() {
    let mut fixture = Fixture::serving();
    let running: Vec<_> = (0..SLOTS)
        .map(|_| fixture.run(10, admission(b"rose", ms(9_000))))
        .collect();
    let Admit::Queue(waiting) = fixture.agent.admit(ms(10), admission(b"rose", ms(9_000))) else {
        panic!("the request should wait");
    };
    assert!(fixture.agent.next_wake() <= ms(LEASE_MS));
    fixture.outputs.clear();
    fixture.tick(LEASE_MS);
    assert!(fixture.outputs.contains(&Output::LeaseLost));
    assert!(
        fixture
            .outputs
            .contains(&Output::Cancel { tickets: running })
    );
    assert!(fixture.outputs.contains(&Output::Wake {
        tickets: vec![waiting]
    }));
    let refused = fixture.agent.start(ms(LEASE_MS), waiting).unwrap_err();
    assert_eq!(refused.reason, RefusalReason::NoLease);
    assert_eq!(
        fixture.agent.counters().in_flight_at_lapse,
        u64::from(SLOTS)
    );
}

#[test]
fn late_reply_does_not_bring_a_lapsed_session_back() {
    let mut fixture = Fixture::serving();
    fixture.tick(1_400);
    let sent_at = fixture.renewals().last().unwrap().sent_at;
    fixture.tick(LEASE_MS);
    let verdict = fixture.renewed();
    fixture.verdict(LEASE_MS + 10, sent_at, verdict);
    assert!(fixture.agent.session(ms(LEASE_MS + 10)).is_none());
    assert!(fixture.agent.served(ms(LEASE_MS + 10)).is_empty());
    let registration = fixture.renewals();
    assert!(registration.iter().all(|one| one.session.is_none()));
}

#[test]
fn new_session_starts_without_the_old_grants() {
    let mut fixture = Fixture::serving();
    fixture.tick(LEASE_MS);
    let registration = fixture.renewals();
    let sent_at = registration.last().unwrap().sent_at;
    let old_session = fixture.session;
    fixture.session = SessionId(version(5));
    let verdict = fixture.renewed();
    fixture.verdict(LEASE_MS + 5, sent_at, verdict);
    let now = LEASE_MS + 6;
    let refused = fixture.agent.admit(ms(now), admission(b"rose", ms(9_000)));
    assert_eq!(reason(refused), RefusalReason::NotOwner);

    let new_session = std::mem::replace(&mut fixture.session, old_session);
    fixture.grant(now, 9, vec![hold(SliceRange::FULL, 10, Takeover::First)]);
    assert!(
        fixture.agent.served(ms(now)).is_empty(),
        "old session's list"
    );
    fixture.session = new_session;
    fixture.grant(now, 9, vec![hold(SliceRange::FULL, 12, Takeover::First)]);
    assert_eq!(fixture.agent.served(ms(now))[0].fence.sequence, 12);
}

#[test]
fn old_and_foreign_lists_are_ignored() {
    let mut fixture = Fixture::serving();
    fixture.grant(1, 3, vec![]);
    fixture.grant(2, 2, vec![hold(SliceRange::FULL, 10, Takeover::First)]);
    assert!(fixture.agent.served(ms(2)).is_empty());
    fixture.node = node("m2");
    fixture.grant(3, 4, vec![hold(SliceRange::FULL, 10, Takeover::First)]);
    assert!(fixture.agent.served(ms(3)).is_empty());
    let reversed = SliceRange {
        first: KeyHash(9),
        last: KeyHash(1),
    };
    fixture.node = node("m1");
    fixture.grant(4, 5, vec![hold(reversed, 10, Takeover::First)]);
    assert!(fixture.agent.served(ms(4)).is_empty());
}

#[test]
fn session_over_drops_grants_only_for_the_session_asked_about() {
    let mut fixture = Fixture::serving();
    fixture.tick(400);
    let sent_at = fixture.renewals().last().unwrap().sent_at;
    fixture.verdict(410, ms(0), RenewalVerdict::SessionOver);
    assert!(fixture.agent.session(ms(410)).is_some(), "an old renewal");
    fixture.verdict(411, sent_at, RenewalVerdict::SessionOver);
    assert!(fixture.agent.session(ms(411)).is_none());
    assert!(fixture.agent.served(ms(411)).is_empty());
}

#[test]
fn follows_the_leader_and_backs_off_without_one() {
    let mut fixture = Fixture::new(Default::default());
    fixture.tick(0);
    let first = fixture.renewals();
    let elsewhere = RenewalVerdict::NotLeader {
        leader: Some(address(7_003)),
    };
    fixture.verdict(5, first[0].sent_at, elsewhere);
    let to_leader =
        |output: &Output| matches!(output, Output::Send(one) if one.to == address(7_003));
    assert!(fixture.outputs.iter().any(to_leader), "asked at once");

    let mut renewals = 0;
    let mut now = 5;
    while now < 20_000 {
        now = (fixture.agent.next_wake().as_micros().div_ceil(1_000)).max(now + 1);
        fixture.tick(now);
        renewals += fixture.renewals().len();
    }
    assert!((10..=40).contains(&renewals), "{renewals} tries in 20 s");
}

#[test]
fn configuration_behind_is_pulled_and_never_goes_back() {
    let mut fixture = Fixture::serving();
    fixture.receive(1, Message::Configuration(Box::new(configuration(3))));
    let mut without = configuration(2);
    without.targets.clear();
    fixture.receive(2, Message::Configuration(Box::new(without.clone())));
    assert_eq!(fixture.agent.configuration().version.0, 3);
    without.version.0 = 4;
    fixture.receive(3, Message::Configuration(Box::new(without)));
    let refused = fixture.agent.admit(ms(4), admission(b"rose", ms(9_000)));
    assert_eq!(reason(refused), RefusalReason::UnknownTarget);
}

#[test]
fn burst_of_news_neither_floods_nor_loses_the_leader() {
    let mut fixture = Fixture::serving();
    fixture.outputs.clear();
    for number in 2..102 {
        fixture.grant(number, number, vec![]);
    }
    let renewals = fixture.renewals();
    assert!((4..=6).contains(&renewals.len()), "{}", renewals.len());
    assert_eq!(fixture.agent.leader(), Some(leader()));
    fixture.tick(1_000);
    assert_eq!(fixture.agent.leader(), None, "silent for too long");
}

#[test]
fn pulls_what_the_leader_did_not_send_by_itself() {
    let mut fixture = Fixture::serving();
    let newer = RenewalVerdict::Renewed {
        session: fixture.session,
        lease_ms: LEASE_MS,
        config: ConfigVersion(2),
        grants: version(2),
        table: version(1),
    };
    let mut pulls = |now: u64| {
        fixture.outputs.clear();
        fixture.tick(now);
        let sent_at = fixture.renewals()[0].sent_at;
        fixture.verdict(now, sent_at, newer.clone());
        let sent = fixture.sent().into_iter();
        sent.filter(|message| matches!(message, Message::Pull(_)))
            .count()
    };
    assert_eq!(pulls(400), 0, "the leader's own message may be on its way");
    assert_eq!(pulls(800), 2);
}

#[test]
fn unknown_ticket_is_harmless() {
    let mut fixture = Fixture::serving();
    let ticket = fixture.run(1, admission(b"rose", ms(9_000)));
    fixture.agent.finish(ms(2), ticket, Finish::Unknown);
    fixture.agent.finish(ms(2), ticket, Finish::Unknown);
    assert!(fixture.agent.start(ms(2), ticket).is_err());
}
