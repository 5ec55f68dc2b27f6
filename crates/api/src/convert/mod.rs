//! Translation between the schema's messages and the types of the world.
//!
//! Reading a message yields the value or every mistake in it, each as a line that names the field,
//! the value given and what is allowed.

mod group;
mod mistakes;
mod placement;
mod policy;
mod request;
mod service;
mod target;

pub use group::{group_from_proto, group_to_proto, rollout_from_proto, rollout_to_proto};
pub use group::{node_from_proto, node_to_proto};
pub use mistakes::Mistakes;
pub use placement::{
    placement_from_proto, placement_to_proto, range_to_proto, state_version_from_proto,
    state_version_to_proto,
};
pub use policy::{policy_from_proto, policy_to_proto};
pub(crate) use request::{
    change_id, delete_request, expected_version, force_request, move_request, object_key,
    placement_request, shift_request,
};
pub use service::{service_from_proto, service_to_proto};
pub use target::{target_from_proto, target_to_proto};
