//! The nodes that the store lists, so that a later leader waits for each one that may hold keys.
//!
//! In a large fleet the leader registers all nodes, many per page, so the number of store calls
//! grows with the pages rather than with the nodes. In a small fleet each node writes its own
//! object, which takes few calls and depends neither on the leader's process nor on its connection
//! to the store.
//!
//! Pages are only ever created, under the leader's epoch and a number, so a call that is executed
//! late changes nothing that another leader has written. The registered nodes result from applying
//! the pages in order: each one adds and removes nodes. A node counts as registered only by a page
//! of this leader's own epoch, because an earlier leader that hasn't noticed yet that it was
//! replaced may still undo the changes of earlier pages.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Leader;
use crate::{Epoch, MemberView, NodeName, RegisteredNode, Registration, Table, Time};

/// Most nodes per page. A page has about 20 KB, which the slowest link transfers in about as many
/// milliseconds.
const MAX_PAGE_NODES: usize = 256;
/// Least time between two pages, so that nodes that start together share a page.
const PAGE_INTERVAL: Duration = Duration::from_millis(120);
/// A page that the store hasn't acknowledged is written again after this time.
const PAGE_WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// A node that holds nothing is deregistered after this time without a renewal. Restarted machines
/// are back earlier, so they needn't be registered again.
const DEREGISTER_AFTER: Duration = Duration::from_secs(12);
/// Interval between checks for nodes that are gone.
const GONE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// All nodes are rewritten when there are this many more pages than they fill. A new leader reads
/// that many in one call.
const MAX_EXTRA_PAGES: u32 = 64;

/// One page of the registry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryPage {
    /// The epoch of the leader that wrote the page.
    pub epoch: Epoch,
    /// Rises with each page of an epoch.
    pub number: u32,
    /// Nodes that the page registers.
    pub nodes: Vec<RegisteredNode>,
    /// Nodes that the page deregisters.
    pub removed: Vec<NodeName>,
}

impl RegistryPage {
    /// The page's name in the store; names sort in the order of the pages.
    pub fn name(&self) -> String {
        page_name(self.epoch, self.number)
    }
}

fn page_name(epoch: Epoch, number: u32) -> String {
    format!("{:020}-{number:08}", epoch.0)
}

/// The node registrations in the store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RegisteredNodes {
    /// Nodes that have registered themselves, by name.
    pub self_registered: BTreeMap<NodeName, Registration>,
    /// Revision of the store at which `self_registered` was read; 0 if it may be incomplete.
    pub self_registered_revision: u64,
    /// Pages that leaders have written.
    pub pages: Vec<RegistryPage>,
    /// Names of unreadable pages.
    pub unreadable_pages: Vec<String>,
    /// Number of unreadable entries, including unreadable pages. Each may name nodes that hold
    /// keys.
    pub unreadable: usize,
}

impl RegisteredNodes {
    /// Adds the object with this name, unless another one of its node is of a later era.
    pub fn add_self_registered(&mut self, object_name: &str, registration: Registration) {
        let node = registration.node(object_name);
        let known = self.self_registered.get(&node);
        if known.is_none_or(|known| known.era <= registration.era) {
            self.self_registered.insert(node, registration);
        }
    }

    /// The nodes that result from the pages.
    fn in_pages(&self) -> BTreeMap<NodeName, RegisteredNode> {
        let mut pages = self.pages.iter().collect::<Vec<_>>();
        pages.sort_by_key(|page| (page.epoch, page.number));
        let mut nodes = BTreeMap::new();
        for page in pages {
            for removed in &page.removed {
                nodes.remove(removed);
            }
            let added = page.nodes.iter();
            nodes.extend(added.map(|known| (known.node.clone(), known.clone())));
        }
        nodes
    }

