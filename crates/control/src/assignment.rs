//! Owners for slices that have none.

use std::time::Duration;

use wingspar_placement::{Successors, initial};
use wingspar_world::{ServiceName, TargetName};

use crate::Control;
use crate::command::{Assignment, Command, SliceOwner};
use crate::operator::AssignmentReason;
use crate::placement::{PlacementMemory, failing_zones, policy_of};
use crate::state::{GroupState, Slice};

/// Most slices given owners in one turn.
const ASSIGNMENTS_PER_TURN: usize = 2_048;
/// Rest of the configuration after which a new service's ring is cut.
const RING_REST: Duration = Duration::from_secs(1);
/// Time after which a new service's ring is cut though the configuration goes on changing.
const RING_PATIENCE: Duration = Duration::from_secs(5);

/// Chooses new owners for slices of one service, in one round.
#[derive(Debug)]
pub(crate) struct NextOwners<'a> {
    state: &'a GroupState,
    memory: &'a PlacementMemory,
    service: &'a ServiceName,
    successors: Successors,
}

impl<'a> NextOwners<'a> {
    pub(crate) fn new(
        state: &'a GroupState,
        memory: &'a PlacementMemory,
        service: &'a ServiceName,
    ) -> Self {
        let policy = policy_of(state, service);
        let targets = memory.target_states(state, service);
        let failing = failing_zones(state, service);
        Self {
            state,
            memory,
            service,
            successors: Successors::new(&policy, &targets, &failing),
        }
    }

    /// The next owner of a slice: its preferred target if that serves, else by load.
    pub(crate) fn choose(&mut self, slice: &Slice) -> Option<SliceOwner> {
        let preferred = slice
            .preferred
            .as_ref()
            .and_then(|name| self.owner_on(name));
        if preferred.is_some() {
            return preferred;
        }
        let load = self.memory.slice_load(self.service, &slice.range);
        let chosen = self.successors.choose(&slice.range, load)?;
        self.owner_on(&chosen)
    }

    fn owner_on(&self, target: &TargetName) -> Option<SliceOwner> {
        let target = self.state.target(target)?;
        (target.service == *self.service).then_some(())?;
        self.state.owner_on(target)
    }
}

impl Control {
    /// Gives slices without owner to serving targets, and cuts the rings of new services.
    pub(crate) fn assign(&mut self) {
        if !self.decisions_applied() || !self.may_assign() {
            return;
        }
        let (Some(replica), Some(leading)) = (&self.replica, &self.leading) else {
            return;
        };
        let state = replica.state();
        let memory = &leading.placement;
        let mut commands = self.new_ring(state, memory);
        commands.extend(retired_rings(state));
        commands.extend(assignments(state, memory));
        for command in commands {
            self.decide(command);
        }
    }

    /// Cuts the ring of one new service. Its targets are usually created right after it, so this
    /// waits until the configuration has been at rest for a moment, though not for long.
    fn new_ring(&self, state: &GroupState, memory: &PlacementMemory) -> Vec<Command> {
        let configuration = state.configuration();
        let seen_at = |version| self.observed.configuration.seen_at(version);
        let waited = |version, wait| {
            let seen = seen_at(version);
            seen.is_some_and(|seen| self.now.since(seen) >= wait)
        };
        let at_rest = waited(configuration.version, RING_REST);
        let services = configuration.services.iter();
        let new = services.filter(|(name, _)| state.is_keyed(name) && state.slices(name).is_none());
        let due = new.filter(|(_, (version, _))| at_rest || waited(*version, RING_PATIENCE));
        let mut rings = due.map(|(service, _)| new_ring(state, memory, service));
        rings
            .find(|commands| !commands.is_empty())
            .unwrap_or_default()
    }

    /// Proposes a decision; the next ones wait until it is applied.
    pub(crate) fn decide(&mut self, command: Command) {
        let position = self.propose(command);
        if let (Some(position), Some(leading)) = (position, &mut self.leading) {
            leading.barrier = position.index;
        }
    }
}

/// Cuts a new service's ring and gives all of it to its targets; nothing while none can serve it.
fn new_ring(state: &GroupState, memory: &PlacementMemory, service: &ServiceName) -> Vec<Command> {
    let policy = policy_of(state, service);
    let placed = initial(&policy, &memory.target_states(state, service));
    let Ok(count) = u32::try_from(placed.len()) else {
        return Vec::new();
    };
    if count == 0 {
        return Vec::new();
    }
    let create = Command::CreateSlices {
        service: service.clone(),
        count,
    };
    let assignment = |(range, target): (_, TargetName)| {
        Some(Assignment {
            service: service.clone(),
            range,
            owner: state.owner_on(state.target(&target)?)?,
            reason: AssignmentReason::Initial,
        })
    };
    let list = placed.into_iter().filter_map(assignment).collect();
    vec![create, Command::Assign(list)]
}

fn retired_rings(state: &GroupState) -> Option<Command> {
    let mut retired = state.services().filter(|(name, slices)| {
        !state.is_keyed(name) && slices.iter().all(|slice| slice.owner.is_none())
    });
    retired.next().map(|(service, _)| Command::DropSlices {
        service: service.clone(),
    })
}

fn assignments(state: &GroupState, memory: &PlacementMemory) -> Option<Command> {
    let mut list = Vec::new();
    for (service, slices) in state.services().filter(|(name, _)| state.is_keyed(name)) {
        let unowned = slices.iter().filter(|slice| slice.owner.is_none());
        let mut unowned = unowned.take(ASSIGNMENTS_PER_TURN - list.len()).peekable();
        if unowned.peek().is_none() {
            continue;
        }
        let mut owners = NextOwners::new(state, memory, service);
        for slice in unowned {
            let Some(owner) = owners.choose(slice) else {
                break;
            };
            list.push(Assignment {
                service: service.clone(),
                range: slice.range,
                owner,
                reason: slice.reason,
            });
        }
    }
    (!list.is_empty()).then_some(Command::Assign(list))
}
