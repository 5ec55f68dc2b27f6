//! Random runs against what must always hold.

mod common;

use std::collections::BTreeMap;

use common::*;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use wingspar_agent::{Admit, Finish, Input, NotRunProof, Output, Ticket};
use wingspar_wire::{GrantState, StateVersion, Takeover};
use wingspar_world::{KeyHash, SliceRange};

const STEPS: usize = 400;

#[derive(Debug, Clone, Copy)]
enum Action {
    Pass(u16),
    Admit { key: u8, id: u8 },
    Start(u8),
    Finish(u8, u8),
    Grant(u8),
    Renew,
}

impl Arbitrary for Action {
    fn arbitrary(random: &mut Gen) -> Self {
        let byte = u8::arbitrary(random);
        match u8::arbitrary(random) % 16 {
            0 => Self::Pass(u16::from(byte) * 8),
            1 => Self::Grant(byte),
            2..=4 => Self::Renew,
            5..=9 => Self::Admit {
                key: byte,
                id: u8::arbitrary(random) % 8,
            },
            10..=12 => Self::Start(byte),
            _ => Self::Finish(byte, u8::arbitrary(random)),
        }
    }
}

/// The agent with what the test itself knows of it.
struct Run {
    fixture: Fixture,
    now: u64,
    list: u64,
    /// Open tickets: key, id, and whether started.
    open: BTreeMap<Ticket, (KeyHash, u8, bool)>,
    /// Work by key and id that may have run.
    ran: BTreeMap<(KeyHash, u8), u32>,
    /// Halves of the ring granted by the list in force.
    held: [bool; 2],
    lease_end: u64,
}

impl Run {
    fn new() -> Self {
        Self {
            fixture: Fixture::serving(),
            now: 0,
            list: 1,
            open: BTreeMap::new(),
            ran: BTreeMap::new(),
            held: [true, true],
            lease_end: LEASE_MS,
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Pass(time) => self.now += u64::from(time),
            Action::Admit { key, id } => self.admit(key, id),
            Action::Start(choice) => self.start(choice),
            Action::Finish(choice, end) => self.finish(choice, end),
            Action::Grant(state) => self.grant(state),
            Action::Renew => self.renew(),
        }
        let started = self.open.values().filter(|one| one.2).count();
        assert_eq!(self.fixture.agent.in_flight(), started);
        assert!(started <= SLOTS as usize, "more than the slots");
    }

    fn admit(&mut self, key: u8, id: u8) {
        let key = KeyHash(u64::from(key % 4) << 62);
        let mut one = once(admission(b"", ms(self.now + 5_000)), u64::from(id), None);
        one.key = Some(key);
        match self.fixture.agent.admit(ms(self.now), one) {
            Admit::Run(ticket) | Admit::Queue(ticket) => {
                self.open.insert(ticket, (key, id, false));
            }
            Admit::Refuse(refusal) | Admit::Unknown(refusal) => {
                assert!(!refusal.retry_after.is_zero());
            }
            Admit::Replay(_) => assert_eq!(self.ran[&(key, id)], 1),
        }
    }

    fn pick(&self, choice: u8) -> Option<Ticket> {
        let place = usize::from(choice) % self.open.len().max(1);
        self.open.keys().nth(place).copied()
    }

    fn start(&mut self, choice: u8) {
        let Some(ticket) = self.pick(choice) else {
            return;
        };
        if self.fixture.agent.start(ms(self.now), ticket).is_err() {
            return;
        }
        let one = self.open.get_mut(&ticket).unwrap();
        one.2 = true;
        assert!(self.now < self.lease_end, "started without a lease");
        assert!(
            self.held[(one.0.0 >> 63) as usize],
            "started without a grant"
        );
        let runs = self.ran.entry((one.0, one.1)).or_default();
        *runs += 1;
        assert_eq!(*runs, 1, "ran twice");
    }

    fn finish(&mut self, choice: u8, end: u8) {
        let Some(ticket) = self.pick(choice) else {
            return;
        };
        let (key, id, started) = self.open.remove(&ticket).unwrap();
        let finish = match end % 4 {
            _ if !started => Finish::NotRun(NotRunProof::NotStarted),
            0 => ran("ok"),
            1 => Finish::Unknown,
            2 => Finish::Cancelled,
            _ => {
                self.ran.remove(&(key, id));
                Finish::NotRun(NotRunProof::RefusedByBackEnd)
            }
        };
        self.fixture.agent.finish(ms(self.now), ticket, finish);
    }

    fn grant(&mut self, state: u8) {
        self.list += 1;
        let hold = |takeover| GrantState::Hold { takeover };
        let release = GrantState::Release {
            hand_over: StateVersion::default(),
            successor: None,
            takeover: Takeover::Planned,
        };
        let states = [
            Some(hold(Takeover::Planned)),
            Some(release),
            Some(GrantState::Incoming),
            None,
        ];
        let chosen = [
            &states[usize::from(state % 4)],
            &states[usize::from(state / 4 % 4)],
        ];
        let halves = SliceRange::partition(2);
        let entries = chosen.iter().zip(halves).filter_map(|(state, range)| {
            let state = state.as_ref()?;
            Some(entry(range, self.list, state.clone()))
        });
        let entries = entries.collect();
        self.fixture.grant(self.now, self.list, entries);
        if self.fixture.agent.session(ms(self.now)).is_some() {
            self.held = chosen.map(|state| matches!(state, Some(GrantState::Hold { .. })));
        }
    }

    /// Answers the newest renewal; a session that lapsed gets a new one without grants.
    fn renew(&mut self) {
        let had_session = self.fixture.agent.session(ms(self.now)).is_some();
        self.fixture.step(self.now, Input::Tick);
        let lost = self.fixture.outputs.contains(&Output::LeaseLost);
        if lost || !had_session {
            self.held = [false, false];
        }
        let Some(renewal) = self.fixture.renewals().pop() else {
            return;
        };
        if renewal.session.is_none() {
            self.list += 1;
            self.fixture.session = wingspar_wire::SessionId(version(self.list));
        }
        let verdict = self.fixture.renewed();
        self.fixture.verdict(self.now, renewal.sent_at, verdict);
        self.lease_end = renewal.sent_at.as_micros() / 1_000 + LEASE_MS;
    }
}

#[test]
fn never_twice_never_without_the_right_never_beyond_the_slots() {
    fn holds(actions: Vec<Action>) -> bool {
        let mut run = Run::new();
        actions.into_iter().for_each(|action| run.act(action));
        true
    }
    let random = Gen::from_size_and_seed(STEPS, 42);
    let mut check = QuickCheck::new().rng(random).tests(300);
    check.quickcheck(holds as fn(Vec<Action>) -> bool);
}
