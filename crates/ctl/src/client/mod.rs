//! Typed client of the operator API.

mod attempts;
mod calls;
mod objects;
mod watch;

use std::net::SocketAddr;
use std::time::Duration;

use wingspar_world::{ConfigObject, ConfigVersion};

pub use attempts::Client;
pub(crate) use attempts::describe;
pub use calls::Moved;
pub use watch::{Watch, WatchEvent};

/// Longest time a call takes in all, with its repeats, unless set otherwise.
pub(crate) const DEFAULT_LIMIT: Duration = Duration::from_secs(15);

/// An object with its version.
#[derive(Debug, Clone, PartialEq)]
pub struct Versioned {
    /// Version of its last change.
    pub version: ConfigVersion,
    /// The object.
    pub object: ConfigObject,
}

/// All objects of one kind.
#[derive(Debug, Clone, PartialEq)]
pub struct Listing {
    /// Version of the configuration read.
    pub version: ConfigVersion,
    /// The objects in order of name.
    pub items: Vec<Versioned>,
}

/// A new change id, never used before.
pub fn mint_change_id() -> String {
    format!("ctl-{:032x}", rand::random::<u128>())
}

/// Address of the operator API when none is given.
pub(crate) const DEFAULT_ENDPOINT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 7401);
