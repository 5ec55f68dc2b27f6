//! A target that owns keys, with what it can do wrong.

mod call;
mod grants;
mod handler;
mod holdings;
mod lives;
mod record;
mod state;

pub use call::TargetCall;
pub use grants::TargetKeys;
pub use holdings::{
    Holding, LowFence, Overlap, fences_of_earlier_lives, holdings, low_fences, overlaps,
};
pub use record::{KeyChange, KeyEvent, KeySpan};
pub use state::{Seen, TargetFaults};

use std::io::Result;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task::JoinHandle;

use lives::Lives;
use state::{Shared, lock};

/// A running target.
#[derive(Debug)]
pub struct FleetTarget {
    lives: Lives,
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
            id: Mutex::new(id.to_owned()),
            past_lives: Mutex::default(),
            crash: Notify::new(),
            grants: Mutex::default(),
            seen_fences: Mutex::default(),
            record: Mutex::default(),
            let_go: Mutex::default(),
            checks_grants: AtomicBool::default(),
            seen: Mutex::default(),
            faults: Mutex::default(),
            at_work: Mutex::default(),
            without_room: Mutex::default(),
            call: Mutex::default(),
            calls_answered: Mutex::default(),
        });
        let lives = Lives::begin_first(address, Arc::clone(&shared)).await?;
        let keeper = tokio::spawn(lives.clone().restart_after_crashes());
        Ok(Self {
            lives,
            shared,
            keeper,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.lives.address()
    }

    /// Whether it is up.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.lives.is_up()
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

    /// How often it has ended.
    #[must_use]
    pub fn crashes(&self) -> u32 {
        *lock(&self.shared.past_lives)
    }

    /// Ends its life; the next begins a little later.
    pub fn begin_anew(&self) {
        self.shared.crash.notify_one();
    }

    /// Ends its life at once, with its connections; it stays away until [`Self::begin_life`].
    pub async fn end_life(&self) {
        self.lives.end().await;
    }

    /// Begins its next life at the same address, under a new id or the one that it had, unless it is up.
    pub async fn begin_life(&self, keeps_id: bool) {
        self.lives.begin_next(keeps_id).await;
    }

    /// From now on it takes no grant that names another life than the present one.
    pub fn check_grants(&self) {
        self.shared.checks_grants.store(true, Ordering::Relaxed);
    }

    /// What its lives were granted and let go.
    #[must_use]
    pub fn key_events(&self) -> Vec<KeyEvent> {
        lock(&self.shared.record).events()
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
        self.lives.open_connections()
    }

    /// Ends it, with its connections.
    pub async fn shutdown(self) {
        self.keeper.abort();
        self.lives.end().await;
    }
}
