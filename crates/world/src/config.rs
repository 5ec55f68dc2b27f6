//! The operators' configuration: versioned services, targets and policies.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{PlacementPolicy, PolicyName, Service, ServiceName, Target, TargetName};

/// Version of an object or of the whole configuration: the revision of the platform's store at
/// which it was last changed. Strictly rises over the whole store.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct ConfigVersion(pub u64);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "v{}", self.0)
    }
}

/// One object of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ConfigObject {
    /// A service.
    Service(Service),
    /// A target.
    Target(Target),
    /// A placement policy.
    Policy(PlacementPolicy),
}

/// One change, as read from the store's history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Version of the change.
    pub version: ConfigVersion,
    /// The object's key in the store, such as `services/stoc`.
    pub key: String,
    /// The new object; `None` when it was deleted.
    pub object: Option<ConfigObject>,
}

/// All objects as of one version.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Configuration {
    /// Version of the newest change contained.
    pub version: ConfigVersion,
    /// Services by name, each with its own version.
    pub services: BTreeMap<ServiceName, (ConfigVersion, Service)>,
    /// Targets by name.
    pub targets: BTreeMap<TargetName, (ConfigVersion, Target)>,
    /// Policies by name.
    pub policies: BTreeMap<PolicyName, (ConfigVersion, PlacementPolicy)>,
}

impl Configuration {
    /// Applies a change. Returns false, leaving everything as it was, when the change is not newer
    /// than the configuration: an accepted configuration never goes back.
    pub fn apply(&mut self, change: &ConfigChange) -> bool {
        if change.version <= self.version {
            return false;
        }
        self.version = change.version;
        match &change.object {
            Some(object) => self.insert(change.version, object.clone()),
            None => self.remove(&change.key),
        }
        true
    }

    fn insert(&mut self, version: ConfigVersion, object: ConfigObject) {
        match object {
            ConfigObject::Service(service) => {
                self.services
                    .insert(service.name.clone(), (version, service));
            }
            ConfigObject::Target(target) => {
                self.targets.insert(target.name.clone(), (version, target));
            }
            ConfigObject::Policy(policy) => {
                self.policies.insert(policy.name.clone(), (version, policy));
            }
        }
    }

    fn remove(&mut self, key: &str) {
        let Some((kind, name)) = key.split_once('/') else {
            return;
        };
        match kind {
            "services" => self.services.retain(|one, _| one.as_str() != name),
            "targets" => self.targets.retain(|one, _| one.as_str() != name),
            "policies" => self.policies.retain(|one, _| one.as_str() != name),
            _ => {}
        }
    }

    /// A service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name).map(|(_, service)| service)
    }

    /// The policy of a service, if it names one that exists.
    pub fn policy_of(&self, service: &Service) -> Option<&PlacementPolicy> {
        let name = service.policy.as_ref()?;
        self.policies.get(name).map(|(_, policy)| policy)
    }

    /// Targets of a service, in order of name.
    pub fn targets_of<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Target> {
        let targets = self.targets.values().map(|(_, target)| target);
        targets.filter(move |target| &target.service == service)
    }
}

impl ConfigObject {
    /// The object's key in the platform's store.
    pub fn store_key(&self) -> String {
        match self {
            Self::Service(service) => format!("services/{}", service.name),
            Self::Target(target) => format!("targets/{}", target.name),
            Self::Policy(policy) => format!("policies/{}", policy.name),
        }
    }
}
