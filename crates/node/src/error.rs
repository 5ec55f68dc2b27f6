//! Why a node can't start.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Why a node can't start, or stopped without being asked.
#[derive(Debug, Error)]
pub enum NodeError {
    /// An address can't be bound.
    #[error("{part} can't listen on {address}: {error}")]
    Bind {
        /// The part that needs it.
        part: &'static str,
        /// The address.
        address: SocketAddr,
        /// The operating system's reason.
        error: io::Error,
    },
    /// The platform's URL names no IP address and port.
    #[error("platform.url must be http://IP:PORT, not {0:?}")]
    PlatformUrl(String),
    /// The store's client can't be built.
    #[error("the store's client can't be built: {0}")]
    Store(#[from] wingspar_store::http_store::SetupError),
    /// The log can't be set up.
    #[error(transparent)]
    Log(#[from] wingspar_telemetry::log::SetupError),
    /// The runtime or the signal handlers can't be set up.
    #[error("the process can't be set up: {0}")]
    Process(#[from] io::Error),
}
