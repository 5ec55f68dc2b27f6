//! Messages of the schema and types of the world.

use std::collections::BTreeMap;

use wingspar_api::convert::{
    policy_from_proto, policy_to_proto, service_from_proto, service_to_proto, target_from_proto,
    target_to_proto,
};
use wingspar_api::status::Failure;
use wingspar_api::v1;
use wingspar_world::{
    ConfigObject, ConfigVersion, Contract, KeySource, PlacementPolicy, QuietWindow, RequestClass,
    RequestRule, Service, ServiceKind, Target,
};

fn service() -> Service {
    let rule = RequestRule {
        path_prefix: "/deposits".to_owned(),
        methods: vec!["POST".to_owned()],
        class: RequestClass::Checks,
        repeatable: Some(false),
    };
    Service {
        name: "stoc".parse().unwrap(),
        kind: ServiceKind::Keyed,
        contract: Contract {
            hosts: vec!["stoc.example".to_owned()],
            key: Some(KeySource::PathTemplate("/stock/{key}/price".to_owned())),
            rules: vec![rule],
            ..Contract::default()
        },
        policy: Some("even".parse().unwrap()),
    }
}

fn target() -> Target {
    Target {
        name: "stoc-1".parse().unwrap(),
        service: "stoc".parse().unwrap(),
        machine: "till-01".parse().unwrap(),
        region: "cymru-de".parse().unwrap(),
        zone: "neuadd-a".parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        slots: 20,
        connections: 100,
        draining: true,
    }
}

fn policy() -> PlacementPolicy {
    PlacementPolicy {
        quiet_windows: vec![QuietWindow {
            from_minute: 1_200,
            to_minute: 360,
        }],
        region_weights: BTreeMap::from([("cymru-de".parse().unwrap(), 0.5)]),
        paused: true,
        ..PlacementPolicy::with_defaults("even".parse().unwrap())
    }
}

#[test]
fn objects_come_back_as_they_went() {
    assert_eq!(
        service_from_proto(service_to_proto(&service())),
        Ok(service())
    );
    assert_eq!(target_from_proto(target_to_proto(&target())), Ok(target()));
    assert_eq!(policy_from_proto(policy_to_proto(&policy())), Ok(policy()));
}

#[test]
fn unset_fields_take_the_defaults() {
    let message = v1::Service {
        name: "tal".to_owned(),
        kind: v1::ServiceKind::Unkeyed.into(),
        ..v1::Service::default()
    };
    assert_eq!(
        service_from_proto(message).unwrap().contract,
        Contract::default()
    );
    let message = v1::PlacementPolicy {
        name: "even".to_owned(),
        ..v1::PlacementPolicy::default()
    };
    let default = PlacementPolicy::with_defaults("even".parse().unwrap());
    assert_eq!(policy_from_proto(message), Ok(default));
}

#[test]
fn every_mistake_of_a_message_is_named() {
    let message = v1::Target {
        name: "Stoc 1".to_owned(),
        service: "stoc".to_owned(),
        machine: String::new(),
        region: "cymru-de".to_owned(),
        zone: "neuadd-a".to_owned(),
        address: "till-01:9000".to_owned(),
        ..v1::Target::default()
    };
    let mistakes = target_from_proto(message).unwrap_err();
    let fields = mistakes.iter().map(|line| line.split(':').next().unwrap());
    assert!(fields.eq(["target.name", "target.machine", "target.address"]));
    assert_eq!(
        mistakes[2],
        "target.address: given \"till-01:9000\"; allowed: IP:PORT"
    );
}

#[test]
fn an_object_that_breaks_a_rule_can_still_be_read() {
    let mut keyless = service_to_proto(&service());
    keyless.policy = String::new();
    let read = service_from_proto(keyless).unwrap();
    assert_eq!(ConfigObject::Service(read).mistakes().len(), 1);
}

#[test]
fn failures_come_back_as_they_went() {
    let reason = "why".to_owned();
    let failures = [
        Failure::Invalid(vec!["one".to_owned(), "two".to_owned()]),
        Failure::NotFound,
        Failure::Conflict {
            current: Some(ConfigVersion(7)),
        },
        Failure::Conflict { current: None },
        Failure::NotLeader {
            leader: Some("till-01#2a".to_owned()),
        },
        Failure::NotLeader { leader: None },
        Failure::Unavailable {
            reason: reason.clone(),
        },
        Failure::Unknown { reason },
    ];
    for failure in failures {
        let status = failure.clone().into_status();
        assert_eq!(Failure::from_status(&status), failure);
    }
    let foreign = tonic::Status::unavailable("connection reset");
    assert!(matches!(
        Failure::from_status(&foreign),
        Failure::Unknown { .. }
    ));
}
