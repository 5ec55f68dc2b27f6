//! Objects of a configuration by their keys in the store.

use wingspar_world::{ConfigObject, ConfigVersion, Configuration};

/// Version and object of a key in the configuration.
pub(crate) fn lookup(
    configuration: &Configuration,
    key: &str,
) -> Option<(ConfigVersion, ConfigObject)> {
    let mut all = all_objects(configuration);
    all.find(|(_, object)| object.store_key() == key)
}

/// All objects of a configuration, in order of key.
pub(crate) fn all_objects(
    configuration: &Configuration,
) -> impl Iterator<Item = (ConfigVersion, ConfigObject)> + '_ {
    let policies = configuration.policies.values();
    let policies = policies.map(|(version, it)| (*version, ConfigObject::Policy(it.clone())));
    let services = configuration.services.values();
    let services = services.map(|(version, it)| (*version, ConfigObject::Service(it.clone())));
    let targets = configuration.targets.values();
    let targets = targets.map(|(version, it)| (*version, ConfigObject::Target(it.clone())));
    policies.chain(services).chain(targets)
}
