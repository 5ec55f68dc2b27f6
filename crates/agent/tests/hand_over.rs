//! Planned hand-over between two agents, message by message.

mod common;

use common::*;
use wingspar_agent::{Admit, AgentSettings, Finish, Input, Output, RefusalReason};
use wingspar_wire::{
    GrantEntry, GrantState, Message, Outbound, Released, Remember, RememberReply,
    RememberedOutcome, StateVersion, Takeover,
};
use wingspar_world::{Fence, KeyHash, SliceRange};

const HAND_OVER: StateVersion = StateVersion {
    generation: 1,
    sequence: 77,
};

fn release(range: SliceRange) -> GrantEntry {
    release_after(range, Takeover::First)
}

fn release_after(range: SliceRange, takeover: Takeover) -> GrantEntry {
    let state = GrantState::Release {
        hand_over: HAND_OVER,
        successor: Some(address(7_200)),
        takeover,
    };
    entry(range, 10, state)
}

fn incoming(range: SliceRange) -> GrantEntry {
    entry(range, 10, GrantState::Incoming)
}

/// An agent that holds nothing and expects a range.
fn successor(range: SliceRange) -> Fixture {
    let mut fixture = Fixture::serving();
    fixture.grant(1, 2, vec![incoming(range)]);
    fixture.outputs.clear();
    fixture
}

fn remembers(fixture: &mut Fixture) -> Vec<Remember> {
    let sent = fixture.sent().into_iter();
    sent.filter_map(|message| match message {
        Message::Remember(remember) => Some(remember),
        _ => None,
    })
    .collect()
}

fn released(fixture: &mut Fixture) -> Vec<Released> {
    let sent = fixture.sent().into_iter();
    sent.filter_map(|message| match message {
        Message::Released(released) => Some(released),
        _ => None,
    })
    .collect()
}

/// Gives `part` to the successor and its confirmation back to the source.
fn move_part(source: &mut Fixture, target: &mut Fixture, at: u64, part: Remember) {
    target.receive(at, Message::Remember(part));
    let confirmed = target.sent().into_iter().find_map(|message| match message {
        Message::RememberReply(reply) => Some(reply),
        _ => None,
    });
    let reply = confirmed.expect("the successor confirms");
    source.receive(at, Message::RememberReply(reply));
}

fn deposit(id: u64, attempt: Option<u32>) -> wingspar_agent::Admission {
    once(admission(b"rose", ms(9_000)), id, attempt)
}

#[test]
fn finishes_work_moves_memory_then_releases() {
    let mut source = Fixture::serving();
    let mut target = successor(SliceRange::FULL);
    let done = source.run(10, deposit(1, Some(1)));
    source.agent.finish(ms(11), done, ran("paid"));
    let running = source.run(12, deposit(2, Some(1)));
    let Admit::Run(unsent) = source.agent.admit(ms(12), deposit(3, Some(1))) else {
        panic!("should run");
    };

    source.grant(20, 2, vec![release(SliceRange::FULL)]);
    let refused = source.agent.start(ms(21), unsent).unwrap_err();
    assert_eq!(refused.reason, RefusalReason::HandingOver);
    let Admit::Refuse(refused) = source.agent.admit(ms(21), deposit(4, None)) else {
        panic!("admits nothing new");
    };
    assert_eq!(refused.reason, RefusalReason::HandingOver);
    assert!(!refused.retry_after.is_zero());
    source.tick(400);
    assert!(remembers(&mut source).is_empty(), "one still runs");

    source.agent.finish(ms(410), running, ran("booked"));
    assert_eq!(source.agent.next_wake(), ms(0), "look at once");
    source.tick(411);
    let parts = remembers(&mut source);
    assert_eq!(parts.len(), 1);
    assert_eq!(parts[0].requests.len(), 2, "what never started is left out");
    source.tick(435);
    assert!(remembers(&mut source).is_empty());
    source.tick(436);
    assert_eq!(remembers(&mut source).len(), 1, "repeated until confirmed");

    move_part(&mut source, &mut target, 620, parts[0].clone());
    let told = released(&mut source);
    assert_eq!(told.len(), 1);
    assert!(told[0].remembered_moved);
    assert_eq!(
        (told[0].hand_over, told[0].session),
        (HAND_OVER, source.session)
    );
    source.tick(900);
    assert_eq!(released(&mut source).len(), 1, "repeated until seen");
    source.grant(910, 3, vec![]);
    source.tick(1_200);
    assert!(released(&mut source).is_empty());
    assert_eq!(source.agent.remembered(), 1, "only what was never started");
    source.agent.finish(ms(1_201), unsent, Finish::Cancelled);
    assert_eq!(source.agent.remembered(), 0);

    let early = target.agent.admit(ms(630), deposit(1, Some(2)));
    let Admit::Refuse(early) = early else {
        panic!("may not serve yet: {early:?}");
    };
    assert_eq!(early.reason, RefusalReason::NotYetOwner);
    let entries = vec![hold(SliceRange::FULL, 20, Takeover::Planned)];
    target.grant(640, 3, entries);
    for id in [1, 2] {
        let replay = target.agent.admit(ms(650), deposit(id, None));
        assert!(matches!(replay, Admit::Replay(_)), "{replay:?}");
    }
    target.run(650, deposit(5, Some(2)));
}

