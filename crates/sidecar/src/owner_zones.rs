//! The zones in which keys may be owned, according to the operator's routes and settings.

use std::collections::{BTreeMap, BTreeSet};

use wingspar_ownership::OwnerZones;
use wingspar_routes::{Configuration, Route};

/// Computes the zones in which keys of each service may be owned, from the regions that its routes allow and the region
/// of each zone.
///
/// Requests of all routes to a service go to the same owner of a key, so the owner must be in a region that each route
/// allows. If no region is allowed by all, owners may be in any region that one of the routes allows, and routers
/// refuse the requests of the other routes.
pub fn owner_zones(
    configuration: &Configuration,
    regions: &BTreeMap<String, String>,
) -> OwnerZones {
    let keyed = configuration
        .services
        .iter()
        .filter(|service| service.keyed);
    let limited = keyed.filter_map(|service| {
        let allowed = allowed_regions(configuration, &service.name)?;
        Some((service.name.clone(), zones_of(&allowed, regions)))
    });
    OwnerZones::new(limited.collect())
}

/// The regions in which keys of a service may be owned; `None` if none of its routes restricts them.
fn allowed_regions<'c>(
    configuration: &'c Configuration,
    service: &str,
) -> Option<BTreeSet<&'c str>> {
    let restricts_service = |route: &&Route| {
        let mut destinations = route.destinations.iter();
        !route.allowed_regions.is_empty()
            && destinations.any(|part| part.service == service && part.weight > 0)
    };
    let routes = configuration.routes.iter().filter(restricts_service);
    let by_route = routes
        .map(|route| route.allowed_regions.iter().map(String::as_str).collect())
        .collect::<Vec<BTreeSet<_>>>();
    let common = by_route
        .iter()
        .cloned()
        .reduce(|left, right| &left & &right)?;
    if common.is_empty() {
        Some(by_route.into_iter().flatten().collect())
    } else {
        Some(common)
    }
}

/// The zones of the allowed regions. A zone whose region isn't set is a region of its own.
fn zones_of(allowed: &BTreeSet<&str>, regions: &BTreeMap<String, String>) -> BTreeSet<String> {
    let named = regions
        .iter()
        .filter(|(_, region)| allowed.contains(region.as_str()));
    let unnamed = allowed
        .iter()
        .filter(|region| !regions.contains_key(**region));
    let named = named.map(|(zone, _)| zone.clone());
    named
        .chain(unnamed.map(|zone| (*zone).to_owned()))
        .collect()
}
