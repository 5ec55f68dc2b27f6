//! Deterministic simulator of the shipped state machines, with invariants checked after each step.
//!
//! One seed gives one run: a virtual clock, a network that loses, delays, repeats and reorders
//! messages, machines that pause, die and restart, a store that goes down and loses answers, and
//! operators and callers that race. Nothing here does I/O or reads a clock.
//!
//! [`replay`] plays one seed, [`soak`] many of them on several threads.

pub mod backend;
pub mod callers;
pub mod checker;
pub mod clock;
pub mod fault;
pub mod interference;
mod machine;
mod mix;
pub mod network;
pub mod operators;
pub mod platform;
pub mod process;
pub mod queue;
mod report;
pub mod request;
pub mod scenario;
mod simulation;
mod soak;
pub mod topology;
mod trace;

pub use report::{Failure, Report};
pub use scenario::{Preset, Scenario};
pub use simulation::Simulation;
pub use soak::{GapStatistics, SoakReport, replay, soak};
