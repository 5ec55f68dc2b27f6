//! The beginning and the end of a target's lives.

use std::io::Result;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use salvo::Router;

use super::handler::TargetHandler;
use super::state::{Shared, lock};
use crate::net::{ConnectionSettings, RunningServer};

/// Time from the beginning of a request that ends the target to its end.
const CRASHES_AFTER: Duration = Duration::from_millis(60);
/// Time from there until the target is back.
const BACK_AFTER: Duration = Duration::from_millis(500);

/// A target's server while it is up, at an address that stays.
#[derive(Debug, Clone)]
pub(super) struct Lives {
    address: SocketAddr,
    server: Arc<Mutex<Option<RunningServer>>>,
    shared: Arc<Shared>,
}

impl Lives {
    /// Begins the first life.
    pub(super) async fn begin_first(address: SocketAddr, shared: Arc<Shared>) -> Result<Self> {
        let server = serve(address, &shared).await?;
        Ok(Self {
            address: server.local_addr(),
            server: Arc::new(Mutex::new(Some(server))),
            shared,
        })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn is_up(&self) -> bool {
        lock(&self.server).is_some()
    }

    pub(super) fn open_connections(&self) -> u64 {
        let server = lock(&self.server);
        server.as_ref().map_or(0, RunningServer::open_connections)
    }

    /// Ends the present life with its connections, if the target is up.
    pub(super) async fn end(&self) {
        let ended = lock(&self.server).take();
        let Some(ended) = ended else { return };
        ended.shutdown().await;
        *lock(&self.shared.past_lives) += 1;
        self.shared.forget_keys();
    }

    /// Begins the next life, unless the target is up.
    pub(super) async fn begin_next(&self, keeps_id: bool) {
        if self.is_up() {
            return;
        }
        self.shared.name_life(keeps_id);
        while !self.is_up() {
            match serve(self.address, &self.shared).await {
                Ok(next) => *lock(&self.server) = Some(next),
                Err(_still_bound) => tokio::time::sleep(CRASHES_AFTER).await,
            }
        }
    }

    /// Ends the target at each request that crashes it, and starts its next life a little later.
    pub(super) async fn restart_after_crashes(self) {
        loop {
            self.shared.crash.notified().await;
            tokio::time::sleep(CRASHES_AFTER).await;
            self.end().await;
            tokio::time::sleep(BACK_AFTER).await;
            let keeps_id = lock(&self.shared.faults).keeps_id;
            self.begin_next(keeps_id).await;
        }
    }
}

async fn serve(address: SocketAddr, shared: &Arc<Shared>) -> Result<RunningServer> {
    let router = Router::with_path("{**rest}").goal(TargetHandler::new(shared));
    RunningServer::start(address, ConnectionSettings::default(), router).await
}
