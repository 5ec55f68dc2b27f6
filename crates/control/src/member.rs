//! Between the replication and the rest: messages, what was committed, changes of role.

use std::collections::BTreeSet;

use bytes::Bytes;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use wingspar_consensus::{LogPosition, Output as ReplicaOutput, Replica, Role};
use wingspar_wire::{Message, Replication};
use wingspar_world::{Incarnation, NodeId};

use crate::leading::Leading;
use crate::{Command, Control, ControlEvent, GroupSnapshot, GroupState, Output};

type ReplicaMessage = wingspar_consensus::Message<Command, GroupSnapshot>;
type ReplicaOutputs = Vec<ReplicaOutput<GroupState>>;

/// What travels in `Replication::payload`.
#[derive(Debug, Serialize, Deserialize)]
struct Payload {
    /// The sender leads and has the receiver as a learner, so a receiver outside the group may join.
    to_learner: bool,
    message: ReplicaMessage,
}

impl Control {
    pub(crate) fn tick_replica(&mut self, out: &mut Vec<Output>) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        let mut outputs = ReplicaOutputs::new();
        replica.tick(self.now, &mut outputs);
        self.carry_out(outputs, out);
    }

    pub(crate) fn on_replication(&mut self, replication: Replication, out: &mut Vec<Output>) {
        let Ok(payload) = ciborium::from_reader::<Payload, _>(replication.payload.as_ref()) else {
            self.counters.malformed += 1;
            return;
        };
        if replication.group != self.settings.group {
            self.counters.malformed += 1;
            return;
        }
        let generation = payload.message.generation;
        if payload.to_learner && payload.message.to == self.node {
            self.join_as_learner(generation, out);
        }
        let Some(replica) = &mut self.replica else {
            return;
        };
        if replica.generation() == generation {
            self.replication_at = self.now;
        }
        let mut outputs = ReplicaOutputs::new();
        replica.receive(self.now, replication.from, payload.message, &mut outputs);
        self.carry_out(outputs, out);
    }

    /// Joins a generation that invites this process, unless it belongs to it already.
    fn join_as_learner(&mut self, generation: u32, out: &mut Vec<Output>) {
        let current = self.replica.as_ref().map(Replica::generation);
        if generation < self.group.generation || current >= Some(generation) {
            return;
        }
        self.learn_generation(generation, out);
        let seed = self.draw_seed();
        let replica = Replica::new_learner(
            self.node.clone(),
            self.settings.group,
            generation,
            GroupState::new(),
            self.settings.consensus.clone(),
            seed,
            self.now,
        );
        self.install_replica(replica);
        out.push(Output::Event(ControlEvent::Learning { generation }));
    }

    /// Becomes a candidate under an id that no group has known. The one before is given up for good,
    /// so it counts as dead wherever it is still listed.
    pub(crate) fn take_new_id(&mut self) {
        let incarnation = Incarnation(self.random.random_range(0..u64::MAX));
        self.node = NodeId::new(self.machine.name.clone(), incarnation);
        self.candidates.set_own(self.node.clone());
        self.group.nonce = self.random.random_range(1..u64::MAX);
        self.id_since = self.now;
        self.next_presence = self.now;
    }

    /// Renews the id of a learner that the group left out without its knowledge, and now and then
    /// that of a spare, which may have been invited and dropped without its knowledge.
    pub(crate) fn tend_id(&mut self) {
        if self.known_leader().is_none() || self.leaving_since.is_some() {
            return;
        }
        let patience = self.settings.replace_after * 2;
        match self.role() {
            Some(Role::Learner) if self.now.since(self.replication_at) >= patience => {
                self.replica = None;
                self.take_new_id();
            }
            None if self.now.since(self.id_since) >= patience * 2 => self.take_new_id(),
            _ => {}
        }
    }

    pub(crate) fn install_replica(&mut self, replica: Replica<GroupState>) {
        self.group.member_since = self.now;
        self.replication_at = self.now;
        let members = (replica.voters().clone(), replica.learners().clone());
        self.group.committed = Some(members);
        self.replica = Some(replica);
        self.observe_state();
    }

    /// Proposes a command; `None` when the replication does not take it now.
    pub(crate) fn propose(&mut self, command: Command) -> Option<LogPosition> {
        let replica = self.replica.as_mut()?;
        let proposed = replica.propose(self.now, command);
        match proposed {
            Ok(position) => {
                self.proposed = true;
                Some(position)
            }
            Err(_) => {
                self.counters.proposals_refused += 1;
                None
            }
        }
    }

    pub(crate) fn carry_out(&mut self, outputs: ReplicaOutputs, out: &mut Vec<Output>) {
        let mut removed = false;
        for output in outputs {
            match output {
                ReplicaOutput::Send { to, message } => self.send_to_replica(to, message, out),
                ReplicaOutput::Applied { command, .. } => self.on_applied(&command, out),
                ReplicaOutput::Restored { .. } => {}
                ReplicaOutput::BecameLeader { term } => self.begin_leading(term, out),
                ReplicaOutput::SteppedDown { term } => self.end_leading(term, out),
                ReplicaOutput::MembershipChanged {
                    voters, learners, ..
                } => self.on_members_changed(voters, learners, out),
                ReplicaOutput::Removed => {
                    let generation = self.group.generation;
                    out.push(Output::Event(ControlEvent::Removed { generation }));
                    removed = true;
                }
            }
        }
        if removed {
            self.replica = None;
            self.take_new_id();
        }
        self.observe_state();
    }

    fn send_to_replica(&mut self, to: NodeId, message: ReplicaMessage, out: &mut Vec<Output>) {
        let Some(address) = self.address_of(&to) else {
            return;
        };
        let replica = self.replica.as_ref();
        let to_learner =
            replica.is_some_and(|it| it.role() == Role::Leader && it.learners().contains(&to));
        let payload = Payload {
            to_learner,
            message,
        };
        let mut encoded = Vec::with_capacity(256);
        if ciborium::into_writer(&payload, &mut encoded).is_err() {
            self.counters.malformed += 1;
            return;
        }
        let replication = Replication {
            group: self.settings.group,
            from: self.node.clone(),
            payload: Bytes::from(encoded),
        };
        Self::send(address, Message::Replication(replication), out);
    }

    /// Notes when versions came into force here.
    pub(crate) fn observe_state(&mut self) {
        let Some(replica) = &self.replica else {
            return;
        };
        let state = replica.state();
        self.observed.state.see(self.now, state.version());
        let configuration = state.configuration().version;
        self.observed.configuration.see(self.now, configuration);
    }

    fn on_members_changed(
        &mut self,
        voters: BTreeSet<NodeId>,
        learners: BTreeSet<NodeId>,
        out: &mut Vec<Output>,
    ) {
        self.group.committed = Some((voters.clone(), learners.clone()));
        let event = ControlEvent::MembersChanged {
            voters: voters.into_iter().collect(),
            learners: learners.into_iter().collect(),
        };
        out.push(Output::Event(event));
    }

    fn begin_leading(&mut self, term: u64, out: &mut Vec<Output>) {
        let generation = self.group.generation;
        self.leading = Some(Leading::new());
        self.next_tick = self.now;
        let event = ControlEvent::BecameLeader { generation, term };
        out.push(Output::Event(event));
    }

    pub(crate) fn end_leading(&mut self, term: u64, out: &mut Vec<Output>) {
        self.give_up_writes(out);
        self.give_up_moves(out);
        self.leading = None;
        self.store.forget_leaders();
        out.push(Output::Event(ControlEvent::SteppedDown { term }));
    }
}
