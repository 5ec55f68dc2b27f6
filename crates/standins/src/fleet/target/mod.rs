//! A target that owns keys, with what it can do wrong.

mod call;
mod grants;
mod handler;
mod state;

pub use call::TargetCall;
pub use grants::TargetKeys;
pub use state::{Seen, TargetFaults};

use std::io::Result;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use salvo::Router;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::net::{ConnectionSettings, RunningServer};
use handler::TargetHandler;
use state::{Shared, lock};

/// Time from the beginning of a request that ends the target to its end.
const CRASHES_AFTER: Duration = Duration::from_millis(60);
/// Time from there until the target is back.
const BACK_AFTER: Duration = Duration::from_millis(500);

/// A running target.
#[derive(Debug)]
pub struct FleetTarget {
    local_addr: SocketAddr,
    server: Arc<Mutex<Option<RunningServer>>>,
    shared: Arc<Shared>,
    /// Ends it and starts it again when a request crashes it.
    keeper: JoinHandle<()>,
}

impl Drop for FleetTarget {
    fn drop(&mut self) {
        self.keeper.abort();
    }
}

impl FleetTarget {
    /// Starts a target; `keyed` ones run requests only for keys they were granted.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn start(address: SocketAddr, id: &str, keyed: bool) -> Result<Self> {
        let shared = Arc::new(Shared {
            first_id: id.to_owned(),
            keyed,
            past_lives: Mutex::default(),
            crash: Notify::new(),
            grants: Mutex::default(),
            let_go: Mutex::default(),
            seen: Mutex::default(),
            faults: Mutex::default(),
            at_work: Mutex::default(),
            without_room: Mutex::default(),
            call: Mutex::default(),
            calls_answered: Mutex::default(),
        });
        let server = serve(address, &shared).await?;
        let local_addr = server.local_addr();
        let server = Arc::new(Mutex::new(Some(server)));
        let keeper = tokio::spawn(keep(local_addr, Arc::clone(&server), Arc::clone(&shared)));
        Ok(Self {
            local_addr,
            server,
            shared,
            keeper,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Whether it is up.
    #[must_use]
    pub fn is_up(&self) -> bool {
        lock(&self.server).is_some()
    }

    /// Its id; each life has its own, unless it keeps it.
    #[must_use]
    pub fn id(&self) -> String {
        self.shared.id()
    }

    /// When its present life began, in Unix milliseconds; rises with each.
    #[must_use]
    pub fn born(&self) -> u64 {
        1_700_000_000_000 + u64::from(self.crashes())
    }

    /// How often a request has ended it.
    #[must_use]
    pub fn crashes(&self) -> u32 {
        *lock(&self.shared.past_lives)
    }

    /// Ends its life; the next begins a little later.
    pub fn begin_anew(&self) {
        self.shared.crash.notify_one();
    }

    /// Requests that came while it had no room.
    #[must_use]
    pub fn without_room(&self) -> usize {
        *lock(&self.shared.without_room)
    }

    /// Has it make a call for each request that it runs.
    pub fn set_call(&self, call: TargetCall) {
        *lock(&self.shared.call) = Some(call);
    }

    /// The first lines of the answers to its calls.
    #[must_use]
    pub fn calls_answered(&self) -> Vec<String> {
        lock(&self.shared.calls_answered).clone()
    }

    /// Replaces what it does wrong.
    pub fn set_faults(&self, faults: TargetFaults) {
        *lock(&self.shared.faults) = faults;
    }

    /// How much longer it says that it is slow.
    #[must_use]
    pub fn warmup(&self) -> Duration {
        lock(&self.shared.faults).warmup
    }

    /// Requests that it has run.
    #[must_use]
    pub fn seen(&self) -> Vec<Seen> {
        lock(&self.shared.seen).clone()
    }

    /// Whether it holds a key now.
    #[must_use]
    pub fn holds(&self, key: u16) -> bool {
        self.shared.holds(key)
    }

    /// What the target tells of its keys in heartbeats, and takes from their answers.
    #[must_use]
    pub fn keys(&self) -> TargetKeys {
        TargetKeys(Arc::clone(&self.shared))
    }

    /// Connections that are open.
    #[must_use]
    pub fn open_connections(&self) -> u64 {
        let server = lock(&self.server);
        server.as_ref().map_or(0, RunningServer::open_connections)
    }

    /// Ends it, with its connections.
    pub async fn shutdown(self) {
        self.keeper.abort();
        let server = lock(&self.server).take();
        if let Some(server) = server {
            server.shutdown().await;
        }
    }
}

async fn serve(address: SocketAddr, shared: &Arc<Shared>) -> Result<RunningServer> {
    let router = Router::with_path("{**rest}").goal(TargetHandler(Arc::clone(shared)));
    RunningServer::start(address, ConnectionSettings::default(), router).await
}

/// Ends the target at each request that crashes it, and starts its next life a little later.
async fn keep(address: SocketAddr, server: Arc<Mutex<Option<RunningServer>>>, shared: Arc<Shared>) {
    loop {
        shared.crash.notified().await;
        tokio::time::sleep(CRASHES_AFTER).await;
        let ended = lock(&server).take();
        if let Some(ended) = ended {
            ended.shutdown().await;
        }
        *lock(&shared.past_lives) += 1;
        lock(&shared.grants).clear();
        lock(&shared.let_go).clear();
        tokio::time::sleep(BACK_AFTER).await;
        let next = loop {
            match serve(address, &shared).await {
                Ok(next) => break next,
                Err(_still_bound) => tokio::time::sleep(CRASHES_AFTER).await,
            }
        };
        *lock(&server) = Some(next);
    }
}
