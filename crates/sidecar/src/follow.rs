//! Keeps the operator's configuration up to date.
//!
//! Only the leader watches the store. Since a watch may say nothing while there are changes, it also reads the
//! configuration at a steady rate. With each renewal of a lease it tells its version and how long ago it last knew
//! that the store held no later one. A node to which that hasn't been true for too long, because the leader is gone,
//! can't be reached or doesn't reach the store itself, reads the store. So the number of calls doesn't grow with the
//! number of nodes while all is well.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use wingspar_platform::objects::{self, Object, Outcome};
use wingspar_platform::{CONFIGURATION_KIND, CONFIGURATION_NAME, parse_configuration};

use crate::logs::Event;
use crate::node::Node;
use crate::store::StoreError;

/// How long a watch waits at the store, in milliseconds; the longest that the store allows is 30 s.
const WATCH_MS: u64 = 25_000;
/// A watch is given up this long after it should have ended; an answer of a slow store takes a fraction of it.
const WATCH_SLACK: Duration = Duration::from_millis(1_500);
/// How often it is looked at whether something is due; small beside the shares of the bound below.
const STEP: Duration = Duration::from_millis(50);
/// How often a watching node looks whether its watch is behind; it is, if it was at two looks in a row.
const BEHIND_STEP: Duration = Duration::from_millis(700);
/// First pause after a call that failed; it doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest such pause. A node that isn't the leader hears of the store's return from the leader.
const LONGEST_PAUSE: Duration = Duration::from_millis(3_000);
/// The same for the leader, on which all others rely.
const LONGEST_LEADER_PAUSE: Duration = Duration::from_millis(600);
/// The leader reads the configuration this often, in parts of the time by which it must be in force everywhere.
/// With a renewal interval of 0.4 s others are then sure of theirs within half of that time.
const LEADER_CHECK_SHARE: f64 = 0.25;
/// A node that wasn't sure for this part of that time reads the store itself; the rest is for the call.
const UNSURE_SHARE: f64 = 0.6;

/// Follows the configuration until the process ends.
pub async fn run(node: Rc<Node>) {
    let mut knows_nothing = !read_cached(&node).await;
    let mut pause = FIRST_PAUSE;
    loop {
        tokio::time::sleep(STEP).await;
        if !knows_nothing && !is_due(&node) {
            continue;
        }
        knows_nothing = false;
        match check(&node).await {
            Ok(()) => pause = FIRST_PAUSE,
            Err(error) => {
                log_failure(&node, "read", &error);
                let jitter = rand::rng().random_range(0.5..1.5);
                tokio::time::sleep(pause.mul_f64(jitter)).await;
                let longest = if leads(&node) {
                    LONGEST_LEADER_PAUSE
                } else {
                    LONGEST_PAUSE
                };
                pause = (pause * 2).min(longest);
            }
        }
    }
}

/// Watches the configuration whenever this node leads.
pub async fn watch_while_leading(node: Rc<Node>) {
    loop {
        tokio::time::sleep(STEP).await;
        if !leads(&node) {
            continue;
        }
        if let Err(error) = list_and_watch(&node).await {
            log_failure(&node, "watch", &error);
            tokio::time::sleep(LONGEST_LEADER_PAUSE).await;
        }
    }
}

fn leads(node: &Node) -> bool {
    node.participant.borrow().leading().is_some()
}

/// Whether the node has to ask the store if there is a later configuration.
fn is_due(node: &Node) -> bool {
    let share = if leads(node) {
        LEADER_CHECK_SHARE
    } else {
        UNSURE_SHARE
    };
    let bound = Duration::from_secs_f64(node.settings.bounds.converge_s);
    // A process that has just started hears from the leader before it asks the store.
    let sure_at = node
        .configuration_checked_at
        .get()
        .unwrap_or(node.started_at);
    node.now().since(sure_at) >= bound.mul_f64(share)
}

