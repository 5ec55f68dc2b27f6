//! Keeps the node's copy of what the operator writes into the store up to date: the configuration,
//! and which zones are evacuated.
//!
//! Only the leader watches the store. Since a watch may report nothing although there are changes,
//! the leader also polls the store at a steady rate. With each renewal of a lease it passes on what
//! it has read, and how long ago the store was last confirmed to hold nothing later. A node for
//! which that was too long ago, because the leader is gone, can't be reached or can't reach the
//! store itself, checks for itself. For the configuration, which may be large, it queries the
//! leader if that responds at all, then one of a few nodes of its region, and only then the store.
//! So neither the number of calls nor the bytes read grow with the number of nodes, in particular
//! when bandwidth is scarce.

mod configuration;
mod evacuations;
mod readers;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use wingspar_ownership::{StoreEra, Time};
use wingspar_platform::objects::{self, Call, Changes};
use wingspar_platform::{CONFIGURATION_KIND, EVACUATION_KIND};

use configuration::CheckResult;
pub use readers::{Freshness, ask_peers, ensure_fresh};

use crate::configuration_doubts::is_fresh;
use crate::logs::Event;
use crate::node::Node;
use crate::store::StoreError;

/// How long the store holds a watch open, in milliseconds; the store allows 30 s at most.
const WATCH_DURATION_MS: u64 = 25_000;
/// A watch is abandoned this long after it should have ended. A slow store needs a fraction of this
/// time to respond.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_500);
/// Interval at which the node checks whether a poll is due, as a fraction of [`Subject::bound`].
const CHECK_STEP_SHARE: f64 = 0.025;
/// Interval at which a watching node checks whether its watch lags behind. The watch is restarted
/// if it lags in two checks in a row.
const LAG_CHECK_INTERVAL: Duration = Duration::from_millis(700);
/// Initial backoff after a failed call; it doubles up to the maximum.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);
/// Maximum backoff of a node that isn't the leader. The leader announces to it that the store is
/// available again.
const MAX_BACKOFF: Duration = Duration::from_millis(3_000);
/// Maximum backoff of the leader, which all other nodes rely on.
const MAX_LEADER_BACKOFF: Duration = Duration::from_millis(600);
/// Interval at which the leader polls the store, as a fraction of [`Subject::bound`]. With a
/// renewal interval of 0.4 s, the other nodes' copies are then confirmed within half of that bound.
const LEADER_CHECK_SHARE: f64 = 0.25;
/// A node that isn't the leader polls the store itself once its copy hasn't been confirmed for this
/// fraction of [`Subject::bound`]. The rest of the bound is left for the call.
const FOLLOWER_CHECK_SHARE: f64 = 0.6;

/// What is kept in sync with the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// Routes, services and limits.
    Configuration,
    /// Zones whose targets must receive no requests.
    Evacuations,
}

impl Subject {
    /// Name in logs.
    fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Evacuations => "evacuations",
        }
    }

    fn kind(self) -> &'static str {
        match self {
            Self::Configuration => CONFIGURATION_KIND,
            Self::Evacuations => EVACUATION_KIND,
        }
    }

    /// Time after a write by which it must be in force everywhere.
    fn bound(self, node: &Node) -> Duration {
        let bounds = &node.settings.bounds;
        match self {
            Self::Configuration => Duration::from_secs_f64(bounds.converge_s),
            Self::Evacuations => node.evacuation_bound().unwrap_or(Duration::MAX),
        }
    }

    /// When the node's copy was last known to be the latest; `None` if it never was.
    fn checked_at(self, node: &Node) -> Option<Time> {
        match self {
            Self::Configuration => node.configuration_checked_at.get(),
            Self::Evacuations => node.evacuations.borrow().checked_at(),
        }
    }

    /// Checks with the store that the node's copy is the latest, and updates it otherwise.
    async fn check(self, node: &Node) -> Result<(), StoreError> {
        match self {
            Self::Configuration => configuration::check(node).await.map(|_| ()),
            Self::Evacuations => evacuations::check(node).await.map(|_| ()),
        }
    }

    /// Checks the copy like [`Self::check`] and returns the store's revision from which a watch
    /// continues.
    async fn watch_from(self, node: &Node) -> Result<u64, StoreError> {
        match self {
            Self::Configuration => configuration::watch_from(node).await,
            Self::Evacuations => evacuations::check(node).await,
        }
    }

    /// Opens a watch and returns its response once that is complete.
    async fn await_changes(self, node: &Node, request: &Call) -> Result<Bytes, StoreError> {
        let timeout = Some(Duration::from_millis(WATCH_DURATION_MS) + WATCH_TIMEOUT_MARGIN);
        match self {
            Self::Configuration => {
                let reads = &node.configuration_reads;
                reads.watches.set(true);
                node.read_store_counting(request, timeout, &reads.watch_bytes)
                    .await
            }
            Self::Evacuations => node.read_store(request, timeout).await,
        }
    }

    /// Records that a watch has ended and its changes were applied.
    fn watch_ended(self, node: &Node) {
        match self {
            Self::Configuration => node.configuration_reads.told(),
            Self::Evacuations => {}
        }
    }

    /// Applies the changes reported by the watch.
    fn told(self, node: &Node, changes: &Changes) {
        match self {
            Self::Configuration => configuration::told(node, changes),
            Self::Evacuations => evacuations::told(node, changes),
        }
    }

    /// Describes how the watch lags behind what is known here; `None` if it may be up to date.
    fn behind(self, node: &Node) -> Option<String> {
        match self {
            Self::Configuration => configuration::behind(node),
            // The periodic poll finds changes that the watch omits, well within the bound.
            Self::Evacuations => None,
        }
    }
}

