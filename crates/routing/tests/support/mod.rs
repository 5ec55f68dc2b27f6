//! A small world for tests: one keyed and one unkeyed service with a few targets.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;

use http::HeaderMap;
use wingspar_routing::{Decision, Forward, Input, Output, RequestHead, Resolved, Router};
use wingspar_routing::{GiveUp, RouterSettings};
use wingspar_wire::{
    Availability, SliceEntry, SliceStatus, StateVersion, TableUpdate, TargetEntry,
};
use wingspar_world::{
    ConfigVersion, Configuration, Contract, Fence, GroupId, KeyHash, KeySource, MonotonicTime,
    RequestClass, RequestRule, Service, ServiceKind, ServiceName, SliceRange, TargetName,
};

pub fn service_name(name: &str) -> ServiceName {
    ServiceName::new(name).unwrap()
}

pub fn target_name(name: &str) -> TargetName {
    TargetName::new(name).unwrap()
}

pub fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

pub fn version(sequence: u64) -> StateVersion {
    StateVersion {
        generation: 1,
        sequence,
    }
}

pub fn fence(sequence: u64) -> Fence {
    Fence {
        generation: 1,
        sequence,
    }
}

/// `stoc` is keyed by the path `/stock/{key}`, `tal` is unkeyed with checks and bulk below it.
pub fn configuration() -> Configuration {
    let rule = |prefix: &str, class| RequestRule {
        path_prefix: prefix.to_owned(),
        methods: Vec::new(),
        class,
        repeatable: None,
    };
    let keyed = Contract {
        hosts: vec!["stoc.example".to_owned()],
        key: Some(KeySource::PathTemplate("/stock/{key}".to_owned())),
        max_key_bytes: 16,
        ..Contract::default()
    };
    let unkeyed = Contract {
        hosts: vec!["Tal.example".to_owned()],
        rules: vec![
            rule("/check", RequestClass::Checks),
            rule("/bulk", RequestClass::Bulk),
        ],
        ..Contract::default()
    };
    let mut configuration = Configuration {
        version: ConfigVersion(3),
        ..Configuration::default()
    };
    for (name, kind, contract) in [
        ("stoc", ServiceKind::Keyed, keyed),
        ("tal", ServiceKind::Unkeyed, unkeyed),
    ] {
        let service = Service {
            name: service_name(name),
            kind,
            contract,
            policy: None,
        };
        let entry = (ConfigVersion(3), service);
        configuration.services.insert(service_name(name), entry);
    }
    configuration
}

pub fn target_entry(name: &str, service: &str, port: u16) -> TargetEntry {
    TargetEntry {
        target: target_name(name),
        service: service_name(service),
        agent: Some(SocketAddr::from(([127, 0, 0, 1], port))),
        availability: Availability::Serving,
    }
}

pub fn slice(range: SliceRange, sequence: u64, status: SliceStatus) -> SliceEntry {
    SliceEntry {
        service: service_name("stoc"),
        range,
        fence: fence(sequence),
        status,
    }
}

pub fn served(name: &str) -> SliceStatus {
    SliceStatus::Served(target_name(name))
}

pub fn full(sequence: u64, slices: Vec<SliceEntry>) -> TableUpdate {
    TableUpdate {
        group: GroupId(0),
        since: None,
        version: version(sequence),
        slices,
        targets: vec![
            target_entry("s1", "stoc", 1),
            target_entry("s2", "stoc", 2),
            target_entry("t1", "tal", 11),
            target_entry("t2", "tal", 12),
            target_entry("t3", "tal", 13),
            target_entry("t4", "tal", 14),
        ],
        more: false,
    }
}

pub fn delta(since: u64, sequence: u64, slices: Vec<SliceEntry>) -> TableUpdate {
    TableUpdate {
        since: Some(version(since)),
        targets: Vec::new(),
        ..full(sequence, slices)
    }
}

/// A router with the configuration and a table in which `s1` owns the whole ring under fence 1.
pub fn router() -> Router {
    router_with(RouterSettings::default())
}

pub fn router_with(settings: RouterSettings) -> Router {
    let mut router = Router::new(settings, 7);
    let config = Input::Configuration(Arc::new(configuration()));
    step(&mut router, 0, config);
    let table = full(10, vec![slice(SliceRange::FULL, 1, served("s1"))]);
    step(&mut router, 0, Input::Table(table));
    router
}

pub fn step(router: &mut Router, millis: u64, input: Input) -> Vec<Output> {
    let mut outputs = Vec::new();
    router.step(at(millis), input, &mut outputs);
    outputs
}

pub fn resolved(router: &mut Router, method: &str, host: &str, path: &str) -> Resolved {
    let headers = HeaderMap::new();
    let head = RequestHead {
        method,
        host: Some(host),
        path,
        headers: &headers,
    };
    router.resolve(&head).expect("resolves")
}

pub fn keyed(router: &mut Router, method: &str) -> Resolved {
    resolved(router, method, "stoc.example", "/stock/rosa")
}

pub fn unkeyed(router: &mut Router, method: &str) -> Resolved {
    resolved(router, method, "tal.example", "/pay")
}

pub fn forwarded(decision: Decision) -> Forward {
    match decision {
        Decision::Forward(forward) => forward,
        other => panic!("not forwarded: {other:?}"),
    }
}

pub fn given_up(decision: Decision) -> GiveUp {
    match decision {
        Decision::GiveUp(give_up) => give_up,
        other => panic!("not given up: {other:?}"),
    }
}

/// The half of the ring below or above the middle.
pub fn halves() -> [SliceRange; 2] {
    let parts = SliceRange::partition(2);
    [parts[0], parts[1]]
}

pub const SOME_KEY: KeyHash = KeyHash(5);
