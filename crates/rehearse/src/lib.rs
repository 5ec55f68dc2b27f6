//! Rehearsal kit: a deployment on loopback with load, faults, checks and reports.
//!
//! `wingspar-rehearse` is its command line.

pub mod audit;
pub mod bench;
pub mod cluster;
pub mod command;
pub mod demo;
pub mod experiment;
pub mod load;
pub mod panics;
pub mod report;
