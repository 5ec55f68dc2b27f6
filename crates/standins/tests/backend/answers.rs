//! Answers, connections, and reports that lag or lie.

use super::*;

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
