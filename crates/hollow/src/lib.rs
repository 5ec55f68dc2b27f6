//! Hollow nodes: the shipped state machines and codec on a ramp, to measure what control costs.
