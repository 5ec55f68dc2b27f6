//! Plans: they cover all keys, follow the load, and change little when an owner goes.

use quickcheck::quickcheck;
use wingspar_ownership::{
    BUCKETS, Candidate, KEYS_PER_BUCKET, KeyRange, Load, LoadReport, NodeName, Plan,
};

/// Keys that get half of the load.
const HOT_KEYS: std::ops::Range<usize> = 32_000..32_256;

fn candidates(names: &[&str]) -> Vec<Candidate> {
    names
        .iter()
        .map(|name| (NodeName::from(*name), 18))
        .collect()
}

fn covers_all(plan: &Plan) -> bool {
    let ranges = plan.ranges().map(|(range, _)| range).collect::<Vec<_>>();
    let whole = ranges.first().is_some_and(|range| range.from == 0)
        && ranges.last().is_some_and(|range| range.to == u16::MAX);
    whole
        && ranges
            .windows(2)
            .all(|pair| u32::from(pair[0].to) + 1 == u32::from(pair[1].from))
}

/// Load of which a half lies on a few keys in the middle.
fn hot_load() -> Load {
    let mut load = Load::default();
    let arrivals = (0..BUCKETS).map(|bucket| {
        let hot = HOT_KEYS.contains(&(bucket * KEYS_PER_BUCKET as usize));
        (
            u16::try_from(bucket).expect("small"),
            if hot { 256 } else { 1 },
        )
    });
    let report = LoadReport {
        node: NodeName::from("a"),
        service: "s".to_owned(),
        span_ms: 10_000,
        arrivals: arrivals.collect(),
        finished: 0,
        busy_ms: 0,
    };
    load.record(&report, &[KeyRange::ALL]);
    load
}

fn share(plan: &Plan, name: &str) -> usize {
    plan.ranges()
        .filter(|(_, node)| ***node == *name)
        .map(|(range, _)| usize::from(range.to) - usize::from(range.from) + 1)
        .sum()
}

#[test]
fn without_load_all_get_the_same() {
    let mut plan = Plan::default();
    assert!(plan.repair(&candidates(&["a", "b", "c", "d"]), &Load::default()));
    assert!(covers_all(&plan));
    for name in ["a", "b", "c", "d"] {
        assert!(
            (16_000..17_000).contains(&share(&plan, name)),
            "{name}: {}",
            share(&plan, name)
        );
    }
}

#[test]
fn hot_keys_are_cut_apart() {
    let four = candidates(&["a", "b", "c", "d"]);
    let mut plan = Plan::default();
    plan.repair(&four, &Load::default());
    assert!(plan.rebalance(&four, &hot_load()));
    assert!(covers_all(&plan));
    let hot = HOT_KEYS;
    let owners = plan
        .ranges()
        .filter(|(range, _)| {
            usize::from(range.to) >= hot.start && usize::from(range.from) < hot.end
        })
        .count();
    assert!(owners >= 2, "the hot keys lie with {owners}");
    assert!(!plan.rebalance(&four, &hot_load()), "once is enough");
}

