//! Maintenance tasks: regenerates committed code.

fn main() {}
