//! The zones in which keys may be owned.

use std::collections::{BTreeMap, BTreeSet};

/// The zones in which the keys of each service may be owned. The keys of a service without an entry
/// may be owned in any zone.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct OwnerZones {
    by_service: BTreeMap<String, BTreeSet<String>>,
}

impl OwnerZones {
    /// From the allowed zones of each service that is restricted to some.
    pub fn new(by_service: BTreeMap<String, BTreeSet<String>>) -> Self {
        Self { by_service }
    }

    /// Whether the keys of a service may be owned in a zone.
    pub fn allow(&self, service: &str, zone: &str) -> bool {
        let zones = self.by_service.get(service);
        zones.is_none_or(|zones| zones.contains(zone))
    }
}
