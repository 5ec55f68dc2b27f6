//! The store's client against the platform stand-in, over loopback, on one thread.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use salvo::Router;
use serde_json::{Value, json};
use wingspar_standins::net::{ConnectionSettings, RunningServer};
use wingspar_standins::platform::{Faults, MachineAction, PlatformStandIn, PlatformState};
use wingspar_store::model::ModelSettings;
use wingspar_store::object::{Current, MachineState};
use wingspar_store::{Change, HttpStore, HttpStoreSettings, ReadError, WriteOutcome};

const PATIENCE: Duration = Duration::from_secs(20);
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

fn client(address: SocketAddr) -> HttpStore {
    HttpStore::new(HttpStoreSettings::new(address)).expect("a client")
}

async fn start() -> (PlatformStandIn, HttpStore) {
    let platform = PlatformStandIn::start(ANY_PORT).await.expect("a free port");
    let store = client(platform.local_addr());
    (platform, store)
}

fn value(change_id: &str) -> Value {
    json!({ "change_id": change_id })
}

fn change(change_id: &str, expect: u64) -> Change {
    Change::new("services/stoc", value(change_id), expect).expect("a valid change")
}

#[tokio::test]
async fn objects_are_written_read_and_deleted_by_version() {
    let (_platform, store) = start().await;
    assert_eq!(
        store.put("services/stoc", json!(1), 0).await,
        WriteOutcome::Written { version: 1 }
    );
    assert_eq!(
        store.put("services/tal", json!(2), 0).await,
        WriteOutcome::Written { version: 2 }
    );
    let current = Some(Current {
        version: 1,
        value: json!(1),
    });
    let second = store.put("services/stoc", json!(3), 0).await;
    assert_eq!(second, WriteOutcome::Conflict { current });

    let found = store
        .get("services/stoc")
        .await
        .expect("readable")
        .expect("there");
    assert_eq!((found.key.as_str(), found.version), ("services/stoc", 1));
    assert_eq!(
        store.delete("services/stoc", 1).await,
        WriteOutcome::Written { version: 3 }
    );
    assert_eq!(
        store.delete("services/stoc", 1).await,
        WriteOutcome::Conflict { current: None }
    );
    assert_eq!(store.get("services/stoc").await, Ok(None));
    let listing = store.list("services/").await.expect("readable");
    assert_eq!((listing.revision, listing.items.len()), (3, 1));
}

#[tokio::test]
async fn bad_requests_get_a_clear_error_and_change_nothing() {
    let (platform, store) = start().await;
    assert!(matches!(
        store.put("a//b", json!(1), 0).await,
        WriteOutcome::Invalid(_)
    ));
    assert!(matches!(
        store.delete("a", 0).await,
        WriteOutcome::Invalid(_)
    ));
    assert!(matches!(
        store.list("a?b").await,
        Err(ReadError::Invalid(_))
    ));

    let http = reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("a client");
    let base = format!("http://{}/v1/objects/a", platform.local_addr());
    for (url, body) in [
        (base.clone(), "1"),
        (format!("{base}?expect=x"), "1"),
        (format!("{base}?expect=0"), "{broken"),
        (format!("{base}?expect=0"), "null"),
        (format!("{base}//b?expect=0"), "1"),
    ] {
        let answer = http.put(&url).body(body).send().await.expect("an answer");
        assert_eq!(answer.status(), 400, "{url} {body}");
        let text = answer.text().await.expect("a body");
        assert!(text.contains("\"error\""), "{text}");
    }
    assert_eq!(platform.state().revision(), 0);
}

#[tokio::test]
async fn a_server_that_is_not_the_store_proves_nothing() {
    let server = RunningServer::start(ANY_PORT, ConnectionSettings::default(), Router::new());
    let server = server.await.expect("a free port");
    let store = client(server.local_addr());
    assert!(matches!(
        store.get("a").await,
        Err(ReadError::Unavailable { .. })
    ));
    assert!(matches!(
        store.list("").await,
        Err(ReadError::Unavailable { .. })
    ));
    assert!(matches!(
        store.put("a", json!(1), 0).await,
        WriteOutcome::Unknown { .. }
    ));
}

#[tokio::test]
async fn a_watch_waits_for_the_next_change_and_tells_lost_history() {
    let settings = ModelSettings {
        history_events: 2,
        ..ModelSettings::default()
    };
    let state = PlatformState::new(settings);
    let platform = PlatformStandIn::start_with(ANY_PORT, state)
        .await
        .expect("a free port");
    let store = client(platform.local_addr());

    let none = store
        .watch("services/", 0, Duration::ZERO)
        .await
        .expect("readable");
    assert_eq!((none.revision, none.events.len()), (0, 0));
    let watcher = store.clone();
    let waiting = tokio::spawn(async move { watcher.watch("services/", 0, PATIENCE).await });
    while platform.state().counters().watches_waiting == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    store.put("other/a", json!(1), 0).await;
    store.put("services/stoc", json!(2), 0).await;
    let batch = waiting.await.expect("not cancelled").expect("readable");
    assert_eq!((batch.revision, batch.events[0].version), (2, 2));

    store.put("services/stoc", json!(3), 2).await;
    let lost = store.watch("services/", 0, PATIENCE).await;
    assert_eq!(lost, Err(ReadError::HistoryLost { revision: 3 }));
    let listing = store.list("services/").await.expect("readable");
    let batch = store
        .watch("services/", listing.revision, Duration::ZERO)
        .await;
    assert_eq!(batch.expect("goes on after listing").events.len(), 0);
}

