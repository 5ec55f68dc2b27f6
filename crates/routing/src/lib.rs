//! Routing decisions without I/O: resolution, slice table, outcomes, retries, limits.
