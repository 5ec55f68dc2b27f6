//! What is known of the group as a whole, and its first start.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::RngExt;
use wingspar_consensus::Replica;
use wingspar_store::Answer;
use wingspar_store::object::Version;
use wingspar_store::operation::{Operation, Reply};
use wingspar_world::{Machine, MonotonicTime, NodeId};

use crate::candidates::PRESENT_FOR;
use crate::group_object::{GroupObject, Member};
use crate::store_io::Purpose;
use crate::{Control, ControlEvent, GroupState, Output};

/// What is known of the group as a whole.
#[derive(Debug)]
pub(crate) struct GroupKnowledge {
    /// Highest generation heard of; zero for none.
    pub(crate) generation: u32,
    /// The group's object as last read, with its version.
    pub(crate) object: Option<(Version, GroupObject)>,
    /// When the store last said that there is no object.
    pub(crate) absent_at: Option<MonotonicTime>,
    pub(crate) next_read: MonotonicTime,
    /// Since when enough candidates are present to found the group.
    pub(crate) enough_since: Option<MonotonicTime>,
    /// Voters and learners last committed, as far as the own replica knows.
    pub(crate) committed: Option<(BTreeSet<NodeId>, BTreeSet<NodeId>)>,
    /// When this process became a member of its generation.
    pub(crate) member_since: MonotonicTime,
    leader_hint: Option<(NodeId, MonotonicTime)>,
    /// When a leader was last known.
    pub(crate) leader_known_at: MonotonicTime,
    /// Own number for others to echo; drawn anew whenever the object was read.
    pub(crate) nonce: u64,
    /// Processes that were running after the object was last read.
    pub(crate) running: BTreeMap<NodeId, Machine>,
}

impl GroupKnowledge {
    pub(crate) fn new(now: MonotonicTime, nonce: u64) -> Self {
        Self {
            generation: 0,
            object: None,
            absent_at: None,
            next_read: now,
            enough_since: None,
            committed: None,
            member_since: now,
            leader_hint: None,
            leader_known_at: now,
            nonce,
            running: BTreeMap::new(),
        }
    }

    pub(crate) fn hint_leader(&mut self, now: MonotonicTime, leader: Option<NodeId>) {
        if let Some(leader) = leader {
            self.leader_hint = Some((leader, now));
            self.leader_known_at = now;
        }
    }

    pub(crate) fn hinted_leader(&self, now: MonotonicTime) -> Option<NodeId> {
        let hint = self.leader_hint.as_ref();
        let fresh = hint.filter(|(_, at)| now.since(*at) < PRESENT_FOR);
        fresh.map(|(leader, _)| leader.clone())
    }

    /// Addresses of the members in the object.
    pub(crate) fn member_addresses(&self) -> Vec<SocketAddr> {
        let object = self.object.iter();
        let members = object.flat_map(|(_, object)| object.possible_members());
        members
            .map(|member| member.machine.control_address)
            .collect()
    }

    pub(crate) fn member(&self, node: &NodeId) -> Option<&Member> {
        let (_, object) = self.object.as_ref()?;
        object
            .possible_members()
            .find(|member| member.node == *node)
    }

    /// Lets the object be read again at once.
    pub(crate) fn read_again(&mut self, now: MonotonicTime) {
        self.next_read = now;
    }

    /// Notes that a process answered a number that was drawn after the object was read.
    pub(crate) fn note_echo(&mut self, _now: MonotonicTime, node: &NodeId, machine: Machine) {
        self.running.insert(node.clone(), machine);
    }
}

impl Control {
    /// Reads the group's object when it may tell something new, founds the group when there is
    /// none, and recovers it when its majority is lost.
    pub(crate) fn tend_group(&mut self, out: &mut Vec<Output>) {
        if self.known_leader().is_some() {
            self.group.leader_known_at = self.now;
        }
        if self.wants_group_object() {
            self.read_group(out);
        }
        if self.group.generation == 0 {
            self.found_group(out);
        } else {
            self.tend_recovery(out);
        }
    }

    fn wants_group_object(&self) -> bool {
        let generation = self.group.generation;
        let object = self
            .group
            .object
            .as_ref()
            .map(|(_, object)| object.generation);
        if generation == 0 || object < Some(generation) && self.replica.is_none() {
            return true;
        }
        self.is_leaderless()
    }

    pub(crate) fn read_group(&mut self, out: &mut Vec<Output>) {
        if self.now < self.group.next_read || self.store.is_pending(Purpose::ReadGroup) {
            return;
        }
        // A group that exists and has no leader may stay so for long; the store has other readers.
        let pause = if self.group.generation == 0 { 2 } else { 5 };
        self.group.next_read = self.now + self.settings.store_retry * pause;
        let key = self.settings.group_key();
        self.ask_store(Purpose::ReadGroup, Operation::Get { key }, out);
    }

