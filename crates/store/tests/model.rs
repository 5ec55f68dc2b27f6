//! The store model: versions, compare-and-set, history and the lagging list of machines.

use std::time::Duration;

use serde_json::json;
use wingspar_store::key::InvalidRequest;
use wingspar_store::model::{ModelSettings, ObjectStore};
use wingspar_store::object::{Current, Event, Machine, MachineState, WatchBatch};
use wingspar_store::operation::{Operation, Reply};

const START: Duration = Duration::ZERO;

fn put(store: &mut ObjectStore, key: &str, value: serde_json::Value, expect: u64) -> Reply {
    store.apply(
        START,
        Operation::Put {
            key: key.into(),
            value,
            expect,
        },
    )
}

fn watch(store: &mut ObjectStore, prefix: &str, after: u64) -> Reply {
    store.apply(
        START,
        Operation::Watch {
            prefix: prefix.into(),
            after,
        },
    )
}

#[test]
fn versions_rise_over_the_whole_store_and_conflicts_tell_the_current_one() {
    let mut store = ObjectStore::default();
    assert_eq!(
        put(&mut store, "a/x", json!(1), 0),
        Reply::Written { version: 1 }
    );
    assert_eq!(
        put(&mut store, "a/y", json!(2), 0),
        Reply::Written { version: 2 }
    );
    assert_eq!(
        put(&mut store, "a/x", json!(3), 1),
        Reply::Written { version: 3 }
    );

    let current = Some(Current {
        version: 3,
        value: json!(3),
    });
    assert_eq!(
        put(&mut store, "a/x", json!(4), 1),
        Reply::Conflict {
            current: current.clone()
        }
    );
    assert_eq!(
        put(&mut store, "a/x", json!(4), 0),
        Reply::Conflict { current }
    );
    assert_eq!(
        put(&mut store, "a/z", json!(4), 7),
        Reply::Conflict { current: None }
    );

    let delete = Operation::Delete {
        key: "a/x".into(),
        expect: 3,
    };
    assert_eq!(
        store.apply(START, delete.clone()),
        Reply::Written { version: 4 }
    );
    assert_eq!(
        store.apply(START, delete),
        Reply::Conflict { current: None }
    );
    let Reply::Listing(listing) = store.apply(
        START,
        Operation::List {
            prefix: "a/".into(),
        },
    ) else {
        panic!("not a listing");
    };
    assert_eq!(listing.revision, 4);
    assert_eq!(listing.items.len(), 1);
}

#[test]
fn watch_tells_changes_in_order_until_history_is_lost() {
    let settings = ModelSettings {
        history_events: 2,
        ..ModelSettings::default()
    };
    let mut store = ObjectStore::new(settings);
    put(&mut store, "a", json!(1), 0);
    put(&mut store, "b", json!(1), 0);
    let batch = WatchBatch {
        revision: 2,
        events: vec![Event {
            key: "a".into(),
            version: 1,
            value: Some(json!(1)),
        }],
    };
    assert_eq!(watch(&mut store, "a", 0), Reply::Changes(batch));
    store.apply(
        START,
        Operation::Delete {
            key: "a".into(),
            expect: 1,
        },
    );

    assert_eq!(watch(&mut store, "", 0), Reply::HistoryLost { revision: 3 });
    assert_eq!(watch(&mut store, "", 4), Reply::HistoryLost { revision: 3 });
    let batch = WatchBatch {
        revision: 3,
        events: vec![Event {
            key: "a".into(),
            version: 3,
            value: None,
        }],
    };
    assert_eq!(watch(&mut store, "a", 1), Reply::Changes(batch));
}

#[test]
fn broken_rules_are_refused_and_change_nothing() {
    let mut store = ObjectStore::default();
    for key in [
        "",
        "a//b",
        "/a",
        "a/",
        "a/../b",
        "a b",
        "a?x",
        &"k".repeat(513),
    ] {
        assert!(
            matches!(put(&mut store, key, json!(1), 0), Reply::Invalid(_)),
            "{key:?}"
        );
    }
    let null = put(&mut store, "a", json!(null), 0);
    assert_eq!(null, Reply::Invalid(InvalidRequest::NullValue));
    let large = put(&mut store, "a", json!("x".repeat(4 * 1024 * 1024)), 0);
    assert!(matches!(
        large,
        Reply::Invalid(InvalidRequest::ValueTooLarge { .. })
    ));
    let delete = store.apply(
        START,
        Operation::Delete {
            key: "a".into(),
            expect: 0,
        },
    );
    assert_eq!(delete, Reply::Invalid(InvalidRequest::DeleteExpectsAbsent));
    assert_eq!(store.revision(), 0);
}

#[test]
fn machine_list_lags_and_tells_the_revision_it_shows() {
    let lag = Duration::from_secs(5);
    let settings = ModelSettings {
        machine_list_lag: lag,
        ..ModelSettings::default()
    };
    let mut store = ObjectStore::new(settings);
    let machine = Machine {
        name: "m1".into(),
        zone: "z1".into(),
        address: "127.0.0.1".into(),
        state: MachineState::Live,
    };
    store.set_machine(START, machine);
    let later = Duration::from_secs(3);
    assert_eq!(
        store.set_machine_state(later, "m1", MachineState::Destroyed),
        Some(2)
    );
    assert_eq!(
        store.set_machine_state(later, "m2", MachineState::Leaving),
        None
    );
    store.apply(
        later,
        Operation::Put {
            key: "a".into(),
            value: json!(1),
            expect: 0,
        },
    );

    let mut shown =
        |seconds: u64| match store.apply(Duration::from_secs(seconds), Operation::Machines) {
            Reply::Machines(list) => (
                list.as_of_revision,
                list.machines.first().map(|machine| machine.state),
            ),
            other => panic!("{other:?}"),
        };
    assert_eq!(shown(4), (0, None));
    assert_eq!(shown(5), (1, Some(MachineState::Live)));
    assert_eq!(shown(8), (3, Some(MachineState::Destroyed)));
}
