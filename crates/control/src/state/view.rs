//! Reading the state.

use std::net::SocketAddr;
use std::sync::Arc;

use wingspar_placement::ChurnRecord;
use wingspar_wire::{Availability, SessionId, StateVersion};
use wingspar_world::{
    Configuration, MachineName, NodeId, Service, ServiceKind, ServiceName, Target, TargetName,
};

use super::{ChangeMemory, GroupState, MemberMemory, Session, Slice, SliceMap, TableHistory};
use crate::command::SliceOwner;

impl GroupState {
    /// Version of the last command that changed something.
    pub fn version(&self) -> StateVersion {
        self.version
    }

    /// The configuration.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// All sessions by id.
    pub fn sessions(&self) -> impl Iterator<Item = &Session> {
        self.sessions.values()
    }

    /// Number of sessions.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// A session by id.
    pub fn session(&self, id: SessionId) -> Option<&Session> {
        self.sessions.get(&id)
    }

    /// The session of a process.
    pub fn session_of(&self, node: &NodeId) -> Option<&Session> {
        self.sessions.get(self.by_node.get(node)?)
    }

    /// The newest session on a machine.
    pub fn session_on(&self, machine: &MachineName) -> Option<&Session> {
        let newest = self.by_machine.get(machine)?.last()?;
        self.sessions.get(newest)
    }

    /// Services with slices, and their slices.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &SliceMap)> {
        self.services.iter()
    }

    /// Slices of a service.
    pub fn slices(&self, service: &ServiceName) -> Option<&SliceMap> {
        self.services.get(service)
    }

    /// What elective moves of a service have spent, as of the command that recorded it.
    pub fn churn(&self, service: &ServiceName) -> ChurnRecord {
        self.churn.get(service).cloned().unwrap_or_default()
    }

    /// Remembered changes of operators.
    pub fn changes(&self) -> &ChangeMemory {
        &self.changes
    }

    /// Processes that were added to the group.
    pub fn members(&self) -> &MemberMemory {
        &self.members
    }

    /// Changes of the slice table.
    pub fn history(&self) -> &TableHistory {
        &self.history
    }

    /// A target of the configuration.
    pub fn target(&self, name: &TargetName) -> Option<&Target> {
        self.configuration
            .targets
            .get(name)
            .map(|(_, target)| target)
    }

    /// Whether a service exists and is keyed.
    pub fn is_keyed(&self, service: &ServiceName) -> bool {
        let keyed = |service: &Service| service.kind == ServiceKind::Keyed;
        self.configuration.service(service).is_some_and(keyed)
    }

    /// Whether a target may get new work.
    pub fn availability(&self, target: &TargetName) -> Availability {
        let Some(target) = self.target(target) else {
            return Availability::Removed;
        };
        match self.session_on(&target.machine) {
            None => Availability::Down,
            Some(session) if session.leaving || target.draining => Availability::Draining,
            Some(_) => Availability::Serving,
        }
    }

    /// Target and session that new slices of a target go to, if it may get any.
    pub fn owner_on(&self, target: &Target) -> Option<SliceOwner> {
        let session = self.session_on(&target.machine)?;
        (!session.leaving && !target.draining).then(|| SliceOwner {
            target: target.name.clone(),
            session: session.id,
        })
    }

    /// Whether an owner may keep a slice of a service; otherwise it is to be handed over.
    pub fn may_keep(&self, service: &ServiceName, owner: &SliceOwner) -> bool {
        let leaving = self.session(owner.session).is_none_or(|it| it.leaving);
        let draining = self.target(&owner.target).is_none_or(|it| it.draining);
        !leaving && !draining && self.is_keyed(service) && self.may_own(service, owner)
    }

    /// Whether a target may get slices of a service under a session.
    pub fn may_receive(&self, service: &ServiceName, owner: &SliceOwner) -> bool {
        let target = self.target(&owner.target);
        let newest = target.and_then(|target| self.owner_on(target));
        newest.as_ref() == Some(owner) && self.is_keyed(service) && self.may_own(service, owner)
    }

    /// Slices that a session owns or is to get, in order of service and range.
    pub fn slices_of(&self, session: SessionId) -> impl Iterator<Item = (&ServiceName, &Slice)> {
        let all = self
            .services
            .iter()
            .flat_map(|(service, slices)| slices.iter().map(move |slice| (service, slice)));
        all.filter(move |(_, slice)| {
            let to = slice.hand_over.as_ref().and_then(|it| it.to.as_ref());
            let mut holders = slice.owner.iter().chain(to);
            holders.any(|holder| holder.session == session)
        })
    }

    /// HTTP address of the agent beside a target.
    pub fn agent_address(&self, target: &Target) -> Option<SocketAddr> {
        self.session_on(&target.machine)?.machine.agent_address
    }
}
