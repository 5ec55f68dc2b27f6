//! A new generation of the group after its majority was lost for good.
//!
//! The rule is worked out in `docs/design/generations.md`. In short: the store's object of the group
//! names every set of voters that may be in force; once no majority of any of them can be alive, a
//! candidate writes the next generation by compare-and-set. It begins from the last stored snapshot
//! without sessions and owners, and grants nothing before all leases of the generation before are
//! over.

use std::collections::BTreeSet;

use wingspar_consensus::{LogPosition, StateMachine};
use wingspar_store::Answer;
use wingspar_store::object::{MachineState, Version};
use wingspar_store::operation::{Operation, Reply};
use wingspar_wire::PresenceRole;
use wingspar_world::{ConfigVersion, MonotonicTime, NodeId};

use crate::group_object::{GroupObject, Member, Origin};
use crate::operator::OperatorReply;
use crate::snapshot::parse_snapshot;
use crate::store_io::Purpose;
use crate::{Control, ControlEvent, GroupState, Output};

/// How long a lost group waits for enough candidates to have all its replicas from the start.
const FOUNDERS_PATIENCE: std::time::Duration = std::time::Duration::from_secs(5);

/// What is known towards a new generation.
#[derive(Debug, Default)]
pub(crate) struct Recovery {
    /// Machines that the platform lists as destroyed.
    pub(crate) destroyed: BTreeSet<String>,
    /// Members that an operator vouched for, and of which generation.
    vouched: Option<(u32, BTreeSet<NodeId>)>,
    /// Operators' requests that wait for the new generation.
    waiting: Vec<(u64, MonotonicTime)>,
    /// When the majority was first found dead.
    lost_since: Option<MonotonicTime>,
    /// Members that were neither reached nor proved dead when last reported.
    reported: Option<BTreeSet<NodeId>>,
    /// When to read the list of machines.
    next_machines: MonotonicTime,
}

impl Control {
    /// Looks whether the group's majority is lost for good, and founds the next generation.
    pub(crate) fn tend_recovery(&mut self, out: &mut Vec<Output>) {
        self.answer_forced(out);
        if !self.is_leaderless() {
            self.recovery.lost_since = None;
            self.recovery.reported = None;
            return;
        }
        self.read_machines(out);
        let Some((_, object)) = &self.group.object else {
            return;
        };
        if object.generation != self.group.generation {
            return;
        }
        if !self.is_majority_lost(object) && !self.is_majority_lost_without_this(object) {
            self.report_blocked(out);
            return;
        }
        let lost_since = *self.recovery.lost_since.get_or_insert(self.now);
        let enough = self.choose_founders(true).len() >= self.settings.replicas;
        let patient = self.now.since(lost_since) < FOUNDERS_PATIENCE;
        if (enough || !patient) && self.is_founder_in_turn() {
            self.read_origin(out);
        }
    }

    /// One candidate tries: a surviving voter before others, because it may have newer state than
    /// the store. Were it two, the compare-and-set would let only one succeed.
    fn is_founder_in_turn(&self) -> bool {
        let survives = |role: PresenceRole| role == PresenceRole::Voter;
        let present = self.candidates.present(self.now);
        let present = present.filter(|(_, candidate)| !candidate.leaving);
        let others = present.map(|(node, candidate)| (!survives(candidate.role), node));
        let own = (!survives(self.presence_role()), &self.node);
        self.leaving_since.is_none() && others.min().is_none_or(|other| own < other)
    }

    /// Whether no leader was known for so long that an election should have settled it.
    pub(crate) fn is_leaderless(&self) -> bool {
        let silence = self.now.since(self.group.leader_known_at);
        silence >= self.settings.leaderless_after
    }

    /// Whether no majority of the group can be alive.
    fn is_majority_lost(&self, object: &GroupObject) -> bool {
        object.majority_is_dead(|node| self.is_proved_dead(node))
    }

