//! Which requests run, and which are refused.

use super::*;

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
