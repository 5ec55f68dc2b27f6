//! A configuration prepared for look-ups.

use std::collections::BTreeSet;
use std::rc::Rc;

use xxhash_rust::xxh3::xxh3_64;

use crate::host_routes::HostRoutes;
use crate::index::Index;
use crate::shared_map::SharedMap;
use crate::{Configuration, ConfigurationChanges, Credential, Route, Tenant};

/// Looks up routes by host and path, and tenants by their credentials. Copies share what doesn't differ between them, so
/// a version that changes little costs little.
#[derive(Debug, Clone)]
pub struct RouteTable {
    configuration: Configuration,
    by_host: SharedMap<Rc<str>, Rc<HostRoutes>>,
    by_credential: Index<Credential, Tenant>,
    /// Those that several tenants list.
    shared_credentials: BTreeSet<Credential>,
}

/// Two tenants list the same credential.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SharedCredential {
    /// The tenant that its requests count for.
    pub tenant: String,
    /// The tenant that they don't count for.
    pub other: String,
}

impl RouteTable {
    /// Prepares a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let mut table = Self {
            configuration: configuration.clone(),
            by_host: SharedMap::default(),
            by_credential: Index::default(),
            shared_credentials: BTreeSet::new(),
        };
        for route in configuration.routes.shared() {
            table.add_route(route);
        }
        for tenant in configuration.tenants.shared() {
            table.add_tenant(tenant);
        }
        table
    }

    /// The table of the version that changes lead to; nothing if they are changes of another version.
    pub fn changed(&self, changes: &ConfigurationChanges) -> Option<Self> {
        let mut table = self.clone();
        if !changes.apply(&mut table.configuration) {
            return None;
        }
        let (before, after) = (&self.configuration, table.configuration.clone());
        for name in changes.routes.names() {
            if let Some(route) = before.routes.get_shared(name) {
                table.remove_route(route);
            }
            if let Some(route) = after.routes.get_shared(name) {
                table.add_route(route);
            }
        }
        for name in changes.tenants.names() {
            if let Some(tenant) = before.tenants.get_shared(name) {
                table.remove_tenant(tenant);
            }
            if let Some(tenant) = after.tenants.get_shared(name) {
                table.add_tenant(tenant);
            }
        }
        Some(table)
    }

    fn add_route(&mut self, route: &Rc<Route>) {
        if let Some(routes) = self.by_host.get_mut(route.host.as_str()) {
            Rc::make_mut(routes).add(route);
            return;
        }
        let mut routes = HostRoutes::default();
        routes.add(route);
        self.by_host
            .insert(route.host.as_str().into(), Rc::new(routes));
    }

    fn remove_route(&mut self, route: &Rc<Route>) {
        let host = route.host.as_str();
        let Some(routes) = self.by_host.get_mut(host).map(Rc::make_mut) else {
            return;
        };
        routes.remove(route);
        if routes.is_empty() {
            self.by_host.remove(host);
        }
    }

    /// Adds a tenant's credentials. An empty one names nobody. One that several tenants list names the tenant with the
    /// lowest name, so that all nodes agree.
    fn add_tenant(&mut self, tenant: &Rc<Tenant>) {
        let credentials = tenant.credentials.iter();
        for credential in credentials.filter(|credential| !credential.secret().is_empty()) {
            self.by_credential.add(credential.clone(), tenant.clone());
            if self.by_credential.all(credential).len() > 1 {
                self.shared_credentials.insert(credential.clone());
            }
        }
    }

    fn remove_tenant(&mut self, tenant: &Rc<Tenant>) {
        for credential in &tenant.credentials {
            self.by_credential.remove(credential, tenant);
            if self.by_credential.all(credential).len() < 2 {
                self.shared_credentials.remove(credential);
            }
        }
    }

    /// The configuration behind the table.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// The route of that host with the longest prefix that begins the path. A port behind the host
    /// doesn't count, nor does the case of its letters.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = match self.by_host.get(name) {
            Some(routes) => routes,
            None => self.by_host.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.find(path)
    }

    /// Whether requests need a credential, unless their route is public.
    pub fn has_tenants(&self) -> bool {
        !self.configuration.tenants.is_empty() || self.configuration.unreadable.tenants > 0
    }

    /// The tenant that a credential names.
    pub fn tenant_of(&self, credential: &str) -> Option<&Tenant> {
        self.by_credential.first(credential).map(Rc::as_ref)
    }

    /// Credentials that several tenants list, by the names of the tenants.
    pub fn shared_credentials(&self) -> Vec<SharedCredential> {
        let shared = self.shared_credentials.iter();
        let mut shared = shared
            .flat_map(|credential| sharing(self.by_credential.all(credential)))
            .collect::<Vec<_>>();
        shared.sort_unstable();
        shared
    }

    /// The service that a request goes to: a split is decided by the request's id, so that each part
    /// gets its share on every node.
    pub fn choose_service<'route>(
        &self,
        route: &'route Route,
        request_id: &[u8],
    ) -> Option<&'route str> {
        if let [only] = route.destinations.as_slice() {
            return Some(&only.service);
        }
        let total = route
            .destinations
            .iter()
            .map(|part| u64::from(part.weight))
            .sum::<u64>();
        if total == 0 {
            return None;
        }
        let mut position = xxh3_64(request_id) % total;
        for part in &route.destinations {
            let weight = u64::from(part.weight);
            if position < weight {
                return Some(&part.service);
            }
            position -= weight;
        }
        None
    }
}

/// The pairs of tenants that list one credential: the first, for which its requests count, with each of the others.
fn sharing(tenants: &[Rc<Tenant>]) -> impl Iterator<Item = SharedCredential> {
    let (holder, others) = tenants.split_at(tenants.len().min(1));
    holder.iter().flat_map(|holder| {
        others.iter().map(|other| SharedCredential {
            tenant: holder.name.clone(),
            other: other.name.clone(),
        })
    })
}
