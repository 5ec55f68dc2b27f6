//! Operators' writes: conflicts, lost answers, validation, and what is never undone.

mod harness;

use std::time::Duration;

use harness::{World, address, keyed_service, target};
use wingspar_control::operator::{OperatorReply, OperatorRequest};
use wingspar_wire::RenewalVerdict;
use wingspar_world::*;

const SOON: Duration = Duration::from_secs(5);

fn policy(churn: f64) -> ConfigObject {
    let mut policy = PlacementPolicy::with_defaults(PolicyName::new("even").unwrap());
    policy.churn_per_hour = churn;
    ConfigObject::Policy(policy)
}

fn put(change_id: &str, object: ConfigObject, expect: Option<ConfigVersion>) -> OperatorRequest {
    OperatorRequest::Put {
        change_id: change_id.to_owned(),
        object,
        expect,
    }
}

fn written(reply: &OperatorReply) -> ConfigVersion {
    match reply {
        OperatorReply::Written { version } => *version,
        other => panic!("{other:?}"),
    }
}

fn led() -> World {
    let mut world = World::new(3);
    world.run_until("leader", SOON, |world| world.leader().is_some());
    world.run(Duration::from_millis(500));
    world
}

#[test]
fn of_two_operators_at_once_one_loses_and_sees_the_other() {
    let mut world = led();
    let version = written(&world.put("first", policy(0.1)));
    let leader = world.leader().unwrap();
    let one = world.ask(leader, put("one", policy(0.2), Some(version)));
    let other = world.ask(leader, put("other", policy(0.3), Some(version)));
    world.run(Duration::from_secs(2));
    let winner = written(&world.replies[&one]);
    let current = OperatorReply::Conflict {
        current: Some((winner, policy(0.2))),
    };
    assert_eq!(world.replies[&other], current);
}

#[test]
fn a_write_whose_answer_is_lost_is_proved_and_has_one_effect() {
    let mut world = led();
    written(&world.put("first", policy(0.1)));
    let revision = world.store.revision();
    world.lose_write_answers = 1;
    let version = written(&world.put("second", policy(0.2)));
    assert_eq!(version.0, revision + 1);
    assert_eq!(
        world.put("second", policy(0.9)),
        OperatorReply::Written { version }
    );
}

#[test]
fn the_first_answer_is_remembered_by_the_next_leader() {
    let mut world = led();
    let version = written(&world.put("first", policy(0.1)));
    let leader = world.leader().unwrap();
    world.kill(leader);
    world.run_until("another leader", SOON, |world| world.leader().is_some());
    world.run(Duration::from_secs(1));
    assert_eq!(
        world.put("first", policy(0.5)),
        OperatorReply::Written { version }
    );
}

#[test]
fn a_deletion_is_confirmed_also_when_its_answer_is_lost() {
    let mut world = led();
    written(&world.put("first", policy(0.1)));
    world.lose_write_answers = 1;
    let delete = || OperatorRequest::Delete {
        change_id: "gone".to_owned(),
        key: "policies/even".to_owned(),
        expect: None,
    };
    let first = world.call(delete());
    written(&first);
    assert_eq!(world.call(delete()), first);
    let get = OperatorRequest::Get {
        key: "policies/even".to_owned(),
    };
    assert_eq!(world.call(get), OperatorReply::NotFound);
}

#[test]
fn all_mistakes_are_told_at_once() {
    let mut world = led();
    let mut service = keyed_service("stoc");
    service.contract.key = None;
    service.contract.max_key_bytes = 0;
    let reply = world.put("bad", ConfigObject::Service(service));
    let OperatorReply::Invalid(mistakes) = reply else {
        panic!("{reply:?}")
    };
    assert_eq!(mistakes.len(), 3, "{mistakes:?}");
    let reply = world.put("orphan", ConfigObject::Target(target(1)));
    assert!(matches!(reply, OperatorReply::Invalid(_)), "{reply:?}");
    let mut weights = PlacementPolicy::with_defaults(PolicyName::new("even").unwrap());
    weights
        .region_weights
        .insert(RegionName::new("r").unwrap(), f64::NAN);
    let reply = world.put("weights", ConfigObject::Policy(weights));
    assert!(matches!(reply, OperatorReply::Invalid(_)), "{reply:?}");
}

