//! Properties that hold for whatever load, policy and targets.

mod common;

use std::collections::BTreeSet;

use common::{Service, assert_whole, key, policy, region, target, targets};
use quickcheck::{Arbitrary, Gen, quickcheck};
use wingspar_placement::baseline::{Placer, SliceTable};
use wingspar_placement::{Action, ChurnBudget, Successors, initial, ring_share, shares};
use wingspar_world::{MonotonicTime, PlacementPolicy, SliceRange};

/// A service's life: loads that change, targets that come and go.
#[derive(Debug, Clone)]
struct Life {
    targets: usize,
    policy: PlacementPolicy,
    /// Slices of a target whose loads are reported.
    reported: usize,
    /// Each phase: rates of some keys, targets that accept, length in seconds.
    phases: Vec<(Vec<u8>, Vec<bool>, u8)>,
}

impl Arbitrary for Life {
    fn arbitrary(generator: &mut Gen) -> Self {
        let share = |generator: &mut Gen| f64::from(u8::arbitrary(generator)) / 255.0;
        let low = 1.0 + share(generator) / 2.0;
        let weights = (0..3).map(|one| (region(&format!("region-{one}")), share(generator)));
        let weights = weights.collect();
        let policy = PlacementPolicy {
            slices_per_target: 1 + u32::from(u8::arbitrary(generator) % 40),
            imbalance_low: low,
            imbalance_high: low + share(generator),
            churn_per_hour: share(generator),
            hot_slice_share: 0.01 + share(generator),
            region_weights: if bool::arbitrary(generator) {
                weights
            } else {
                Default::default()
            },
            ..policy()
        };
        let phase = |generator: &mut Gen| {
            let rates = (0..30).map(|_| u8::arbitrary(generator)).collect();
            let accepts = (0..7).map(|_| u8::arbitrary(generator) > 60).collect();
            (rates, accepts, u8::arbitrary(generator))
        };
        Self {
            targets: 1 + usize::arbitrary(generator) % 7,
            policy,
            reported: usize::arbitrary(generator) % 20,
            phases: (0..4).map(|_| phase(generator)).collect(),
        }
    }
}

impl Life {
    /// Lives it, with the checks of [`Service::second`] after each second.
    fn live(&self) -> Vec<Action> {
        let targets = (0..self.targets).map(|one| target(one, &format!("region-{}", one % 3)));
        let mut service = Service::new(self.policy.clone(), targets.collect(), Vec::new());
        service.planned.reported_slices = self.reported;
        let mut actions = Vec::new();
        for (rates, accepts, length) in &self.phases {
            let rate =
                |(number, rate): (usize, &u8)| (key(number), f64::from(*rate).powi(2) / 100.0);
            service.set_keys(rates.iter().enumerate().map(rate).collect());
            for (target, accepts) in service.targets.iter_mut().zip(accepts) {
                target.accepts = *accepts;
            }
            service.planned.set_targets(service.now, &service.targets);
            actions.extend(service.seconds(usize::from(*length)));
        }
        actions
    }
}

