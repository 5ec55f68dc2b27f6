//! Sockets of the internal protocol: one UDP socket and one TCP listener on the same port.
//!
//! Small, frequent messages travel as datagrams; the receiver wakes at most once per drain interval,
//! since the cost of a renewal is the wake and not the codec (see `docs/design/transport.md`). Large
//! or rare messages travel on one TCP stream for each peer. Nothing here retries: the state machines
//! repeat what they need until they see its effect.

mod counters;
mod datagram;
mod inbound;
mod outbound;
mod settings;
mod transport;

pub use counters::Counters;
pub use settings::Settings;
pub use transport::{Inbound, Sender, Transport};
