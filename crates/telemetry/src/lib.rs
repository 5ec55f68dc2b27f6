//! Counters, structured logs and the operator-only HTTP address.
