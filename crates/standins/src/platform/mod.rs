//! The platform's object API as a stand-in: the model of `wingspar-store` behind HTTP, with faults.

mod admin;
mod api;
mod faults;
mod state;

use std::io::Result;
use std::net::SocketAddr;

use salvo::Router;

use crate::net::{ConnectionSettings, RunningServer};

pub use faults::Faults;
pub use state::{Counters, MachineAction, PlatformState};

/// A running platform stand-in.
#[derive(Debug)]
pub struct PlatformStandIn {
    server: RunningServer,
    state: PlatformState,
}

impl PlatformStandIn {
    /// Starts an empty platform. Port 0 takes any free port.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn start(address: SocketAddr) -> Result<Self> {
        Self::start_with(address, PlatformState::default()).await
    }

    /// Starts a platform on kept state, for example after [`PlatformStandIn::shutdown`].
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn start_with(address: SocketAddr, state: PlatformState) -> Result<Self> {
        let router = Router::new()
            .push(api::router(&state))
            .push(admin::router(&state));
        let server = RunningServer::start(address, ConnectionSettings::default(), router).await?;
        Ok(Self { server, state })
    }

    /// The address of the API.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// What the platform holds; clones are the same platform.
    #[must_use]
    pub fn state(&self) -> &PlatformState {
        &self.state
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state.set_faults(faults);
    }

    /// Cuts every connection and stops listening. The state lives on in [`PlatformState`].
    pub async fn shutdown(self) {
        self.server.shutdown().await;
    }
}
