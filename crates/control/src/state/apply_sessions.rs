//! Sessions: registration, leaving, expiry.

use wingspar_wire::{SessionId, StateVersion};
use wingspar_world::{Machine, MachineName, NodeId, ServiceName, SliceRange};

use super::{GroupState, Session, Touched};
use crate::command::SessionEnd;
use crate::operator::AssignmentReason;

impl GroupState {
    /// Begins a session. A process with a session keeps it; an earlier process of the same machine
    /// keeps its own until that ends, for it may still be running.
    pub(super) fn apply_registration(
        &mut self,
        at: StateVersion,
        node: &NodeId,
        machine: &Machine,
    ) -> bool {
        if self.by_node.contains_key(node) || node.machine != machine.name {
            return false;
        }
        self.insert_session(Session {
            id: SessionId(at),
            node: node.clone(),
            machine: machine.clone(),
            leaving: false,
            grants_version: at,
        });
        self.touch_targets_on(at, &machine.name);
        true
    }

    pub(super) fn apply_leaving(&mut self, at: StateVersion, session: SessionId) -> bool {
        let Some(session) = self.sessions.get_mut(&session).filter(|it| !it.leaving) else {
            return false;
        };
        session.leaving = true;
        let machine = session.machine.name.clone();
        self.touch_targets_on(at, &machine);
        true
    }

    /// Ends a session: its slices lose their owner, and hand-overs to it are called off.
    pub(super) fn apply_expiry(&mut self, at: StateVersion, end: &SessionEnd) -> bool {
        let Some(session) = self.sessions.remove(&end.session) else {
            return false;
        };
        let machine = session.machine.name;
        self.by_node.remove(&session.node);
        if let Some(others) = self.by_machine.get_mut(&machine) {
            others.remove(&end.session);
            if others.is_empty() {
                self.by_machine.remove(&machine);
            }
        }
        self.release_slices_of(at, end);
        self.touch_targets_on(at, &machine);
        true
    }

    fn release_slices_of(&mut self, at: StateVersion, end: &SessionEnd) {
        let reason = if end.lost {
            AssignmentReason::OwnerLost
        } else {
            AssignmentReason::Drain
        };
        let mut touched: Vec<(ServiceName, SliceRange)> = Vec::new();
        let mut sessions: Vec<SessionId> = Vec::new();
        for (service, slices) in &mut self.services {
            for slice in slices.iter_mut() {
                let to = slice.hand_over.as_ref().and_then(|it| it.to.as_ref());
                let to = to.map(|to| to.session);
                let owner = slice.owner.as_ref().map(|owner| owner.session);
                if owner == Some(end.session) {
                    slice.orphan(at, reason);
                    sessions.extend(to);
                } else if to == Some(end.session) {
                    slice.hand_over = None;
                    sessions.extend(owner);
                } else {
                    continue;
                }
                touched.push((service.clone(), slice.range));
            }
        }
        for (service, range) in touched {
            self.touch_range(at, &service, range);
        }
        for session in sessions {
            self.touch_session(at, session);
        }
    }

    fn touch_targets_on(&mut self, at: StateVersion, machine: &MachineName) {
        let targets = self
            .configuration
            .targets
            .values()
            .map(|(_, target)| target);
        let on_machine = targets.filter(|target| target.machine == *machine);
        for target in on_machine {
            let touched = Touched::Target(target.service.clone(), target.name.clone());
            self.history.push(at, touched);
        }
    }
}