    /// All nodes that may hold keys.
    pub fn all(&self) -> Vec<RegisteredNode> {
        let mut nodes = self.in_pages();
        for (node, registration) in &self.self_registered {
            let known = RegisteredNode {
                node: node.clone(),
                address: registration.address,
                service: registration.service.clone(),
            };
            nodes.insert(node.clone(), known);
        }
        nodes.into_values().collect()
    }

    /// The nodes in the last known table that the store doesn't list, although they may hold keys
    /// or shards. The table may be outdated, so this isn't all of them. A stopping node that owns
    /// nothing is left out: it removes its registration and gets nothing more.
    pub fn unlisted(&self, table: &Table) -> Vec<RegisteredNode> {
        let listed = self.all();
        let listed = listed.iter().map(|known| &known.node);
        let listed = listed.collect::<BTreeSet<_>>();
        let owners = table.services.iter().flat_map(|service| &service.owners);
        let owners = owners.filter_map(|(_, owner)| owner.as_ref());
        let owners = owners.collect::<BTreeSet<_>>();
        let may_hold = |member: &&MemberView| {
            let is_owner = owners.contains(&member.node) || !member.quota_shards.is_empty();
            !listed.contains(&member.node) && (is_owner || !member.leaving)
        };
        let unlisted = table.members.iter().filter(may_hold);
        let unlisted = unlisted.map(|member| RegisteredNode {
            node: member.node.clone(),
            address: member.address,
            service: member.target.as_ref().map(|target| target.service.clone()),
        });
        unlisted.collect()
    }

    /// The names of the pages, earliest first.
    fn page_names(&self) -> VecDeque<String> {
        let readable = self.pages.iter().map(RegistryPage::name);
        let unreadable = self.unreadable_pages.iter().cloned();
        let mut names = readable.chain(unreadable).collect::<Vec<_>>();
        names.sort_unstable();
        names.into()
    }
}

/// A node in an acknowledged page of this epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Entry {
    address: SocketAddr,
    /// The only service whose keys the node's target may hold; `None` if it isn't known.
    pub(super) service: Option<String>,
    /// When the page was acknowledged.
    pub(super) at: Time,
}

/// What this leader has written to the store, and what it still has to write.
#[derive(Debug)]
pub(super) struct Registry {
    epoch: Epoch,
    /// Nodes in acknowledged pages of this epoch.
    entries: BTreeMap<NodeName, Entry>,
    /// Nodes that the next pages register.
    added: BTreeMap<NodeName, RegisteredNode>,
    /// Nodes that the next pages deregister.
    removed: BTreeSet<NodeName>,
    /// The page that is being written, and when it was last sent.
    writing: Option<(RegistryPage, Time)>,
    next_number: u32,
    /// When the last page was begun; `None` if there is none or if it was full, so that the next
    /// needn't wait.
    begun_at: Option<Time>,
    /// Number of the first page since all nodes were rewritten.
    first_number: u32,
    /// Names of the pages before `first_number` and of earlier leaders' pages, until they are
    /// removed. Earliest first, since a page that deregisters a node must outlive the one that
    /// registers it.
    earlier: VecDeque<String>,
    /// When all nodes of the `earlier` pages were in acknowledged later pages; `None` until then.
    copied_at: Option<Time>,
    /// When the last check for nodes that are gone was made.
    gone_checked_at: Time,
}

impl Registry {
    /// The registry of a leader that was elected while the store listed these nodes.
    pub(super) fn new(epoch: Epoch, registered: &RegisteredNodes) -> Self {
        Self {
            epoch,
            entries: BTreeMap::new(),
            added: registered.in_pages(),
            removed: BTreeSet::new(),
            writing: None,
            next_number: 0,
            begun_at: None,
            first_number: 0,
            earlier: registered.page_names(),
            copied_at: None,
            gone_checked_at: Time::default(),
        }
    }

    /// The entry of a node; `None` unless the store has acknowledged a page with the node's current
    /// address and service.
    pub(super) fn entry(&self, node: &NodeName) -> Option<&Entry> {
        self.entries.get(node)
    }

