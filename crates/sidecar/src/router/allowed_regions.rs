//! Where a request may run: in the regions that both its route and its tenant allow.

use std::borrow::Cow;
use std::rc::Rc;

use wingspar_routes::Route;

use crate::directory::{Destination, Directory};
use crate::settings::Settings;
use crate::tenants::RequestTenant;

/// The regions in which a request may run.
#[derive(Debug, Clone)]
pub struct AllowedRegions<'a> {
    by_route: &'a [String],
    by_tenant: Rc<[String]>,
}

impl<'a> AllowedRegions<'a> {
    /// Those of a route and of a tenant.
    pub fn new(route: &'a Route, tenant: Option<&RequestTenant>) -> Self {
        Self {
            by_route: &route.allowed_regions,
            by_tenant: tenant.map_or_else(Rc::default, |tenant| tenant.allowed_regions.clone()),
        }
    }

    fn are_all(&self) -> bool {
        self.by_route.is_empty() && self.by_tenant.is_empty()
    }

    fn allow(&self, region: &str) -> bool {
        let names = |regions: &[String]| regions.iter().any(|allowed| allowed == region);
        (self.by_route.is_empty() || names(self.by_route))
            && (self.by_tenant.is_empty() || names(&self.by_tenant))
    }

    /// Whether a request may run at a destination.
    pub fn allow_at(&self, settings: &Settings, destination: &Destination) -> bool {
        self.are_all() || self.allow(settings.region_of(&destination.zone))
    }

    /// Those of a service's destinations at which a request may run.
    pub fn destinations<'d>(
        &self,
        settings: &Settings,
        directory: &'d Directory,
        service: &str,
    ) -> Cow<'d, [Destination]> {
        let destinations = directory.destinations(service);
        if self.are_all() {
            return Cow::Borrowed(destinations);
        }
        let allowed = destinations
            .iter()
            .filter(|destination| self.allow_at(settings, destination));
        Cow::Owned(allowed.cloned().collect())
    }

    /// Whether a request can't run though others can: the owner of its key is in a region where it isn't allowed or, if
    /// there is no owner, all targets that take work are.
    pub fn rule_all_out(
        &self,
        settings: &Settings,
        directory: &Directory,
        service: &str,
        key: Option<u16>,
    ) -> bool {
        if self.are_all() {
            return false;
        }
        let owner = key.and_then(|key| directory.owner(service, key));
        match owner {
            Some(owner) => !self.allow_at(settings, owner),
            None => {
                let destinations = directory.destinations(service);
                !destinations.is_empty()
                    && !destinations
                        .iter()
                        .any(|destination| self.allow_at(settings, destination))
            }
        }
    }
}
