//! Planned hand-overs: begun for owners that must give up, completed by their agents' word.

use std::collections::BTreeMap;

use wingspar_wire::{Released, SessionId};
use wingspar_world::ServiceName;

use crate::Control;
use crate::assignment::NextOwners;
use crate::command::{Command, HandOverOrder};
use crate::operator::AssignmentReason;
use crate::placement::PlacementMemory;
use crate::state::{GroupState, HandOver, Slice, SliceMap};

impl Control {
    /// Begins hand-overs of slices whose owners must give them up, and calls off those whose next
    /// owner can't take them any more.
    pub(crate) fn tend_hand_overs(&mut self) {
        if !self.decisions_applied() || !self.may_assign() {
            return;
        }
        let limit = self.settings.hand_overs_per_source;
        let (Some(replica), Some(leading)) = (&self.replica, &self.leading) else {
            return;
        };
        let state = replica.state();
        let unfit = unfit_hand_overs(state);
        let orders = due_hand_overs(state, &leading.placement, limit);
        for command in unfit {
            self.decide(command);
        }
        if !orders.is_empty() {
            self.decide(Command::BeginHandOver(orders));
        }
    }

    /// An agent has given a slice up as asked.
    pub(crate) fn on_released(&mut self, released: &Released) {
        if released.group != self.settings.group {
            self.counters.malformed += 1;
            return;
        }
        let (Some(replica), Some(leading)) = (&self.replica, &mut self.leading) else {
            return;
        };
        let key = (released.service.clone(), released.range.first);
        let proposed = leading.completing.get(&key);
        let waiting = proposed.is_some_and(|index| *index > replica.applied_index());
        if waiting || !answers_hand_over(replica.state(), released) {
            return;
        }
        let position = self.propose(Command::CompleteHandOver {
            service: released.service.clone(),
            range: released.range,
            hand_over: released.hand_over,
            remembered_moved: released.remembered_moved,
        });
        if let (Some(position), Some(leading)) = (position, &mut self.leading) {
            leading.completing.insert(key, position.index);
        }
    }

    /// Forgets completions that are applied.
    pub(crate) fn forget_completions(&mut self) {
        if let (Some(replica), Some(leading)) = (&self.replica, &mut self.leading) {
            let applied = replica.applied_index();
            leading.completing.retain(|_, index| *index > applied);
        }
    }
}

fn answers_hand_over(state: &GroupState, released: &Released) -> bool {
    let slices = state.slices(&released.service);
    let Some(slice) = slices.and_then(|slices| slices.get(&released.range)) else {
        return false;
    };
    let current = slice.hand_over.as_ref().map(|it| it.id);
    let owner = slice.owner.as_ref().map(|owner| owner.session);
    let session = state.session(released.session);
    current == Some(released.hand_over)
        && owner == Some(released.session)
        && slice.fence == released.fence
        && session.is_some_and(|session| session.node == released.node)
}

fn unfit_hand_overs(state: &GroupState) -> Vec<Command> {
    let mut commands = Vec::new();
    for (service, slices) in state.services() {
        for slice in slices.iter() {
            let Some(hand_over) = &slice.hand_over else {
                continue;
            };
            if !is_fit(state, service, hand_over) {
                commands.push(Command::CancelHandOver {
                    service: service.clone(),
                    range: slice.range,
                    hand_over: hand_over.id,
                });
            }
        }
    }
    commands
}

fn is_fit(state: &GroupState, service: &ServiceName, hand_over: &HandOver) -> bool {
    match &hand_over.to {
        Some(to) => state.may_receive(service, to),
        None => !state.is_keyed(service),
    }
}

/// Hand-overs to begin, at most `limit` at once for each source.
fn due_hand_overs(
    state: &GroupState,
    memory: &PlacementMemory,
    limit: usize,
) -> Vec<HandOverOrder> {
    let mut running = running_hand_overs(state);
    let mut orders = Vec::new();
    for (service, slices) in state.services() {
        let due = slices
            .iter()
            .filter(|slice| must_move(state, service, slice));
        let mut due = due.peekable();
        if due.peek().is_none() {
            continue;
        }
        let keyed = state.is_keyed(service);
        let mut owners = NextOwners::new(state, memory, service);
        for slice in due {
            let Some(from) = slice.owner.clone() else {
                continue;
            };
            let busy = running.entry(from.session).or_insert(0);
            if *busy >= limit {
                continue;
            }
            let to = owners.choose(slice).filter(|to| keyed && *to != from);
            // Nobody else can take it: the owner keeps it, and the operator sees a draining owner.
            if keyed && to.is_none() {
                break;
            }
            *busy += 1;
            orders.push(HandOverOrder {
                service: service.clone(),
                range: slice.range,
                from,
                to,
                reason: AssignmentReason::Drain,
            });
        }
    }
    orders
}

fn must_move(state: &GroupState, service: &ServiceName, slice: &Slice) -> bool {
    let owner = slice.owner.as_ref();
    slice.hand_over.is_none() && owner.is_some_and(|owner| !state.may_keep(service, owner))
}

/// Hand-overs under way in a service.
pub(crate) fn running_in_service(slices: &SliceMap) -> usize {
    slices
        .iter()
        .filter(|slice| slice.hand_over.is_some())
        .count()
}

/// Hand-overs under way by the session that gives up.
pub(crate) fn running_hand_overs(state: &GroupState) -> BTreeMap<SessionId, usize> {
    let mut running = BTreeMap::new();
    let slices = state.services().flat_map(|(_, slices)| slices.iter());
    for slice in slices.filter(|slice| slice.hand_over.is_some()) {
        if let Some(owner) = &slice.owner {
            *running.entry(owner.session).or_insert(0) += 1;
        }
    }
    running
}