/// Reads what the store's caches have, at a tenth of the price: a process that has just started needs some
/// configuration at once, and hears from the leader whether there is a later one. Returns whether the store answered.
async fn read_cached(node: &Node) -> bool {
    let call = objects::get_cached(CONFIGURATION_KIND, CONFIGURATION_NAME);
    let read = match node.read_store(&call, None).await {
        // The operator has written none yet; the leader will tell.
        Err(StoreError::Answered(Outcome::Missing)) => return true,
        Ok(body) => take_body(node, &body, "cache"),
        Err(error) => Err(error),
    };
    let Err(error) = read else {
        return true;
    };
    log_failure(node, "cached read", &error);
    false
}

/// Reads the configuration itself; afterwards the node is sure that it knew no older one when it asked.
async fn check(node: &Node) -> Result<(), StoreError> {
    let asked_at = node.now();
    let call = objects::get(CONFIGURATION_KIND, CONFIGURATION_NAME);
    let body = node.read_store(&call, None).await?;
    take_body(node, &body, "store")?;
    node.configuration_checked(asked_at);
    Ok(())
}

fn take_body(node: &Node, body: &Bytes, source: &'static str) -> Result<(), StoreError> {
    take(node, &objects::parse_object(body)?, source);
    Ok(())
}

/// Lists the configuration, then watches it until a call fails, the store has forgotten its history, the watch turns
/// out to be behind, or the node leads no longer.
async fn list_and_watch(node: &Node) -> Result<(), StoreError> {
    let asked_at = node.now();
    let body = node
        .read_store(&objects::list(CONFIGURATION_KIND, None), None)
        .await?;
    let page = objects::parse_page(&body)?;
    for object in &page.objects {
        told(node, object);
    }
    node.configuration_checked(asked_at);
    let mut revision = page.revision;
    let time = Duration::from_millis(WATCH_MS) + WATCH_SLACK;
    loop {
        let request = objects::watch(CONFIGURATION_KIND, revision, WATCH_MS);
        let body = tokio::select! {
            body = node.read_store(&request, Some(time)) => body?,
            () = is_over(node) => return Ok(()),
        };
        let changes = objects::parse_changes(&body)?;
        for (object, gone) in &changes.events {
            if !gone {
                told(node, object);
            }
        }
        revision = changes.revision;
    }
}

/// Ends when a watch is of no more use: the node leads no longer, or a later configuration has been in force for a
/// while than the watch has told of.
async fn is_over(node: &Node) {
    let mut looks = 0;
    while looks < 2 {
        tokio::time::sleep(BEHIND_STEP).await;
        if !leads(node) {
            return;
        }
        let behind = node.watched_version.get() < node.configuration_version();
        looks = if behind { looks + 1 } else { 0 };
    }
    node.log.write(Event::Lost {
        dependency: "watch",
        detail: format!(
            "told of version {}, {} is in force",
            node.watched_version.get(),
            node.configuration_version(),
        ),
    });
}

/// Takes in what a listing or the watch has told.
fn told(node: &Node, object: &Object) {
    if let Some(version) = take(node, object, "store") {
        let known = node.watched_version.get();
        node.watched_version.set(known.max(version));
    }
}

/// Puts a stored configuration in force and returns its version; one that can't be read is passed over, and the
/// one in force stays.
fn take(node: &Node, object: &Object, source: &'static str) -> Option<u64> {
    if object.name != CONFIGURATION_NAME {
        return None;
    }
    match parse_configuration(&object.content) {
        Ok(configuration) => {
            let version = configuration.version;
            node.configure(configuration, source);
            Some(version)
        }
        Err(error) => {
            node.log.write(Event::ConfigurationRefused {
                problem: error.to_string(),
            });
            None
        }
    }
}

fn log_failure(node: &Node, call: &'static str, error: &StoreError) {
    node.log.write(Event::StoreCallFailed {
        call,
        subject: "configuration",
        problem: error.to_string(),
    });
}
