//! A configuration prepared for look-ups.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::{Configuration, Route, Tenant};

/// Looks up routes by host and path.
#[derive(Debug)]
pub struct RouteTable {
    configuration: Configuration,
    /// For each host, indexes into the routes, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    /// Index of the tenant that a credential names.
    by_credential: HashMap<String, usize>,
}

impl RouteTable {
    /// Prepares a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let mut by_host = HashMap::<String, Vec<usize>>::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indexes in by_host.values_mut() {
            indexes.sort_by_key(|index| {
                std::cmp::Reverse(configuration.routes[*index].path_prefix.len())
            });
        }
        let mut by_credential = HashMap::new();
        for (index, tenant) in configuration.tenants.iter().enumerate() {
            for credential in &tenant.credentials {
                by_credential.insert(credential.secret().to_owned(), index);
            }
        }
        Self {
            configuration,
            by_host,
            by_credential,
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
        let indexes = match self.by_host.get(name) {
            Some(indexes) => indexes,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        indexes
            .iter()
            .map(|index| &self.configuration.routes[*index])
            .find(|route| path.starts_with(&route.path_prefix))
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
