//! Accepts connections for a stand-in.
//!
//! salvo's own TCP acceptor leaves Nagle's algorithm on, which together with delayed
//! acknowledgements holds back the second small write of an answer for some 40 ms. This acceptor
//! turns it off on each accepted socket.

use std::io::Result;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use salvo::conn::tcp::TcpCoupler;
use salvo::conn::{Accepted, Acceptor, Holding};
use salvo::fuse::ArcFusePolicy;
use salvo::http::Version;
use salvo::http::uri::Scheme;
use tokio::net::TcpListener;

use super::gate::Gate;
use super::stream::{OpenConnection, StandInStream};

/// How connections behave.
#[derive(Debug, Clone, Default)]
pub struct ConnectionSettings {
    /// Time that a new connection takes before its first byte is read.
    pub setup_cost: Duration,
    /// Stops accepting, reading and writing while frozen.
    pub gate: Gate,
}

/// Accepts connections with [`ConnectionSettings`] and counts them.
#[derive(Debug)]
pub struct StandInAcceptor {
    listener: TcpListener,
    settings: ConnectionSettings,
    holdings: Vec<Holding>,
    accepted: Arc<AtomicU64>,
    open: Arc<AtomicU64>,
}

impl StandInAcceptor {
    /// Accepts from a bound listener.
    ///
    /// # Errors
    /// When the listener's address can't be read.
    pub fn new(listener: TcpListener, settings: ConnectionSettings) -> Result<Self> {
        let holdings = vec![Holding {
            local_addr: listener.local_addr()?.into(),
            http_versions: vec![Version::HTTP_11, Version::HTTP_2],
            http_scheme: Scheme::HTTP,
        }];
        let accepted = Arc::default();
        let open = Arc::default();
        Ok(Self {
            listener,
            settings,
            holdings,
            accepted,
            open,
        })
    }

    /// Counts the connections accepted so far.
    #[must_use]
    pub fn accepted(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.accepted)
    }

    /// Counts the connections that are open.
    #[must_use]
    pub fn open(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.open)
    }
}

impl Acceptor for StandInAcceptor {
    type Coupler = TcpCoupler<StandInStream>;
    type Stream = StandInStream;

    fn holdings(&self) -> &[Holding] {
        &self.holdings
    }

    async fn accept(
        &mut self,
        _fuse_policy: Option<ArcFusePolicy>,
    ) -> Result<Accepted<Self::Coupler, Self::Stream>> {
        self.settings.gate.pass().await;
        let (socket, remote_addr) = self.listener.accept().await?;
        socket.set_nodelay(true)?;
        self.accepted.fetch_add(1, Ordering::Relaxed);
        let gate = self.settings.gate.clone();
        let open = OpenConnection::new(Arc::clone(&self.open));
        Ok(Accepted {
            coupler: TcpCoupler::new(),
            stream: StandInStream::new(socket, gate, self.settings.setup_cost, open),
            fuse_config: None,
            conn_ctrl: salvo::conn::ConnCtrl::new(),
            local_addr: self.holdings[0].local_addr.clone(),
            remote_addr: remote_addr.into(),
            http_scheme: Scheme::HTTP,
        })
    }
}
