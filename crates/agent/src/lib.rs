//! Agent decisions without I/O: lease, fencing, admission, remembered requests, hand-over.
//!
//! An [`Agent`] stands beside the back ends of one machine. It is the authority on "may this
//! target run this request now": it renews the machine's lease, holds the grants of its slices,
//! admits requests to the targets' slots, remembers what must not run twice, and gives slices up
//! in order. It does no I/O and reads no clock; the node's loop and the simulator drive it.

mod admit;
mod advice;
mod agent;
mod check;
mod counters;
mod event;
mod finish;
mod follow;
mod grants;
mod guard;
mod handover;
mod load;
mod range_map;
mod recall;
mod release;
mod remember_parts;
mod remembered;
mod renew;
mod request;
mod session;
mod settings;
mod target;
mod unsettled;
mod work;

pub use agent::Agent;
pub use counters::Counters;
pub use event::{AgentEvent, Input, Output, SessionEnd};
pub use request::{
    Admission, Admit, Clearance, ClearedGrant, Finish, Idempotency, NotRunProof, Refusal,
    RefusalReason, Ticket,
};
pub use settings::AgentSettings;
