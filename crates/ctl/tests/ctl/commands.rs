//! Commands against the real gRPC service.

use std::net::SocketAddr;

use crate::support::{Mode, Running, ctl};
use serde_json::json;
use wingspar_control::operator::{Durability, OperatorRequest};
use wingspar_ctl::{Client, ExitStatus, Failure};
use wingspar_world::{
    ConfigObject, ConfigVersion, Contract, KeyHash, Service, ServiceKind, SliceRange,
};

const CREATE_SERVICE: &str =
    "service create stoc --kind keyed --policy even --key-path /stock/{key} --host stoc.example";

#[tokio::test]
async fn objects_are_created_read_changed_and_deleted() {
    let group = Running::leader().await;
    let at = [group.address];
    let created = ctl(&at, &format!("--json {CREATE_SERVICE} --change-id one")).await;
    assert_eq!(created.status, ExitStatus::Done, "{created:?}");
    assert_eq!(created.json(), json!({ "version": 1, "change_id": "one" }));

    let update = ctl(&at, "service update stoc --deadline-ms 2000").await;
    assert_eq!(update.status, ExitStatus::Done, "{update:?}");
    let read = ctl(&at, "--json service get stoc").await.json();
    assert_eq!(read["version"], 2);
    let contract = &read["object"]["contract"];
    assert_eq!(contract["default_deadline_ms"], 2000);
    assert_eq!(contract["key"], json!({ "path_template": "/stock/{key}" }));

    let listing = ctl(&at, "service list").await;
    let row = listing.out.lines().nth(1).unwrap();
    let cells = row.split_whitespace().collect::<Vec<_>>();
    assert_eq!(
        cells,
        ["stoc", "2", "keyed", "even", "/stock/{key}", "stoc.example"]
    );

    assert_eq!(
        ctl(&at, "service delete stoc").await.status,
        ExitStatus::Done
    );
    let gone = ctl(&at, "service get stoc").await;
    assert_eq!(gone.status, ExitStatus::NotFound);
    assert_eq!(gone.err, "error: not-found: there is no such thing\n");
}

#[tokio::test]
async fn what_get_prints_is_a_file_that_update_takes() {
    let group = Running::leader().await;
    let at = [group.address];
    let policy = "policy create even --weight cymru-de=0.5 --quiet 22:00-07:30 --high 1.5";
    let target = "target create stoc-1 --service stoc --machine till-01 --region cymru-de \
                  --zone neuadd-a --address 10.0.0.5:9000 --slots 30";
    for (noun, name, create) in [
        ("service", "stoc", CREATE_SERVICE),
        ("policy", "even", policy),
        ("target", "stoc-1", target),
    ] {
        let created = ctl(&at, create).await;
        assert_eq!(created.status, ExitStatus::Done, "{created:?}");
        let before = group.last_request();
        let text = ctl(&at, &format!("{noun} get {name}")).await.out;
        let path = format!("{}/{noun}.toml", env!("CARGO_TARGET_TMPDIR"));
        std::fs::write(&path, text).unwrap();
        let updated = ctl(&at, &format!("{noun} update --file {path}")).await;
        assert_eq!(updated.status, ExitStatus::Done, "{updated:?}");
        assert_eq!(put_object(&group.last_request()), put_object(&before));
    }
}

fn put_object(request: &OperatorRequest) -> ConfigObject {
    match request {
        OperatorRequest::Put { object, .. } => object.clone(),
        other => panic!("no put: {other:?}"),
    }
}

#[tokio::test]
async fn a_conflict_tells_the_current_version() {
    let group = Running::leader().await;
    let at = [group.address];
    ctl(&at, "policy create even").await;
    let again = ctl(&at, "--json policy create even").await;
    assert_eq!(again.status, ExitStatus::Conflict);
    assert_eq!(
        again.json(),
        json!({ "error": "conflict", "current_version": 1 })
    );
    let stale = ctl(&at, "policy update even --high 2 --version 7").await;
    assert_eq!(stale.status, ExitStatus::Conflict);
    assert_eq!(stale.err, "error: conflict: current version 1\n");
}

#[tokio::test]
async fn a_change_whose_answer_is_lost_is_repeated_under_its_id() {
    let group = Running::leader().await;
    let second = Running::start(Mode::Leader, &group.shared).await;
    group.set(Mode::LosesAnswers);
    let created = ctl(
        &[group.address, second.address],
        "--json policy create even",
    )
    .await;
    assert_eq!(created.status, ExitStatus::Done, "{created:?}");
    assert_eq!(created.json()["version"], 1);
    assert_eq!(group.shared.lock().unwrap().version, 1);
}