/// Checks the configuration with the store. Returns whether it is known to be the latest.
pub async fn check_configuration(node: &Node) -> bool {
    match configuration::check(node).await {
        Ok(CheckResult::Confirmed) => true,
        Ok(CheckResult::Indirect) => is_fresh(node),
        Err(error) => {
            log_failure(node, Subject::Configuration, "read", &error);
            false
        }
    }
}

/// Maximum age of the last check at a leader that reaches the store: the poll interval plus at most
/// two steps.
pub fn freshness_limit(node: &Node) -> Duration {
    let bound = Subject::Configuration.bound(node);
    bound.mul_f64(LEADER_CHECK_SHARE + 2.0 * CHECK_STEP_SHARE)
}

/// Polls a subject whenever a check is due, until the process ends.
pub async fn run(node: Rc<Node>, subject: Subject) {
    let mut needs_initial_read = match subject {
        Subject::Configuration => !configuration::read_cached(&node).await,
        Subject::Evacuations => false,
    };
    let step = subject.bound(&node).mul_f64(CHECK_STEP_SHARE);
    let mut backoff = INITIAL_BACKOFF;
    loop {
        tokio::time::sleep(step).await;
        if !needs_initial_read && !is_due(&node, subject) {
            continue;
        }
        needs_initial_read = false;
        // Reading a small configuration takes less time than a leader without access to the store
        // takes to report that.
        let is_large = subject == Subject::Configuration && configuration::is_large(&node);
        if is_large && ask_peers(&node).await.is_conclusive() {
            backoff = INITIAL_BACKOFF;
            continue;
        }
        match subject.check(&node).await {
            Ok(()) => backoff = INITIAL_BACKOFF,
            Err(error) => {
                log_failure(&node, subject, "read", &error);
                let jitter = rand::rng().random_range(0.5..1.5);
                tokio::time::sleep(backoff.mul_f64(jitter)).await;
                let max_backoff = if is_leader(&node) {
                    MAX_LEADER_BACKOFF
                } else {
                    MAX_BACKOFF
                };
                backoff = (backoff * 2).min(max_backoff);
            }
        }
    }
}

/// Watches a subject whenever this node is the leader.
pub async fn watch_while_leading(node: Rc<Node>, subject: Subject) {
    let step = subject.bound(&node).mul_f64(CHECK_STEP_SHARE);
    loop {
        tokio::time::sleep(step).await;
        if !is_leader(&node) {
            continue;
        }
        let outcome = watch(&node, subject).await;
        subject.watch_ended(&node);
        if let Err(error) = outcome {
            log_failure(&node, subject, "watch", &error);
            tokio::time::sleep(MAX_LEADER_BACKOFF).await;
        }
    }
}

fn is_leader(node: &Node) -> bool {
    node.participant.borrow().leader_state().is_some()
}

/// Whether the node has to poll the store now.
fn is_due(node: &Node, subject: Subject) -> bool {
    let share = if is_leader(node) {
        LEADER_CHECK_SHARE
    } else {
        FOLLOWER_CHECK_SHARE
    };
    // A process that has just started waits for the leader before it queries the store.
    let confirmed_at = subject.checked_at(node).unwrap_or(node.started_at);
    node.now().since(confirmed_at) >= subject.bound(node).mul_f64(share)
}

/// Checks a subject and then watches it until a call fails, the store has discarded the history
/// that the watch needs, the watch turns out to lag, or the node is no longer the leader.
async fn watch(node: &Node, subject: Subject) -> Result<(), StoreError> {
    let mut revision = subject.watch_from(node).await?;
    let era = node.store_era.get();
    loop {
        let request = objects::watch(subject.kind(), revision, WATCH_DURATION_MS);
        let body = tokio::select! {
            body = subject.await_changes(node, &request) => body?,
            () = watch_becomes_obsolete(node, subject, era) => return Ok(()),
        };
        let changes = objects::parse_changes(&body)?;
        if changes.unreadable > 0 {
            // The periodic poll finds what these entries would have reported.
            log_unreadable(node, subject, "watch", changes.unreadable);
        }
        subject.told(node, &changes);
        subject.watch_ended(node);
        if node.store_era.get() != era {
            // After the store was restored from a copy, the watched revision denotes another state.
            return Ok(());
        }
        revision = changes.revision;
    }
}

/// Completes when a watch has become useless: the node is no longer the leader, the store was
/// restored from a copy, or the watch has lagged for two checks in a row.
async fn watch_becomes_obsolete(node: &Node, subject: Subject, era: StoreEra) {
    let mut lag_count = 0;
    loop {
        tokio::time::sleep(LAG_CHECK_INTERVAL).await;
        if !is_leader(node) || node.store_era.get() != era {
            return;
        }
        match subject.behind(node) {
            None => lag_count = 0,
            Some(_) if lag_count == 0 => lag_count = 1,
            Some(detail) => {
                return node.log.write(Event::Lost {
                    dependency: "watch",
                    detail,
                });
            }
        }
    }
}

fn log_failure(node: &Node, subject: Subject, call: &'static str, error: &StoreError) {
    node.log.write(Event::StoreCallFailed {
        call,
        subject: subject.name(),
        problem: error.to_string(),
    });
}

fn log_unreadable(node: &Node, subject: Subject, call: &'static str, count: usize) {
    node.log.write(Event::StoreCallFailed {
        call,
        subject: subject.name(),
        problem: format!("{count} entries can't be read"),
    });
}
