//! A stand-in's HTTP server, running as a task of the current runtime.

use std::io::Result;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use salvo::server::ServerHandle;
use salvo::{Router, Server};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use super::acceptor::{ConnectionSettings, StandInAcceptor};

/// A server that runs until it is shut down or dropped.
#[derive(Debug)]
pub struct RunningServer {
    local_addr: SocketAddr,
    handle: ServerHandle,
    task: JoinHandle<()>,
    accepted: Arc<AtomicU64>,
    open: Arc<AtomicU64>,
}

impl RunningServer {
    /// Binds `address` (port 0 takes any free port) and serves `router`.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn start(
        address: SocketAddr,
        settings: ConnectionSettings,
        router: Router,
    ) -> Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let local_addr = listener.local_addr()?;
        let acceptor = StandInAcceptor::new(listener, settings)?;
        let accepted = acceptor.accepted();
        let open = acceptor.open();
        // The library's time-outs would close idle connections that callers keep for reuse.
        let server = Server::new(acceptor).disable_fuse();
        let handle = server.handle();
        let task = tokio::spawn(server.serve(router));
        Ok(Self {
            local_addr,
            handle,
            task,
            accepted,
            open,
        })
    }

    /// The bound address.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Number of connections accepted so far.
    #[must_use]
    pub fn accepted_connections(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> u64 {
        self.open.load(Ordering::Relaxed)
    }

    /// Cuts every connection and stops, as if the process were killed. The address is free again.
    pub async fn shutdown(mut self) {
        self.handle.stop_forceful();
        self.task.abort();
        let _ended_or_aborted = (&mut self.task).await;
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
