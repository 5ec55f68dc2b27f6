//! Requests that may run at most once: memory, guards and its bounds.

mod common;

use common::*;
use wingspar_agent::{Admit, AgentSettings, Finish, NotRunProof, RefusalReason};
use wingspar_wire::{Message, RememberedOutcome, Takeover};
use wingspar_world::SliceRange;

const WINDOW_MS: u64 = 600_000;

fn deposit(id: u64, attempt: Option<u32>) -> wingspar_agent::Admission {
    once(admission(b"rose", ms(u64::MAX / 1_000)), id, attempt)
}

fn unknown(admit: Admit) -> RefusalReason {
    match admit {
        Admit::Unknown(refusal) => {
            assert!(!refusal.retry_after.is_zero());
            refusal.reason
        }
        other => panic!("should be unknown: {other:?}"),
    }
}

fn after_loss(age_ms: u64) -> Fixture {
    let mut fixture = Fixture::serving();
    let takeover = Takeover::Unplanned { age_ms };
    fixture.grant(1, 2, vec![hold(SliceRange::FULL, 11, takeover)]);
    fixture
}

#[test]
fn repeat_gets_the_first_answer() {
    let mut fixture = Fixture::serving();
    let ticket = fixture.run(10, deposit(1, Some(1)));
    let meanwhile = fixture.agent.admit(ms(11), deposit(1, Some(2)));
    assert_eq!(unknown(meanwhile), RefusalReason::InProgress);
    fixture.agent.finish(ms(12), ticket, ran("paid"));
    let replay = fixture.agent.admit(ms(13), deposit(1, Some(2)));
    let expected = RememberedOutcome::Ran {
        status: 201,
        content_type: Some("text/plain".to_owned()),
        body: Some("paid".into()),
    };
    assert_eq!(replay, Admit::Replay(expected));
    fixture.run(14, deposit(2, Some(1)));
}

#[test]
fn unknown_stays_unknown_and_not_run_may_run() {
    let mut fixture = Fixture::serving();
    let lost = fixture.run(10, deposit(1, None));
    fixture.agent.finish(ms(11), lost, Finish::Unknown);
    let again = fixture.agent.admit(ms(12), deposit(1, None));
    assert_eq!(unknown(again), RefusalReason::EarlierUnknown);

    let left = fixture.run(20, deposit(2, None));
    fixture.agent.finish(ms(21), left, Finish::Cancelled);
    let again = fixture.agent.admit(ms(22), deposit(2, None));
    assert_eq!(unknown(again), RefusalReason::EarlierUnknown);

    let unsent = fixture.run(30, deposit(3, None));
    let proof = Finish::NotRun(NotRunProof::NoConnection);
    fixture.agent.finish(ms(31), unsent, proof);
    fixture.run(32, deposit(3, None));
}

#[test]
fn request_cancelled_in_the_queue_is_forgotten() {
    let mut fixture = Fixture::serving();
    for _ in 0..SLOTS {
        fixture.run(10, admission(b"rose", ms(9_000)));
    }
    let Admit::Queue(ticket) = fixture.agent.admit(ms(11), deposit(1, None)) else {
        panic!("should wait");
    };
    fixture.agent.finish(ms(12), ticket, Finish::Cancelled);
    let again = fixture.agent.admit(ms(13), deposit(1, None));
    assert!(matches!(again, Admit::Queue(_)));
}

#[test]
fn memory_lasts_one_window_after_the_end() {
    let mut fixture = Fixture::serving();
    let ticket = fixture.run(10, deposit(1, None));
    fixture.agent.finish(ms(1_000), ticket, ran("paid"));
    for now in (1_000..WINDOW_MS + 1_000).step_by(1_000) {
        fixture.renew(now);
    }
    let now = ms(WINDOW_MS + 999);
    let known = fixture.agent.admit(now, deposit(1, None));
    assert!(matches!(known, Admit::Replay(_)));
    let forgotten = fixture.agent.admit(ms(WINDOW_MS + 1_000), deposit(1, None));
    assert!(matches!(forgotten, Admit::Run(_)));
}