#[test]
fn a_store_outage_refuses_writes_and_nothing_else() {
    let mut world = World::with_service(5, &[4, 5]);
    world.store_down = true;
    let reply = world.put("later", policy(0.7));
    assert!(
        matches!(reply, OperatorReply::Unavailable { .. }),
        "{reply:?}"
    );
    world.kill(5);
    world.run_until("served again", Duration::from_secs(4), |world| {
        world.all_served("stoc")
    });
    world.store_down = false;
    world.run(Duration::from_secs(1));
    written(&world.put("later", policy(0.7)));
}

#[test]
fn changes_made_while_nobody_watched_arrive_and_none_goes_back() {
    let mut world = World::with_service(5, &[4, 5]);
    let leader = world.leader().unwrap();
    world.kill(leader);
    let value = serde_json::json!({ "change_id": "direct", "object": policy(0.9) });
    let now = Duration::from_micros(world.now.as_micros());
    let get = wingspar_store::operation::Operation::Get {
        key: "policies/even".to_owned(),
    };
    let wingspar_store::operation::Reply::Object(Some(object)) = world.store.apply(now, get) else {
        panic!("the policy is stored");
    };
    let key = "policies/even".to_owned();
    let write = wingspar_store::operation::Operation::Put {
        key,
        value,
        expect: object.version,
    };
    world.store.apply(now, write);
    let revision = ConfigVersion(world.store.revision());
    world.run_until("everywhere", Duration::from_secs(8), |world| {
        world
            .hosts
            .values()
            .all(|host| host.agent.config >= revision)
    });
    for host in world.hosts.values() {
        assert!(host.agent.configurations.is_sorted());
    }
}

#[test]
fn a_node_that_does_not_take_a_configuration_in_gets_no_lease() {
    let mut world = World::with_service(5, &[4, 5]);
    world
        .hosts
        .get_mut(&address(5))
        .unwrap()
        .agent
        .deaf_to_configuration = true;
    let version = written(&world.put("new", policy(0.8)));
    let limit = Duration::from_secs(8);
    let rollout = || OperatorRequest::Rollout {
        version: Some(version),
    };
    let OperatorReply::Rollout(report) = world.call(rollout()) else {
        panic!()
    };
    assert!(!report.in_force);
    world.run_until("no lease", limit, |world| {
        world.host(5).agent.held(world.now).count() == 0
    });
    let last = world.host(5).agent.verdicts.last();
    assert!(
        matches!(last, Some(RenewalVerdict::ConfigurationBehind { .. })),
        "{last:?}"
    );
    world.run_until("served", SOON, |world| world.all_served("stoc"));
    let OperatorReply::Rollout(report) = world.call(rollout()) else {
        panic!()
    };
    assert!(report.in_force && report.behind.is_empty());
    assert!(
        report.in_force_after_ms.is_some_and(|after| after < 8_000),
        "{report:?}"
    );
}

#[test]
fn a_lease_that_begins_does_not_fall_behind_what_was_reported_in_force() {
    let mut world = World::with_service(5, &[4, 5]);
    world.kill(5);
    world.run_until("served by the other", Duration::from_secs(4), |world| {
        world.all_served("stoc")
    });
    let version = written(&world.put("new", policy(0.8)));
    let rollout = OperatorRequest::Rollout {
        version: Some(version),
    };
    world.run(Duration::from_millis(600));
    let OperatorReply::Rollout(report) = world.call(rollout) else {
        panic!()
    };
    assert!(report.in_force, "{report:?}");
    world.start(5);
    let host = world.hosts.get_mut(&address(5)).unwrap();
    host.agent.deaf_to_configuration = true;
    world.run(Duration::from_secs(2));
    let verdicts = &world.host(5).agent.verdicts;
    let is_leased = |verdict: &RenewalVerdict| matches!(verdict, RenewalVerdict::Renewed { .. });
    assert!(!verdicts.iter().any(is_leased), "{verdicts:?}");
    world
        .hosts
        .get_mut(&address(5))
        .unwrap()
        .agent
        .deaf_to_configuration = false;
    world.run_until("a lease", Duration::from_secs(2), |world| {
        world.host(5).agent.verdicts.iter().any(is_leased)
    });
}
