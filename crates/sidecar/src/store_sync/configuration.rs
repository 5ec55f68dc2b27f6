//! Synchronizes the configuration: a single object with increasing versions.

use std::time::Duration;

use bytes::Bytes;
use wingspar_platform::objects::{self, Changes, Object, Outcome};
use wingspar_platform::{
    CONFIGURATION_KIND, CONFIGURATION_NAME, ReadConfiguration, parse_configuration,
};

use super::{Subject, log_failure};
use crate::logs::Event;
use crate::node::Node;
use crate::store::StoreError;
use crate::stored_configuration::RevisionCheck;

/// Configurations below this size are read without a revision check: on a link of 10 Mbit/s that
/// takes 13 ms, no longer than the extra call would.
const LARGE_CONFIGURATION_BYTES: usize = 16 * 1024;
/// How long after a change the watch gets to begin its response: several response times of a busy
/// store. A watch that reports nothing, which can happen, delays the read by this time.
const WATCH_START_TIMEOUT: Duration = Duration::from_millis(200);

/// Reads the configuration from the store's caches, at a tenth of the cost: a process that has just
/// started needs some configuration at once, and the leader announces whether there is a later
/// one. Returns whether the store responded.
pub(super) async fn read_cached(node: &Node) -> bool {
    let call = objects::get_cached(CONFIGURATION_KIND, CONFIGURATION_NAME);
    let read = match node.read_store(&call, None).await {
        // The operator has written no configuration yet; the leader announces the first one.
        Err(StoreError::Answered(Outcome::Missing)) => return true,
        Ok(body) => apply_body(node, &body, "cache"),
        Err(error) => Err(error),
    };
    let Err(error) = read else {
        return true;
    };
    log_failure(node, Subject::Configuration, "cached read", &error);
    false
}

/// How a check ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CheckResult {
    /// The node's configuration is at least as late as the store's was when the check began.
    Confirmed,
    /// Another read in progress has ended, or the watch has reported a change. Whether the
    /// configuration is the latest remains to be checked.
    Indirect,
}

/// Checks the configuration: requests the store's revision and reads the configuration if it may
/// have changed.
pub(super) async fn check(node: &Node) -> Result<CheckResult, StoreError> {
    let reads = &node.configuration_reads;
    let Some(_guard) = reads.reading.try_begin() else {
        reads.reading.ended().await;
        return Ok(CheckResult::Indirect);
    };
    let look = look_if_large(node).await?;
    let era = node.store_era.get();
    if let Some(look) = look
        && reads.known.borrow_mut().record_check(look)
    {
        node.configuration_checked(look.asked_at);
        return Ok(CheckResult::Confirmed);
    }
    if look.is_some() && watch_reports_change(node).await {
        return Ok(CheckResult::Indirect);
    }
    let asked_at = look.map_or_else(|| node.now(), |look| look.asked_at);
    let call = objects::get(CONFIGURATION_KIND, CONFIGURATION_NAME);
    match node.read_store(&call, None).await {
        Ok(body) => apply_body(node, &body, "store")?,
        // The operator has written no configuration yet. That is confirmed knowledge too, so no
        // other node has to query the store.
        Err(StoreError::Answered(Outcome::Missing)) if node.configuration_version() == 0 => {}
        Err(error) => return Err(error),
    }
    if node.store_era.get() != era {
        // The store was restored from a copy between the two responses; the next check decides.
        return Ok(CheckResult::Indirect);
    }
    if let Some(look) = look {
        reads.known.borrow_mut().read_after(look);
    }
    node.configuration_checked(asked_at);
    Ok(CheckResult::Confirmed)
}

/// Whether the watch reports the change that a revision check has shown. A read in parallel would
/// double the time of both.
async fn watch_reports_change(node: &Node) -> bool {
    let reads = &node.configuration_reads;
    let ended = reads.reading.ended();
    if reads.watches.get() && reads.watch_bytes.get() == 0 {
        tokio::time::sleep(WATCH_START_TIMEOUT).await;
    }
    if reads.watch_bytes.get() > 0 {
        ended.await;
        return true;
    }
    false
}

/// Whether reading the configuration takes longer than another call.
pub(super) fn is_large(node: &Node) -> bool {
    node.configuration_bytes() >= LARGE_CONFIGURATION_BYTES
}

