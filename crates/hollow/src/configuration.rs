//! Machines, one keyed service, and its targets: one beside each agent.

use std::net::{Ipv4Addr, SocketAddr};

use serde_json::{Value, json};
use wingspar_world::{
    ConfigObject, ConfigVersion, Configuration, Contract, KeySource, Machine, MachineName,
    PlacementPolicy, PolicyName, RegionName, Service, ServiceKind, ServiceName, Target, TargetName,
    ZoneName,
};

/// Zones that machines are spread over.
const ZONES: usize = 3;
const CONTROL_PORT: u16 = 7_000;
const AGENT_PORT: u16 = 7_001;
const TARGET_PORT: u16 = 8_000;
/// First address of agents' machines; control members lie below.
const FIRST_AGENT: usize = 256;

/// The only service.
pub(crate) fn service_name() -> ServiceName {
    ServiceName::new("stock").expect("a valid name")
}

fn policy_name() -> PolicyName {
    PolicyName::new("spread").expect("a valid name")
}

/// Target beside the agent of this number.
pub(crate) fn target_name(agent: usize) -> TargetName {
    TargetName::new(&format!("stock-{agent:05}")).expect("a valid name")
}

fn address(host: usize, port: u16) -> SocketAddr {
    let host = u32::try_from(host).expect("few machines");
    let base = u32::from(Ipv4Addr::new(10, 0, 0, 0));
    SocketAddr::from((Ipv4Addr::from(base + host), port))
}

fn machine(kind: &str, number: usize, host: usize) -> Machine {
    let name = format!("{kind}-{number:05}");
    let zone = format!("zone-{}", number % ZONES);
    Machine {
        name: MachineName::new(&name).expect("a valid name"),
        region: RegionName::new("region-1").expect("a valid name"),
        zone: ZoneName::new(&zone).expect("a valid name"),
        control_address: address(host, CONTROL_PORT),
        agent_address: Some(address(host, AGENT_PORT)),
    }
}

/// Machine of a control member.
pub(crate) fn control_machine(number: usize) -> Machine {
    machine("control", number, 1 + number)
}

/// Machine of an agent.
pub(crate) fn agent_machine(number: usize) -> Machine {
    machine("machine", number, FIRST_AGENT + number)
}

/// The service with the deadline that tells versions of it apart.
pub(crate) fn service(default_deadline_ms: u64) -> Service {
    let contract = Contract {
        hosts: vec!["stock.example".to_owned()],
        key: Some(KeySource::Header("x-key".to_owned())),
        default_deadline_ms,
        ..Contract::default()
    };
    Service {
        name: service_name(),
        kind: ServiceKind::Keyed,
        contract,
        policy: Some(policy_name()),
    }
}

fn target(agent: usize) -> Target {
    let machine = agent_machine(agent);
    Target {
        name: target_name(agent),
        service: service_name(),
        machine: machine.name,
        region: machine.region,
        zone: machine.zone,
        address: address(FIRST_AGENT + agent, TARGET_PORT),
        slots: 20,
        connections: 100,
        draining: false,
    }
}

/// All objects for so many agents.
pub(crate) fn objects(agents: usize, slices_per_target: u32) -> Vec<ConfigObject> {
    let mut policy = PlacementPolicy::with_defaults(policy_name());
    policy.slices_per_target = slices_per_target;
    let mut objects = vec![
        ConfigObject::Policy(policy),
        ConfigObject::Service(service(2_000)),
    ];
    objects.extend((0..agents).map(|agent| ConfigObject::Target(target(agent))));
    objects
}

/// The same objects as nodes hold them.
pub(crate) fn configuration(agents: usize, slices_per_target: u32) -> Configuration {
    let mut configuration = Configuration::default();
    let objects = objects(agents, slices_per_target);
    for (position, object) in objects.into_iter().enumerate() {
        let change = wingspar_world::ConfigChange {
            version: ConfigVersion(position as u64 + 1),
            key: object.store_key(),
            object: Some(object),
        };
        configuration.apply(&change);
    }
    configuration
}

/// The stored value of an object.
pub(crate) fn stored_value(object: &ConfigObject, change_id: &str) -> Value {
    json!({ "change_id": change_id, "object": object })
}