quickcheck! {
    fn plans_leave_one_owner_for_every_key_and_keep_the_budget(life: Life) -> bool {
        life.live();
        true
    }

    fn plans_are_deterministic(life: Life) -> bool {
        life.live() == life.live()
    }

    fn targets_never_get_slices_that_they_do_not_accept(life: Life) -> bool {
        let mut life = life;
        life.phases.truncate(1);
        let closed = |name: &wingspar_world::TargetName| {
            let number: usize = name.as_str()["target-".len()..].parse().unwrap();
            !life.phases[0].1[number]
        };
        life.live().iter().all(|action| match action {
            Action::Move { to, .. } => !closed(to),
            _ => true,
        })
    }

    fn steady_load_comes_to_rest(life: Life) -> bool {
        let mut life = life;
        life.phases.truncate(1);
        life.phases[0].1 = vec![true; 7];
        // A slice in a hundred of a target is hot, so halving it goes on for long.
        life.policy.hot_slice_share = life.policy.hot_slice_share.max(0.1);
        let targets = (0..life.targets).map(|one| target(one, &format!("region-{}", one % 3)));
        let mut service = Service::new(life.policy.clone(), targets.collect(), Vec::new());
        let rate = |(number, rate): (usize, &u8)| (key(number), f64::from(*rate));
        service.set_keys(life.phases[0].0.iter().enumerate().map(rate).collect());
        service.planned.policy.churn_per_hour = 1.0;
        service.planned.reported_slices = life.reported;
        service.seconds(1_500);
        let later = service.seconds(300);
        common::moves(&later) == 0
    }

    fn first_placement_covers_the_ring_by_share(count: u8, slices: u8) -> bool {
        let targets = targets(1 + usize::from(count % 20));
        let policy = PlacementPolicy { slices_per_target: u32::from(slices) + 1, ..policy() };
        let table = SliceTable::place(MonotonicTime::ZERO, &policy, &targets);
        assert_whole(&table, &targets);
        let owned = |name| initial(&policy, &targets).iter().filter(|(_, owner)| owner == name).count();
        targets.iter().all(|target| owned(&target.name) == usize::from(slices) + 1)
    }

    fn successors_spread_orphans_evenly(count: u8, orphans: u16) -> bool {
        let targets = targets(2 + usize::from(count % 20));
        let mut successors = Successors::new(&policy(), &targets, &BTreeSet::new());
        let orphans = u32::from(orphans) % 2_000 + 1;
        let mut counts = std::collections::BTreeMap::new();
        for range in SliceRange::partition(orphans) {
            *counts.entry(successors.choose(&range, None).unwrap()).or_insert(0_u32) += 1;
        }
        let most = counts.values().max().unwrap();
        let fewest = if counts.len() < targets.len() { &0 } else { counts.values().min().unwrap() };
        most - fewest <= 1
    }

    fn budget_is_kept_over_any_hour(moves: Vec<(u16, u8)>) -> bool {
        let limit = 0.3;
        let mut budget = ChurnBudget::new();
        let mut now = MonotonicTime::ZERO;
        let mut spent: Vec<(MonotonicTime, f64)> = Vec::new();
        for (wait, share) in moves {
            now += std::time::Duration::from_secs(u64::from(wait) % 900);
            budget = ChurnBudget::restore(&budget.record(now), now);
            let share = f64::from(share) / 2_550.0;
            if share <= budget.left(now, limit) {
                budget.spend(now, share);
                spent.push((now, share));
            }
            let hour = spent.iter().filter(|(at, _)| now.since(*at).as_secs() < 3_600);
            if hour.map(|(_, share)| share).sum::<f64>() > limit + 1e-9 {
                return false;
            }
        }
        true
    }

    fn shares_sum_to_one_or_nothing(life: Life) -> bool {
        let mut targets: Vec<_> = (0..life.targets).map(|one| target(one, &format!("region-{}", one % 3))).collect();
        for (target, accepts) in targets.iter_mut().zip(&life.phases[0].1) {
            target.accepts = *accepts;
        }
        let sum: f64 = shares(&life.policy, &targets).iter().sum();
        let accepting = targets.iter().any(|target| target.accepts);
        (sum - if accepting { 1.0 } else { 0.0 }).abs() < 1e-9
    }
}

#[test]
fn failing_zones_come_last() {
    let targets = targets(3);
    let failing = BTreeSet::from([targets[0].zone.clone(), targets[1].zone.clone()]);
    let mut successors = Successors::new(&policy(), &targets, &failing);
    let chosen: Vec<_> = (0..5)
        .map(|_| successors.choose(&SliceRange::FULL, Some(9.0)))
        .collect();
    assert!(
        chosen
            .iter()
            .all(|one| one.as_ref() == Some(&targets[2].name))
    );

    let all = targets.iter().map(|target| target.zone.clone()).collect();
    let mut successors = Successors::new(&policy(), &targets, &all);
    assert!(successors.choose(&SliceRange::FULL, None).is_some());
    assert_eq!(
        Successors::new(&policy(), &[], &all).choose(&SliceRange::FULL, None),
        None
    );
}

#[test]
fn ring_shares_sum_to_one() {
    assert_eq!(ring_share(&SliceRange::FULL), 1.0);
    let sum: f64 = SliceRange::partition(777).iter().map(ring_share).sum();
    assert!((sum - 1.0).abs() < 1e-9);
}
