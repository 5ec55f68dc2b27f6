//! Slots, queues, classes, draining and the health of back ends.

mod common;

use common::*;
use wingspar_agent::{
    Admission, Admit, AgentEvent, Finish, Input, NotRunProof, Output, RefusalReason, Ticket,
};
use wingspar_wire::{Message, Takeover};
use wingspar_world::{RequestClass, SliceRange};

fn reason(admit: Admit) -> RefusalReason {
    match admit {
        Admit::Refuse(refusal) => {
            assert!(!refusal.retry_after.is_zero(), "tells when to come back");
            refusal.reason
        }
        other => panic!("should be refused: {other:?}"),
    }
}

fn of_class(class: RequestClass) -> Admission {
    let mut one = admission(b"rose", ms(60_000));
    one.class = class;
    one
}

fn unkeyed() -> Admission {
    let mut one = admission(b"", ms(9_000));
    one.service = tal();
    one.target = target_name("t1");
    one.key = None;
    one
}

fn admit(fixture: &mut Fixture, class: RequestClass) -> Admit {
    fixture.agent.admit(ms(10), of_class(class))
}

fn drain(fixture: &mut Fixture, at: u64, number: u64, draining: bool) {
    let mut drained = configuration(number);
    for (_, target) in drained.targets.values_mut() {
        target.draining = draining;
    }
    fixture.receive(at, Message::Configuration(Box::new(drained)));
}

