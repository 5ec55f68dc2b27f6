//! Rehearsal kit: demo, experiments, soak, hollow nodes, reports.

fn main() {}
