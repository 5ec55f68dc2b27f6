//! Placement as the leader carries it out: what the plans see, and their actions as commands.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wingspar_consensus::Replica;
use wingspar_placement::{
    Action, ChurnBudget, HotKey, MoveReason, PlanInput, PlanLimits, Planner, SliceState,
    TargetState, move_charge,
};
use wingspar_wire::Availability;
use wingspar_world::{
    KeyHash, MonotonicTime, PlacementPolicy, PolicyName, ServiceName, SliceRange, Target,
    TargetName, ZoneName,
};

use crate::Control;
use crate::command::{Command, HandOverOrder};
use crate::hand_over::running_in_service;
use crate::operator::AssignmentReason;
use crate::state::{GroupState, Slice};

/// Weight of the newest report in a target's smoothed load.
const SMOOTHING: f64 = 0.3;
/// Time for which a slice's load is remembered after its agent last named it.
const LOAD_MEMORY: Duration = Duration::from_secs(10);

/// The leader's memory for placement; a new leader starts with the replicated churn only.
#[derive(Debug, Default)]
pub(crate) struct PlacementMemory {
    planners: BTreeMap<ServiceName, (Planner, ChurnBudget)>,
    targets: BTreeMap<TargetName, f64>,
    slices: BTreeMap<ServiceName, BTreeMap<SliceRange, (f64, MonotonicTime)>>,
    hot_keys: BTreeMap<ServiceName, Vec<HotKey>>,
    unhealthy: BTreeSet<TargetName>,
    next: MonotonicTime,
}

impl PlacementMemory {
    /// Requests a second of a slice, if its agent named it lately.
    pub(crate) fn slice_load(&self, service: &ServiceName, range: &SliceRange) -> Option<f64> {
        let slices = self.slices.get(service)?;
        slices.get(range).map(|(load, _)| *load)
    }

    /// All targets of a service as placement sees them, in order of name. A back end that does not
    /// answer its agent gets nothing, unless that holds for all: then the reports are not believed.
    pub(crate) fn target_states(
        &self,
        state: &GroupState,
        service: &ServiceName,
    ) -> Vec<TargetState> {
        let describe = |target: &Target| TargetState {
            name: target.name.clone(),
            region: target.region.clone(),
            zone: target.zone.clone(),
            slots: target.slots,
            accepts: state.owner_on(target).is_some(),
            requests_per_second: self.targets.get(&target.name).copied().unwrap_or(0.0),
        };
        let targets = state.configuration().targets_of(service);
        let mut targets: Vec<TargetState> = targets.map(describe).collect();
        let healthy = |target: &TargetState| !self.unhealthy.contains(&target.name);
        if targets
            .iter()
            .any(|target| target.accepts && healthy(target))
        {
            for target in &mut targets {
                target.accepts &= healthy(target);
            }
        }
        targets
    }
}

/// The policy of a service; one that names none is spread evenly.
pub(crate) fn policy_of(state: &GroupState, service: &ServiceName) -> PlacementPolicy {
    let configuration = state.configuration();
    let service = configuration.service(service);
    let policy = service.and_then(|service| configuration.policy_of(service));
    policy.cloned().unwrap_or_else(|| {
        let name = PolicyName::new("default").expect("the name is valid");
        PlacementPolicy::with_defaults(name)
    })
}

/// Zones of a service most of whose targets are down: more of them may be lost soon.
pub(crate) fn failing_zones(state: &GroupState, service: &ServiceName) -> BTreeSet<ZoneName> {
    let mut zones: BTreeMap<&ZoneName, (usize, usize)> = BTreeMap::new();
    for target in state.configuration().targets_of(service) {
        let down = state.availability(&target.name) == Availability::Down;
        let (all, lost) = zones.entry(&target.zone).or_default();
        *all += 1;
        *lost += usize::from(down);
    }
    let failing = zones.into_iter().filter(|(_, (all, lost))| lost * 2 > *all);
    failing.map(|(zone, _)| zone.clone()).collect()
}

impl Control {
    /// Makes the elective changes that are due: splits, merges and moves for load and weights.
    pub(crate) fn tend_placement(&mut self) {
        let interval = self.settings.placement_interval;
        let Some(leading) = &mut self.leading else {
            return;
        };
        if self.now < leading.placement.next {
            return;
        }
        leading.placement.next = self.now + interval;
        self.take_in_loads();
        if !self.decisions_applied() || !self.may_assign() {
            return;
        }
        let Some(mut memory) = self
            .leading
            .as_mut()
            .map(|it| std::mem::take(&mut it.placement))
        else {
            return;
        };
        let services: Vec<ServiceName> = match &self.replica {
            Some(replica) => replica
                .state()
                .services()
                .map(|(name, _)| name.clone())
                .collect(),
            None => Vec::new(),
        };
        for service in services {
            self.plan_service(&mut memory, &service);
        }
        if let Some(leading) = &mut self.leading {
            leading.placement = memory;
        }
    }

