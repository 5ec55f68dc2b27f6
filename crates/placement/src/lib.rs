//! Placement decisions without I/O, and the baselines they are compared with.
