//! Hollow nodes: the shipped state machines and codec on a ramp, to measure what control costs.
//!
//! Real [`wingspar_control::Control`], [`wingspar_agent::Agent`] and [`wingspar_routing::Router`]
//! run in one process. A stub network carries their encoded messages under a virtual clock, so
//! counts of messages and bytes repeat exactly; processor time is measured around each call.

mod account;
mod cluster;
mod command;
mod configuration;
mod cpu;
mod deliver;
mod fit;
mod load;
mod memory;
mod phases;
mod platform;
mod ramp;
mod sizes;
mod wire_leader;

pub use account::{Account, Ledger, Role, Traffic};
pub use cluster::{Cluster, ClusterSettings};
pub use command::run;
pub use fit::{Line, fit};
pub use phases::{PhaseReport, PointReport, run_point};
pub use ramp::{RampReport, Size, ramp};
