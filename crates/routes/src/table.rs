//! A configuration prepared for look-ups.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::host_routes::HostRoutes;
use crate::{Configuration, Credential, Route, Tenant};

/// Looks up routes by host and path, and tenants by their credentials.
#[derive(Debug)]
pub struct RouteTable {
    configuration: Configuration,
    by_host: HashMap<String, HostRoutes>,
    /// Index of the tenant that a credential names.
    by_credential: HashMap<Credential, usize>,
    shared_credentials: Vec<SharedCredential>,
}

/// Two tenants list the same credential.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SharedCredential {
    /// The tenant that its requests count for.
    pub tenant: String,
    /// The tenant that they don't count for.
    pub other: String,
}

impl RouteTable {
    /// Prepares a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let mut by_host = HashMap::<String, HostRoutes>::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            by_host
                .entry(route.host.clone())
                .or_default()
                .add(&configuration.routes, index);
        }
        let mut table = Self {
            configuration,
            by_host,
            by_credential: HashMap::new(),
            shared_credentials: Vec::new(),
        };
        table.add_credentials();
        table
    }

    /// Prepares the look-up of tenants. An empty credential names nobody. One that several tenants list names the
    /// tenant with the lowest name, so that all nodes agree.
    fn add_credentials(&mut self) {
        let tenants = &self.configuration.tenants;
        let mut by_name = (0..tenants.len()).collect::<Vec<_>>();
        by_name.sort_by_key(|index| &tenants[*index].name);
        for index in by_name {
            let tenant = &tenants[index];
            let usable = tenant
                .credentials
                .iter()
                .filter(|credential| !credential.secret().is_empty());
            for credential in usable {
                let holder = *self
                    .by_credential
                    .entry(credential.clone())
                    .or_insert(index);
                if holder != index {
                    self.shared_credentials.push(SharedCredential {
                        tenant: tenants[holder].name.clone(),
                        other: tenant.name.clone(),
                    });
                }
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
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        let index = routes.find(path)?;
        self.configuration.routes.get(index)
    }

    /// Whether requests need a credential, unless their route is public.
    pub fn has_tenants(&self) -> bool {
        !self.configuration.tenants.is_empty()
    }

    /// The tenant that a credential names.
    pub fn tenant_of(&self, credential: &str) -> Option<&Tenant> {
        let index = self.by_credential.get(credential)?;
        self.configuration.tenants.get(*index)
    }

    /// Credentials that several tenants list.
    pub fn shared_credentials(&self) -> &[SharedCredential] {
        &self.shared_credentials
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