    /// Whether no majority can be alive if this process gives up its own membership first. It is
    /// tried only when elections have failed for longer, since they would restore the group whole.
    fn is_majority_lost_without_this(&self, object: &GroupObject) -> bool {
        let silence = self.now.since(self.group.leader_known_at);
        silence >= self.settings.leaderless_after * 2
            && object.majority_is_dead(|node| *node == self.node || self.is_proved_dead(node))
    }

    /// Whether a member can never act again: its machine is destroyed, another process was running
    /// at its address after it had been a member, or an operator vouches for it.
    fn is_proved_dead(&self, node: &NodeId) -> bool {
        if *node == self.node {
            return false;
        }
        let vouched = self.recovery.vouched.as_ref();
        let vouched = vouched.filter(|(generation, _)| *generation == self.group.generation);
        if vouched.is_some_and(|(_, dead)| dead.contains(node)) {
            return true;
        }
        if self.recovery.destroyed.contains(node.machine.as_str()) {
            return true;
        }
        let Some(member) = self.group.member(node) else {
            return false;
        };
        let address = member.machine.control_address;
        if self.machine.name == node.machine && self.machine.control_address == address {
            return true;
        }
        let running = self.group.running.iter();
        let mut successors = running.filter(|(other, machine)| {
            *other != node && other.machine == node.machine && machine.control_address == address
        });
        successors.next().is_some()
    }

    fn report_blocked(&mut self, out: &mut Vec<Output>) {
        let Some((_, object)) = &self.group.object else {
            return;
        };
        let members = object.possible_members().map(|member| &member.node);
        let present = |node: &NodeId| self.candidates.present(self.now).any(|(it, _)| it == node);
        let unproved = members
            .filter(|node| !self.is_proved_dead(node) && !present(node) && **node != self.node);
        let unproved: BTreeSet<NodeId> = unproved.cloned().collect();
        if unproved.is_empty() || self.recovery.reported.as_ref() == Some(&unproved) {
            return;
        }
        self.recovery.reported = Some(unproved.clone());
        let unproved = unproved.into_iter().collect();
        out.push(Output::Event(ControlEvent::RecoveryBlocked { unproved }));
    }

    fn read_machines(&mut self, out: &mut Vec<Output>) {
        if self.now < self.recovery.next_machines || self.store.is_pending(Purpose::ReadMachines) {
            return;
        }
        self.recovery.next_machines = self.now + self.settings.store_retry * 10;
        self.ask_store(Purpose::ReadMachines, Operation::Machines, out);
    }

    pub(crate) fn on_machines(&mut self, answer: Answer) {
        let Answer::Reply(Reply::Machines(list)) = answer else {
            return;
        };
        let destroyed = list.machines.into_iter();
        let destroyed = destroyed.filter(|machine| machine.state == MachineState::Destroyed);
        self.recovery.destroyed = destroyed.map(|machine| machine.name).collect();
    }

    fn read_origin(&mut self, out: &mut Vec<Output>) {
        let busy = self.store.is_pending(Purpose::ReadOrigin)
            || self.store.is_pending(Purpose::FoundGroup);
        if !busy {
            let key = self.settings.snapshot_key();
            self.ask_store(Purpose::ReadOrigin, Operation::Get { key }, out);
        }
    }

    /// Founds the next generation from the stored snapshot. The compare-and-set on the group's
    /// object fails if another did so or if members changed since they were judged.
    pub(crate) fn on_origin_read(&mut self, answer: Answer, out: &mut Vec<Output>) {
        let Answer::Reply(Reply::Object(snapshot)) = answer else {
            return;
        };
        let Some((version, object)) = self.group.object.clone() else {
            return;
        };
        let lost = self.is_majority_lost(&object);
        let lost_without_this = lost || self.is_majority_lost_without_this(&object);
        if !lost_without_this || !self.is_leaderless() || object.generation != self.group.generation
        {
            return;
        }
        let stored = match snapshot {
            None => Origin {
                position: LogPosition {
                    generation: object.generation,
                    ..LogPosition::default()
                },
                snapshot: GroupState::new().snapshot(),
            },
            Some(stored) => match parse_snapshot(stored) {
                Some(stored) => stored.origin,
                None => return,
            },
        };
        let origin = self.newest_origin(stored);
        if !lost {
            // Given up before the next generation is written, whether or not that succeeds.
            self.replica = None;
            self.take_new_id();
        }
        self.found_generation(version, &object, origin, out);
    }