#[test]
fn silent_successor_leads_to_a_release_without_memory() {
    let mut source = Fixture::serving();
    let done = source.run(10, deposit(1, None));
    source.agent.finish(ms(11), done, ran("paid"));
    source.grant(20, 2, vec![release(SliceRange::FULL)]);
    for now in (1_000..3_000).step_by(1_000) {
        source.renew(now);
        assert!(released(&mut source).is_empty());
    }
    source.renew(3_000);
    source.tick(3_020);
    let told = released(&mut source);
    assert!(!told.is_empty() && !told[0].remembered_moved);
    assert_eq!(source.agent.counters().remembered_lost, 1);
}

#[test]
fn nothing_to_remember_releases_at_once() {
    let mut source = Fixture::serving();
    source.grant(20, 2, vec![release(SliceRange::FULL)]);
    let told = released(&mut source);
    assert!(told.len() == 1 && told[0].remembered_moved);
}

#[test]
fn guard_goes_along() {
    let mut source = Fixture::serving();
    let takeover = Takeover::Unplanned { age_ms: 0 };
    source.grant(1, 2, vec![hold(SliceRange::FULL, 10, takeover)]);
    source.grant(1_001, 3, vec![release(SliceRange::FULL)]);
    let parts = remembers(&mut source);
    assert_eq!(parts[0].guard_remaining_ms, 599_000);
    let mut target = successor(SliceRange::FULL);
    move_part(&mut source, &mut target, 1_002, parts[0].clone());
    target.grant(
        1_003,
        3,
        vec![hold(SliceRange::FULL, 20, Takeover::Planned)],
    );
    let repeat = target.agent.admit(ms(1_004), deposit(1, Some(2)));
    assert!(matches!(repeat, Admit::Unknown(_)), "{repeat:?}");
}

#[test]
fn guard_of_a_slice_that_was_never_served_goes_along() {
    let mut source = Fixture::new(AgentSettings::default());
    source.renew(0);
    source.receive(0, Message::Configuration(Box::new(configuration(1))));
    let takeover = Takeover::Unplanned { age_ms: 1_000 };
    source.grant(1, 2, vec![release_after(SliceRange::FULL, takeover)]);
    let sent = source.sent();
    let tells = |message: &Message| matches!(message, Message::Released(_));
    assert!(!sent.iter().any(tells), "the successor must know first");
    let guard = sent.iter().find_map(|message| match message {
        Message::Remember(part) => Some(part.guard_remaining_ms),
        _ => None,
    });
    assert_eq!(guard, Some(599_000));
}

#[test]
fn large_memory_moves_in_parts_that_fit_a_frame() {
    let mut source = Fixture::serving();
    let body: &'static str = "x".repeat(4_096).leak();
    for id in 0..200 {
        let done = source.run(10, deposit(id, None));
        source.agent.finish(ms(10), done, ran(body));
    }
    source.grant(20, 2, vec![release(SliceRange::FULL)]);
    let mut target = successor(SliceRange::FULL);
    let mut moved = 0;
    let mut now = 30;
    while let Some(part) = remembers(&mut source).pop() {
        // Progress is slow, but there is some: together longer than the bound for one part.
        now += 1_400;
        let message = Message::Remember(part.clone());
        let envelope = wingspar_wire::Envelope::new(node("m1"), leader(), message);
        assert!(wingspar_wire::encode(&envelope).unwrap().len() <= 500 * 1024);
        target.receive(30, Message::Remember(part.clone()));
        moved += 1;
        source.renew(now);
        source.outputs.clear();
        let reply = RememberReply {
            hand_over: HAND_OVER,
            service: stoc(),
            range: part.range,
            part: part.part,
        };
        source.receive(now, Message::RememberReply(reply));
    }
    assert!(moved >= 4, "{moved} parts");
    assert_eq!(target.agent.remembered(), 200);
    assert_eq!(target.agent.counters().remembered_taken_in, 200);
}

#[test]
fn split_during_the_hand_over_waits_only_for_its_own_keys() {
    let mut source = Fixture::serving();
    let halves = SliceRange::partition(2);
    let mut low = admission(b"", ms(9_000));
    low.key = Some(KeyHash(5));
    source.run(10, low);
    let stays = hold(halves[0], 10, Takeover::First);
    source.grant(20, 2, vec![stays, release(halves[1])]);
    let told = released(&mut source);
    assert_eq!(told.len(), 1, "what runs is in the other half");
    assert_eq!(told[0].range, halves[1]);
}

