//! The machines, zones and services that a simulation plays with.

use std::net::SocketAddr;
use std::time::Duration;

use wingspar_world::{
    ConfigObject, Contract, KeyHash, KeySource, Link, LinkTable, Machine, MachineName,
    PlacementPolicy, PolicyName, RegionName, Service, ServiceKind, ServiceName, Target, TargetName,
    ZoneName,
};

use crate::process::{KEY_HEADER, Parts};

/// Keys whose ownership is watched.
const KEYS: usize = 12;
/// Slots of each back end.
const SLOTS: u32 = 20;
/// Slices that the keyed service starts with for each of its targets.
const SLICES_PER_TARGET: u32 = 4;
/// Port of the internal protocol on every machine.
const CONTROL_PORT: u16 = 7_000;
/// Port of the agent's HTTP listener on every machine.
const AGENT_PORT: u16 = 7_001;
/// Port of a machine's first back end.
const FIRST_TARGET_PORT: u16 = 8_000;

/// A deployment: one region, its zones, its services.
#[derive(Debug, Clone)]
pub struct Topology {
    /// The region.
    pub region: RegionName,
    /// Its zones.
    pub zones: Vec<ZoneName>,
    /// Delay between zones, one way.
    pub zone_delay: Duration,
    /// Delay to callers, one way.
    pub caller_delay: Duration,
    /// The keyed service.
    pub keyed: ServiceName,
    /// The unkeyed service.
    pub unkeyed: ServiceName,
}

/// A machine of a topology.
#[derive(Debug, Clone)]
pub struct MachinePlan {
    /// Name, place and addresses.
    pub machine: Machine,
    /// What its process runs.
    pub parts: Parts,
    /// Back ends that run on it.
    pub targets: Vec<Target>,
}

impl Topology {
    /// Tegid's garden centres: four zones half a millisecond apart.
    pub fn tegid() -> Self {
        let zones = ["neuadd-a", "neuadd-b", "neuadd-c", "neuadd-d"];
        Self::new("cymru-de", &zones, 500, 8, "stoc", "tal")
    }

    /// Caroni's registry: three zones a millisecond and a half apart.
    pub fn caroni() -> Self {
        let zones = ["pos-hall", "sanjuan-hall", "chag-hall"];
        Self::new(
            "trinidad-north",
            &zones,
            1_500,
            3,
            "lookup-svc",
            "charges-svc",
        )
    }

    fn new(
        region: &str,
        zones: &[&str],
        zone_delay_micros: u64,
        caller_delay_millis: u64,
        keyed: &str,
        unkeyed: &str,
    ) -> Self {
        let zones = zones.iter().map(|zone| ZoneName::new(zone));
        Self {
            region: RegionName::new(region).expect("a constant name"),
            zones: zones.collect::<Result<_, _>>().expect("constant names"),
            zone_delay: Duration::from_micros(zone_delay_micros),
            caller_delay: Duration::from_millis(caller_delay_millis),
            keyed: ServiceName::new(keyed).expect("a constant name"),
            unkeyed: ServiceName::new(unkeyed).expect("a constant name"),
        }
    }

    /// Delays between the zones.
    pub fn links(&self) -> LinkTable {
        let mut links = LinkTable::new(self.zone_delay);
        for (position, one) in self.zones.iter().enumerate() {
            for other in &self.zones[position + 1..] {
                let delay = self.zone_delay;
                links.set(one, other, Link { delay });
            }
        }
        links
    }

    /// All machines: one with back ends in each zone and a second in the first (in the first two
    /// of three), and two that only route.
    pub fn machines(&self) -> Vec<MachinePlan> {
        let count = self.zones.len().max(4) + 1;
        let mut plans = Vec::new();
        for position in 0..count {
            plans.push(self.back_end_machine(position));
        }
        for position in 0..2 {
            plans.push(self.router_machine(count + position, position));
        }
        plans
    }

    /// Texts of the keys whose ownership is watched.
    pub fn keys() -> Vec<String> {
        (0..KEYS).map(|number| format!("item-{number}")).collect()
    }

    /// Places of the watched keys on the ring.
    pub fn key_hashes() -> Vec<KeyHash> {
        let texts = Self::keys();
        texts
            .iter()
            .map(|key| KeyHash::of(key.as_bytes()))
            .collect()
    }

    /// Name of the only placement policy.
    pub fn policy_name() -> PolicyName {
        PolicyName::new("spread").expect("a constant name")
    }

    /// The configuration that operators write first, in order.
    pub fn objects(&self) -> Vec<ConfigObject> {
        let mut policy = PlacementPolicy::with_defaults(Self::policy_name());
        policy.slices_per_target = SLICES_PER_TARGET;
        let mut objects = vec![
            ConfigObject::Policy(policy),
            ConfigObject::Service(self.keyed_service()),
            ConfigObject::Service(self.unkeyed_service()),
        ];
        let targets = self.machines().into_iter().flat_map(|plan| plan.targets);
        objects.extend(targets.map(ConfigObject::Target));
        objects
    }

    /// The keyed service.
    pub fn keyed_service(&self) -> Service {
        Service {
            name: self.keyed.clone(),
            kind: ServiceKind::Keyed,
            contract: Contract {
                key: Some(KeySource::Header(KEY_HEADER.to_owned())),
                ..Contract::default()
            },
            policy: Some(Self::policy_name()),
        }
    }

    fn unkeyed_service(&self) -> Service {
        Service {
            name: self.unkeyed.clone(),
            kind: ServiceKind::Unkeyed,
            contract: Contract::default(),
            policy: None,
        }
    }

    fn back_end_machine(&self, position: usize) -> MachinePlan {
        let zone = &self.zones[position % self.zones.len()];
        let name = format!("back-{position}");
        let machine = self.machine(&name, zone, position, true);
        let services = [&self.keyed, &self.unkeyed];
        let targets = services.into_iter().zip(FIRST_TARGET_PORT..);
        let targets = targets.map(|(service, port)| Target {
            name: TargetName::new(&format!("{service}-{position}")).expect("a valid name"),
            service: service.clone(),
            machine: machine.name.clone(),
            region: machine.region.clone(),
            zone: zone.clone(),
            address: address(position, port),
            slots: SLOTS,
            connections: 100,
            draining: false,
        });
        MachinePlan {
            targets: targets.collect(),
            machine,
            parts: Parts {
                control: true,
                router: false,
            },
        }
    }

    fn router_machine(&self, index: usize, position: usize) -> MachinePlan {
        let zone = &self.zones[position % self.zones.len()];
        MachinePlan {
            machine: self.machine(&format!("edge-{position}"), zone, index, false),
            parts: Parts {
                control: false,
                router: true,
            },
            targets: Vec::new(),
        }
    }

    fn machine(&self, name: &str, zone: &ZoneName, index: usize, has_agent: bool) -> Machine {
        Machine {
            name: MachineName::new(name).expect("a valid name"),
            region: self.region.clone(),
            zone: zone.clone(),
            control_address: address(index, CONTROL_PORT),
            agent_address: has_agent.then(|| address(index, AGENT_PORT)),
        }
    }
}

fn address(index: usize, port: u16) -> SocketAddr {
    let last = u8::try_from(index + 1).expect("a simulation has few machines");
    SocketAddr::from(([10, 0, 0, last], port))
}
