//! A server that owns keys and accepts fenced grants, as a stand-in.
//!
//! It keeps the contract of `docs/interfaces/backend.md`, and misbehaves on demand: it drains, starts
//! cold, sheds, freezes, breaks answers off, and tells late or untrue health. Its journal shows what
//! it ran, so that double ownership and double runs are found.

mod answer;
mod audit;
mod control_handler;
mod fencing;
mod journal;
mod refusal;
mod report;
mod run;
mod settings;
mod state;
mod terms;
mod work_handler;

use std::io::Result;
use std::net::SocketAddr;
use std::sync::Arc;

use salvo::Router;

use crate::net::{ConnectionSettings, RunningServer};

pub use answer::AnswerPattern;
pub use audit::{Violation, audit};
pub use control_handler::{DrainRequest, FenceOffer, FenceOfferAnswer};
pub use fencing::FenceFloors;
pub use journal::{Journal, JournalEntry, JournalOutcome};
pub use refusal::RefusalReason;
pub use report::{LoadReport, ReportHistory};
pub use settings::{BackendSettings, Behaviour, HealthReport, ServiceTime};
pub use state::Backend;

/// A running back-end stand-in.
#[derive(Debug)]
pub struct BackendStandIn {
    server: RunningServer,
    admin_server: Option<RunningServer>,
    backend: Arc<Backend>,
}

impl BackendStandIn {
    /// Starts a back end. Port 0 takes any free port.
    ///
    /// # Errors
    /// When an address can't be bound.
    pub async fn start(address: SocketAddr, settings: BackendSettings) -> Result<Self> {
        let connections = ConnectionSettings {
            setup_cost: settings.connection_setup,
            ..ConnectionSettings::default()
        };
        let admin_address = settings.admin_address;
        let backend = Arc::new(Backend::new(settings, connections.gate.clone()));
        let server =
            RunningServer::start(address, connections, control_handler::router(&backend)).await?;
        let admin_server = match admin_address {
            Some(address) => Some(start_admin(address, &backend).await?),
            None => None,
        };
        Ok(Self {
            server,
            admin_server,
            backend,
        })
    }

    /// The address of the server.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// The second address for `/admin`, if there is one.
    #[must_use]
    pub fn admin_addr(&self) -> Option<SocketAddr> {
        self.admin_server.as_ref().map(RunningServer::local_addr)
    }

    /// What the server knows: behaviour, load, journal.
    #[must_use]
    pub fn backend(&self) -> &Arc<Backend> {
        &self.backend
    }

    /// Changes how the server behaves.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.backend.set_behaviour(behaviour);
    }

    /// The kept journal entries.
    #[must_use]
    pub fn journal(&self) -> Vec<JournalEntry> {
        self.backend.journal().entries_from(0)
    }

    /// Number of connections accepted so far.
    #[must_use]
    pub fn accepted_connections(&self) -> u64 {
        self.server.accepted_connections()
    }

    /// Number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> u64 {
        self.server.open_connections()
    }

    /// Cuts every connection and all work, as if the process were killed.
    pub async fn shutdown(self) {
        self.backend.abort_tasks();
        self.server.shutdown().await;
        if let Some(admin_server) = self.admin_server {
            admin_server.shutdown().await;
        }
    }
}

async fn start_admin(address: SocketAddr, backend: &Arc<Backend>) -> Result<RunningServer> {
    let router = Router::new().push(control_handler::admin_router(backend));
    RunningServer::start(address, ConnectionSettings::default(), router).await
}
