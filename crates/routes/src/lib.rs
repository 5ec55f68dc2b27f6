//! The operator's configuration: routes, services and limits, and the choice of a route.
//!
//! A [`Configuration`] is a plain value with a version. [`RouteTable`] prepares one for look-ups: a
//! request's host and path pick the route with the longest matching prefix, and a request's id picks
//! one service of a weighted split.

mod configuration;
mod table;

pub use configuration::{
    Configuration, Credential, Limits, Quota, Repeatability, Route, Service, Tenant,
    WeightedService,
};
pub use table::RouteTable;