    /// Registers a node with a target of this service, unless it already is with its current
    /// address.
    pub(super) fn register(&mut self, view: &MemberView, service: &str) {
        self.removed.remove(&view.node);
        let is_same = |address: SocketAddr, known: Option<&str>| {
            address == view.address && known == Some(service)
        };
        if let Some(entry) = self.entries.get(&view.node)
            && is_same(entry.address, entry.service.as_deref())
        {
            return;
        }
        if let Some(added) = self.added.get(&view.node)
            && is_same(added.address, added.service.as_deref())
        {
            return;
        }
        // The node gets keys only once the store lists its current address and service.
        self.entries.remove(&view.node);
        let known = RegisteredNode {
            node: view.node.clone(),
            address: view.address,
            service: Some(service.to_owned()),
        };
        self.added.insert(view.node.clone(), known);
    }

    /// Nodes that are in pages or will be.
    fn names(&self) -> impl Iterator<Item = &NodeName> {
        let entries = self.entries.keys();
        entries.chain(self.added.keys())
    }

    /// Deregisters a node. It holds nothing, and gets nothing until it is registered again.
    fn deregister(&mut self, node: &NodeName) {
        self.added.remove(node);
        self.entries.remove(node);
        self.removed.insert(node.clone());
    }

    /// Has all nodes rewritten once there are too many pages with few changes each.
    fn compact(&mut self) {
        let full_pages = u32::try_from(self.entries.len() / MAX_PAGE_NODES).unwrap_or(u32::MAX);
        let most = full_pages.saturating_add(MAX_EXTRA_PAGES);
        if self.copied_at.is_none() || self.next_number - self.first_number < most {
            return;
        }
        let numbers = self.first_number..self.next_number;
        let epoch = self.epoch;
        self.earlier
            .extend(numbers.map(|number| page_name(epoch, number)));
        self.first_number = self.next_number;
        self.copied_at = None;
        for (node, entry) in &self.entries {
            let known = RegisteredNode {
                node: node.clone(),
                address: entry.address,
                service: entry.service.clone(),
            };
            self.added.entry(node.clone()).or_insert(known);
        }
    }

    /// The page to write now, if any.
    fn page(&mut self, now: Time) -> Option<RegistryPage> {
        if let Some((page, sent_at)) = &mut self.writing {
            if now.since(*sent_at) < PAGE_WRITE_TIMEOUT {
                return None;
            }
            *sent_at = now;
            return Some(page.clone());
        }
        let is_early = self
            .begun_at
            .is_some_and(|begun_at| now.since(begun_at) < PAGE_INTERVAL);
        if is_early || (self.added.is_empty() && self.removed.is_empty()) {
            return None;
        }
        self.compact();
        let nodes = self.added.values().take(MAX_PAGE_NODES).cloned();
        let page = RegistryPage {
            epoch: self.epoch,
            number: self.next_number,
            nodes: nodes.collect(),
            removed: self.removed.iter().cloned().collect(),
        };
        self.next_number += 1;
        let is_full = page.nodes.len() == MAX_PAGE_NODES;
        self.begun_at = (!is_full).then_some(now);
        self.writing = Some((page.clone(), now));
        Some(page)
    }

    /// Records that the store acknowledged a page. Returns the nodes that it registered.
    fn written(&mut self, now: Time, number: u32) -> Vec<NodeName> {
        let Some((page, _)) = self.writing.take_if(|(page, _)| page.number == number) else {
            return Vec::new();
        };
        for removed in &page.removed {
            self.removed.remove(removed);
        }
        let mut names = Vec::with_capacity(page.nodes.len());
        for known in page.nodes {
            // A node that has changed in the meantime is written again.
            if self.added.get(&known.node) == Some(&known) {
                self.added.remove(&known.node);
                // A node that is only rewritten was in the store before.
                self.entries.entry(known.node.clone()).or_insert(Entry {
                    address: known.address,
                    service: known.service,
                    at: now,
                });
                names.push(known.node);
            }
        }
        if self.copied_at.is_none() && self.added.is_empty() {
            self.copied_at = Some(now);
        }
        names
    }