#[tokio::test]
async fn an_outage_is_told_as_not_done_and_ends_waiting_watches() {
    let (platform, store) = start().await;
    let watcher = store.clone();
    let waiting = tokio::spawn(async move { watcher.watch("", 0, PATIENCE).await });
    while platform.state().counters().watches_waiting == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    assert!(matches!(
        waiting.await.expect("ends"),
        Err(ReadError::Unavailable { .. })
    ));
    assert!(matches!(
        store.put("a", json!(1), 0).await,
        WriteOutcome::Unavailable { .. }
    ));
    assert!(matches!(
        store.list("").await,
        Err(ReadError::Unavailable { .. })
    ));

    let address = platform.local_addr();
    let state = platform.state().clone();
    platform.shutdown().await;
    assert!(matches!(
        store.put("a", json!(1), 0).await,
        WriteOutcome::Unavailable { .. }
    ));

    state.set_faults(Faults::default());
    assert_eq!(state.revision(), 0);
    let _platform = PlatformStandIn::start_with(address, state)
        .await
        .expect("the same address");
    assert_eq!(
        store.put("a", json!(1), 0).await,
        WriteOutcome::Written { version: 1 }
    );
}

#[tokio::test]
async fn a_lost_answer_is_unknown_and_resolves_to_written_once() {
    let (platform, store) = start().await;
    platform.set_faults(Faults {
        lose_answer_every: 1,
        ..Faults::default()
    });
    let outcome = store.put("services/stoc", value("one"), 0).await;
    assert!(
        matches!(outcome, WriteOutcome::Unknown { .. }),
        "{outcome:?}"
    );
    let outcome = store.resolve(change("one", 0), PATIENCE).await;
    assert_eq!(outcome, WriteOutcome::Written { version: 1 });

    let outcome = store.put_with_change_id(change("two", 1), PATIENCE).await;
    assert_eq!(outcome, WriteOutcome::Written { version: 2 });
    assert_eq!(platform.state().revision(), 2);
}

#[tokio::test]
async fn a_write_that_arrives_after_the_resolution_is_refused() {
    let (platform, store) = start().await;
    store.put("services/stoc", value("first"), 0).await;
    platform.set_faults(Faults {
        lose_answer_every: 2,
        late_effect_ms: 100,
        ..Faults::default()
    });
    let outcome = store
        .put_with_change_id(change("second", 1), PATIENCE)
        .await;
    assert_eq!(outcome, WriteOutcome::Written { version: 2 });
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(
        platform.state().revision(),
        2,
        "the late copy took no effect"
    );
}

#[tokio::test]
async fn a_store_that_never_answers_leaves_a_write_unknown() {
    let (platform, _) = start().await;
    platform.set_faults(Faults {
        delay_ms: 60_000,
        ..Faults::default()
    });
    let settings = HttpStoreSettings {
        request_timeout: Duration::from_millis(50),
        ..HttpStoreSettings::new(platform.local_addr())
    };
    let store = HttpStore::new(settings).expect("a client");
    let outcome = store
        .put_with_change_id(change("slow", 0), Duration::from_millis(120))
        .await;
    assert!(
        matches!(outcome, WriteOutcome::Unknown { .. }),
        "{outcome:?}"
    );
}

#[tokio::test]
async fn of_two_writers_one_wins_and_the_other_sees_why() {
    let (platform, store) = start().await;
    store.put("services/stoc", value("first"), 0).await;
    platform.set_faults(Faults {
        lose_answer_every: 2,
        ..Faults::default()
    });
    let (left, right) = tokio::join!(
        store.put_with_change_id(change("left", 1), PATIENCE),
        store.put_with_change_id(change("right", 1), PATIENCE),
    );
    let found = store
        .get("services/stoc")
        .await
        .expect("readable")
        .expect("there");
    let lost = WriteOutcome::Conflict {
        current: Some(Current {
            version: found.version,
            value: found.value.clone(),
        }),
    };
    let won = WriteOutcome::Written {
        version: found.version,
    };
    let (winner, loser) = if found.value == value("left") {
        (left, right)
    } else {
        (right, left)
    };
    assert_eq!((winner, loser), (won, lost));
}

#[tokio::test]
async fn machines_are_changed_over_the_admin_path_and_shown_late() {
    let (platform, store) = start().await;
    let http = reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("a client");
    let url = format!("http://{}/admin/machines", platform.local_addr());
    let add = MachineAction::Add {
        name: "m1".into(),
        zone: "neuadd-a".into(),
        address: "127.0.0.1".into(),
    };
    http.post(&url)
        .json(&add)
        .send()
        .await
        .expect("an answer")
        .error_for_status()
        .expect("ok");
    assert_eq!(
        store.machines().await.expect("readable").machines[0].state,
        MachineState::Live
    );

    platform.set_faults(Faults {
        machine_list_lag_ms: 600_000,
        ..Faults::default()
    });
    let destroy = json!({ "action": "destroy", "name": "m1" });
    http.post(&url)
        .json(&destroy)
        .send()
        .await
        .expect("an answer");
    let unknown = json!({ "action": "leave", "name": "m2" });
    assert_eq!(
        http.post(&url)
            .json(&unknown)
            .send()
            .await
            .expect("an answer")
            .status(),
        404
    );
    let list = store.machines().await.expect("readable");
    assert_eq!(
        (list.as_of_revision, list.machines[0].state),
        (1, MachineState::Live)
    );

    let faults = format!("http://{}/admin/faults", platform.local_addr());
    let wrong = json!({ "dwon": true });
    assert_eq!(
        http.post(&faults)
            .json(&wrong)
            .send()
            .await
            .expect("an answer")
            .status(),
        400
    );
    http.post(&faults)
        .json(&json!({}))
        .send()
        .await
        .expect("an answer");
    let list = store.machines().await.expect("readable");
    assert_eq!(
        (list.as_of_revision, list.machines[0].state),
        (2, MachineState::Destroyed)
    );
}
