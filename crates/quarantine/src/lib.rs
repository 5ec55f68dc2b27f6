//! Requests under which targets end.
//!
//! A request may crash every target that begins to run it, and its caller may send it again under a new id, to any node. So
//! what counts is its content: its [`Fingerprint`]. The agent beside a target keeps which requests are
//! [`InFlight`] there; when the target ends, these are suspects.
//!
//! Times are spans since the process started.

mod fingerprint;
mod in_flight;

pub use fingerprint::{Content, Fingerprint};
pub use in_flight::{InFlight, RunId, Suspect};
