//! Operators' requests, by family.

use wingspar_consensus::Replica;
use wingspar_wire::Availability;
use wingspar_world::{KeyHash, ServiceName, SliceRange, TargetName};

use crate::command::Command;
use crate::intent::Intent;
use crate::operator::{
    Durability, GroupReport, OperatorReply, OperatorRequest, PlacementReport, RolloutReport,
    SliceReport, TargetReport,
};
use crate::publish::slice_status;
use crate::state::{GroupState, Slice};
use crate::writes::{all_objects, lookup};
use crate::{Control, Output};

/// Longest accepted change id in bytes.
const MAX_CHANGE_ID_BYTES: usize = 200;

impl Control {
    pub(crate) fn on_operator(&mut self, id: u64, request: OperatorRequest, out: &mut Vec<Output>) {
        self.counters.operator_requests += 1;
        if let OperatorRequest::ForceGeneration {
            generation, dead, ..
        } = request
        {
            self.force_generation(id, generation, dead, out);
            return;
        }
        if self.leading.is_none() || !self.holds_leader_lease() {
            let leader = self.known_leader().filter(|leader| *leader != self.node);
            let reply = OperatorReply::NotLeader { leader };
            out.push(Output::OperatorReply { id, reply });
            return;
        }
        if let Some(reply) = self.serve(id, request, out) {
            out.push(Output::OperatorReply { id, reply });
        }
    }

    /// Serves a request as leader; `None` when the answer comes later.
    fn serve(
        &mut self,
        id: u64,
        request: OperatorRequest,
        out: &mut Vec<Output>,
    ) -> Option<OperatorReply> {
        match request {
            OperatorRequest::Put {
                change_id,
                object,
                expect,
            } => self.write(id, change_id, Intent::Put { object, expect }, out),
            OperatorRequest::Delete {
                change_id,
                key,
                expect,
            } => self.write(id, change_id, Intent::Delete { key, expect }, out),
            OperatorRequest::SetDraining {
                change_id,
                target,
                draining,
            } => self.write(id, change_id, Intent::Draining { target, draining }, out),
            OperatorRequest::ShiftWeights {
                change_id,
                policy,
                region_weights,
                paused,
            } => {
                let intent = Intent::Weights {
                    policy,
                    region_weights,
                    paused,
                };
                self.write(id, change_id, intent, out)
            }
            OperatorRequest::Move {
                change_id,
                service,
                range,
                to,
                durability,
            } => self.order_move(id, change_id, (service, range, to), durability),
            OperatorRequest::Get { key } => Some(self.get(&key)),
            OperatorRequest::List { prefix } => Some(self.list(&prefix)),
            OperatorRequest::Placement { service, key } => {
                Some(self.placement_report(&service, key))
            }
            OperatorRequest::Rollout { version } => Some(OperatorReply::Rollout(
                self.rollout_report(version.unwrap_or_else(|| self.configuration_version())),
            )),
            OperatorRequest::Group => Some(OperatorReply::Group(self.group_report())),
            OperatorRequest::ForceGeneration { .. } => None,
        }
    }

    fn write(
        &mut self,
        id: u64,
        change_id: String,
        intent: Intent,
        out: &mut Vec<Output>,
    ) -> Option<OperatorReply> {
        if let Some(mistake) = change_id_mistake(&change_id) {
            return Some(OperatorReply::Invalid(vec![mistake]));
        }
        if !self.has_read_configuration() {
            return Some(OperatorReply::Unavailable {
                reason: "the leader has not read the store yet".to_owned(),
            });
        }
        self.begin_write(id, change_id, intent, out);
        None
    }

    fn get(&self, key: &str) -> OperatorReply {
        let Some(configuration) = self.configuration() else {
            return OperatorReply::NotFound;
        };
        match lookup(configuration, key) {
            Some(found) => OperatorReply::Objects {
                version: configuration.version,
                items: vec![found],
            },
            None => OperatorReply::NotFound,
        }
    }

    fn list(&self, prefix: &str) -> OperatorReply {
        let Some(configuration) = self.configuration() else {
            return OperatorReply::NotFound;
        };
        let objects = all_objects(configuration);
        let items = objects.filter(|(_, object)| object.store_key().starts_with(prefix));
        OperatorReply::Objects {
            version: configuration.version,
            items: items.collect(),
        }
    }

