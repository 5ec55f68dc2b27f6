//! Client of the platform's object API, and a model of that API without I/O.
//!
//! * [`object`], [`operation`]: the vocabulary of the API (objects, events, machines, operations).
//! * [`model`]: an in-memory [`model::ObjectStore`], used by the HTTP stand-in and the simulator.
//!
//! The protocol itself is published in `docs/interfaces/platform.md`.

pub mod key;
pub mod model;
pub mod object;
pub mod operation;
