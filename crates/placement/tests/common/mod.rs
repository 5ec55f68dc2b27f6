//! A small service whose placement is planned in virtual time.
#![allow(dead_code)] // each test file uses a part

use std::time::Duration;

use wingspar_placement::baseline::{Observation, Placer, Planned, SliceTable};
use wingspar_placement::{Action, TargetState};
use wingspar_world::{
    KeyHash, MonotonicTime, PlacementPolicy, PolicyName, RegionName, TargetName, ZoneName,
};

/// Noon: outside every quiet window of the tests.
pub const NOON: u16 = 720;

pub fn region(text: &str) -> RegionName {
    RegionName::new(text).unwrap()
}

pub fn policy() -> PlacementPolicy {
    PlacementPolicy::with_defaults(PolicyName::new("test").unwrap())
}

pub fn target(number: usize, region_name: &str) -> TargetState {
    TargetState {
        name: TargetName::new(&format!("target-{number:02}")).unwrap(),
        region: region(region_name),
        zone: ZoneName::new(&format!("zone-{}", number % 3)).unwrap(),
        slots: 20,
        accepts: true,
        requests_per_second: 0.0,
    }
}

pub fn targets(count: usize) -> Vec<TargetState> {
    (0..count).map(|number| target(number, "here")).collect()
}

pub fn key(number: usize) -> KeyHash {
    KeyHash::of(format!("key {number}").as_bytes())
}

/// Zipf rates that sum to `rate`.
pub fn zipf(count: usize, exponent: f64, rate: f64) -> Vec<(KeyHash, f64)> {
    let weight = |rank: usize| ((rank + 1) as f64).powf(-exponent);
    let sum: f64 = (0..count).map(weight).sum();
    (0..count)
        .map(|rank| (key(rank), rate * weight(rank) / sum))
        .collect()
}

/// Every key of the ring has exactly one slice, so one owner, and that one is a target.
pub fn assert_whole(table: &SliceTable, targets: &[TargetState]) {
    let mut next = Some(0);
    for slice in table.slices() {
        assert_eq!(Some(slice.range.first.0), next, "a gap or an overlap");
        assert!(slice.range.first <= slice.range.last);
        assert!(targets.iter().any(|target| target.name == slice.owner));
        next = slice.range.last.0.checked_add(1);
    }
    assert_eq!(next, None, "the ring's end has no slice");
}

/// A planned service with its load.
pub struct Service {
    pub planned: Planned,
    pub targets: Vec<TargetState>,
    pub keys: Vec<(KeyHash, f64)>,
    pub now: MonotonicTime,
    pub minute: u16,
}

impl Service {
    pub fn new(
        policy: PlacementPolicy,
        targets: Vec<TargetState>,
        keys: Vec<(KeyHash, f64)>,
    ) -> Self {
        let mut planned = Planned::new(policy);
        planned.set_targets(MonotonicTime::ZERO, &targets);
        let mut service = Self {
            planned,
            targets,
            keys: Vec::new(),
            now: MonotonicTime::from_millis(3_600_000),
            minute: NOON,
        };
        service.set_keys(keys);
        service
    }

    pub fn set_keys(&mut self, mut keys: Vec<(KeyHash, f64)>) {
        keys.sort_by_key(|(key, _)| *key);
        self.keys = keys;
    }

    pub fn loads(&self) -> Vec<f64> {
        let mut loads = vec![0.0; self.targets.len()];
        let mut rest = self.keys.as_slice();
        for slice in self.planned.table().slices() {
            let inside = rest.partition_point(|(key, _)| *key <= slice.range.last);
            let owner = self
                .targets
                .iter()
                .position(|target| target.name == slice.owner);
            loads[owner.unwrap()] += rest[..inside].iter().map(|(_, rate)| rate).sum::<f64>();
            rest = &rest[inside..];
        }
        loads
    }

    pub fn imbalance(&self) -> f64 {
        let shares = wingspar_placement::shares(&self.planned.policy, &self.targets);
        wingspar_placement::imbalance(&self.loads(), &shares)
    }

    /// One second: plans once and checks what must always hold.
    pub fn second(&mut self) -> Vec<Action> {
        for (target, load) in self.loads().into_iter().enumerate() {
            self.targets[target].requests_per_second = load;
        }
        let actions = self.planned.plan(&Observation {
            now: self.now,
            minute_of_day: self.minute,
            targets: &self.targets,
            keys: &self.keys,
        });
        assert_eq!(
            self.planned.rejected, 0,
            "actions fit the slices they were made for"
        );
        assert_whole(self.planned.table(), &self.targets);
        let spent = self.planned.budget.spent(self.now);
        assert!(spent <= self.planned.policy.churn_per_hour + 1e-9);
        self.now += Duration::from_secs(1);
        actions
    }

    pub fn seconds(&mut self, count: usize) -> Vec<Action> {
        (0..count).flat_map(|_| self.second()).collect()
    }
}

pub fn moves(actions: &[Action]) -> usize {
    let is_move = |action: &&Action| matches!(action, Action::Move { .. });
    actions.iter().filter(is_move).count()
}
