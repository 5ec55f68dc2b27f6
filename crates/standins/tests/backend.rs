//! The back-end stand-in keeps its contract, and misbehaves only on demand.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use reqwest::{Client, RequestBuilder, Response};
use serde_json::{Value, json};
use wingspar_standins::backend::{
    AnswerPattern, BackendSettings, BackendStandIn, Behaviour, HealthReport, JournalEntry,
    JournalOutcome, RefusalReason, Violation, audit,
};
use wingspar_wire::headers;

const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const KEY: &str = "0000000000000010";
const RANGE: &str = "0000000000000000-00000000000000ff";

/// A server with a client that reuses connections.
struct Scene {
    server: BackendStandIn,
    client: Client,
}

impl Scene {
    async fn new(settings: BackendSettings) -> Self {
        let server = BackendStandIn::start(ANY_PORT, settings)
            .await
            .expect("a free port");
        let client = Client::builder().no_proxy().build().expect("a client");
        Self { server, client }
    }

    async fn ordinary() -> Self {
        Self::new(BackendSettings::default()).await
    }

    fn get(&self, path: &str) -> RequestBuilder {
        self.client
            .get(format!("http://{}{path}", self.server.local_addr()))
    }

    fn post(&self, path: &str) -> RequestBuilder {
        self.client
            .post(format!("http://{}{path}", self.server.local_addr()))
    }

    /// A request for a key under a fence, with a grant that holds for `ttl_ms`.
    fn keyed(&self, path: &str, fence: &str, ttl_ms: u64) -> RequestBuilder {
        self.post(path)
            .header(headers::SERVICE, "stoc")
            .header(headers::REQUEST_ID, "r-1")
            .header(headers::KEY_HASH, KEY)
            .header(headers::FENCE, fence)
            .header(headers::GRANT, format!("{RANGE};ttl-ms={ttl_ms}"))
    }

    fn behave(&self, behaviour: Behaviour) {
        self.server.set_behaviour(behaviour);
    }

    /// Waits until `count` requests have been started, finished or not.
    async fn wait_for_started(&self, count: usize) {
        self.wait_until(|server| server.journal().len() == count)
            .await;
    }

