//! What the planner does, in virtual time.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{Service, key, moves, policy, region, target, targets, zipf};
use wingspar_placement::baseline::{Placer, SliceTable};
use wingspar_placement::{Action, ChurnBudget, PlanInput, PlanLimits, Planner, ring_share};
use wingspar_world::{KeyHash, MonotonicTime, PlacementPolicy, QuietWindow, SliceRange};

const RATE: f64 = 400.0;

fn service() -> Service {
    Service::new(policy(), targets(4), zipf(2_000, 0.6, RATE))
}

/// Gives a key a rate on top of its own.
fn heat(service: &mut Service, number: usize, rate: f64) {
    let hot = key(number);
    let found = service.keys.iter_mut().find(|(one, _)| *one == hot);
    found.unwrap().1 += rate;
}

#[test]
fn hot_key_is_split_out_within_a_minute() {
    let mut service = service();
    service.seconds(300);
    heat(&mut service, 1_000, RATE * 0.3);
    let before = service.imbalance();
    let actions = service.seconds(60);
    let hot = SliceRange::single(key(1_000));
    assert_eq!(service.planned.table().find(key(1_000)).unwrap().range, hot);
    assert!(before > 1.5, "the key made an imbalance of {before}");
    let after = service.imbalance();
    assert!(after <= 1.25, "imbalance {after}");
    assert!(moves(&actions) > 0);
}

#[test]
fn two_hot_keys_of_one_owner_get_different_owners_within_a_minute() {
    let mut service = service();
    service.seconds(300);
    let owner = service.planned.owner(key(1_000)).cloned();
    let same = (1_001..2_000).find(|one| service.planned.owner(key(*one)).cloned() == owner);
    let same = same.unwrap();
    heat(&mut service, 1_000, RATE * 0.2);
    heat(&mut service, same, RATE * 0.2);
    service.seconds(60);
    assert_ne!(
        service.planned.owner(key(1_000)),
        service.planned.owner(key(same))
    );
    assert!(
        service.imbalance() <= 1.25,
        "imbalance {}",
        service.imbalance()
    );
}

#[test]
fn six_hundred_new_hottest_keys_are_balanced_within_minutes() {
    let mut service = Service::new(policy(), targets(4), zipf(5_000, 1.0, RATE));
    service.seconds(300);
    for round in 1..=5 {
        let mut keys = zipf(5_000, 1.0, RATE);
        for rank in 0..600 {
            keys[rank].0 = key(600 * round + rank);
            keys[600 * round + rank].0 = key(rank);
        }
        service.set_keys(keys);
        service.seconds(180);
        let after = service.imbalance();
        assert!(after <= 1.25, "imbalance {after} after round {round}");
    }
}

#[test]
fn cold_fragments_are_merged_again() {
    let mut service = service();
    service.seconds(300);
    for number in 1_000..1_040 {
        heat(&mut service, number, RATE * 0.3);
        service.seconds(60);
        heat(&mut service, number, -RATE * 0.3);
    }
    service.seconds(1_200);
    let slices = service.planned.table().len();
    assert!(
        slices <= 256 * 5 / 4 + 3,
        "{slices} slices of 256 regular ones"
    );
}

#[test]
fn steady_load_settles_and_stays() {
    let mut service = Service::new(policy(), targets(5), zipf(3_000, 1.1, RATE));
    let first = service.seconds(600);
    assert!(moves(&first) > 0);
    let later = service.seconds(3_600);
    assert_eq!(later, Vec::new(), "a steady load calls for nothing more");
}

#[test]
fn no_action_in_a_quiet_window_or_while_paused() {
    let window = QuietWindow {
        from_minute: 1_320,
        to_minute: 360,
    };
    let mut service = Service::new(
        PlacementPolicy {
            quiet_windows: vec![window],
            ..policy()
        },
        targets(4),
        zipf(2_000, 1.2, RATE),
    );
    for minute in [1_320, 1_439, 0, 359] {
        service.minute = minute;
        assert_eq!(service.seconds(60), Vec::new(), "minute {minute}");
    }
    service.minute = 360;
    service.planned.policy.paused = true;
    assert_eq!(service.seconds(60), Vec::new(), "paused");
    service.planned.policy.paused = false;
    assert_ne!(service.seconds(60), Vec::new());
}

