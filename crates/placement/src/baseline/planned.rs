//! What the control group does, for comparison with the baselines.

use wingspar_world::{KeyHash, MonotonicTime, PlacementPolicy, TargetName};

use super::{Observation, Placer, SliceTable};
use crate::{Action, ChurnBudget, HotKey, PlanInput, PlanLimits, Planner, TargetState};

/// Keys that a service's agents report together as standing out.
const REPORTED_HOT_KEYS: usize = 32;

/// Slices of each target that its agent reports.
const REPORTED_SLICES: usize = 8;

/// A service under a [`Planner`].
#[derive(Debug, Clone)]
pub struct Planned {
    /// The policy; may be changed at any time.
    pub policy: PlacementPolicy,
    /// Limits of the planner.
    pub limits: PlanLimits,
    /// Churn budget.
    pub budget: ChurnBudget,
    /// Slices of each target whose loads its agent reports: the most loaded ones.
    pub reported_slices: usize,
    /// Actions that no longer fitted when they were to be carried out.
    pub rejected: usize,
    planner: Planner,
    table: SliceTable,
}

impl Planned {
    /// A service without slices; they come with its first targets.
    pub fn new(policy: PlacementPolicy) -> Self {
        Self {
            policy,
            limits: PlanLimits::default(),
            budget: ChurnBudget::new(),
            reported_slices: REPORTED_SLICES,
            rejected: 0,
            planner: Planner::new(),
            table: SliceTable::default(),
        }
    }

    /// The slices.
    pub fn table(&self) -> &SliceTable {
        &self.table
    }

    /// Plans once and carries the actions out; returns them.
    pub fn plan(&mut self, observation: &Observation<'_>) -> Vec<Action> {
        self.table.set_loads(observation.keys);
        self.table.forget_light_slices(self.reported_slices);
        let hot_keys = hottest(observation.keys);
        let input = PlanInput {
            now: observation.now,
            minute_of_day: Some(observation.minute_of_day),
            policy: &self.policy,
            targets: observation.targets,
            hot_keys: &hot_keys,
            hand_overs: 0,
            limits: self.limits,
        };
        let slices = self.table.states(self.planner.cursor());
        let actions = self.planner.step(&input, slices, &mut self.budget);
        for action in &actions {
            let applied = self.table.apply(observation.now, action);
            assert!(
                applied,
                "an action fits the slices it was made for: {action:?}"
            );
        }
        actions
    }
}

/// The keys with the most load.
fn hottest(keys: &[(KeyHash, f64)]) -> Vec<HotKey> {
    let mut hottest: Vec<&(KeyHash, f64)> = keys.iter().collect();
    let by_load = |left: &&(KeyHash, f64), right: &&(KeyHash, f64)| right.1.total_cmp(&left.1);
    if hottest.len() > REPORTED_HOT_KEYS {
        hottest.select_nth_unstable_by(REPORTED_HOT_KEYS, by_load);
        hottest.truncate(REPORTED_HOT_KEYS);
    }
    let hot_key = |&&(key, requests_per_second): &&(KeyHash, f64)| HotKey {
        key,
        requests_per_second,
    };
    hottest.iter().map(hot_key).collect()
}

impl Placer for Planned {
    fn name(&self) -> &'static str {
        "wingspar"
    }

    fn set_targets(&mut self, now: MonotonicTime, targets: &[TargetState]) {
        if self.table.is_empty() {
            self.table = SliceTable::place(now, &self.policy, targets);
        } else {
            self.table.reassign(now, &self.policy, targets);
        }
    }

    fn observe(&mut self, observation: &Observation<'_>) -> bool {
        let actions = self.plan(observation);
        let is_move = |action: &Action| matches!(action, Action::Move { .. });
        actions.iter().any(is_move)
    }

    fn owner(&self, key: KeyHash) -> Option<&TargetName> {
        self.table.find(key).map(|slice| &slice.owner)
    }
}
