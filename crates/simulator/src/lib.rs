//! Deterministic simulator of the shipped state machines, with invariant checking.
