//! Where keys may be owned.

use std::collections::{BTreeMap, BTreeSet};

/// The only zones in which keys of services may be owned; services that aren't named may have theirs anywhere.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct OwnerZones {
    by_service: BTreeMap<String, BTreeSet<String>>,
}

impl OwnerZones {
    /// From the zones of each service that has a choice of them.
    pub fn new(by_service: BTreeMap<String, BTreeSet<String>>) -> Self {
        Self { by_service }
    }

    /// Whether keys of a service may be owned in a zone.
    pub fn allow(&self, service: &str, zone: &str) -> bool {
        let zones = self.by_service.get(service);
        zones.is_none_or(|zones| zones.contains(zone))
    }
}
