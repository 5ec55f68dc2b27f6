//! Deterministic simulator of the shipped state machines, with invariants checked after each step.
//!
//! One seed gives one run: a virtual clock, a network that loses, delays, repeats and reorders
//! messages, machines that pause, die and restart, a store that goes down and loses answers, and
//! operators and callers that race. Nothing here does I/O or reads a clock.

pub mod backend;
pub mod checker;
pub mod clock;
pub mod network;
pub mod platform;
pub mod queue;