    /// Takes in what agents reported with their renewals.
    fn take_in_loads(&mut self) {
        let now = self.now;
        let (Some(replica), Some(leading)) = (&self.replica, &mut self.leading) else {
            return;
        };
        let state = replica.state();
        let memory = &mut leading.placement;
        memory.hot_keys.clear();
        memory.unhealthy.clear();
        let views = leading.sessions.values().filter(|view| view.heard);
        for report in views.flat_map(|view| &view.targets) {
            let Some(target) = state.target(&report.target) else {
                continue;
            };
            let newest = f64::from(report.requests_per_second);
            let smoothed = memory.targets.entry(target.name.clone()).or_insert(newest);
            *smoothed += SMOOTHING * (newest - *smoothed);
            if !report.healthy {
                memory.unhealthy.insert(target.name.clone());
            }
            let slices = memory.slices.entry(target.service.clone()).or_default();
            for slice in &report.slices {
                slices.insert(slice.range, (f64::from(slice.requests_per_second), now));
            }
            let hot = report.hot_keys.iter().map(|hot| HotKey {
                key: hot.key,
                requests_per_second: f64::from(hot.requests_per_second),
            });
            memory
                .hot_keys
                .entry(target.service.clone())
                .or_default()
                .extend(hot);
        }
        memory
            .targets
            .retain(|name, _| state.target(name).is_some());
        for slices in memory.slices.values_mut() {
            slices.retain(|_, (_, at)| now.since(*at) < LOAD_MEMORY);
        }
    }

    fn plan_service(&mut self, memory: &mut PlacementMemory, service: &ServiceName) {
        let Some(state) = self.replica.as_ref().map(Replica::state) else {
            return;
        };
        let Some(slices) = state.slices(service).filter(|_| state.is_keyed(service)) else {
            return;
        };
        let policy = policy_of(state, service);
        let targets = memory.target_states(state, service);
        let known = memory.planners.remove(service);
        let (mut planner, mut budget) = known.unwrap_or_else(|| {
            let record = state.churn(service);
            (Planner::new(), ChurnBudget::restore(&record, self.now))
        });
        let hot_keys = memory.hot_keys.get(service);
        let input = PlanInput {
            now: self.now,
            minute_of_day: self.minute_of_day,
            policy: &policy,
            targets: &targets,
            hot_keys: hot_keys.map_or(&[], Vec::as_slice),
            hand_overs: running_in_service(slices),
            limits: PlanLimits::default(),
        };
        let cursor = planner.cursor();
        let rest = SliceRange {
            first: cursor,
            last: KeyHash(u64::MAX),
        };
        let seen = slices
            .overlapping(rest)
            .filter(|slice| slice.range.first >= cursor);
        let seen = seen.map(|slice| self.slice_state(memory, service, slice));
        let actions = planner.step(&input, seen, &mut budget);
        if !actions.is_empty() {
            self.carry_out_plan(service, actions, &mut budget);
        }
        memory.planners.insert(service.clone(), (planner, budget));
    }

    fn slice_state<'a>(
        &self,
        memory: &PlacementMemory,
        service: &ServiceName,
        slice: &'a Slice,
    ) -> SliceState<'a> {
        let to = slice.hand_over.as_ref().and_then(|it| it.to.as_ref());
        SliceState {
            range: slice.range,
            owner: slice.owner.as_ref().map(|owner| &owner.target),
            moving_to: to.map(|to| &to.target),
            requests_per_second: memory.slice_load(service, &slice.range),
            since: self.observed.state.seen_at(slice.since).unwrap_or(self.now),
        }
    }

    fn carry_out_plan(
        &mut self,
        service: &ServiceName,
        actions: Vec<Action>,
        budget: &mut ChurnBudget,
    ) {
        let mut orders = Vec::new();
        for action in actions {
            match action {
                Action::Move {
                    range,
                    from,
                    to,
                    reason,
                } => match self.elective_order(service, range, &from, &to, reason) {
                    Some(order) => orders.push(order),
                    None => budget.refund(move_charge(&range)),
                },
                Action::Split { range, at } => self.decide_split(service, range, &at),
                Action::Merge { left, right } => self.decide(Command::Merge {
                    service: service.clone(),
                    first: left,
                    second: right,
                }),
            }
        }
        if orders.is_empty() {
            return;
        }
        self.decide(Command::RecordChurn {
            service: service.clone(),
            record: budget.record(self.now),
        });
        self.decide(Command::BeginHandOver(orders));
    }

    fn elective_order(
        &self,
        service: &ServiceName,
        range: SliceRange,
        from: &TargetName,
        to: &TargetName,
        reason: MoveReason,
    ) -> Option<HandOverOrder> {
        let state = self.replica.as_ref()?.state();
        let slice = state.slices(service)?.get(&range)?;
        let owner = slice.owner.as_ref().filter(|owner| owner.target == *from)?;
        let to = state.owner_on(state.target(to)?)?;
        Some(HandOverOrder {
            service: service.clone(),
            range,
            from: owner.clone(),
            to: Some(to),
            reason: match reason {
                MoveReason::Balance | MoveReason::Consolidate => AssignmentReason::Balance,
                MoveReason::RegionShift => AssignmentReason::RegionShift,
            },
        })
    }

    /// Cuts a slice at several places, one after the other.
    fn decide_split(&mut self, service: &ServiceName, range: SliceRange, at: &[KeyHash]) {
        let mut rest = range;
        for cut in at {
            self.decide(Command::Split {
                service: service.clone(),
                range: rest,
                at: *cut,
            });
            rest.first = *cut;
        }
    }
}