#[tokio::test]
async fn a_change_that_stays_unanswered_is_unknown() {
    let group = Running::leader().await;
    group.set(Mode::LosesAnswers);
    let lost = ctl(&[group.address], "--json --limit 1 policy create even").await;
    assert_eq!(lost.status, ExitStatus::Unknown);
    assert_eq!(lost.json()["error"], "unknown");
    group.set(Mode::Silent);
    let silent = ctl(&[group.address], "--limit 1 policy create other").await;
    assert_eq!(silent.status, ExitStatus::Unknown);
    assert!(silent.err.contains("Repeat it with its --change-id"));
    let reading = ctl(&[group.address], "--limit 1 policy list").await;
    assert_eq!(reading.status, ExitStatus::Unavailable);
}

#[tokio::test]
async fn a_conflict_after_a_lost_answer_proves_nothing() {
    let group = Running::leader().await;
    group.shared.lock().unwrap().forgetful = true;
    let second = Running::start(Mode::Leader, &group.shared).await;
    group.set(Mode::LosesAnswers);
    let created = ctl(&[group.address, second.address], "policy create even").await;
    assert_eq!(created.status, ExitStatus::Unknown, "{created:?}");
}

#[tokio::test]
async fn a_replica_that_can_not_answer_sends_to_the_next() {
    let group = Running::leader().await;
    let follower = Running::start(Mode::Follower, &group.shared).await;
    let cut_off = Running::start(Mode::Unavailable, &group.shared).await;
    let nobody = closed_port().await;
    let at = [nobody, cut_off.address, follower.address, group.address];
    let created = ctl(&at, "policy create even").await;
    assert_eq!(created.status, ExitStatus::Done, "{created:?}");

    let refused = ctl(&at[..3], "--json --limit 1 policy create other").await;
    assert_eq!(refused.status, ExitStatus::Unavailable);
    assert_eq!(refused.json()["error"], "unavailable");
    assert_eq!(group.shared.lock().unwrap().version, 1);
}

async fn closed_port() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