    /// The name of the next page that is no longer needed, if any. This leader must have been
    /// confirmed after everything in those pages was copied, so that later leaders see its pages.
    fn take_obsolete(&mut self, confirmed_at: Time) -> Option<String> {
        let is_copied = self.copied_at.is_some_and(|at| at < confirmed_at);
        is_copied.then(|| self.earlier.pop_front()).flatten()
    }
}

/// How long the leader of a starting system counts the nodes before it decides whether they have to
/// register themselves.
pub(super) const NODE_COUNT_PERIOD: Duration = Duration::from_millis(1_000);

/// Who registers the nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Registrar {
    /// Nobody yet, because the nodes are still being counted.
    Undecided,
    /// Each node registers itself. That takes few calls, which don't depend on the leader's
    /// connection to the store.
    EachNode,
    /// The leader registers all nodes, in pages.
    Leader,
}

impl Leader {
    /// Who registers the nodes of a fleet of this size.
    pub(super) fn registrar(&self, now: Time) -> Registrar {
        let nodes = self.members.len().max(self.registered_count);
        if nodes >= self.timing.large_fleet_size {
            Registrar::Leader
        } else if now < self.elected_at + NODE_COUNT_PERIOD && self.registered_count == 0 {
            Registrar::Undecided
        } else {
            Registrar::EachNode
        }
    }

    /// The page of the registry to write now, if any.
    pub fn registry_page(&mut self, now: Time) -> Option<RegistryPage> {
        self.deregister_gone(now);
        self.registry.page(now)
    }

    /// The name of a page that is no longer needed, to remove from the store now; `None` if there
    /// is none.
    pub fn obsolete_page(&mut self) -> Option<String> {
        self.registry.take_obsolete(self.confirmed_at)
    }

    /// Records that the store acknowledged a page of this epoch. Returns whether that page
    /// completed the copy of all nodes that earlier leaders registered.
    pub fn registry_written(&mut self, now: Time, number: u32) -> bool {
        let was_copied = self.registry.copied_at.is_some();
        for node in self.registry.written(now, number) {
            if let (Some(member), Some(entry)) =
                (self.members.get_mut(&node), self.registry.entry(&node))
            {
                member.registered_at = Some(entry.at);
                member.registered_for.clone_from(&entry.service);
            }
        }
        !was_copied && self.registry.copied_at.is_some()
    }

    /// Deregisters nodes that are gone. They hold nothing, and this leader, confirmed by the store
    /// since, assigns them nothing until they are registered again.
    fn deregister_gone(&mut self, now: Time) {
        let confirmed_until = now.min(self.confirmed_at);
        let is_early = now.since(self.registry.gone_checked_at) < GONE_CHECK_INTERVAL;
        if is_early || confirmed_until < self.unknown_until() {
            return;
        }
        self.registry.gone_checked_at = now;
        let names = self.registry.names();
        let gone = names.filter(|node| self.is_gone(confirmed_until, node));
        for node in gone.cloned().collect::<Vec<_>>() {
            if let Some(member) = self.members.get_mut(&node) {
                member.registered_at = None;
                member.registered_for = None;
            }
            self.registry.deregister(&node);
        }
    }

    /// Whether a node is gone and holds nothing, as far as the leadership is confirmed.
    fn is_gone(&self, confirmed_until: Time, node: &NodeName) -> bool {
        let Some(member) = self.members.get(node) else {
            return self.elected_at + DEREGISTER_AFTER <= confirmed_until;
        };
        let ended = member.lease_until + self.timing.lease_margin;
        let silent_until = if member.view.leaving {
            ended
        } else {
            ended.max(member.renewed_at + DEREGISTER_AFTER)
        };
        silent_until <= confirmed_until && !self.may_hold(node)
    }
}
