//! Owners for slices that have none.

use std::collections::BTreeMap;
use std::time::Duration;

use wingspar_consensus::Replica;
use wingspar_world::{ServiceName, TargetName};

use crate::command::{Assignment, Command, SliceOwner};
use crate::operator::AssignmentReason;
use crate::state::{GroupState, Slice};
use crate::{Control, ControlEvent, Output};

/// Most slices given owners in one turn.
const ASSIGNMENTS_PER_TURN: usize = 2_048;

/// Rest of the configuration after which a new service's ring is cut.
const RING_REST: Duration = Duration::from_secs(1);
/// Time after which a new service's ring is cut though the configuration goes on changing.
const RING_PATIENCE: Duration = Duration::from_secs(5);

/// Targets of a service that may get slices, with the slices each has or is about to get.
#[derive(Debug)]
pub(crate) struct Candidates {
    targets: Vec<(SliceOwner, f64, usize)>,
}

impl Candidates {
    /// All serving targets of a service.
    pub(crate) fn of_service(state: &GroupState, service: &ServiceName) -> Self {
        let configuration = state.configuration();
        let counts = slice_counts(state, service);
        let weigh = |target: &wingspar_world::Target| {
            let owner = state.owner_on(target)?;
            let count = counts.get(&target.name).copied().unwrap_or(0);
            Some((owner, f64::from(target.slots.max(1)), count))
        };
        Self {
            targets: configuration
                .targets_of(service)
                .filter_map(weigh)
                .collect(),
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// The least loaded target for its slots, other than `not`.
    pub(crate) fn choose(
        &mut self,
        preferred: Option<&TargetName>,
        not: Option<&SliceOwner>,
    ) -> Option<SliceOwner> {
        let fit = |owner: &SliceOwner| Some(owner) != not;
        let wanted = self
            .targets
            .iter()
            .position(|(owner, _, _)| Some(&owner.target) == preferred && fit(owner));
        let load = |(_, slots, count): &(SliceOwner, f64, usize)| (*count as f64 + 1.0) / slots;
        let indexed = self.targets.iter().enumerate().filter(|(_, it)| fit(&it.0));
        let least = indexed.min_by(|(_, one), (_, other)| load(one).total_cmp(&load(other)));
        let chosen = wanted.or(least.map(|(position, _)| position))?;
        self.targets[chosen].2 += 1;
        Some(self.targets[chosen].0.clone())
    }
}

/// Slices that each target of a service has or is to get.
pub(crate) fn slice_counts(
    state: &GroupState,
    service: &ServiceName,
) -> BTreeMap<TargetName, usize> {
    let mut counts = BTreeMap::new();
    for slice in state.slices(service).into_iter().flat_map(|it| it.iter()) {
        if let Some(owner) = next_owner(slice) {
            *counts.entry(owner.target.clone()).or_insert(0) += 1;
        }
    }
    counts
}

/// The owner of a slice once its hand-over is done.
fn next_owner(slice: &Slice) -> Option<&SliceOwner> {
    match &slice.hand_over {
        Some(hand_over) => hand_over.to.as_ref(),
        None => slice.owner.as_ref(),
    }
}

impl Control {
    /// Gives slices without owner to serving targets, and cuts the rings of new services.
    pub(crate) fn assign(&mut self) {
        if !self.decisions_applied() || !self.may_assign() {
            return;
        }
        let Some(state) = self.replica.as_ref().map(Replica::state) else {
            return;
        };
        let new_ring = self.new_ring(state);
        let commands = [new_ring, retired_rings(state), assignments(state)];
        for command in commands.into_iter().flatten() {
            self.decide(command);
        }
    }

    /// Cuts the ring of one new service. Its targets are usually created right after it, so this
    /// waits until the configuration has been at rest for a moment, though not for long.
    fn new_ring(&self, state: &GroupState) -> Option<Command> {
        let configuration = state.configuration();
        let newest = self.observed.configuration.seen_at(configuration.version)?;
        let at_rest = self.now.since(newest) >= RING_REST;
        let is_due = |version| {
            let created = self.observed.configuration.seen_at(version);
            at_rest || created.is_some_and(|it| self.now.since(it) >= RING_PATIENCE)
        };
        let services = configuration.services.iter();
        let new = services.filter(|(name, _)| state.is_keyed(name) && state.slices(name).is_none());
        let mut due = new.filter(|(_, (version, _))| is_due(*version));
        due.find_map(|(service, _)| new_ring(state, service))
    }

    /// Proposes a decision; the next ones wait until it is applied.
    pub(crate) fn decide(&mut self, command: Command) {
        let position = self.propose(command);
        if let (Some(position), Some(leading)) = (position, &mut self.leading) {
            leading.barrier = position.index;
        }
    }

    pub(crate) fn report_assignments(&mut self, list: &[Assignment], out: &mut Vec<Output>) {
        let mut counts: BTreeMap<(&ServiceName, &TargetName), (usize, AssignmentReason)> =
            BTreeMap::new();
        for one in list {
            let key = (&one.service, &one.owner.target);
            counts.entry(key).or_insert((0, one.reason)).0 += 1;
        }
        self.counters.slices_assigned += list.len() as u64;
        for ((service, target), (slices, reason)) in counts {
            let (service, target) = (service.clone(), target.clone());
            out.push(Output::Event(ControlEvent::Assigned {
                service,
                target,
                slices,
                reason,
            }));
        }
    }
}

/// Cuts a new service's ring once a target can serve it.
fn new_ring(state: &GroupState, service: &ServiceName) -> Option<Command> {
    let configuration = state.configuration();
    if Candidates::of_service(state, service).is_empty() {
        return None;
    }
    let targets = configuration.targets_of(service).count();
    let targets = u32::try_from(targets).unwrap_or(u32::MAX);
    let policy = configuration.policy_of(configuration.service(service)?);
    let per_target = policy.map_or(1, |policy| policy.slices_per_target.max(1));
    Some(Command::CreateSlices {
        service: service.clone(),
        count: targets.saturating_mul(per_target).clamp(1, 1 << 16),
    })
}

fn retired_rings(state: &GroupState) -> Option<Command> {
    let mut retired = state.services().filter(|(name, slices)| {
        !state.is_keyed(name) && slices.iter().all(|slice| slice.owner.is_none())
    });
    retired.next().map(|(service, _)| Command::DropSlices {
        service: service.clone(),
    })
}

fn assignments(state: &GroupState) -> Option<Command> {
    let mut list = Vec::new();
    for (service, slices) in state.services().filter(|(name, _)| state.is_keyed(name)) {
        let unowned = slices.iter().filter(|slice| slice.owner.is_none());
        let mut unowned = unowned.take(ASSIGNMENTS_PER_TURN - list.len()).peekable();
        if unowned.peek().is_none() {
            continue;
        }
        let mut candidates = Candidates::of_service(state, service);
        for slice in unowned {
            let Some(owner) = candidates.choose(slice.preferred.as_ref(), None) else {
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
