//! Rules for single objects.

use std::collections::BTreeMap;

use wingspar_world::{
    ConfigObject, Contract, KeySource, PlacementPolicy, QuietWindow, RequestRule, Service,
    ServiceKind, Target, weight_mistakes,
};

fn keyed(contract: Contract) -> Service {
    Service {
        name: "stoc".parse().unwrap(),
        kind: ServiceKind::Keyed,
        contract,
        policy: Some("even".parse().unwrap()),
    }
}

fn with_template(template: &str) -> Contract {
    Contract {
        key: Some(KeySource::PathTemplate(template.to_owned())),
        ..Contract::default()
    }
}

fn fields(object: ConfigObject) -> Vec<String> {
    let lines = object.mistakes().into_iter();
    let fields = lines.map(|line| line.split(':').next().unwrap().to_owned());
    fields.collect()
}

#[test]
fn objects_with_default_terms_break_no_rule() {
    let service = keyed(with_template("/stock/{key}/price"));
    assert_eq!(fields(ConfigObject::Service(service)), [""; 0]);
    let policy = PlacementPolicy::with_defaults("even".parse().unwrap());
    assert_eq!(fields(ConfigObject::Policy(policy)), [""; 0]);
}

#[test]
fn every_broken_rule_of_a_service_is_named() {
    let rule = RequestRule {
        path_prefix: "deposits".to_owned(),
        methods: vec!["post".to_owned()],
        class: Default::default(),
        repeatable: None,
    };
    let contract = Contract {
        hosts: vec!["Stoc.example:80".to_owned()],
        max_key_bytes: 0,
        max_deadline_ms: 3_600_001,
        idempotency_window_ms: 0,
        rules: vec![rule],
        ..Contract::default()
    };
    let service = Service {
        policy: None,
        ..keyed(contract)
    };
    let expected = [
        "service.contract.key",
        "service.policy",
        "service.contract.hosts",
        "service.contract.max_key_bytes",
        "service.contract.max_deadline_ms",
        "service.contract.idempotency_window_ms",
        "service.contract.rules[0].path_prefix",
        "service.contract.rules[0].methods",
    ];
    assert_eq!(fields(ConfigObject::Service(service)), expected);
}

#[test]
fn a_path_template_has_one_whole_segment_for_the_key() {
    for wrong in [
        "stock/{key}",
        "/stock/{id}",
        "/{key}/{key}",
        "/x{key}",
        "/{key}/{x}",
        "/",
    ] {
        let service = keyed(with_template(wrong));
        let expected = ["service.contract.key.path_template"];
        assert_eq!(fields(ConfigObject::Service(service)), expected, "{wrong}");
    }
}

#[test]
fn targets_need_a_real_address_slots_and_connections() {
    let target = Target {
        name: "stoc-1".parse().unwrap(),
        service: "stoc".parse().unwrap(),
        machine: "till-01".parse().unwrap(),
        region: "cymru-de".parse().unwrap(),
        zone: "neuadd-a".parse().unwrap(),
        address: "0.0.0.0:9000".parse().unwrap(),
        slots: 0,
        connections: 0,
        draining: false,
    };
    let expected = ["target.address", "target.slots", "target.connections"];
    assert_eq!(fields(ConfigObject::Target(target)), expected);
}

#[test]
fn every_broken_rule_of_a_policy_is_named() {
    let window = QuietWindow {
        from_minute: 1_440,
        to_minute: 1_441,
    };
    let policy = PlacementPolicy {
        slices_per_target: 0,
        imbalance_low: f64::NAN,
        churn_per_hour: -1.0,
        hot_slice_share: 0.0,
        quiet_windows: vec![window],
        region_weights: BTreeMap::from([("cymru-de".parse().unwrap(), f64::INFINITY)]),
        ..PlacementPolicy::with_defaults("even".parse().unwrap())
    };
    let expected = [
        "policy.slices_per_target",
        "policy.imbalance_low",
        "policy.imbalance_high",
        "policy.churn_per_hour",
        "policy.hot_slice_share",
        "policy.quiet_windows[0].from_minute",
        "policy.quiet_windows[0].to_minute",
        "policy.region_weights.cymru-de",
    ];
    assert_eq!(fields(ConfigObject::Policy(policy)), expected);
}

#[test]
fn weights_must_not_all_be_zero() {
    let none = BTreeMap::from([("cymru-de".parse().unwrap(), 0.0)]);
    assert_eq!(weight_mistakes("weights", &none).len(), 1);
    assert!(weight_mistakes("weights", &BTreeMap::new()).is_empty());
}