    fn placement_report(&self, service: &ServiceName, key: Option<KeyHash>) -> OperatorReply {
        let Some(state) = self.replica.as_ref().map(Replica::state) else {
            return OperatorReply::NotFound;
        };
        if state.configuration().service(service).is_none() && state.slices(service).is_none() {
            return OperatorReply::NotFound;
        }
        let slices = state.slices(service).into_iter().flat_map(|it| it.iter());
        let wanted = slices.filter(|slice| key.is_none_or(|key| slice.range.contains(key)));
        let targets = state.configuration().targets_of(service);
        OperatorReply::Placement(PlacementReport {
            service: service.clone(),
            version: state.version(),
            slices: wanted.map(|slice| self.slice_report(slice)).collect(),
            targets: targets
                .map(|target| self.target_report(state, target))
                .collect(),
        })
    }

    fn slice_report(&self, slice: &Slice) -> SliceReport {
        let age = self.observed.age(self.now, slice.since);
        SliceReport {
            range: slice.range,
            fence: slice.fence,
            status: slice_status(slice),
            reason: slice.reason,
            takeover: self.takeover(slice),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn target_report(&self, state: &GroupState, target: &wingspar_world::Target) -> TargetReport {
        let slices = state.slices(&target.service).into_iter();
        let mut owners = slices
            .flat_map(|it| it.iter())
            .filter_map(|it| it.owner.as_ref());
        let owned = owners
            .by_ref()
            .filter(|owner| owner.target == target.name)
            .count();
        TargetReport {
            target: target.name.clone(),
            machine: target.machine.clone(),
            availability: state.availability(&target.name),
            slices: u32::try_from(owned).unwrap_or(u32::MAX),
            requests_per_second: self.reported_load(&target.name),
        }
    }

    /// Requests a second that the agent beside a target last reported.
    fn reported_load(&self, target: &TargetName) -> f32 {
        let views = self
            .leading
            .iter()
            .flat_map(|leading| leading.sessions.values());
        let mut loads = views.flat_map(|view| &view.targets);
        let load = loads.find(|load| load.target == *target);
        load.map_or(0.0, |load| load.requests_per_second)
    }

    fn group_report(&self) -> GroupReport {
        let replica = self.replica.as_ref().expect("a leader has a replica");
        let state = replica.state();
        let sessions = state.sessions();
        GroupReport {
            group: self.settings.group,
            generation: replica.generation(),
            term: replica.term(),
            leader: replica.leader(),
            voters: replica.voters().iter().cloned().collect(),
            learners: replica.learners().iter().cloned().collect(),
            sessions: sessions
                .map(|it| (it.node.clone(), it.machine.control_address))
                .collect(),
            version: state.version(),
            stored: self.stored_version(),
        }
    }

    fn rollout_report(&self, version: wingspar_world::ConfigVersion) -> RolloutReport {
        let mut applied = 0;
        let mut behind = Vec::new();
        let state = self.replica.as_ref().map(Replica::state);
        let views = self.leading.iter().flat_map(|leading| &leading.sessions);
        for (session, view) in views {
            if view.heard && view.config >= version {
                applied += 1;
            } else if self.now < self.lease_may_run_until(view)
                && let Some(session) = state.and_then(|state| state.session(*session))
            {
                behind.push(session.node.clone());
            }
        }
        let in_force = self.leading.iter().flat_map(|leading| &leading.in_force);
        let mut in_force = in_force.filter(|(reached, _)| *reached >= version);
        let after = in_force.next().map(|(_, after)| *after);
        RolloutReport {
            version,
            in_force: behind.is_empty() && self.configuration_version() >= version,
            applied,
            behind,
            in_force_after_ms: after
                .map(|after| u64::try_from(after.as_millis()).unwrap_or(u64::MAX)),
        }
    }

    /// Notes when the newest configuration came into force everywhere.
    pub(crate) fn note_in_force(&mut self) {
        let version = self.configuration_version();
        let noted = self
            .leading
            .as_ref()
            .and_then(|leading| leading.in_force.last());
        if noted.is_some_and(|(noted, _)| *noted >= version) {
            return;
        }
        if !self.rollout_report(version).in_force {
            return;
        }
        let accepted_at = self.observed.configuration.seen_at(version);
        let after = self.now.since(accepted_at.unwrap_or(self.now));
        if let Some(leading) = &mut self.leading {
            leading.in_force.push((version, after));
            let excess = leading.in_force.len().saturating_sub(MAX_ROLLOUTS);
            leading.in_force.drain(..excess);
        }
    }

    /// Takes in an operator's order to move keys.
    fn order_move(
        &mut self,
        id: u64,
        change_id: String,
        (service, range, to): (ServiceName, SliceRange, TargetName),
        durability: Durability,
    ) -> Option<OperatorReply> {
        if let Some(mistake) = change_id_mistake(&change_id) {
            return Some(OperatorReply::Invalid(vec![mistake]));
        }
        if let Some(reply) = self.first_answer(&change_id) {
            return self.answer_move(id, change_id, reply, durability);
        }
        let state = self.replica.as_ref().map(Replica::state)?;
        if state.slices(&service).is_none() {
            return Some(OperatorReply::NotFound);
        }
        let Some(target) = state.target(&to).filter(|target| target.service == service) else {
            return Some(OperatorReply::NotFound);
        };
        let Some(owner) = state.owner_on(target) else {
            let availability = state.availability(&to);
            return Some(OperatorReply::Unavailable {
                reason: format!("target {to} is {}", describe(availability)),
            });
        };
        let position = self.propose(Command::Move {
            change_id: change_id.clone(),
            service,
            range,
            to: owner,
        });
        let Some(position) = position else {
            return Some(OperatorReply::Unavailable {
                reason: "the group can't take the order now".to_owned(),
            });
        };
        let leading = self.leading.as_mut()?;
        leading.barrier = position.index;
        leading.moves.push(PendingMove {
            request: id,
            change_id,
            index: position.index,
            durability,
        });
        None
    }

    /// Answers at once or, if the store must have the move, once it has.
    fn answer_move(
        &mut self,
        id: u64,
        change_id: String,
        reply: OperatorReply,
        durability: Durability,
    ) -> Option<OperatorReply> {
        if !self.is_durable(&reply, durability) {
            let leading = self.leading.as_mut()?;
            leading.moves.push(PendingMove {
                request: id,
                change_id,
                index: 0,
                durability,
            });
            return None;
        }
        Some(reply)
    }

    fn is_durable(&self, reply: &OperatorReply, durability: Durability) -> bool {
        match (reply, durability) {
            (OperatorReply::MoveAccepted { version }, Durability::Stored) => {
                self.stored_version() >= *version
            }
            _ => true,
        }
    }

    /// Answers moves that are committed, and stored if that was asked for.
    pub(crate) fn settle_moves(&mut self, out: &mut Vec<Output>) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        if leading.moves.is_empty() {
            return;
        }
        let moves = std::mem::take(&mut leading.moves);
        let applied = self.replica.as_ref().map_or(0, Replica::applied_index);
        let mut waiting = Vec::new();
        for one in moves {
            let id = one.request;
            match self.first_answer(&one.change_id) {
                Some(reply) if self.is_durable(&reply, one.durability) => {
                    out.push(Output::OperatorReply { id, reply });
                }
                None if applied >= one.index => {
                    let reason = "the target went away; nothing was moved".to_owned();
                    let reply = OperatorReply::Unavailable { reason };
                    out.push(Output::OperatorReply { id, reply });
                }
                _ => waiting.push(one),
            }
        }
        if let Some(leading) = &mut self.leading {
            leading.moves = waiting;
        }
    }

    /// Answers moves under way when leadership ends.
    pub(crate) fn give_up_moves(&mut self, out: &mut Vec<Output>) {
        let moves = self.leading.iter_mut().flat_map(|it| it.moves.drain(..));
        for one in moves {
            let reason = "leadership ended before the move was confirmed".to_owned();
            out.push(Output::OperatorReply {
                id: one.request,
                reply: OperatorReply::Unknown { reason },
            });
        }
    }
}

/// Rollouts whose time is remembered.
const MAX_ROLLOUTS: usize = 256;

/// A move that waits for its commit.
#[derive(Debug)]
pub(crate) struct PendingMove {
    request: u64,
    change_id: String,
    index: u64,
    durability: Durability,
}

fn change_id_mistake(change_id: &str) -> Option<String> {
    let fit = !change_id.is_empty() && change_id.len() <= MAX_CHANGE_ID_BYTES;
    (!fit).then(|| format!("change_id: must have 1 to {MAX_CHANGE_ID_BYTES} bytes"))
}

fn describe(availability: Availability) -> &'static str {
    match availability {
        Availability::Serving => "serving",
        Availability::Draining => "draining",
        Availability::Down => "down",
        Availability::Removed => "removed",
    }
}
