//! Restriction of a request to the regions that both its route and its tenant allow.

use std::borrow::Cow;
use std::rc::Rc;

use wingspar_routes::Route;

use crate::directory::{Destination, Directory};
use crate::settings::Settings;
use crate::tenants::RequestTenant;

/// The regions in which a request may run. An empty list allows every region.
#[derive(Debug, Clone)]
pub struct AllowedRegions<'a> {
    by_route: &'a [String],
    by_tenant: Rc<[String]>,
}

impl<'a> AllowedRegions<'a> {
    /// Combines the regions of the route with those of the tenant, if the request has one.
    pub fn new(route: &'a Route, tenant: Option<&RequestTenant>) -> Self {
        Self {
            by_route: &route.allowed_regions,
            by_tenant: tenant.map_or_else(Rc::default, |tenant| tenant.allowed_regions.clone()),
        }
    }

    fn is_unrestricted(&self) -> bool {
        self.by_route.is_empty() && self.by_tenant.is_empty()
    }

    fn allows_region(&self, region: &str) -> bool {
        let contains = |regions: &[String]| regions.iter().any(|allowed| allowed == region);
        (self.by_route.is_empty() || contains(self.by_route))
            && (self.by_tenant.is_empty() || contains(&self.by_tenant))
    }

    /// Whether the request may run at a destination, by the region of its zone.
    pub fn allows(&self, settings: &Settings, destination: &Destination) -> bool {
        self.is_unrestricted() || self.allows_region(settings.region_of(&destination.zone))
    }

    /// The destinations of a service at which the request may run.
    pub fn destinations<'d>(
        &self,
        settings: &Settings,
        directory: &'d Directory,
        service: &str,
    ) -> Cow<'d, [Destination]> {
        let destinations = directory.destinations(service);
        if self.is_unrestricted() {
            return Cow::Borrowed(destinations);
        }
        let allowed = destinations
            .iter()
            .filter(|destination| self.allows(settings, destination));
        Cow::Owned(allowed.cloned().collect())
    }

    /// Whether region restrictions alone keep the request from running: the owner of its key is in a region that isn't
    /// allowed or, if there is no owner, all targets that accept work are.
    pub fn exclude_all_targets(
        &self,
        settings: &Settings,
        directory: &Directory,
        service: &str,
        key: Option<u16>,
    ) -> bool {
        if self.is_unrestricted() {
            return false;
        }
        let owner = key.and_then(|key| directory.owner(service, key));
        match owner {
            Some(owner) => !self.allows(settings, owner),
            None => {
                let destinations = directory.destinations(service);
                !destinations.is_empty()
                    && !destinations
                        .iter()
                        .any(|destination| self.allows(settings, destination))
            }
        }
    }
}
