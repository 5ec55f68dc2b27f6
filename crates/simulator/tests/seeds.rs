//! A fixed set of seeds of every scenario keeps every promise, and a seed always gives one run.

use wingspar_simulator::{Preset, Scenario, Simulation, soak};

/// Threads for one scenario's seeds.
const THREADS: usize = 2;

fn assert_clean(preset: Preset, seeds: std::ops::Range<u64>) {
    let report = soak(preset, seeds, THREADS);
    assert!(report.is_clean(), "{report}");
}

#[test]
fn mixes_of_faults() {
    assert_clean(Preset::Mix, 0..24);
}

#[test]
fn losses_are_over_within_four_seconds() {
    for preset in [
        Preset::OwnerLoss,
        Preset::LeaderLoss,
        Preset::LeaderAndOwnerLoss,
        Preset::LeaderAndOwnerLossStoreDown,
        Preset::StoreOutage,
    ] {
        assert_clean(preset, 100..104);
    }
}

#[test]
fn operators_race_and_targets_drain() {
    for preset in [Preset::Calm, Preset::DrainsUnderFire, Preset::PlannedStops] {
        assert_clean(preset, 200..204);
    }
}

#[test]
fn cuts_freezes_and_restarts() {
    for preset in [
        Preset::FirstStart,
        Preset::RegionCut,
        Preset::FrozenOwner,
        Preset::Restarts,
        Preset::Drift,
    ] {
        assert_clean(preset, 300..304);
    }
}

#[test]
fn a_node_that_returns_does_not_serve_by_an_older_configuration() {
    assert_clean(Preset::ReturningNodes, 64..68);
    assert_clean(Preset::Mix, 201_442..201_443);
}

#[test]
fn a_slice_given_up_before_it_was_ever_served_passes_its_guard_on() {
    assert_clean(Preset::ReturningNodes, 225..226);
}

#[test]
fn a_majority_that_is_lost_is_replaced() {
    assert_clean(Preset::MajorityLoss, 400..404);
}

#[test]
fn a_seed_gives_one_run() {
    for seed in 0..4 {
        let play = || Simulation::new(Scenario::from_seed(seed)).run();
        let (one, other) = (play(), play());
        assert_eq!(one.events, other.events);
        assert_eq!(one.trace_lines, other.trace_lines);
        assert_eq!(one.callers, other.callers);
        assert_eq!(one.gaps, other.gaps);
    }
}
