//! Servers that stand still, thaw and are killed, and what the audit finds.

use super::*;

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
