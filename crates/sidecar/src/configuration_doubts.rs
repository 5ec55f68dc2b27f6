//! Before a node refuses a request for lack of a route or a credential, it checks whether a later
//! configuration allows the request.
//!
//! The leader announces a later configuration to all nodes at once, but the announcement may be in
//! transit or lost. So the node queries the leader, or the store if no other node is the leader; in
//! a large fleet, it queries the nodes that read the store for others in between. One check
//! serves all requests that wait for it, and checks that find nothing become less frequent, so that
//! unknown credentials and routes don't cause calls at the rate at which clients send them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::timeout;
use wingspar_ownership::{MAX_DIRECT_FETCHES, Time};

use crate::configuration_fetch;
use crate::node::Node;
use crate::store_sync;

/// Maximum time that a request waits for a check: several times what the leader or the store takes
/// to respond, and a fraction of the time that callers wait for a refusal before they turn to
/// another node.
const MAX_WAIT: Duration = Duration::from_millis(200);
/// Maximum number of requests that wait for a check, so that they take no memory and descriptors
/// from others while the leader is silent. Further requests are decided at once.
const MAX_WAITING_REQUESTS: usize = 64;
/// Pause after the first check that found nothing. A client that sends a mistyped credential over
/// and over costs two calls per second at most, and a client whose credential is about to be
/// written is soon admitted.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Maximum pause between checks after many that found nothing. Callers that send unknown routes or
/// credentials then cost the leader one call per node in this time.
const MAX_PAUSE: Duration = Duration::from_secs(8);

/// Limits the rate of checks by exponential backoff.
#[derive(Debug)]
pub struct CheckRate {
    next_at: Time,
    pause: Duration,
}

impl Default for CheckRate {
    fn default() -> Self {
        Self {
            next_at: Time::default(),
            pause: FIRST_PAUSE,
        }
    }
}

impl CheckRate {
    /// Whether a check may begin now.
    pub fn allows(&self, now: Time) -> bool {
        now >= self.next_at
    }

    /// Records that a check found nothing later or failed: the pause before the next check is
    /// doubled.
    pub fn record_nothing_later(&mut self, now: Time) {
        self.next_at = now + self.pause;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }

    /// Records that a later configuration is in force. Resets the backoff, since another one may
    /// follow soon.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

/// The outcome of a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckOutcome {
    /// A later configuration is in force.
    Later,
    /// There is no later configuration.
    NoneLater,
    /// The queried node hasn't completed its own check yet.
    NotYet,
    /// The check failed: no node or store could answer.
    Unknown,
}

impl CheckOutcome {
    /// Whether the check determined the latest configuration.
    pub fn is_conclusive(self) -> bool {
        matches!(self, Self::Later | Self::NoneLater)
    }

    /// Stable name for metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Later => "later",
            Self::NoneLater => "none_later",
            Self::NotYet => "not_yet",
            Self::Unknown => "unknown",
        }
    }
}

/// The check in progress and the requests that wait for it.
#[derive(Default)]
pub struct ConfigurationChecks {
    rate: RefCell<CheckRate>,
    in_progress: Cell<bool>,
    waiting: Cell<usize>,
    /// Notified when a check ends or another configuration is in force.
    updates: Notify,
}

impl ConfigurationChecks {
    /// Records that another configuration is in force.
    pub fn configured(&self) {
        self.rate.borrow_mut().reset();
        self.updates.notify_waiters();
    }

    fn begin_wait(&self) -> Option<WaitGuard<'_>> {
        if self.waiting.get() >= MAX_WAITING_REQUESTS {
            return None;
        }
        self.waiting.set(self.waiting.get() + 1);
        Some(WaitGuard(&self.waiting))
    }
}

/// Counts a request as waiting until it is dropped.
struct WaitGuard<'a>(&'a Cell<usize>);

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Whether a configuration later than `version` is in force, now or after waiting briefly for a
/// check or a fetch in progress.
pub async fn wait_for_later(node: &Rc<Node>, version: u64) -> bool {
    if node.configuration_version() > version {
        return true;
    }
    let checks = &node.configuration_doubts;
    let Some(_waiting) = checks.begin_wait() else {
        count(node, "not_waited");
        return false;
    };
    let update = checks.updates.notified();
    if should_wait(node) {
        // After a timeout, the request is decided by the known configuration.
        let _outcome = timeout(MAX_WAIT, update).await;
    }
    node.configuration_version() > version
}

/// Whether a later configuration may arrive soon. Begins a check if none is in progress and the
/// backoff allows it.
fn should_wait(node: &Rc<Node>) -> bool {
    let now = node.now();
    let checks = &node.configuration_doubts;
    let announced = node.configuration_announced.get() > node.configuration_version();
    if checks.in_progress.get() || announced && node.fetching_configuration.get() {
        return true;
    }
    if !checks.rate.borrow().allows(now) {
        count(node, "too_soon");
        return false;
    }
    checks.in_progress.set(true);
    tokio::task::spawn_local(check(node.clone()));
    true
}

/// Checks whether there is a later configuration, and puts it in force.
async fn check(node: Rc<Node>) {
    // If the leader can't answer, all nodes need to check at the same time.
    let mut outcome = if is_in_large_fleet(&node) {
        store_sync::ask_peers(&node).await
    } else {
        ask_leader(&node).await
    };
    if !outcome.is_conclusive() {
        outcome = ask_store(&node).await;
    }
    count(&node, outcome.name());
    let checks = &node.configuration_doubts;
    if outcome != CheckOutcome::Later {
        checks.rate.borrow_mut().record_nothing_later(node.now());
    }
    checks.in_progress.set(false);
    checks.updates.notify_waiters();
}

/// Whether so many nodes may have to check that a few of them should query the store on behalf of
/// all.
fn is_in_large_fleet(node: &Node) -> bool {
    node.directory.borrow().table().members.len() > MAX_DIRECT_FETCHES
}

/// Queries the leader, which then queries the store: its last periodic check isn't recent enough
/// for this purpose.
async fn ask_leader(node: &Node) -> CheckOutcome {
    let leader = {
        let participant = node.participant.borrow();
        let followed = participant
            .followed_leader()
            .filter(|_| participant.leader_state().is_none());
        followed.map(|leader| leader.address)
    };
    match leader {
        Some(leader) => configuration_fetch::ask(node, leader).await,
        None => CheckOutcome::Unknown,
    }
}

async fn ask_store(node: &Node) -> CheckOutcome {
    let before = node.configuration_version();
    let is_checked = store_sync::check_configuration(node).await;
    if node.configuration_version() > before {
        CheckOutcome::Later
    } else if is_checked {
        CheckOutcome::NoneLater
    } else {
        CheckOutcome::Unknown
    }
}

fn count(node: &Node, outcome: &'static str) {
    let metrics = &node.metrics;
    metrics.count(&metrics.configuration_doubts, outcome);
}

/// Whether the configuration was checked recently enough that a node that queries this one doesn't
/// have to query the store.
pub fn is_fresh(node: &Node) -> bool {
    let recent = store_sync::freshness_limit(node);
    node.configuration_checked_ago()
        .is_some_and(|ago| ago < recent)
}