    /// What a surviving voter has applied is committed, and may be newer than the store's snapshot.
    fn newest_origin(&self, stored: Origin) -> Origin {
        let replica = self.replica.as_ref();
        let survivor = replica.filter(|it| it.applied_position() > stored.position);
        match survivor {
            Some(replica) => {
                let (position, _, snapshot) = replica.export_snapshot();
                Origin { position, snapshot }
            }
            None => stored,
        }
    }

    fn found_generation(
        &mut self,
        expect: Version,
        object: &GroupObject,
        origin: Origin,
        out: &mut Vec<Output>,
    ) {
        let generation = object.generation + 1;
        let founders: Vec<Member> = self.choose_founders(true);
        let next = GroupObject {
            change_id: format!("found-{}-{generation}", self.node),
            generation,
            voters: founders.clone(),
            founders,
            change: None,
            origin: Some(Origin {
                position: origin.position,
                snapshot: origin.snapshot.for_generation(generation),
            }),
        };
        self.put_group(Purpose::FoundGroup, &next, expect, out);
    }

    /// Takes in an operator's word that members can never come back. It only stands in for proofs:
    /// the generation still begins only without a leader and once enough are dead.
    pub(crate) fn force_generation(
        &mut self,
        id: u64,
        generation: u32,
        dead: Vec<NodeId>,
        out: &mut Vec<Output>,
    ) {
        let current = self.group.generation;
        let refusal = if current == 0 || generation > current {
            Some(OperatorReply::NotFound)
        } else if generation < current {
            Some(OperatorReply::Conflict { current: None })
        } else if !self.is_leaderless() {
            let mistake = "the group has a leader, so its majority is alive".to_owned();
            Some(OperatorReply::Invalid(vec![mistake]))
        } else {
            None
        };
        if let Some(reply) = refusal {
            out.push(Output::OperatorReply { id, reply });
            return;
        }
        let dead: BTreeSet<NodeId> = dead.into_iter().collect();
        self.recovery.vouched = Some((generation, dead));
        let deadline = self.now + self.settings.write_deadline + FOUNDERS_PATIENCE;
        self.recovery.waiting.push((id, deadline));
    }

    /// Answers operators who forced a generation, once it exists or time is up.
    fn answer_forced(&mut self, out: &mut Vec<Output>) {
        let forced = self
            .recovery
            .vouched
            .as_ref()
            .map(|(generation, _)| *generation);
        let object = self.group.object.as_ref();
        let reached = object.filter(|(_, object)| Some(object.generation) > forced);
        let version = reached.map(|(version, _)| ConfigVersion(*version));
        let now = self.now;
        self.recovery.waiting.retain(|(id, deadline)| {
            let reply = match version {
                Some(version) => OperatorReply::Written { version },
                None if now >= *deadline => OperatorReply::Unknown {
                    reason: "no new generation yet; it begins once enough is proved".to_owned(),
                },
                None => return true,
            };
            out.push(Output::OperatorReply { id: *id, reply });
            false
        });
    }

    /// Whether leases given in the generation before are over for certain. The old leader's own
    /// lease may have run for an election timeout after the proofs that this generation rests on.
    pub(crate) fn may_assign(&self) -> bool {
        if self.group.generation <= 1 {
            return true;
        }
        let leases = self.settings.lease_with_drift();
        let wait = self.settings.consensus.election_timeout_max + leases;
        self.now.since(self.group.member_since) > wait
    }
}
