//! Client of the platform's object API, and a model of that API without I/O.
//!
//! * [`object`], [`operation`], [`outcome`]: the vocabulary (objects, operations, outcomes).
//! * [`model`]: an in-memory [`model::ObjectStore`], used by the HTTP stand-in and the simulator.
//! * [`http_store`]: [`HttpStore`], the client over HTTP.
//! * [`resolve`]: how a write whose answer was lost is read back until its outcome is proved.
//!
//! The protocol itself is published in `docs/interfaces/platform.md`.

pub mod change;
mod http_exchange;
pub mod http_store;
pub mod key;
pub mod model;
pub mod object;
pub mod operation;
pub mod outcome;
pub mod resolve;

pub use change::Change;
pub use http_store::{HttpStore, HttpStoreSettings};
pub use outcome::{Answer, ReadError, WriteOutcome};
pub use resolve::{Resolver, Step};
