//! The operator's configuration: routes, services and limits, and the choice of a route.
//!
//! A [`Configuration`] is a plain value with a version. [`RouteTable`] prepares one for look-ups: a
//! request's host and path pick the route with the longest matching prefix, and a request's id picks
//! one service of a weighted split. [`ConfigurationChanges`] is what one version differs in from another. Versions share
//! what doesn't differ, so that a version that changes little takes little time and memory.

mod changes;
mod configuration;
mod host_routes;
mod index;
mod named;
mod shared_map;
mod table;
mod unreadable;

pub use changes::{ChangeLog, ConfigurationChanges, NamedChanges};
pub use configuration::{
    Configuration, Credential, Limits, Quota, Repeatability, Route, Service, Tenant,
    WeightedService,
};
pub use named::{Named, NamedList};
pub use table::{RouteTable, SharedCredential};
pub use unreadable::{EntryList, RoutePlace, UnreadableCounts, UnreadableEntry};