#[test]
fn a_hot_spot_among_many_owners_is_spread_by_moving_few_keys() {
    let names = (0..29)
        .map(|number| format!("n{number}"))
        .collect::<Vec<_>>();
    let names = names.iter().map(String::as_str).collect::<Vec<_>>();
    let owners = candidates(&names);
    let mut plan = Plan::default();
    plan.repair(&owners, &Load::default());
    let before = plan.clone();
    let mut load = Load::default();
    let arrivals = (0..BUCKETS).map(|bucket| {
        let hot = HOT_KEYS.contains(&(bucket * KEYS_PER_BUCKET as usize));
        let count = if hot { 1_200 } else { 8 };
        (u16::try_from(bucket).expect("small"), count)
    });
    let report = LoadReport {
        node: NodeName::from("n0"),
        service: "s".to_owned(),
        span_ms: 50_000,
        arrivals: arrivals.collect(),
        finished: 0,
        busy_ms: 0,
    };
    load.record(&report, &[KeyRange::ALL]);
    assert!(plan.rebalance(&owners, &load));
    assert!(covers_all(&plan));
    let weights = load.weights();
    let carried = |name: &str| {
        let own = plan.ranges().filter(|(_, node)| ***node == *name);
        own.map(|(range, _)| {
            let buckets =
                wingspar_ownership::bucket_of(range.from)..=wingspar_ownership::bucket_of(range.to);
            weights[buckets].iter().sum::<f64>()
        })
        .sum::<f64>()
    };
    let loads = names.iter().map(|name| carried(name)).collect::<Vec<_>>();
    let mean = loads.iter().sum::<f64>() / loads.len() as f64;
    let busiest = loads.iter().copied().fold(0.0, f64::max);
    assert!(busiest < 1.5 * mean, "{busiest} of {mean}");
    let moved = (0..=u16::MAX)
        .filter(|key| {
            let at = |plan: &Plan| {
                plan.ranges()
                    .find(|(range, _)| range.contains(*key))
                    .map(|(_, node)| node.clone())
            };
            at(&before) != at(&plan)
        })
        .count();
    assert!(moved < 3_000, "{moved} keys moved");
}

#[test]
fn idle_hours_move_nothing() {
    let four = candidates(&["a", "b", "c", "d"]);
    let mut plan = Plan::default();
    plan.repair(&four, &Load::default());
    let report = LoadReport {
        node: NodeName::from("a"),
        service: "s".to_owned(),
        span_ms: 10_000,
        arrivals: vec![(7, 400)],
        finished: 400,
        busy_ms: 40_000,
    };
    let mut load = Load::default();
    load.record(&report, &[KeyRange::ALL]);
    assert!(!plan.rebalance(&four, &load), "all have room enough");
}

#[test]
fn an_owner_that_goes_leaves_the_others_alone() {
    let mut plan = Plan::default();
    plan.repair(&candidates(&["a", "b", "c", "d"]), &Load::default());
    let before = plan.clone();
    plan.repair(&candidates(&["a", "c", "d"]), &Load::default());
    assert!(covers_all(&plan));
    for (range, node) in before.ranges().filter(|(_, node)| ***node != *"b") {
        let kept = plan.ranges().any(|(now, owner)| {
            owner == node && now.contains(range.from) && now.contains(range.to)
        });
        assert!(kept, "{node} keeps {range:?}");
    }
}

#[test]
fn a_new_owner_gets_its_part() {
    let mut plan = Plan::default();
    plan.repair(&candidates(&["a", "b"]), &Load::default());
    assert!(plan.rebalance(&candidates(&["a", "b", "c"]), &Load::default()));
    assert!(share(&plan, "c") > 15_000);
}

#[test]
fn a_slow_owner_gets_less() {
    let two = candidates(&["a", "b"]);
    let mut load = Load::default();
    for (name, busy_ms) in [("a", 50_000), ("b", 200_000)] {
        let report = LoadReport {
            node: NodeName::from(name),
            service: "s".to_owned(),
            span_ms: 1_000,
            arrivals: Vec::new(),
            finished: 1_000,
            busy_ms,
        };
        load.record(&report, &[]);
    }
    let mut plan = Plan::default();
    plan.repair(&two, &load);
    assert!(share(&plan, "a") > 3 * share(&plan, "b"));
}

quickcheck! {
    fn a_plan_covers_all_keys_whoever_comes_and_goes(steps: Vec<Vec<u8>>) -> bool {
        let mut plan = Plan::default();
        let load = hot_load();
        for step in steps {
            let mut names = step.iter().map(|name| format!("n{}", name % 8)).collect::<Vec<_>>();
            names.sort();
            names.dedup();
            let names = names.iter().map(String::as_str).collect::<Vec<_>>();
            let now = candidates(&names);
            plan.repair(&now, &load);
            plan.rebalance(&now, &load);
            if !plan.is_empty() && !covers_all(&plan) {
                return false;
            }
        }
        true
    }
}