#[tokio::test]
async fn wrong_objects_are_refused_with_every_mistake() {
    let group = Running::leader().await;
    let at = [group.address];
    let refused = ctl(
        &at,
        "--json service create stoc --kind keyed --max-key-bytes 0",
    )
    .await;
    assert_eq!(refused.status, ExitStatus::Refused);
    assert_eq!(refused.json()["mistakes"].as_array().unwrap().len(), 3);
    let path = format!("{}/wrong.toml", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(
        &path,
        "name = \"stoc\"\nkind = \"keyed\"\ncolor = \"red\"\n",
    )
    .unwrap();
    let unknown = ctl(&at, &format!("service create --file {path}")).await;
    assert_eq!(unknown.status, ExitStatus::Refused);
    assert!(
        unknown.err.contains("unknown field `color`"),
        "{}",
        unknown.err
    );
    assert!(group.shared.lock().unwrap().requests.is_empty());
}

#[tokio::test]
async fn the_service_itself_refuses_wrong_objects_and_change_ids() {
    let group = Running::leader().await;
    let service = Service {
        name: "stoc".parse().unwrap(),
        kind: ServiceKind::Keyed,
        contract: Contract::default(),
        policy: None,
    };
    let mut client = Client::new(vec![group.address]);
    let refused = client.create("a b", &ConfigObject::Service(service)).await;
    let Err(Failure::Invalid(mistakes)) = refused else {
        panic!("not refused: {refused:?}");
    };
    assert_eq!(mistakes.len(), 3, "{mistakes:?}");
    assert!(mistakes[0].starts_with("change_id: given \"a b\"; allowed: "));
    assert!(group.shared.lock().unwrap().requests.is_empty());
}

#[tokio::test]
async fn placement_orders_are_sent_as_given() {
    let group = Running::leader().await;
    let at = [group.address];
    let moved = ctl(
        &at,
        "--change-id m move stoc --key rosa --to stoc-2 --stored",
    )
    .await;
    assert_eq!(
        moved.out, "ordered at state 1.9 (change id m)\n",
        "{moved:?}"
    );
    let expected = OperatorRequest::Move {
        change_id: "m".to_owned(),
        service: "stoc".parse().unwrap(),
        range: SliceRange::single(KeyHash::of(b"rosa")),
        to: "stoc-2".parse().unwrap(),
        durability: Durability::Stored,
    };
    assert_eq!(group.last_request(), expected);

    ctl(&at, "weights even cymru-de=90 trinidad-north=10 --pause").await;
    let OperatorRequest::ShiftWeights {
        region_weights: Some(weights),
        paused,
        ..
    } = group.last_request()
    else {
        panic!("no weights");
    };
    assert_eq!(weights.values().copied().collect::<Vec<_>>(), [90.0, 10.0]);
    assert_eq!(paused, Some(true));

    for (command, draining) in [("drain stoc-1", true), ("undrain stoc-1", false)] {
        ctl(&at, command).await;
        let request = group.last_request();
        assert!(
            matches!(request, OperatorRequest::SetDraining { draining: is, .. } if is == draining)
        );
    }
    let forced = "group force-generation 3 --dead till-01#2a --accept-risk";
    assert_eq!(ctl(&at, forced).await.status, ExitStatus::Done);
    let request = group.last_request();
    assert!(matches!(
        request,
        OperatorRequest::ForceGeneration { generation: 3, .. }
    ));
}

#[tokio::test]
async fn status_is_shown_for_people_and_programs() {
    let group = Running::leader().await;
    let at = [group.address];
    let placement = ctl(&at, "placement show stoc").await.out;
    assert!(placement.contains("stoc-1 -> stoc-2"), "{placement}");
    assert!(placement.contains("unplanned 1m1s ago"), "{placement}");
    let placement = ctl(&at, "--json placement show stoc --key rosa")
        .await
        .json();
    let slice = &placement["slices"][0];
    assert_eq!(slice["first"], KeyHash::of(b"rosa").to_string());
    assert_eq!(slice["status"]["next"], "stoc-2");

    let status = ctl(&at, "group").await.out;
    assert!(
        status.starts_with("group g0, generation 1, term 4, leader till-01#2a\n"),
        "{status}"
    );
    assert_eq!(status.matches("learner").count(), 1);
    let status = ctl(&at, "--json group show").await.json();
    assert_eq!(status["voters"].as_array().unwrap().len(), 2);
}

#[tokio::test]
async fn a_rollout_is_waited_for() {
    let group = Running::leader().await;
    let at = [group.address];
    group.shared.lock().unwrap().polls_until_in_force = 2;
    let waited = ctl(&at, "--json rollout 5 --wait").await;
    assert_eq!(waited.status, ExitStatus::Done);
    assert_eq!(waited.json()["in_force_after_ms"], 1200);
    assert!(matches!(
        group.last_request(),
        OperatorRequest::Rollout {
            version: Some(ConfigVersion(5))
        }
    ));
    group.shared.lock().unwrap().polls_until_in_force = u32::MAX;
    let late = ctl(&at, "--limit 1 rollout --wait").await;
    assert_eq!(late.status, ExitStatus::Unavailable);
    assert!(late.out.contains("behind: till-03#2a"), "{late:?}");
}

#[tokio::test]
async fn wrong_usage_is_told_and_nothing_is_sent() {
    let group = Running::leader().await;
    for wrong in [
        "",
        "serve list",
        "service",
        "service burn stoc",
        "service create",
        "service list --colour red",
        "move stoc --to stoc-2",
        "move stoc --key a --range 0-1 --to stoc-2",
        "weights even",
        "weights even cymru-de=-1",
        "rollout soon",
        "group force-generation 3 --dead till-01#2a",
        "--limit soon service list",
        "target list stoc-1",
    ] {
        let ended = ctl(&[group.address], wrong).await;
        assert_eq!(ended.status, ExitStatus::Usage, "{wrong}: {ended:?}");
        assert!(ended.err.starts_with("error: "), "{wrong}: {ended:?}");
    }
    assert!(group.shared.lock().unwrap().requests.is_empty());
}

#[tokio::test]
async fn help_has_examples_at_each_level() {
    for page in [
        "",
        "service",
        "target create",
        "policy",
        "placement show",
        "move",
        "drain",
        "undrain",
        "weights",
        "rollout",
        "group",
    ] {
        let help = ctl(&[], &format!("{page} --help")).await;
        assert_eq!(help.status, ExitStatus::Done);
        let noun = page.split(' ').next().unwrap();
        let example = format!("\n  wingspar ctl {noun}");
        assert!(help.out.contains(&example), "{page}: {}", help.out);
    }
}