#[test]
fn work_that_may_still_begin_holds_the_slice() {
    let mut source = Fixture::serving();
    let frozen = source.run(10, admission(b"rose", ms(9_000)));
    source.agent.finish(ms(20), frozen, Finish::Unknown);
    let mut lookup = admission(b"rose", ms(9_000));
    lookup.repeatable = true;
    let harmless = source.run(10, lookup);
    source.agent.finish(ms(20), harmless, Finish::Unknown);
    source.grant(30, 2, vec![release(SliceRange::FULL)]);
    source.renew(400);
    assert!(released(&mut source).is_empty());
    assert!(source.agent.next_wake() <= ms(LEASE_MS));
    source.renew(1_000);
    source.tick(LEASE_MS - 1);
    assert!(released(&mut source).is_empty());
    source.tick(LEASE_MS);
    assert_eq!(
        released(&mut source).len(),
        1,
        "the grant sent along is over"
    );
}

#[test]
fn uninvited_or_wrong_memory_is_not_taken_in() {
    let mut target = Fixture::serving();
    let part = Remember {
        node: node("m8"),
        hand_over: HAND_OVER,
        service: stoc(),
        range: SliceRange::FULL,
        fence: Fence {
            generation: 1,
            sequence: 10,
        },
        part: 0,
        parts: 1,
        guard_remaining_ms: 0,
        requests: vec![wingspar_wire::RememberedRequest {
            id: [1, 1],
            key: KeyHash::of(b"rose"),
            age_ms: 5,
            outcome: RememberedOutcome::Unknown,
        }],
    };
    target.receive(2, Message::Remember(part.clone()));
    assert_eq!(target.agent.remembered(), 0, "it expects nothing");
    let mut target = successor(SliceRange::FULL);
    let mut other_fence = part.clone();
    other_fence.fence.sequence = 9;
    target.receive(2, Message::Remember(other_fence));
    assert_eq!(target.agent.remembered(), 0);
    let mut reversed = part.clone();
    reversed.range = SliceRange {
        first: KeyHash(9),
        last: KeyHash(1),
    };
    target.receive(2, Message::Remember(reversed));
    assert!(target.sent().is_empty());
    target.receive(3, Message::Remember(part.clone()));
    target.receive(3, Message::Remember(part));
    assert_eq!(target.agent.remembered(), 1, "twice is once");
    assert_eq!(target.sent().len(), 2, "confirmed each time");
}

#[test]
fn full_successor_does_not_confirm() {
    let settings = AgentSettings {
        remembered_requests: 1,
        ..AgentSettings::default()
    };
    let mut target = Fixture::serving_with(settings);
    target.grant(1, 2, vec![incoming(SliceRange::FULL)]);
    let mut source = Fixture::serving();
    for id in 0..2 {
        let done = source.run(10, deposit(id, None));
        source.agent.finish(ms(10), done, ran("paid"));
    }
    source.grant(20, 2, vec![release(SliceRange::FULL)]);
    target.outputs.clear();
    let part = remembers(&mut source).remove(0);
    target.receive(30, Message::Remember(part));
    let confirms = |message: &Message| matches!(message, Message::RememberReply(_));
    assert!(!target.sent().iter().any(confirms));
}

#[test]
fn between_targets_of_one_agent_the_memory_stays() {
    let mut source = Fixture::serving();
    let done = source.run(10, deposit(1, None));
    source.agent.finish(ms(11), done, ran("paid"));
    let state = GrantState::Release {
        hand_over: HAND_OVER,
        successor: Some(address(7_100)),
        takeover: Takeover::First,
    };
    let mut to = incoming(SliceRange::FULL);
    to.grant.target = target_name("s2");
    source.grant(20, 2, vec![entry(SliceRange::FULL, 10, state), to]);
    assert!(released(&mut source)[0].remembered_moved);
    source.grant(30, 3, vec![hold(SliceRange::FULL, 20, Takeover::Planned)]);
    let replay = source.agent.admit(ms(40), deposit(1, None));
    assert!(matches!(replay, Admit::Replay(_)), "{replay:?}");
}

#[test]
fn lapse_ends_the_hand_over() {
    let mut source = Fixture::serving();
    source.run(10, deposit(1, None));
    source.grant(20, 2, vec![release(SliceRange::FULL)]);
    source.outputs.clear();
    source.step(LEASE_MS, Input::Tick);
    assert!(source.outputs.contains(&Output::LeaseLost));
    source.tick(LEASE_MS + 500);
    let to_successor = |output: &Output| matches!(output, Output::Send(Outbound { to, .. }) if *to == address(7_200));
    assert!(!source.outputs.iter().any(to_successor));
    assert!(released(&mut source).is_empty());
}
