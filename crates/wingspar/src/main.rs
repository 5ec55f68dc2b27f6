//! The wingspar process and command line.

fn main() {}
