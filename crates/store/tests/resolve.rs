//! A change whose answer is lost is carried to a proved outcome.

use std::time::Duration;

use serde_json::{Value, json};
use wingspar_store::key::InvalidRequest;
use wingspar_store::model::{ModelSettings, ObjectStore};
use wingspar_store::operation::{Operation, Reply};
use wingspar_store::{Answer, Change, Resolver, Step, WriteOutcome};

const NOW: Duration = Duration::ZERO;

fn value(change_id: &str) -> Value {
    json!({ "change_id": change_id, "weight": 1 })
}

fn change(change_id: &str, expect: u64) -> Change {
    Change::new("services/stoc", value(change_id), expect).expect("a valid change")
}

fn put(store: &mut ObjectStore, change_id: &str, expect: u64) -> Reply {
    store.apply(NOW, change(change_id, expect).put())
}

fn lost() -> Answer {
    Answer::Unknown {
        cause: "connection cut".into(),
    }
}

/// Runs the resolver against a store that answers everything.
fn finish(resolver: &mut Resolver, store: &mut ObjectStore, mut step: Step) -> WriteOutcome {
    for _ in 0..10 {
        match step {
            Step::Done(outcome) => return outcome,
            Step::Send(operation) | Step::SendLater(operation) => {
                step = resolver.on_answer(Answer::Reply(store.apply(NOW, operation)));
            }
        }
    }
    panic!("the resolver goes round in circles");
}

#[test]
fn a_lost_answer_after_the_effect_is_found_even_if_replaced() {
    let mut store = ObjectStore::default();
    let mut resolver = Resolver::new(change("ours", 0));
    store.apply(NOW, resolver.operation());
    put(&mut store, "theirs", 1);
    let step = resolver.on_answer(lost());
    let outcome = finish(&mut resolver, &mut store, step);
    assert_eq!(outcome, WriteOutcome::Written { version: 1 });
}

#[test]
fn a_request_lost_before_the_effect_is_sent_again_and_applies_once() {
    let mut store = ObjectStore::default();
    put(&mut store, "first", 0);
    let mut resolver = Resolver::new(change("ours", 1));
    let step = resolver.on_answer(lost());
    let outcome = finish(&mut resolver, &mut store, step);
    assert_eq!(outcome, WriteOutcome::Written { version: 2 });
    assert!(
        matches!(put(&mut store, "ours", 1), Reply::Conflict { .. }),
        "a late copy is refused"
    );
}

#[test]
fn a_lost_request_that_was_overtaken_is_a_proved_conflict() {
    let mut store = ObjectStore::default();
    put(&mut store, "first", 0);
    put(&mut store, "theirs", 1);
    let mut resolver = Resolver::new(change("ours", 1));
    let step = resolver.on_answer(lost());
    let outcome = finish(&mut resolver, &mut store, step);
    assert!(
        matches!(outcome, WriteOutcome::Conflict { current: Some(ref now) } if now.version == 2)
    );
}

#[test]
fn without_history_the_outcome_of_a_replaced_object_stays_unknown() {
    let settings = ModelSettings {
        history_events: 1,
        ..ModelSettings::default()
    };
    let mut store = ObjectStore::new(settings);
    put(&mut store, "first", 0);
    put(&mut store, "ours", 1);
    put(&mut store, "theirs", 2);
    let mut resolver = Resolver::in_doubt(change("ours", 1));
    let step = Step::Send(resolver.operation());
    assert!(matches!(
        finish(&mut resolver, &mut store, step),
        WriteOutcome::Unknown { .. }
    ));

    let mut resolver = Resolver::in_doubt(change("theirs", 2).since(0));
    let step = resolver.on_answer(Answer::Reply(Reply::HistoryLost { revision: 3 }));
    let outcome = finish(&mut resolver, &mut store, step);
    assert_eq!(outcome, WriteOutcome::Written { version: 3 });
}

#[test]
fn an_outage_is_told_as_not_done_only_while_nothing_is_in_doubt() {
    let unavailable = Answer::Unavailable {
        cause: "refused".into(),
    };
    let mut resolver = Resolver::new(change("ours", 0));
    let step = resolver.on_answer(unavailable.clone());
    assert!(matches!(step, Step::Done(WriteOutcome::Unavailable { .. })));

    let mut resolver = Resolver::new(change("ours", 0));
    resolver.on_answer(lost());
    let history = Operation::Watch {
        prefix: "services/stoc".into(),
        after: 0,
    };
    assert_eq!(resolver.on_answer(unavailable), Step::SendLater(history));
    assert!(matches!(resolver.give_up(), WriteOutcome::Unknown { .. }));
}

#[test]
fn a_value_without_change_id_is_refused() {
    let refused = Change::new("services/stoc", json!({ "weight": 1 }), 0);
    assert_eq!(refused, Err(InvalidRequest::NoChangeId));
}