#[test]
fn slots_then_queue_then_early_refusal() {
    let mut fixture = Fixture::serving();
    let mut running: Vec<Ticket> = Vec::new();
    let mut waiting: Vec<Ticket> = Vec::new();
    for _ in 0..2 * SLOTS {
        match admit(&mut fixture, RequestClass::Interactive) {
            Admit::Run(ticket) => running.push(ticket),
            Admit::Queue(ticket) => waiting.push(ticket),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(running.len(), SLOTS as usize);
    assert_eq!(waiting.len(), SLOTS as usize);
    let full = admit(&mut fixture, RequestClass::Interactive);
    assert_eq!(reason(full), RefusalReason::Overloaded);
    let next = fixture.agent.finish(ms(20), running[0], ran("ok"));
    assert_eq!(next, vec![waiting[0]], "first come, first served");
    assert!(fixture.agent.start(ms(20), next[0]).is_ok());
    let gone = fixture.agent.finish(ms(21), waiting[1], Finish::Cancelled);
    assert!(gone.is_empty(), "one who waited had no slot");
    let next = fixture.agent.finish(ms(22), running[1], ran("ok"));
    assert_eq!(next, vec![waiting[2]]);
}

#[test]
fn wait_beyond_the_deadline_is_refused_at_once() {
    let mut fixture = Fixture::serving();
    for _ in 0..SLOTS {
        let ticket = fixture.run(10, admission(b"rose", ms(60_000)));
        fixture.agent.finish(ms(1_200), ticket, ran("ok"));
    }
    fixture.renew(1_300);
    for _ in 0..SLOTS {
        fixture.run(1_310, admission(b"rose", ms(60_000)));
    }
    let hasty = fixture
        .agent
        .admit(ms(1_310), admission(b"rose", ms(1_320)));
    assert_eq!(reason(hasty), RefusalReason::Overloaded);
}

#[test]
fn bulk_and_checks_leave_room_and_are_not_starved() {
    let mut fixture = Fixture::serving();
    let mut bulk = 0;
    while let Admit::Run(_) = admit(&mut fixture, RequestClass::Bulk) {
        bulk += 1;
    }
    assert_eq!(bulk, 3, "four slots less 40% rounded down");
    let Admit::Run(till) = admit(&mut fixture, RequestClass::Interactive) else {
        panic!("a slot was left for it");
    };
    let Admit::Queue(check) = admit(&mut fixture, RequestClass::Checks) else {
        panic!("all slots are taken");
    };
    let Admit::Queue(next_till) = admit(&mut fixture, RequestClass::Interactive) else {
        panic!("all slots are taken");
    };
    let next = fixture.agent.finish(ms(20), till, Finish::Cancelled);
    assert_eq!(
        next,
        vec![next_till],
        "more urgent of two classes with none"
    );
    let next = fixture.agent.finish(ms(21), next_till, Finish::Cancelled);
    assert_eq!(next, vec![check]);
}

#[test]
fn draining_target_gets_no_new_work_after_the_grace() {
    let mut fixture = Fixture::serving();
    let ticket = fixture.run(10, admission(b"rose", ms(60_000)));
    drain(&mut fixture, 20, 2, true);
    let other = fixture.agent.admit(ms(20), unkeyed());
    assert_eq!(
        reason(other),
        RefusalReason::Draining,
        "others can serve it"
    );
    let until_called_back = fixture.run(30, admission(b"rose", ms(60_000)));
    fixture.renew(1_000);
    fixture.renew(2_100);
    let late = fixture
        .agent
        .admit(ms(2_100), admission(b"rose", ms(60_000)));
    assert_eq!(reason(late), RefusalReason::Draining);
    fixture.agent.finish(ms(2_200), ticket, ran("ok"));
    fixture
        .agent
        .finish(ms(2_200), until_called_back, ran("ok"));
    drain(&mut fixture, 2_300, 3, false);
    fixture.run(2_301, admission(b"rose", ms(60_000)));
}

#[test]
fn leaves_when_nothing_runs_and_nothing_is_held() {
    let mut fixture = Fixture::serving();
    let ticket = fixture.run(10, admission(b"rose", ms(60_000)));
    fixture.outputs.clear();
    fixture.step(20, Input::Leave);
    assert!(
        fixture
            .renewals()
            .iter()
            .all(|one| one.leaving && !one.finished)
    );
    fixture.grant(30, 2, vec![]);
    assert!(!fixture.outputs.contains(&Output::Drained), "one runs");
    fixture.agent.finish(ms(40), ticket, ran("ok"));
    assert_eq!(fixture.agent.next_wake(), ms(0), "look at once");
    fixture.tick(41);
    assert!(fixture.outputs.contains(&Output::Drained));
    assert!(fixture.renewals().last().unwrap().finished);
}

#[test]
fn config_without_the_target_wakes_and_refuses_what_waits() {
    let mut fixture = Fixture::serving();
    for _ in 0..SLOTS {
        fixture.run(10, admission(b"rose", ms(60_000)));
    }
    let Admit::Queue(waiting) = admit(&mut fixture, RequestClass::Interactive) else {
        panic!("should wait");
    };
    let mut without = configuration(2);
    without.targets.clear();
    fixture.outputs.clear();
    fixture.receive(20, Message::Configuration(Box::new(without)));
    let tickets = vec![waiting];
    assert!(fixture.outputs.contains(&Output::Wake { tickets }));
    let refused = fixture.agent.start(ms(21), waiting).unwrap_err();
    assert_eq!(refused.reason, RefusalReason::UnknownTarget);
}

#[test]
fn failing_back_end_gets_trials_only_until_one_succeeds() {
    let mut fixture = Fixture::serving();
    let no_connection = Finish::NotRun(NotRunProof::NoConnection);
    fixture.outputs.clear();
    for _ in 0..5 {
        let ticket = fixture.run(10, admission(b"rose", ms(9_000)));
        fixture.agent.finish(ms(10), ticket, no_connection.clone());
    }
    let refused = fixture.agent.admit(ms(20), admission(b"rose", ms(9_000)));
    assert_eq!(reason(refused), RefusalReason::BackEndDown);
    fixture.renew(500);
    let trial = fixture.run(520, admission(b"rose", ms(9_000)));
    let second = fixture.agent.admit(ms(521), admission(b"rose", ms(9_000)));
    assert_eq!(
        reason(second),
        RefusalReason::BackEndDown,
        "one trial at a time"
    );
    fixture.agent.finish(ms(530), trial, ran("ok"));
    fixture.run(531, admission(b"rose", ms(9_000)));
    fixture.tick(540);
    let events = fixture.outputs.iter().filter(|output| {
        matches!(
            output,
            Output::Event(AgentEvent::TargetHealth { healthy: true, .. })
        )
    });
    assert_eq!(events.count(), 1);
}

#[test]
fn key_of_another_slice_or_target_is_refused() {
    let mut fixture = Fixture::serving();
    let ranges = SliceRange::partition(2);
    fixture.grant(1, 2, vec![hold(ranges[0], 10, Takeover::First)]);
    let mut one = admission(b"rose", ms(9_000));
    one.key = Some(ranges[1].first);
    assert_eq!(
        reason(fixture.agent.admit(ms(2), one.clone())),
        RefusalReason::NotOwner
    );
    one.key = None;
    assert_eq!(
        reason(fixture.agent.admit(ms(2), one.clone())),
        RefusalReason::KeyMissing
    );
    one.key = Some(ranges[0].last);
    one.target = target_name("t1");
    assert_eq!(
        reason(fixture.agent.admit(ms(2), one)),
        RefusalReason::UnknownService
    );
}

#[test]
fn renewal_reports_observed_load_and_fits_a_datagram() {
    let mut fixture = Fixture::serving();
    let slices = SliceRange::partition(16);
    let entries = slices.iter().map(|range| hold(*range, 10, Takeover::First));
    fixture.grant(1, 2, entries.collect());
    for number in 0..600u64 {
        let hot = number % 3 == 0;
        let key = if hot {
            "hot".to_owned()
        } else {
            format!("k{number}")
        };
        let ticket = fixture.run(10, admission(key.as_bytes(), ms(9_000)));
        fixture.agent.finish(ms(10), ticket, ran("ok"));
    }
    fixture.outputs.clear();
    fixture.tick(500);
    let renewals = fixture.renewals();
    let load = &renewals[0].targets[0];
    assert!((150.0..=200.0).contains(&load.requests_per_second));
    assert_eq!(load.hot_keys.len(), 1, "only one stands out");
    assert_eq!(load.hot_keys[0].key, wingspar_world::KeyHash::of(b"hot"));
    assert!((40.0..=70.0).contains(&load.hot_keys[0].requests_per_second));
    assert!(load.slices[0].range.contains(load.hot_keys[0].key));
    let message = Message::Renewal(renewals[0].clone());
    let envelope = wingspar_wire::Envelope::new(node("m1"), leader(), message);
    let bytes = wingspar_wire::encode(&envelope).unwrap();
    assert!(
        bytes.len() <= wingspar_wire::MAX_DATAGRAM_BYTES,
        "{}",
        bytes.len()
    );
}
