//! The whole system as separate processes, started and ended by the test.

mod deployment;
mod process;
mod scenarios;
