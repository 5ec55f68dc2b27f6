//! Follows the operator's configuration in the store.
//!
//! Every node watches it. A watch may say nothing while there are changes, and that can't be seen from the watch
//! itself, so the leader also reads the object at a steady rate and tells all nodes; a node whose watch turns out to
//! be behind begins anew.

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use wingspar_platform::objects::{self, Call, Object, Outcome};
use wingspar_platform::{CONFIGURATION_KIND, CONFIGURATION_NAME, parse_configuration};

use crate::logs::Event;
use crate::node::Node;
use crate::store::Reply;

/// How long a watch waits at the store, in milliseconds.
const WATCH_MS: u64 = 25_000;
/// A watch is given up this long after it should have ended.
const WATCH_SLACK: Duration = Duration::from_millis(1_500);
/// First pause after a call that failed; it doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(3_000);

/// How often the leader reads the configuration itself.
const CHECK_EVERY: Duration = Duration::from_millis(900);
/// How often a node looks whether its watch is behind; it is, if it was at two looks in a row.
const BEHIND_STEP: Duration = Duration::from_millis(700);

/// Reads the configuration at a steady rate while this node leads.
pub async fn check_while_leading(node: Rc<Node>) {
    let object = objects::get(CONFIGURATION_KIND, CONFIGURATION_NAME);
    loop {
        tokio::time::sleep(CHECK_EVERY).await;
        if node.participant.borrow().leading().is_none() {
            continue;
        }
        let reply = call(&node, &object, None).await;
        let read = reply.and_then(|reply| objects::parse_object(&reply.body).ok());
        if let Some(object) = read {
            take(&node, &object, "check");
        }
    }
}

/// Follows the configuration until the process ends.
pub async fn run(node: Rc<Node>) {
    let mut pause = FIRST_PAUSE;
    loop {
        if let Some(revision) = list(&node).await {
            pause = FIRST_PAUSE;
            watch(&node, revision).await;
            continue;
        }
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(pause.mul_f64(jitter)).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// Reads the configuration; the store's revision if that succeeded.
async fn list(node: &Node) -> Option<u64> {
    let reply = call(node, &objects::list(CONFIGURATION_KIND, None), None).await?;
    let page = objects::parse_page(&reply.body).ok()?;
    for object in &page.objects {
        told(node, object);
    }
    Some(page.revision)
}

/// Watches from a revision until a call fails or the store has forgotten it.
async fn watch(node: &Node, mut revision: u64) {
    let time = Duration::from_millis(WATCH_MS) + WATCH_SLACK;
    loop {
        let request = objects::watch(CONFIGURATION_KIND, revision, WATCH_MS);
        let reply = tokio::select! {
            reply = call(node, &request, Some(time)) => reply,
            () = is_behind(node) => {
                node.log.write(Event::Lost {
                    dependency: "watch",
                    detail: format!(
                        "told of version {}, {} is in force",
                        node.watched_version.get(),
                        node.configuration_version(),
                    ),
                });
                return;
            }
        };
        let Some(reply) = reply else {
            return;
        };
        let Ok(changes) = objects::parse_changes(&reply.body) else {
            return;
        };
        for (object, gone) in &changes.events {
            if !gone {
                told(node, object);
            }
        }
        revision = changes.revision;
    }
}

/// Ends when a later configuration has been in force for a while than the watch has told of.
async fn is_behind(node: &Node) {
    let mut looks = 0;
    while looks < 2 {
        tokio::time::sleep(BEHIND_STEP).await;
        let behind = node.watched_version.get() < node.configuration_version();
        looks = if behind { looks + 1 } else { 0 };
    }
}

/// Takes in what a listing or the watch has told.
fn told(node: &Node, object: &Object) {
    if let Some(version) = take(node, object, "store") {
        let known = node.watched_version.get();
        node.watched_version.set(known.max(version));
    }
}

/// Puts a stored configuration in force and returns its version; one that can't be read is passed over.
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

/// Makes a call and counts it; nothing unless it was done.
pub async fn call(node: &Node, call: &Call, time: Option<Duration>) -> Option<Reply> {
    let reply = counted_call(node, call, time).await;
    reply.filter(|reply| reply.outcome == Outcome::Done)
}

/// Makes a call and counts it; nothing without an answer.
pub async fn counted_call(node: &Node, call: &Call, time: Option<Duration>) -> Option<Reply> {
    let reply = match time {
        Some(time) => node.store.call_within(call, time).await,
        None => node.store.call(call).await,
    };
    let outcome = match &reply {
        Err(_) => "no_answer",
        Ok(reply) => match reply.outcome {
            Outcome::Done => "done",
            Outcome::Missing => "missing",
            Outcome::Conflict => "conflict",
            Outcome::HistoryGone => "history_gone",
            Outcome::Throttled => "throttled",
            Outcome::Unavailable => "unavailable",
            Outcome::Unexpected(_) => "unexpected",
        },
    };
    node.metrics.count(&node.metrics.store_calls, outcome);
    let refused = matches!(
        outcome,
        "no_answer" | "throttled" | "unavailable" | "unexpected"
    );
    node.store_answered(!refused, outcome);
    reply.ok()
}
