//! Entries of a configuration that can't be read, and what holds for them.
//!
//! One of them must not take the others out of service. What it asks for isn't known, so its own requests are refused as
//! not run: a route that names its host and path keeps them, so that no shorter prefix gets its requests.

use serde::{Deserialize, Serialize};

use crate::{Configuration, Repeatability, Route};

/// The lists of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryList {
    /// Its routes.
    Routes,
    /// Its services.
    Services,
    /// Its tenants.
    Tenants,
    /// Its limits, which are one entry.
    Limits,
}

/// Which requests a route takes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutePlace {
    /// Its host, in lower case.
    pub host: String,
    /// The beginning of their paths.
    pub path_prefix: String,
}

/// An entry that can't be read as it stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreadableEntry {
    /// The list that it stands in.
    pub list: EntryList,
    /// Its name; empty if that can't be read either.
    pub name: String,
    /// The field that is wrong; `.` if the entry itself is.
    pub field: String,
    /// What is wrong with it. It tells nothing of what stands in a tenant's entry, which may be a secret.
    pub problem: String,
    /// Which requests it takes, if it is a route and tells.
    pub place: Option<RoutePlace>,
}

/// How many entries of a configuration can't be read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreadableCounts {
    /// Routes.
    pub routes: usize,
    /// Those of them whose host and path aren't known: any request without a route may be theirs.
    pub unplaced_routes: usize,
    /// Services: a service that isn't listed may be one of them, with or without owners of keys.
    pub services: usize,
    /// Tenants: a credential that isn't known may be one of theirs.
    pub tenants: usize,
    /// 1 if the limits can't be read; the usual ones hold.
    pub limits: usize,
}

impl UnreadableCounts {
    /// All of them.
    pub fn total(&self) -> usize {
        self.routes + self.services + self.tenants + self.limits
    }
}

impl Configuration {
    /// Leaves an entry out that can't be read.
    pub fn leave_out(&mut self, entry: &UnreadableEntry) {
        match entry.list {
            EntryList::Routes => self.leave_route_out(entry),
            EntryList::Services => self.unreadable.services += 1,
            EntryList::Tenants => self.unreadable.tenants += 1,
            EntryList::Limits => self.unreadable.limits += 1,
        }
    }

    fn leave_route_out(&mut self, entry: &UnreadableEntry) {
        self.unreadable.routes += 1;
        match &entry.place {
            Some(place) => self.routes.add(route_without_service(&entry.name, place)),
            None => self.unreadable.unplaced_routes += 1,
        }
    }
}

/// A route that takes its requests and has nowhere to send them.
fn route_without_service(name: &str, place: &RoutePlace) -> Route {
    Route {
        name: name.to_owned(),
        host: place.host.clone(),
        path_prefix: place.path_prefix.clone(),
        repeatability: Repeatability::AtMostOnce,
        timeout: None,
        objective: None,
        priority: 0,
        max_attempts: 1,
        destinations: Vec::new(),
        public: false,
        allowed_regions: Vec::new(),
    }
}
