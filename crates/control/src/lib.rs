//! Control group decisions without I/O: leases, assignments, hand-over, configuration.

pub mod operator;
