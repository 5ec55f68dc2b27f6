//! Stand-ins for the systems around wingspar, written against their published behaviour.
//!
//! * [`platform`]: the platform's object API, which can be slow, down, or lose answers.
//! * [`backend`]: a server that owns keys and accepts fenced grants, and can misbehave.
//! * [`fleet`]: the store and the targets of the users' platform.
//! * [`net`]: the HTTP server both are built on.
//!
//! Both run inside a program (also on one thread) or alone, and are steered through the handle or
//! over HTTP below `/admin`.

pub mod backend;
pub mod fleet;
pub mod net;
pub mod platform;
