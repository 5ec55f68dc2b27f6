//! Stand-ins for the outside systems: the platform and back ends.
