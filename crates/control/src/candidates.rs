//! What a candidate knows of the other candidates.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use wingspar_wire::{Presence, PresenceRole};
use wingspar_world::{Machine, MonotonicTime, NodeId};

/// Silence after which a candidate no longer counts as present.
pub(crate) const PRESENT_FOR: Duration = Duration::from_millis(2_500);
/// Silence after which a candidate is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// One candidate as last heard of.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    pub(crate) machine: Machine,
    pub(crate) role: PresenceRole,
    pub(crate) generation: u32,
    pub(crate) leaving: bool,
    pub(crate) heard_at: MonotonicTime,
    /// Number that it asked to have echoed.
    pub(crate) nonce: u64,
}

/// All candidates heard of.
#[derive(Debug)]
pub(crate) struct Candidates {
    own: NodeId,
    seeds: Vec<SocketAddr>,
    known: BTreeMap<NodeId, Candidate>,
    addresses: BTreeMap<NodeId, SocketAddr>,
}

impl Candidates {
    pub(crate) fn new(own: NodeId, seeds: Vec<SocketAddr>) -> Self {
        Self {
            own,
            seeds,
            known: BTreeMap::new(),
            addresses: BTreeMap::new(),
        }
    }

    /// This process goes by another id.
    pub(crate) fn set_own(&mut self, own: NodeId) {
        self.own = own;
    }

    /// Takes in an announcement.
    pub(crate) fn hear(&mut self, now: MonotonicTime, presence: &Presence) {
        if presence.node == self.own || presence.node.machine != presence.machine.name {
            return;
        }
        let address = presence.machine.control_address;
        // One process listens at an address; what was there before is gone.
        self.known.retain(|node, candidate| {
            *node == presence.node || candidate.machine.control_address != address
        });
        self.addresses.insert(presence.node.clone(), address);
        let candidate = Candidate {
            machine: presence.machine.clone(),
            role: presence.role,
            generation: presence.generation,
            leaving: presence.leaving,
            heard_at: now,
            nonce: presence.nonce,
        };
        self.known.insert(presence.node.clone(), candidate);
    }

    /// Notes where a process is reached.
    pub(crate) fn note_address(&mut self, node: &NodeId, address: SocketAddr) {
        self.addresses.entry(node.clone()).or_insert(address);
    }

    /// Where a process is reached.
    pub(crate) fn address(&self, node: &NodeId) -> Option<SocketAddr> {
        self.addresses.get(node).copied()
    }

    /// A candidate by its process.
    pub(crate) fn get(&self, node: &NodeId) -> Option<&Candidate> {
        self.known.get(node)
    }

    /// All candidates heard of lately.
    pub(crate) fn present(
        &self,
        now: MonotonicTime,
    ) -> impl Iterator<Item = (&NodeId, &Candidate)> {
        let present = move |candidate: &Candidate| now.since(candidate.heard_at) < PRESENT_FOR;
        self.known
            .iter()
            .filter(move |(_, candidate)| present(candidate))
    }

    /// Everywhere announcements go.
    pub(crate) fn destinations(&self) -> BTreeSet<SocketAddr> {
        let known = self.known.values();
        let known = known.map(|candidate| candidate.machine.control_address);
        self.seeds.iter().copied().chain(known).collect()
    }

    /// The candidate last heard of at an address.
    pub(crate) fn at_address(&self, address: SocketAddr) -> Option<(&NodeId, &Candidate)> {
        let there = |candidate: &Candidate| candidate.machine.control_address == address;
        let found = self.known.iter().filter(|(_, candidate)| there(candidate));
        found.max_by_key(|(_, candidate)| candidate.heard_at)
    }

    /// Forgets what has been silent for long, except members.
    pub(crate) fn forget_silent(&mut self, now: MonotonicTime, members: &BTreeSet<NodeId>) {
        let keep = |node: &NodeId, candidate: &Candidate| {
            members.contains(node) || now.since(candidate.heard_at) < FORGET_AFTER
        };
        self.known.retain(|node, candidate| keep(node, candidate));
        let known = &self.known;
        self.addresses
            .retain(|node, _| members.contains(node) || known.contains_key(node));
    }
}
