//! What a rehearsed deployment looks like.

use serde::{Deserialize, Serialize};
use wingspar_world::{
    Contract, KeySource, PlacementPolicy, PolicyName, RegionName, RequestClass, RequestRule,
    Service, ServiceKind, ServiceName, TargetName, ZoneName,
};

/// Path prefix of requests of class `checks`.
pub const CHECKS_PREFIX: &str = "/checks/";
/// Path prefix of requests of class `bulk`.
pub const BULK_PREFIX: &str = "/bulk/";
/// Header that carries the key of keyed services.
pub const KEY_HEADER: &str = "x-key";
/// Name of the placement policy of all keyed services.
const POLICY: &str = "rehearsal";

/// A deployment: control candidates, routers, and one machine with an agent for each target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterSpec {
    /// Region of all machines.
    pub region: RegionName,
    /// Zones, taken in turn.
    pub zones: Vec<ZoneName>,
    /// Machines with a control candidate.
    #[serde(default = "three")]
    pub controls: usize,
    /// Voting replicas of the control group, an odd number.
    #[serde(default = "three_replicas")]
    pub replicas: u32,
    /// Machines with a router.
    #[serde(default = "two")]
    pub routers: usize,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Slices that a keyed service starts with for each target.
    #[serde(default = "slices_per_target")]
    pub slices_per_target: u32,
    /// Elective moves allowed in one hour, as a share of a service's ring.
    #[serde(default = "churn_per_hour")]
    pub churn_per_hour: f64,
}

/// A service with its targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceName,
    /// Whether each key has one owner.
    #[serde(default)]
    pub keyed: bool,
    /// Number of targets.
    pub targets: usize,
    /// Requests that a target runs at once.
    #[serde(default = "slots")]
    pub slots: u32,
    /// Connections to a target.
    #[serde(default = "connections")]
    pub connections: u32,
    /// Cost of a new connection to a target, in milliseconds.
    #[serde(default = "one")]
    pub connection_ms: f64,
    /// Mean of the exponentially distributed work of a request, in milliseconds.
    #[serde(default = "one")]
    pub work_ms: f64,
}

fn two() -> usize {
    2
}

fn three() -> usize {
    3
}

fn three_replicas() -> u32 {
    3
}

fn slices_per_target() -> u32 {
    16
}

fn churn_per_hour() -> f64 {
    0.5
}

fn slots() -> u32 {
    20
}

fn connections() -> u32 {
    100
}

fn one() -> f64 {
    1.0
}

impl ClusterSpec {
    /// The zone of the machine of a number.
    #[must_use]
    pub fn zone(&self, number: usize) -> ZoneName {
        self.zones[number % self.zones.len()].clone()
    }

    /// The placement policy of the keyed services.
    #[must_use]
    pub fn policy(&self) -> PlacementPolicy {
        let name = PolicyName::new(POLICY).expect("the name is valid");
        PlacementPolicy {
            slices_per_target: self.slices_per_target,
            churn_per_hour: self.churn_per_hour,
            ..PlacementPolicy::with_defaults(name)
        }
    }

    /// The service of a name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.iter().find(|service| &service.name == name)
    }

    /// Whether there is a target of this name.
    #[must_use]
    pub fn has_target(&self, target: &TargetName) -> bool {
        let mut services = self.services.iter();
        services.any(|service| service.target_names().contains(target))
    }
}

impl ServiceSpec {
    /// Names of its targets, which are their machines' too.
    #[must_use]
    pub fn target_names(&self) -> Vec<TargetName> {
        let name = |number| TargetName::new(&format!("{}-{number}", self.name));
        let names = (1..=self.targets).map(name);
        names
            .map(|name| name.expect("a number fits into a name"))
            .collect()
    }

    /// The service as operators create it.
    #[must_use]
    pub fn service(&self, policy: &PolicyName) -> Service {
        let rule = |prefix: &str, class| RequestRule {
            path_prefix: prefix.to_owned(),
            methods: Vec::new(),
            class,
            repeatable: None,
        };
        let contract = Contract {
            key: self.keyed.then(|| KeySource::Header(KEY_HEADER.to_owned())),
            rules: vec![
                rule(CHECKS_PREFIX, RequestClass::Checks),
                rule(BULK_PREFIX, RequestClass::Bulk),
            ],
            ..Contract::default()
        };
        Service {
            name: self.name.clone(),
            kind: match self.keyed {
                true => ServiceKind::Keyed,
                false => ServiceKind::Unkeyed,
            },
            contract,
            policy: self.keyed.then(|| policy.clone()),
        }
    }
}
