//! Whatever is lost or late and whoever else writes, a told outcome is the true one.

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use serde_json::{Value, json};
use wingspar_store::model::ObjectStore;
use wingspar_store::operation::{Operation, Reply};
use wingspar_store::{Answer, Change, Resolver, Step, WriteOutcome};

const NOW: Duration = Duration::ZERO;
const KEY: &str = "services/stoc";
const RUNS: u64 = 20_000;
/// Exchanges with the store before the writer gives up.
const PATIENCE: usize = 40;

/// What happens to one exchange with the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Delivered,
    AnswerLost,
    RequestLost,
    /// The request arrives after the next exchange.
    Late,
    NotSent,
    /// Someone else replaces or creates the object first.
    OtherPuts,
    /// Someone else deletes the object first.
    OtherDeletes,
}

impl Arbitrary for Fate {
    fn arbitrary(random: &mut Gen) -> Self {
        let fates = [
            Fate::Delivered,
            Fate::AnswerLost,
            Fate::RequestLost,
            Fate::Late,
            Fate::NotSent,
            Fate::OtherPuts,
            Fate::OtherDeletes,
        ];
        *random.choose(&fates).expect("there are fates")
    }
}

fn value(change_id: &str) -> Value {
    json!({ "change_id": change_id })
}

/// A store with one writer under test, another writer, and requests that arrive late.
struct World {
    store: ObjectStore,
    late: Vec<Operation>,
    deletes: bool,
}

impl World {
    fn version(&mut self) -> u64 {
        match self.store.apply(NOW, Operation::Get { key: KEY.into() }) {
            Reply::Object(object) => object.map_or(0, |object| object.version),
            other => panic!("{other:?}"),
        }
    }

    fn other_puts(&mut self) {
        let expect = self.version();
        let operation = Operation::Put {
            key: KEY.into(),
            value: value("theirs"),
            expect,
        };
        self.store.apply(NOW, operation);
    }

    fn other_deletes(&mut self) {
        let expect = self.version();
        if self.deletes {
            self.store.apply(
                NOW,
                Operation::Delete {
                    key: KEY.into(),
                    expect,
                },
            );
        }
    }

    fn exchange(&mut self, operation: Operation, fate: Fate) -> Answer {
        let lost = Answer::Unknown {
            cause: "lost".into(),
        };
        match fate {
            Fate::OtherPuts => self.other_puts(),
            Fate::OtherDeletes => self.other_deletes(),
            _ => {}
        }
        let answer = match fate {
            Fate::RequestLost => lost,
            Fate::NotSent => Answer::Unavailable {
                cause: "refused".into(),
            },
            Fate::Late => {
                self.deliver_late_ones();
                self.late.push(operation);
                return lost;
            }
            Fate::AnswerLost => {
                self.store.apply(NOW, operation);
                lost
            }
            _ => Answer::Reply(self.store.apply(NOW, operation)),
        };
        self.deliver_late_ones();
        answer
    }

    fn deliver_late_ones(&mut self) {
        for operation in std::mem::take(&mut self.late) {
            self.store.apply(NOW, operation);
        }
    }

    /// Versions at which the change under test took effect.
    fn effects(&mut self) -> Vec<u64> {
        match self.store.apply(
            NOW,
            Operation::Watch {
                prefix: KEY.into(),
                after: 0,
            },
        ) {
            Reply::Changes(batch) => batch
                .events
                .into_iter()
                .filter(|event| event.value == Some(value("ours")))
                .map(|event| event.version)
                .collect(),
            other => panic!("{other:?}"),
        }
    }
}

fn run(world: &mut World, change: Change, fates: &[Fate]) -> WriteOutcome {
    let mut resolver = Resolver::new(change);
    let mut operation = resolver.operation();
    let calm = std::iter::repeat(Fate::Delivered);
    for fate in fates.iter().copied().chain(calm).take(PATIENCE) {
        let answer = world.exchange(operation, fate);
        operation = match resolver.on_answer(answer) {
            Step::Done(outcome) => return outcome,
            Step::Send(next) | Step::SendLater(next) => next,
        };
    }
    resolver.give_up()
}

fn outcome_is_true(fates: Vec<Fate>, exists: bool) -> TestResult {
    // A creation can't be told from a later one if the object is deleted in between: see the
    // limits in docs/interfaces/platform.md.
    let mut world = World {
        store: ObjectStore::default(),
        late: Vec::new(),
        deletes: exists,
    };
    if exists {
        world.other_puts();
    }
    let expect = world.version();
    let change = Change::new(KEY, value("ours"), expect).expect("a valid change");
    let outcome = run(&mut world, change, &fates);
    world.deliver_late_ones();
    let effects = world.effects();
    let holds = match &outcome {
        WriteOutcome::Written { version } => effects == [*version],
        WriteOutcome::Conflict { .. } | WriteOutcome::Unavailable { .. } => effects.is_empty(),
        WriteOutcome::Unknown { .. } => fates.len() >= PATIENCE && effects.len() <= 1,
        WriteOutcome::Invalid(_) => false,
    };
    match holds {
        true => TestResult::passed(),
        false => TestResult::error(format!("{outcome:?}, effects at {effects:?}")),
    }
}

#[test]
fn a_told_outcome_is_the_true_one() {
    QuickCheck::new()
        .tests(RUNS)
        .quickcheck(outcome_is_true as fn(Vec<Fate>, bool) -> TestResult);
}