#[test]
fn full_memory_refuses_rather_than_forgets() {
    let settings = AgentSettings {
        remembered_requests: 2,
        ..AgentSettings::default()
    };
    let mut fixture = Fixture::serving_with(settings);
    for id in 0..2 {
        let ticket = fixture.run(10, deposit(id, None));
        fixture.agent.finish(ms(10), ticket, ran("paid"));
    }
    let third = fixture.agent.admit(ms(11), deposit(3, None));
    let Admit::Refuse(refusal) = third else {
        panic!("no room: {third:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::MemoryFull);
    assert!(!refusal.retry_after.is_zero());
    let replay = fixture.agent.admit(ms(12), deposit(1, None));
    assert!(matches!(replay, Admit::Replay(_)));
    fixture.run(13, admission(b"rose", ms(9_000)));
}

#[test]
fn bodies_beyond_the_limits_are_not_kept() {
    let settings = AgentSettings {
        remembered_bytes: 5,
        remembered_body_bytes: 4,
        ..AgentSettings::default()
    };
    let mut fixture = Fixture::serving_with(settings);
    let bodies = [
        (1, "long body", false),
        (2, "paid", true),
        (3, "done", false),
    ];
    for (id, body, kept) in bodies {
        let ticket = fixture.run(10, deposit(id, None));
        fixture.agent.finish(ms(10), ticket, ran(body));
        let replay = fixture.agent.admit(ms(11), deposit(id, None));
        let Admit::Replay(RememberedOutcome::Ran { body, .. }) = replay else {
            panic!("{replay:?}");
        };
        assert_eq!(body.is_some(), kept, "request {id}");
    }
}

#[test]
fn after_an_unplanned_takeover_repeats_are_not_run() {
    let mut fixture = after_loss(0);
    for attempt in [Some(2), None] {
        let refused = fixture.agent.admit(ms(10), deposit(1, attempt));
        assert_eq!(unknown(refused), RefusalReason::PreviousOwnerLost);
    }
    fixture.run(10, deposit(2, Some(1)));
    fixture.run(10, admission(b"rose", ms(9_000)));
    let mut lookup = deposit(3, Some(2));
    lookup.repeatable = true;
    fixture.run(10, lookup);
}

#[test]
fn guard_ends_with_the_window_and_follows_the_contract() {
    let mut fixture = after_loss(WINDOW_MS - 100);
    let guarded = fixture.agent.admit(ms(100), deposit(1, None));
    assert_eq!(unknown(guarded), RefusalReason::PreviousOwnerLost);
    fixture.run(102, deposit(1, None));

    let mut fixture = after_loss(0);
    let mut lenient = configuration(2);
    let service = lenient.services.get_mut(&stoc()).unwrap();
    service.1.contract.guard_unnumbered_attempts = false;
    fixture.receive(2, Message::Configuration(Box::new(lenient)));
    fixture.run(10, deposit(1, None));
    let marked = fixture.agent.admit(ms(10), deposit(2, Some(2)));
    assert_eq!(unknown(marked), RefusalReason::PreviousOwnerLost);
}

#[test]
fn guard_outlives_splits_and_later_lists() {
    let mut fixture = after_loss(0);
    let halves = SliceRange::partition(2);
    let entries = halves.iter().map(|half| hold(*half, 11, Takeover::Planned));
    fixture.grant(5, 3, entries.collect());
    let refused = fixture.agent.admit(ms(10), deposit(1, Some(2)));
    assert_eq!(unknown(refused), RefusalReason::PreviousOwnerLost);
}

#[test]
fn own_lapse_leaves_running_work_unknown_and_remembered() {
    let mut fixture = Fixture::serving();
    let ticket = fixture.run(10, deposit(1, None));
    fixture.tick(LEASE_MS);
    fixture
        .agent
        .finish(ms(LEASE_MS + 1), ticket, Finish::Unknown);
    let sent_at = fixture.renewals().last().unwrap().sent_at;
    fixture.session = wingspar_wire::SessionId(version(5));
    let verdict = fixture.renewed();
    fixture.verdict(LEASE_MS + 5, sent_at, verdict);
    let takeover = Takeover::Unplanned { age_ms: 0 };
    let entries = vec![hold(SliceRange::FULL, 12, takeover)];
    fixture.grant(LEASE_MS + 6, 9, entries);
    let again = fixture.agent.admit(ms(LEASE_MS + 7), deposit(1, Some(1)));
    assert_eq!(unknown(again), RefusalReason::EarlierUnknown);
}
