//! Applies commands. Each `apply_*` returns whether anything changed.

use wingspar_wire::{SessionId, StateVersion};
use wingspar_world::{KeyHash, ServiceName, SliceRange};

use super::{ChangeResult, GroupState, SliceMap, Touched};
use crate::command::{Assignment, Command, SliceOwner};

/// Most slices that a service's ring may be cut into at first.
const MOST_INITIAL_SLICES: u32 = 1 << 16;

impl GroupState {
    pub(super) fn apply_command(&mut self, at: StateVersion, command: &Command) -> bool {
        match command {
            Command::Configure(changes) => self.apply_changes(at, changes),
            Command::ReplaceConfiguration {
                configuration,
                change_ids,
            } => self.apply_replacement(at, configuration, change_ids),
            Command::RememberChange { change_id, version } => {
                let result = ChangeResult::Configured(*version);
                self.changes.remember(change_id, result);
                true
            }
            Command::RecordMember { node } => self.members.remember(node.clone()),
            Command::RegisterSession { node, machine } => {
                self.apply_registration(at, node, machine)
            }
            Command::ExpireSessions(ends) => {
                let ended = ends.iter().filter(|end| self.apply_expiry(at, end));
                ended.count() > 0
            }
            Command::MarkLeaving { session } => self.apply_leaving(at, *session),
            Command::CreateSlices { service, count } => self.apply_creation(at, service, *count),
            Command::DropSlices { service } => self.apply_drop(at, service),
            Command::Assign(list) => {
                let assigned = list.iter().filter(|it| self.apply_assignment(at, it));
                assigned.count() > 0
            }
            Command::BeginHandOver(orders) => {
                let begun = orders.iter().filter(|it| self.apply_order(at, it));
                begun.count() > 0
            }
            Command::CompleteHandOver {
                service,
                range,
                hand_over,
                remembered_moved,
            } => self.apply_completion(at, service, range, *hand_over, *remembered_moved),
            Command::CancelHandOver {
                service,
                range,
                hand_over,
            } => self.apply_cancellation(at, service, range, *hand_over),
            Command::Split {
                service,
                range,
                at: cut,
            } => self.apply_split(at, service, range, *cut),
            Command::Merge {
                service,
                first,
                second,
            } => self.apply_merge(at, service, first, second),
            Command::RecordChurn { service, record } => {
                self.churn.insert(service.clone(), record.clone());
                true
            }
            Command::Move {
                change_id,
                service,
                range,
                to,
            } => self.apply_move(at, change_id, service, *range, to),
        }
    }

    fn apply_creation(&mut self, at: StateVersion, service: &ServiceName, count: u32) -> bool {
        let wanted = (1..=MOST_INITIAL_SLICES).contains(&count);
        if !wanted || !self.is_keyed(service) || self.services.contains_key(service) {
            return false;
        }
        let slices = SliceMap::partition(count, at);
        self.services.insert(service.clone(), slices);
        self.touch_range(at, service, SliceRange::FULL);
        true
    }

    fn apply_drop(&mut self, at: StateVersion, service: &ServiceName) -> bool {
        let owned = |slices: &SliceMap| slices.iter().any(|slice| slice.owner.is_some());
        let Some(slices) = self.services.get(service) else {
            return false;
        };
        if self.is_keyed(service) || owned(slices) {
            return false;
        }
        self.services.remove(service);
        self.churn.remove(service);
        self.touch_range(at, service, SliceRange::FULL);
        true
    }

    fn apply_assignment(&mut self, at: StateVersion, assignment: &Assignment) -> bool {
        let Assignment {
            service,
            range,
            owner,
            reason,
        } = assignment;
        if !self.may_own(service, owner) {
            return false;
        }
        let slice = self
            .services
            .get_mut(service)
            .and_then(|it| it.get_mut(range));
        let Some(slice) = slice.filter(|slice| slice.owner.is_none()) else {
            return false;
        };
        let kind = slice.next_takeover();
        slice.give_to(owner.clone(), at, kind);
        slice.reason = *reason;
        self.touch_session(at, owner.session);
        self.touch_range(at, service, *range);
        true
    }

    fn apply_split(
        &mut self,
        at: StateVersion,
        service: &ServiceName,
        range: &SliceRange,
        cut: KeyHash,
    ) -> bool {
        let Some(slices) = self.services.get_mut(service) else {
            return false;
        };
        if !slices.split(range, cut) {
            return false;
        }
        let owner = slices.at(cut).and_then(|slice| slice.owner.clone());
        if let Some(owner) = owner {
            self.touch_session(at, owner.session);
        }
        self.touch_range(at, service, *range);
        true
    }

    fn apply_merge(
        &mut self,
        at: StateVersion,
        service: &ServiceName,
        first: &SliceRange,
        second: &SliceRange,
    ) -> bool {
        let Some(slices) = self.services.get_mut(service) else {
            return false;
        };
        if !slices.merge(first, second) {
            return false;
        }
        let owner = slices.at(first.first).and_then(|slice| slice.owner.clone());
        if let Some(owner) = owner {
            self.touch_session(at, owner.session);
        }
        let joined = SliceRange {
            first: first.first,
            last: second.last,
        };
        self.touch_range(at, service, joined);
        true
    }

    /// Whether a target may get slices of a service under a session.
    pub(super) fn may_own(&self, service: &ServiceName, owner: &SliceOwner) -> bool {
        let Some(target) = self.target(&owner.target) else {
            return false;
        };
        let Some(session) = self.sessions.get(&owner.session) else {
            return false;
        };
        target.service == *service && target.machine == session.machine.name
    }

    /// Notes that a session's grant list changed.
    pub(super) fn touch_session(&mut self, at: StateVersion, session: SessionId) {
        if let Some(session) = self.sessions.get_mut(&session) {
            session.grants_version = at;
        }
    }

    pub(super) fn touch_range(
        &mut self,
        at: StateVersion,
        service: &ServiceName,
        range: SliceRange,
    ) {
        self.history
            .push(at, Touched::Slices(service.clone(), range));
    }
}