#[test]
fn region_weights_shift_load_at_the_rate_of_the_budget_and_back() {
    let both = (0..4).map(|one| target(one, if one < 2 { "old" } else { "new" }));
    let policy = PlacementPolicy {
        region_weights: weights(1.0, 0.0),
        churn_per_hour: 0.1,
        ..policy()
    };
    let mut service = Service::new(policy, both.collect(), zipf(2_000, 0.3, RATE));
    assert_eq!(new_share(&service), 0.0);

    service.planned.policy.region_weights = weights(0.7, 0.3);
    service.seconds(1_800);
    let share = new_ring_share(&service);
    assert!(
        (0.09..=0.1).contains(&share),
        "the budget holds it at {share}"
    );
    service.seconds(3 * 3_600);
    let share = new_share(&service);
    assert!((share - 0.3).abs() < 0.02, "{share}");

    service.planned.policy.paused = true;
    service.planned.policy.region_weights = weights(0.0, 1.0);
    assert_eq!(service.seconds(3_600), Vec::new());

    service.planned.policy.paused = false;
    service.planned.policy.region_weights = weights(1.0, 0.0);
    service.seconds(4 * 3_600);
    assert_eq!(new_share(&service), 0.0, "weight 0 empties a region");
}

fn weights(old: f64, new: f64) -> BTreeMap<wingspar_world::RegionName, f64> {
    BTreeMap::from([(region("old"), old), (region("new"), new)])
}

fn new_share(service: &Service) -> f64 {
    let loads = service.loads();
    (loads[2] + loads[3]) / loads.iter().sum::<f64>()
}

fn new_ring_share(service: &Service) -> f64 {
    let new = |owner| {
        service.targets[2..]
            .iter()
            .any(|target| &target.name == owner)
    };
    let slices = service
        .planned
        .table()
        .slices()
        .filter(|slice| new(&slice.owner));
    slices.map(|slice| ring_share(&slice.range)).sum()
}

#[test]
fn idle_service_fills_a_joined_target_by_share_of_the_ring() {
    let mut service = Service::new(policy(), targets(4), Vec::new());
    service.targets = targets(5);
    service.planned.set_targets(service.now, &service.targets);
    service.seconds(600);
    let table = service.planned.table();
    let joined = table
        .slices()
        .filter(|slice| slice.owner == service.targets[4].name);
    let share = joined.count() as f64 / table.len() as f64;
    assert!((0.17..0.23).contains(&share), "{share}");
}

#[test]
fn slice_stays_with_its_owner_for_the_dwell_time() {
    let mut service = service();
    let mut moved = BTreeMap::new();
    for second in 0..600_usize {
        // The load jumps about, as if to lure the planner into moving slices to and fro.
        let heated = 1_000 + (second / 20) % 7;
        heat(&mut service, heated, RATE);
        let now = service.now;
        for action in service.second() {
            if let Action::Move { range, .. } = action {
                let before = moved.insert(range, now);
                let rested = before.is_none_or(|then| now.since(then) >= Duration::from_secs(30));
                assert!(rested, "{range} moved twice within the dwell time");
            }
        }
        heat(&mut service, heated, -RATE);
    }
    assert!(!moved.is_empty());
}

#[test]
fn large_service_is_balanced_over_many_calls() {
    let policy = PlacementPolicy {
        slices_per_target: 1_000,
        ..policy()
    };
    let mut service = Service::new(policy, targets(50), Vec::new());
    service.planned.limits.slices_per_call = 12_000;
    let overloaded = |name: &str| name.ends_with('0');
    let slices = service.planned.table().slices();
    let rates = slices.map(|slice| {
        let rate = if overloaded(slice.owner.as_str()) {
            1.5
        } else {
            0.95
        };
        (slice.range.first, rate)
    });
    let rates = rates.collect();
    service.set_keys(rates);
    assert!(service.imbalance() > 1.4);
    // Some 2,000 moves, in batches of 50,000 / 1,024 every five calls.
    service.seconds(300);
    assert!(
        service.imbalance() <= 1.11,
        "imbalance {}",
        service.imbalance()
    );
}

#[test]
fn unknown_minute_holds_a_policy_with_quiet_windows() {
    let window = QuietWindow {
        from_minute: 0,
        to_minute: 1,
    };
    let quiet = PlacementPolicy {
        quiet_windows: vec![window],
        ..policy()
    };
    assert!(plan_at_unknown_minute(&quiet).is_empty());
    assert!(!plan_at_unknown_minute(&policy()).is_empty());
}

/// Actions on a hot slice while the minute of the day is not known.
fn plan_at_unknown_minute(policy: &PlacementPolicy) -> Vec<Action> {
    let mut targets = targets(2);
    targets[0].requests_per_second = RATE;
    let mut table = SliceTable::place(MonotonicTime::ZERO, policy, &targets);
    table.set_loads(&[(key(1), RATE)]);
    let input = PlanInput {
        now: MonotonicTime::from_millis(3_600_000),
        minute_of_day: None,
        policy,
        targets: &targets,
        hot_keys: &[],
        hand_overs: 0,
        limits: PlanLimits::default(),
    };
    let slices = table.states(KeyHash(0));
    Planner::new().step(&input, slices, &mut ChurnBudget::new())
}
