//! The baselines, the comparison, and the example policies.

mod common;

use std::time::Duration;

use common::{key, policy, targets};
use wingspar_placement::baseline::{ConsistentHash, Modulo, Placer, Planned, StaticSlices};
use wingspar_placement::compare::{
    Costs, Row, Workload, caroni, caroni_policy, run, table, tegid, tegid_policy,
};
use wingspar_placement::{churn, imbalance};
use wingspar_world::{MonotonicTime, PlacementPolicy};

const COSTS: Costs = Costs {
    hand_over: Duration::from_millis(100),
    loss: Duration::from_secs(4),
};

#[test]
fn measures_have_their_definitions() {
    assert_eq!(imbalance(&[10.0, 30.0], &[1.0, 1.0]), 1.5);
    assert_eq!(imbalance(&[10.0, 30.0], &[1.0, 3.0]), 1.0);
    assert_eq!(imbalance(&[0.0, 0.0], &[1.0, 1.0]), 1.0);
    assert_eq!(imbalance(&[6.0, 2.0, 5.0], &[1.0, 1.0, 0.0]), 1.5);
    assert_eq!(churn(&[1, 2, 3, 4], &[1, 2, 4, 4]), 0.25);
    assert_eq!(churn::<u8>(&[], &[]), 0.0);
}

/// Churn when a fifth target joins four.
fn churn_at_join(placer: &mut dyn Placer) -> f64 {
    let now = MonotonicTime::ZERO;
    placer.set_targets(now, &targets(4));
    let owners = |placer: &dyn Placer| -> Vec<_> {
        (0..5_000)
            .map(|number| placer.owner(key(number)).cloned())
            .collect()
    };
    let before = owners(placer);
    placer.set_targets(now, &targets(5));
    churn(&before, &owners(placer))
}

#[test]
fn baselines_differ_in_churn_when_a_target_joins() {
    let modulo = churn_at_join(&mut Modulo::default());
    assert!((0.75..0.85).contains(&modulo), "modulo {modulo}");
    let consistent = churn_at_join(&mut ConsistentHash::default());
    assert!(
        (0.12..0.28).contains(&consistent),
        "consistent hashing {consistent}"
    );
    let slices = churn_at_join(&mut StaticSlices::new(policy()));
    assert!((0.17..0.23).contains(&slices), "static slices {slices}");
    assert_eq!(
        churn_at_join(&mut Planned::new(policy())),
        0.0,
        "it moves later, by plan"
    );
}

#[test]
fn nobody_owns_keys_without_targets() {
    let placers: [&mut dyn Placer; 4] = [
        &mut Modulo::default(),
        &mut ConsistentHash::default(),
        &mut StaticSlices::new(policy()),
        &mut Planned::new(policy()),
    ];
    for placer in placers {
        placer.set_targets(MonotonicTime::ZERO, &[]);
        assert_eq!(placer.owner(key(1)), None, "{}", placer.name());
    }
}

fn smaller(workload: Workload) -> Workload {
    Workload {
        keys: 1_000,
        step: Duration::from_secs(10),
        ..workload
    }
}

/// Rows in the order modulo, consistent hashing, static slices, wingspar.
fn rows(workload: &Workload, policy: &PlacementPolicy) -> [Row; 4] {
    table(workload, policy, COSTS).try_into().unwrap()
}

#[test]
fn plan_beats_the_baselines_in_imbalance_and_churn() {
    for (workload, policy) in [
        (smaller(tegid(1)), tegid_policy()),
        (smaller(caroni(1)), caroni_policy()),
    ] {
        let [modulo, consistent, slices, plan] = rows(&workload, &policy);
        for baseline in [&modulo, &consistent, &slices] {
            assert!(
                plan.imbalance_mean < baseline.imbalance_mean,
                "{plan} {baseline}"
            );
            assert!(plan.churn < baseline.churn, "{plan} {baseline}");
        }
    }
}

#[test]
fn comparison_is_deterministic() {
    let workload = smaller(caroni(2));
    let measure = || run(&workload, &mut Planned::new(caroni_policy()), COSTS);
    assert_eq!(measure(), measure());
}

#[test]
fn example_policies_are_those_of_the_comparison() {
    let parse = |text| toml::from_str::<PlacementPolicy>(text).unwrap();
    let tegid = parse(include_str!("../../../docs/examples/policy-tegid.toml"));
    assert_eq!(tegid, tegid_policy());
    let caroni = parse(include_str!("../../../docs/examples/policy-caroni.toml"));
    assert_eq!(caroni, caroni_policy());
}
