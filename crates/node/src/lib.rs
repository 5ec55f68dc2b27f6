//! One machine's process: composes router, agent and control candidate.
//!
//! [`Node::start`] binds all addresses and spawns one loop on the caller's single-threaded runtime.
//! The loop feeds messages, time, store answers and operator requests to the parts' state machines
//! and carries out what they return. [`run`] is the whole process: log, signals and node.

mod clock;
mod error;
mod event_loop;
mod log;
mod metrics;
mod node;
mod operators;
mod parts;
mod platform;
mod process;
mod stopping;

pub use clock::boot_clock;
pub use error::NodeError;
pub use node::{Addresses, Node};
pub use process::run;
