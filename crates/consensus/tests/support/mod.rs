//! A seeded cluster of replicas in virtual time, with a checker that runs after every step.
#![allow(dead_code, reason = "each test file uses its part")]

pub mod chaos;
pub mod checker;
pub mod cluster;
pub mod ledger;
pub mod network;
