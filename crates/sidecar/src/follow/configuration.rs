//! The configuration: one object, whose versions only rise.

use bytes::Bytes;
use wingspar_platform::objects::{self, Changes, Object, Outcome};
use wingspar_platform::{CONFIGURATION_KIND, CONFIGURATION_NAME, parse_configuration};

use super::{Subject, log_failure};
use crate::logs::Event;
use crate::node::Node;
use crate::store::StoreError;

/// Reads what the store's caches have, at a tenth of the price: a process that has just started needs some
/// configuration at once, and hears from the leader whether there is a later one. Returns whether the store answered.
pub(super) async fn read_cached(node: &Node) -> bool {
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
    log_failure(node, Subject::Configuration, "cached read", &error);
    false
}

/// Reads the configuration itself; afterwards the node is sure that it knew no older one when it asked.
pub(super) async fn check(node: &Node) -> Result<(), StoreError> {
    let asked_at = node.now();
    let call = objects::get(CONFIGURATION_KIND, CONFIGURATION_NAME);
    let body = node.read_store(&call, None).await?;
    take_body(node, &body, "store")?;
    node.configuration_checked(asked_at);
    Ok(())
}

/// Lists the configuration; returns the store's revision.
pub(super) async fn list(node: &Node) -> Result<u64, StoreError> {
    let asked_at = node.now();
    let call = objects::list(CONFIGURATION_KIND, None);
    let page = objects::parse_page(&node.read_store(&call, None).await?)?;
    for object in &page.objects {
        watched(node, object);
    }
    node.configuration_checked(asked_at);
    Ok(page.revision)
}

/// Takes in what the watch has told.
pub(super) fn told(node: &Node, changes: &Changes) {
    // Each version is whole, so the last one tells all; reading those before it would only take time.
    let latest = changes
        .events
        .iter()
        .rev()
        .find(|(object, gone)| !gone && object.name == CONFIGURATION_NAME);
    if let Some((object, _)) = latest {
        watched(node, object);
    }
}

/// What shows that the watch is behind: a later configuration is in force than it has told of.
pub(super) fn behind(node: &Node) -> Option<String> {
    let watched = node.watched_version.get();
    let in_force = node.configuration_version();
    (watched < in_force).then(|| format!("told of version {watched}, {in_force} is in force"))
}

fn take_body(node: &Node, body: &Bytes, source: &'static str) -> Result<(), StoreError> {
    take(node, &objects::parse_object(body)?, source);
    Ok(())
}

/// Takes in what a listing or the watch has told.
fn watched(node: &Node, object: &Object) {
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
    if let Some((revision, version)) = node.configuration_read.get()
        && revision == object.revision
    {
        // It has been read before, as it mostly has when the store is asked whether there is a later one.
        return Some(version);
    }
    match parse_configuration(&object.content) {
        Ok(configuration) => {
            let version = configuration.version;
            node.configure(configuration, source);
            node.configuration_read
                .set(Some((object.revision, version)));
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
