//! Types of the world that every other crate shares.
//!
//! The types mirror things an operator can point at: regions, zones, machines, links, the contract
//! of a service, its targets, and the slices of its key ring with the lease and fence that give one
//! target the sole right to serve them. Nothing here does I/O or reads a clock.
//!
//! ```
//! use wingspar_world::{KeyHash, SliceRange};
//!
//! let hash = KeyHash::of(b"rosa-canina");
//! assert!(SliceRange::FULL.contains(hash));
//! ```

mod config;
mod contract;
mod fence;
mod key;
mod link;
mod machine;
mod name;
mod placement;
mod rules;
mod time;

pub use config::{ConfigChange, ConfigObject, ConfigVersion, Configuration};
pub use contract::{Contract, KeySource, RequestClass, RequestRule, Service, ServiceKind, Target};
pub use fence::{Fence, Grant, Lease};
pub use key::{HASH_VERSION, KeyHash, SliceRange};
pub use link::{Link, LinkTable};
pub use machine::{Incarnation, Machine, NodeId};
pub use name::{
    MAX_NAME_LENGTH, MachineName, NameError, PolicyName, RegionName, ServiceName, TargetName,
    ZoneName,
};
pub use placement::{GroupId, PlacementPolicy, QuietWindow};
pub use rules::{MAX_KEY_BYTES, weight_mistakes};
pub use time::MonotonicTime;
