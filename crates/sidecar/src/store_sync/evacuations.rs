//! Synchronizes the evacuated zones. Each is an object in the store that exists as long as the
//! evacuation.

use wingspar_ownership::EvacuatedZones;
use wingspar_platform::EVACUATION_KIND;
use wingspar_platform::objects::{self, Changes};

use super::{Subject, log_unreadable};
use crate::node::Node;
use crate::store::StoreError;

/// Lists all evacuated zones and returns the store's revision. Zones whose entries can't be read
/// keep their state, and the list still counts as confirmed: one unreadable entry must not keep all
/// other evacuations from taking effect.
pub(super) async fn check(node: &Node) -> Result<u64, StoreError> {
    let asked_at = node.now();
    let mut evacuated = EvacuatedZones::default();
    let mut after = None::<String>;
    let mut unreadable = 0;
    loop {
        let call = objects::list(EVACUATION_KIND, after.as_deref());
        let page = objects::parse_page(&node.read_store(&call, None).await?)?;
        if after.is_none() {
            // A watch from the first page's revision reports what changes between two pages.
            evacuated.revision = page.revision;
        }
        let names = page.objects.iter().map(|object| object.name.clone());
        evacuated.zones.extend(names);
        unreadable += page.unreadable;
        evacuated.era = node.store_era.get();
        match page.objects.last() {
            Some(last) if page.more => after = Some(last.name.clone()),
            _ => break,
        }
    }
    if unreadable > 0 {
        log_unreadable(node, Subject::Evacuations, "read", unreadable);
        evacuated.merge_known(node.evacuations.borrow().evacuated());
    }
    let revision = evacuated.revision;
    node.apply_evacuations(evacuated, "store");
    node.evacuations.borrow_mut().record_check(asked_at);
    Ok(revision)
}

/// Applies the changes reported by the watch: the state of each changed zone as of the watch's
/// revision. What is known may be later than the start of the watch but not than its response, so
/// the other zones stay as known.
pub(super) fn told(node: &Node, changes: &Changes) {
    let known = node.evacuations.borrow().evacuated().clone();
    let mut evacuated = EvacuatedZones {
        era: node.store_era.get(),
        revision: changes.revision,
        zones: known.zones.clone(),
    };
    if evacuated.as_of() <= known.as_of() {
        return;
    }
    for (object, gone) in &changes.events {
        if *gone {
            evacuated.zones.remove(&object.name);
        } else {
            evacuated.zones.insert(object.name.clone());
        }
    }
    node.apply_evacuations(evacuated, "watch");
}
