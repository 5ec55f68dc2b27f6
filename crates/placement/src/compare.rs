//! Offline comparison of ways to place keys, on seeded workloads in virtual time.
//!
//! The model is a fluid one: each key has a rate of requests, each target the sum of its keys' rates.
//! Placements see the rates with seeded sampling noise, as agents would count them; the measures use
//! the true rates.

mod model;
mod noise;
mod report;
mod samples;
mod workload;

pub use model::{Costs, Row, run};
pub use report::{HEADS, sweep, table};
pub use samples::{caroni, caroni_policy, tegid, tegid_policy};
pub use workload::{Event, TimedEvent, Workload};
