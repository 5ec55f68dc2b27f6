//! Counters, structured logs and the operator-only HTTP address.
//!
//! Counters come first: every part keeps plain totals, and [`Metrics`] reads them when somebody
//! scrapes. Log lines are written for changes of state only, each under a stable event name.

pub mod log;
mod metrics;
mod operator_http;

pub use metrics::{Family, Kind, Metrics, Point};
pub use operator_http::{Health, HealthCheck, serve};
