//! Ownership of keys as state machines without I/O.
//!
//! Every node runs a [`Participant`]. It consists of a [`Holder`] for the target beside the node,
//! an [`Election`] and, on one node at a time, a [`Leader`]. An object in the platform's store
//! names the leader. It is replaced only by compare-and-swap on its revision, and each replacement
//! begins a new [`Epoch`]. A key has at most one owner because:
//!
//! * A holder obeys the highest epoch that it has seen, and reports what it holds with each
//!   renewal.
//! * A holder counts its lease from when it *sent* the renewal, the leader counts the same lease
//!   from when it *answered*. So a lease never ends earlier for the leader than for the holder.
//! * A leader stops answering renewals once it hasn't confirmed its object for
//!   [`Timing::leadership`]. A new leader assigns keys that no node has reported only after all
//!   registered nodes have reported, or after that time plus a lease.
//! * Shards of tenants' quotas have owners under the same leases ([`ShardHolder`]); targets aren't
//!   involved.
//! * Every grant carries a fencing token ([`Fence`]) made of the epoch and a counter, so that later
//!   grants supersede earlier ones.

mod election;
mod fence;
mod fitness;
mod holder;
mod leader;
mod load;
mod message;
mod node_name;
mod notice;
mod owner_zones;
mod participant;
mod partition;
mod plan;
mod range;
mod registration;
mod shard_holder;
pub mod step_function;
mod table_log;
mod time;

pub use election::{Election, ElectionStep, PeerView};
pub use fence::{Epoch, Fence, Incarnation, StoreEra, StorePosition};
pub use fitness::{Fitness, LeaderWorkload};
pub use holder::{Admission, Delivery, GrantResult, Holder, KeyAssignment, KeyReport, Order};
pub use leader::{FreeReason, FreedKeys, Leader, Member, RegisteredNodes, RegistryPage};
pub use load::{BUCKETS, KEYS_PER_BUCKET, Load, LoadReport, bucket_of};
pub use message::{
    EvacuatedZones, EvacuationReport, Holding, LeaderReference, Leadership, LeaseReply, MemberView,
    RegisteredNode, Released, Renewal, ServiceChanges, ServiceTable, ShardReport, Table,
    TableAnswer, TableChanges, TargetState, Wanted,
};
pub use node_name::NodeName;
pub use notice::MAX_DIRECT_FETCHES;
pub use owner_zones::OwnerZones;
pub use participant::{
    Action, ClaimResult, Datagram, LeadershipEvent, NodeContext, NodeIdentity, Participant, Stored,
};
pub use plan::{Candidate, Plan};
pub use range::KeyRange;
pub use registration::{
    RegisterStep, Registration, RegistrationCall, RemoveStep, StoredRegistration,
};
pub use shard_holder::ShardHolder;
pub use time::{Time, Timing};