    async fn wait_until(&self, condition: impl Fn(&BackendStandIn) -> bool) {
        while !condition(&self.server) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

async fn send(request: RequestBuilder) -> Response {
    request.send().await.expect("an answer")
}

/// Checks that an answer proves that the request was not run, and gives the reason.
async fn refused(request: RequestBuilder, status: u16) -> String {
    let answer = send(request).await;
    assert_eq!(answer.status(), status);
    assert_eq!(answer.headers()[headers::OUTCOME], "not-run");
    let word = answer.headers()[headers::REASON]
        .to_str()
        .expect("text")
        .to_owned();
    let body: Value = answer.json().await.expect("a body");
    assert_eq!(body["reason"], json!(word));
    word
}

#[tokio::test]
async fn a_keyed_request_runs_and_stands_in_the_journal() {
    let scene = Scene::ordinary().await;
    let request = scene
        .keyed("/prices", "1.7", 5_000)
        .header(headers::IDEMPOTENCY_KEY, "once");
    let answer = send(request.body("a body")).await;
    assert_eq!(
        (
            answer.status().as_u16(),
            &answer.headers()[headers::OUTCOME]
        ),
        (200, &"ran".parse().expect("text"))
    );
    let body: Value = answer.json().await.expect("a body");
    assert_eq!(
        (&body["request_id"], &body["key_hash"]),
        (&json!("r-1"), &json!(KEY))
    );

    let lines = send(scene.get("/admin/journal"))
        .await
        .text()
        .await
        .expect("lines");
    let entry: Value = serde_json::from_str(lines.trim()).expect("one line");
    for (field, value) in [
        ("service", json!("stoc")),
        ("idempotency_key", json!("once")),
        ("fence", json!("1.7")),
        ("method", json!("POST")),
        ("outcome", json!("completed")),
    ] {
        assert_eq!(entry[field], value, "{field}");
    }
    assert!(entry["finished_us"].as_u64() >= entry["started_us"].as_u64());
}

#[tokio::test]
async fn what_has_no_right_to_run_is_refused_before_it_starts() {
    let scene = Scene::ordinary().await;
    send(scene.keyed("/", "1.7", 5_000)).await;
    assert_eq!(
        refused(scene.keyed("/", "1.6", 5_000), 409).await,
        "stale_fence"
    );
    assert_eq!(
        refused(scene.keyed("/", "1.8", 0), 409).await,
        "grant_expired"
    );
    let late = scene
        .keyed("/", "1.8", 5_000)
        .header(headers::DEADLINE_MS, "-3");
    assert_eq!(refused(late, 409).await, "deadline");
    let other_key = scene
        .post("/")
        .header(headers::KEY_HASH, "0000000000000100");
    let other_key = other_key.header(headers::FENCE, "1.7");
    let other_key = other_key.header(headers::GRANT, format!("{RANGE};ttl-ms=5000"));
    assert_eq!(refused(other_key, 409).await, "not_granted");

    for broken in [
        scene.post("/").header(headers::KEY_HASH, KEY),
        scene.post("/").header(headers::KEY_HASH, "xyz"),
        scene.post("/").header(headers::DEADLINE_MS, "soon"),
        scene.keyed("/?work_ms=long", "1.7", 5_000),
    ] {
        assert_eq!(refused(broken, 400).await, "malformed");
    }
    assert_eq!(
        scene.server.journal().len(),
        1,
        "only the first request was started"
    );
}

#[tokio::test]
async fn a_fence_offered_ahead_refuses_older_requests() {
    let scene = Scene::ordinary().await;
    let offer = |fence: &str| {
        let body = json!({
            "service": "stoc", "first": "0000000000000000", "last": "00000000000000ff",
            "fence": fence, "ttl_ms": 1_000,
        });
        scene.post("/wingspar/v1/fence").json(&body)
    };
    let accepted: Value = send(offer("2.1")).await.json().await.expect("a body");
    assert_eq!(
        accepted,
        json!({ "accepted": true, "highest_fence": "2.1" })
    );
    assert_eq!(
        refused(scene.keyed("/", "1.9", 5_000), 409).await,
        "stale_fence"
    );
    let older: Value = send(offer("1.9")).await.json().await.expect("a body");
    assert_eq!(older, json!({ "accepted": false, "highest_fence": "2.1" }));
    assert_eq!(send(offer("two")).await.status(), 400);
    assert_eq!(send(scene.keyed("/", "2.1", 5_000)).await.status(), 200);
}

#[tokio::test]
async fn a_draining_cold_or_overloaded_server_takes_no_new_work() {
    let scene = Scene::ordinary().await;
    let in_flight = tokio::spawn(scene.post("/?work_ms=1000").send());
    scene.wait_for_started(1).await;
    let load: Value = send(scene.post("/wingspar/v1/drain"))
        .await
        .json()
        .await
        .expect("a body");
    assert_eq!(
        (&load["draining"], &load["in_flight"]),
        (&json!(true), &json!(1))
    );
    assert_eq!(refused(scene.post("/"), 503).await, "draining");
    assert_eq!(
        in_flight.await.expect("ends").expect("an answer").status(),
        200
    );
    send(
        scene
            .post("/wingspar/v1/drain")
            .json(&json!({ "draining": false })),
    )
    .await;
    assert_eq!(send(scene.post("/")).await.status(), 200);

    scene.behave(Behaviour {
        cold_start_ms: 60_000,
        ..Behaviour::default()
    });
    assert_eq!(refused(scene.post("/"), 503).await, "cold_start");
    scene.behave(Behaviour {
        shed: true,
        ..Behaviour::default()
    });
    assert_eq!(refused(scene.post("/"), 503).await, "shed");
    let refusals = scene.server.backend().refusals();
    assert_eq!(refusals.get(&RefusalReason::Shed), Some(&1));
}

#[tokio::test]
async fn slots_are_few_the_queue_is_bounded_and_a_cancelled_caller_frees_its_slot() {
    let settings = BackendSettings {
        slots: 1,
        queue: 1,
        ..BackendSettings::default()
    };
    let scene = Scene::new(settings).await;
    let first = tokio::spawn(scene.post("/?work_ms=60000").send());
    scene.wait_for_started(1).await;
    let second = tokio::spawn(scene.post("/?work_ms=1").send());
    scene
        .wait_until(|server| server.backend().load().queued == 1)
        .await;
    assert_eq!(refused(scene.post("/"), 503).await, "shed");

    first.abort();
    assert_eq!(
        second.await.expect("ends").expect("an answer").status(),
        200
    );
    assert_eq!(scene.server.backend().load().cancelled, 1);
    assert_eq!(scene.server.journal()[0].outcome, JournalOutcome::Cancelled);
}

#[tokio::test]
async fn a_lapsed_deadline_ends_waiting_and_work_without_effect() {
    let settings = BackendSettings {
        slots: 1,
        ..BackendSettings::default()
    };
    let scene = Scene::new(settings).await;
    let working = scene
        .post("/?work_ms=60000")
        .header(headers::DEADLINE_MS, "150");
    let working = tokio::spawn(refused(working, 409));
    scene.wait_for_started(1).await;
    let waiting = scene
        .post("/?work_ms=60000")
        .header(headers::DEADLINE_MS, "20");
    assert_eq!(refused(waiting, 409).await, "deadline");
    assert_eq!(working.await.expect("ends"), "deadline");
    let entry = scene.server.journal().remove(0);
    assert_eq!(entry.outcome, JournalOutcome::Abandoned);
    assert_eq!(scene.server.backend().load().in_flight, 0);
}

#[tokio::test]
async fn a_frozen_server_hangs_and_goes_on_when_thawed() {
    let settings = BackendSettings {
        admin_address: Some(ANY_PORT),
        ..BackendSettings::default()
    };
    let scene = Scene::new(settings).await;
    let admin = scene.server.admin_addr().expect("an admin address");
    let url = format!("http://{admin}/admin/behaviour");
    let working = tokio::spawn(scene.post("/?work_ms=500").send());
    scene.wait_for_started(1).await;
    send(scene.client.post(&url).json(&json!({ "frozen": true }))).await;

    let mut arriving = tokio::spawn(scene.post("/").send());
    let hung = tokio::time::timeout(Duration::from_millis(100), &mut arriving).await;
    assert!(hung.is_err(), "a frozen server answers nothing");
    assert_eq!(scene.server.backend().load().completed, 0);
    send(scene.client.post(&url).json(&json!({}))).await;
    assert_eq!(
        working.await.expect("ends").expect("an answer").status(),
        200
    );
    assert_eq!(
        arriving.await.expect("ends").expect("an answer").status(),
        200
    );

    scene.behave(Behaviour {
        frozen: true,
        freeze_ms: 20,
        ..Behaviour::default()
    });
    assert_eq!(send(scene.post("/")).await.status(), 200, "thaws by itself");
}

/// Freezes a server over the end of a request's grant, lets a second server take the key over, and
/// returns the status of the first answer and the journals of both.
async fn freeze_over_a_takeover(check_before_commit: bool) -> (u16, Vec<JournalEntry>) {
    let settings = |name: &str| BackendSettings {
        name: name.into(),
        check_before_commit,
        ..BackendSettings::default()
    };
    let scene = Scene::new(settings("old")).await;
    let successor = Scene::new(settings("new")).await;
    let working = tokio::spawn(scene.keyed("/?work_ms=500", "1.1", 700).send());
    scene.wait_for_started(1).await;
    scene.behave(Behaviour {
        frozen: true,
        ..Behaviour::default()
    });
    tokio::time::sleep(Duration::from_millis(800)).await;
    assert_eq!(send(successor.keyed("/", "1.2", 5_000)).await.status(), 200);
    scene.behave(Behaviour::default());
    let answer = working.await.expect("ends").expect("an answer");
    let journals = [scene.server.journal(), successor.server.journal()].concat();
    (answer.status().as_u16(), journals)
}

#[tokio::test]
async fn work_that_thaws_after_its_grant_has_no_effect_unless_the_check_is_left_out() {
    let (checked, unchecked) =
        tokio::join!(freeze_over_a_takeover(true), freeze_over_a_takeover(false));
    assert_eq!(
        (checked.0, checked.1[0].outcome),
        (409, JournalOutcome::Abandoned)
    );
    assert_eq!(audit(&checked.1, Duration::ZERO), []);

    assert_eq!(
        (unchecked.0, unchecked.1[0].outcome),
        (200, JournalOutcome::Completed)
    );
    let found = audit(&unchecked.1, Duration::ZERO);
    assert!(matches!(found[0], Violation::Overlap { .. }), "{found:?}");
    assert!(
        matches!(found[1], Violation::FenceWentBack { .. }),
        "{found:?}"
    );
    assert_eq!(found.len(), 2);
}

#[tokio::test]
async fn the_audit_finds_double_runs_and_shared_fences() {
    let settings = |name: &str| BackendSettings {
        name: name.into(),
        ..BackendSettings::default()
    };
    let one = Scene::new(settings("one")).await;
    let other = Scene::new(settings("other")).await;
    for scene in [&one, &other] {
        send(
            scene
                .keyed("/", "1.1", 5_000)
                .header(headers::IDEMPOTENCY_KEY, "deposit"),
        )
        .await;
    }
    let journals = [one.server.journal(), other.server.journal()].concat();
    let found = audit(&journals, Duration::ZERO);
    assert!(
        matches!(found[0], Violation::SharedFence { .. }),
        "{found:?}"
    );
    assert!(matches!(found[1], Violation::RanTwice { .. }), "{found:?}");
    assert_eq!(found.len(), 2);
}

#[tokio::test]
async fn a_request_unread_during_a_freeze_is_held_to_the_wall_clock_end_of_its_grant() {
    let scene = Scene::ordinary().await;
    scene.behave(Behaviour {
        frozen: true,
        ..Behaviour::default()
    });
    let end = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970")
        .as_millis()
        + 50;
    let grant = format!("{RANGE};ttl-ms=60000;until-unix-ms={end}");
    let request = scene.post("/").header(headers::KEY_HASH, KEY);
    let request = request
        .header(headers::FENCE, "1.1")
        .header(headers::GRANT, grant);
    let refusal = tokio::spawn(refused(request, 409));
    tokio::time::sleep(Duration::from_millis(100)).await;
    scene.behave(Behaviour::default());
    assert_eq!(refusal.await.expect("ends"), "grant_expired");
}

#[tokio::test]
async fn answers_are_whole_and_the_callers_own_or_visibly_broken_off() {
    let scene = Scene::ordinary().await;
    let pattern = AnswerPattern::new("r-1");
    for path in [
        "/?answer_bytes=10",
        "/?answer_bytes=100000",
        "/?answer_bytes=100000&chunked=1",
    ] {
        let length: u64 = if path.contains("100000") { 100_000 } else { 10 };
        let answer = send(scene.keyed(path, "1.1", 5_000)).await;
        let told = answer.content_length();
        assert_eq!(told.is_none(), path.contains("chunked"), "{path}: {told:?}");
        assert!(
            pattern.matches(&answer.bytes().await.expect("a body"), length),
            "{path}"
        );
    }
    assert!(!pattern.matches(&pattern.bytes(0, 9), 10));
    assert!(!pattern.matches(&AnswerPattern::new("r-2").bytes(0, 10), 10));

    for path in [
        "/?truncate=1",
        "/?answer_bytes=99&truncate=1",
        "/?answer_bytes=100000&truncate=1&chunked=1",
    ] {
        let answer = send(scene.keyed(path, "1.1", 5_000)).await;
        assert!(answer.bytes().await.is_err(), "{path}");
    }
    scene.behave(Behaviour {
        truncate_every: 1,
        ..Behaviour::default()
    });
    assert!(send(scene.post("/")).await.bytes().await.is_err());
    scene
        .wait_until(|server| server.backend().load().in_flight == 0)
        .await;
}

#[tokio::test]
async fn an_early_answer_comes_before_the_body_is_read() {
    let scene = Scene::ordinary().await;
    let never_ending = futures_util::stream::pending::<Result<Vec<u8>, std::io::Error>>();
    let request = scene
        .post("/?early=1")
        .body(reqwest::Body::wrap_stream(never_ending));
    assert_eq!(send(request).await.status(), 200);
}

#[tokio::test]
async fn connections_are_counted_and_reused() {
    let scene = Scene::ordinary().await;
    for _ in 0..3 {
        send(scene.get("/")).await.bytes().await.expect("a body");
    }
    assert_eq!(scene.server.accepted_connections(), 1);
    assert_eq!(scene.server.open_connections(), 1);
}

#[tokio::test]
async fn health_and_load_can_lag_and_lie() {
    let scene = Scene::ordinary().await;
    assert_eq!(send(scene.get("/health")).await.status(), 200);
    let draining = Behaviour {
        draining: true,
        ..Behaviour::default()
    };
    scene.behave(draining);
    assert_eq!(send(scene.get("/health")).await.status(), 503);
    scene.behave(Behaviour {
        health: HealthReport::AlwaysOk,
        ..draining
    });
    assert_eq!(send(scene.get("/health")).await.status(), 200);
    scene.behave(Behaviour {
        health: HealthReport::AlwaysFailing,
        ..Behaviour::default()
    });
    assert_eq!(send(scene.get("/health")).await.status(), 503);

    let _working = tokio::spawn(scene.post("/?work_ms=60000").send());
    scene.wait_for_started(1).await;
    scene.behave(Behaviour {
        load_percent: 300,
        ..Behaviour::default()
    });
    let load: Value = send(scene.get("/load")).await.json().await.expect("a body");
    assert_eq!(load["in_flight"], json!(3));
    scene.behave(Behaviour {
        report_lag_ms: 60_000,
        ..Behaviour::default()
    });
    let load: Value = send(scene.get("/load")).await.json().await.expect("a body");
    assert_eq!(load["in_flight"], json!(0), "the oldest known load");
}

#[tokio::test]
async fn a_killed_server_leaves_its_work_unfinished() {
    let scene = Scene::ordinary().await;
    let working = tokio::spawn(scene.post("/?work_ms=500").send());
    scene.wait_for_started(1).await;
    let backend = std::sync::Arc::clone(scene.server.backend());
    scene.server.shutdown().await;
    assert!(working.await.expect("ends").is_err());
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(
        backend.journal().entries_from(0)[0].outcome,
        JournalOutcome::Running
    );
}