    pub(crate) fn ask_store(
        &mut self,
        purpose: Purpose,
        operation: Operation,
        out: &mut Vec<Output>,
    ) {
        let timeout = match purpose {
            Purpose::WatchConfiguration => self.settings.watch_timeout,
            _ => self.settings.store_timeout,
        };
        self.counters.store_requests += 1;
        self.store.send(purpose, operation, self.now + timeout, out);
    }

    pub(crate) fn on_group_read(&mut self, answer: Answer, out: &mut Vec<Output>) {
        match answer {
            Answer::Reply(Reply::Object(None)) => self.group.absent_at = Some(self.now),
            Answer::Reply(Reply::Object(Some(object))) => {
                match serde_json::from_value::<GroupObject>(object.value) {
                    Ok(group) => self.adopt_object(object.version, group, out),
                    Err(error) => {
                        let (key, reason) = (object.key, error.to_string());
                        let event = ControlEvent::UnreadableObject { key, reason };
                        out.push(Output::Event(event));
                    }
                }
            }
            _ => {}
        }
    }

    fn adopt_object(&mut self, version: Version, object: GroupObject, out: &mut Vec<Output>) {
        self.group.absent_at = None;
        let known = self.group.object.as_ref().map(|(known, _)| *known);
        if known >= Some(version) {
            return;
        }
        // Proofs of death count only when they began after the members were read.
        self.group.nonce = self.random.random_range(1..u64::MAX);
        self.group.running.clear();
        let generation = object.generation;
        self.learn_generation(generation, out);
        for member in object.possible_members() {
            let address = member.machine.control_address;
            self.candidates.note_address(&member.node, address);
        }
        let is_founder = object.founders.iter().any(|it| it.node == self.node);
        let current = self.replica.as_ref().map(Replica::generation);
        if is_founder && generation == self.group.generation && current < Some(generation) {
            self.start_as_founder(&object, out);
        }
        self.group.object = Some((version, object));
    }

    /// Learns that a generation exists; a replica of an earlier one ends.
    pub(crate) fn learn_generation(&mut self, generation: u32, out: &mut Vec<Output>) {
        if generation <= self.group.generation {
            return;
        }
        self.group.generation = generation;
        self.group.leader_hint = None;
        self.group.leader_known_at = self.now;
        self.group.next_read = self.now;
        let outdated = |replica: &mut Replica<GroupState>| replica.generation() < generation;
        if let Some(replica) = self.replica.take_if(outdated)
            && self.leading.is_some()
        {
            self.end_leading(replica.term(), out);
        }
        let event = ControlEvent::GenerationChanged { generation };
        out.push(Output::Event(event));
    }

    fn start_as_founder(&mut self, object: &GroupObject, out: &mut Vec<Output>) {
        let seed = self.draw_seed();
        let voters = object.founders.iter().map(|it| it.node.clone()).collect();
        let (id, group) = (self.node.clone(), self.settings.group);
        let (config, now) = (self.settings.consensus.clone(), self.now);
        let generation = object.generation;
        let state = GroupState::new();
        let replica = match &object.origin {
            None => Replica::new_member(id, group, generation, voters, state, config, seed, now),
            Some(origin) => Replica::new_from_snapshot(
                id,
                group,
                generation,
                voters,
                origin.position,
                origin.snapshot.clone(),
                state,
                config,
                seed,
                now,
            ),
        };
        self.install_replica(replica);
        out.push(Output::Event(ControlEvent::Joined { generation }));
    }

    pub(crate) fn put_group(
        &mut self,
        purpose: Purpose,
        object: &GroupObject,
        expect: Version,
        out: &mut Vec<Output>,
    ) {
        let Ok(value) = serde_json::to_value(object) else {
            self.counters.malformed += 1;
            return;
        };
        let key = self.settings.group_key();
        self.ask_store(purpose, Operation::Put { key, value, expect }, out);
    }

    /// Internal address of a process.
    pub(crate) fn address_of(&self, node: &NodeId) -> Option<SocketAddr> {
        if *node == self.node {
            return Some(self.machine.control_address);
        }
        let member = self.group.member(node);
        let listed = member.map(|member| member.machine.control_address);
        listed.or_else(|| self.candidates.address(node))
    }

    /// Voters and learners of the own replica.
    pub(crate) fn member_ids(&self) -> BTreeSet<NodeId> {
        let Some(replica) = &self.replica else {
            return BTreeSet::new();
        };
        replica
            .voters()
            .union(replica.learners())
            .cloned()
            .collect()
    }
}