/// Requests the store's revision before reading a configuration that takes long to transfer; `None`
/// for a small one, or if the store doesn't respond.
async fn look_if_large(node: &Node) -> Result<Option<RevisionCheck>, StoreError> {
    if !is_large(node) {
        return Ok(None);
    }
    match look(node).await {
        Ok(look) => Ok(Some(look)),
        // The store may still be able to return the object.
        Err(error @ StoreError::NoAnswer(_)) => {
            log_failure(node, Subject::Configuration, "look", &error);
            Ok(None)
        }
        Err(error) => Err(error),
    }
}

/// Requests the store's revision by listing the objects after the configuration, of which there are
/// none.
async fn look(node: &Node) -> Result<RevisionCheck, StoreError> {
    let asked_at = node.now();
    let call = objects::list(CONFIGURATION_KIND, Some(CONFIGURATION_NAME));
    let page = objects::parse_page(&node.read_store(&call, None).await?)?;
    Ok(RevisionCheck {
        revision: page.revision,
        asked_at,
    })
}

/// Checks the configuration and returns the store's revision from which a watch reports all later
/// changes.
pub(super) async fn watch_from(node: &Node) -> Result<u64, StoreError> {
    let from = look(node).await?;
    // The result of another read may be older than that revision.
    while check(node).await? == CheckResult::Indirect {}
    let mut known = node.configuration_reads.known.borrow_mut();
    known.record_watched(node.configuration_version());
    Ok(from.revision)
}

/// Applies the changes reported by the watch.
pub(super) fn told(node: &Node, changes: &Changes) {
    // Each version is complete, so only the last one is needed; reading the earlier ones would only
    // take time.
    let latest = changes
        .events
        .iter()
        .rev()
        .find(|(object, gone)| !gone && object.name == CONFIGURATION_NAME);
    if let Some((object, _)) = latest
        // An unreadable version is logged; the periodic poll finds it again.
        && let Ok(Some(version)) = apply(node, object, "store")
    {
        node.configuration_reads
            .known
            .borrow_mut()
            .record_watched(version);
    }
}

/// Describes how the watch lags: a later configuration is in force than it has reported.
pub(super) fn behind(node: &Node) -> Option<String> {
    let watched = node.configuration_reads.known.borrow().watched_version();
    let in_force = node.configuration_version();
    (watched < in_force)
        .then(|| format!("the watch reported version {watched}, version {in_force} is in force"))
}

fn apply_body(node: &Node, body: &Bytes, source: &'static str) -> Result<(), StoreError> {
    apply(node, &objects::parse_object(body)?, source)?;
    Ok(())
}

/// Puts a stored configuration in force and returns its version; `None` if the object isn't the
/// configuration. If the configuration can't be read at all, the one in force stays, and isn't
/// confirmed to be the latest.
fn apply(node: &Node, object: &Object, source: &'static str) -> Result<Option<u64>, StoreError> {
    if object.name != CONFIGURATION_NAME {
        return Ok(None);
    }
    let known = &node.configuration_reads.known;
    if let Some(version) = known.borrow().version_at(object.revision) {
        return Ok(Some(version));
    }
    let read = parse_configuration(&object.content).inspect_err(|error| {
        node.log.write(Event::ConfigurationRefused {
            problem: error.to_string(),
        });
    })?;
    log_problems(node, &read);
    let version = read.configuration.version;
    node.apply_configuration(read.configuration, source);
    let confirmed_at = known.borrow_mut().read(object.revision, version);
    if let Some(confirmed_at) = confirmed_at {
        node.configuration_checked(confirmed_at);
    }
    Ok(Some(version))
}

/// Logs which parts of a configuration aren't understood: one line for all unreadable entries, and
/// one for all unknown kinds.
fn log_problems(node: &Node, read: &ReadConfiguration) {
    let version = read.configuration.version;
    if let Some(first) = read.unreadable.first() {
        node.log.write(Event::EntriesUnreadable {
            version,
            count: read.unreadable.len(),
            list: first.list,
            entry: &first.name,
            field: &first.field,
            problem: &first.problem,
        });
    }
    if let Some(first) = read.unknown_kinds.first() {
        node.log.write(Event::KindsUnknown {
            version,
            count: read.unknown_kinds.len(),
            route: first,
        });
    }
}
