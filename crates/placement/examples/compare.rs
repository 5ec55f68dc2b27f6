//! Prints the comparison of placements, and with `sweep` that of policies.
//!
//! `cargo run --release -p wingspar-placement --example compare [sweep]`

use std::time::{Duration, Instant};

use wingspar_placement::compare::{
    Costs, HEADS, Row, Workload, caroni, caroni_policy, sweep, table, tegid, tegid_policy,
};
use wingspar_world::PlacementPolicy;

/// Time for which a key cannot be served in a planned hand-over; supposed.
const HAND_OVER: Duration = Duration::from_millis(100);

/// Time for which a key cannot be served after a loss: the budget.
const LOSS: Duration = Duration::from_secs(4);

const COSTS: Costs = Costs {
    hand_over: HAND_OVER,
    loss: LOSS,
};

/// Seeds over which the measures are averaged.
const SEEDS: std::ops::Range<u64> = 1..6;

fn main() {
    let started = Instant::now();
    let wants_sweep = std::env::args().any(|argument| argument == "sweep");
    for (workload, policy) in [
        (tegid as fn(u64) -> Workload, tegid_policy()),
        (caroni, caroni_policy()),
    ] {
        let policies = policies(&policy);
        let measure = |seed| match wants_sweep {
            true => sweep(&workload(seed), &policies, COSTS),
            false => table(&workload(seed), &policy, COSTS),
        };
        print(workload(1).name, &for_each_seed(measure));
    }
    println!("\n{SEEDS:?} seeds, {:.1?}", started.elapsed());
}

/// Runs one thread a seed.
fn for_each_seed(measure: impl Fn(u64) -> Vec<Row> + Sync) -> Vec<Vec<Row>> {
    let measure = &measure;
    std::thread::scope(|scope| {
        let threads: Vec<_> = SEEDS
            .map(|seed| scope.spawn(move || measure(seed)))
            .collect();
        let rows = threads.into_iter().map(|thread| thread.join());
        rows.map(|rows| rows.expect("a run ends")).collect()
    })
}

/// A grid of thresholds and budgets, then one other term at a time.
fn policies(base: &PlacementPolicy) -> Vec<PlacementPolicy> {
    let mut policies = Vec::new();
    for (high, low) in [(1.15, 1.05), (1.25, 1.1), (1.5, 1.2), (2.0, 1.5)] {
        for churn in [0.01, 0.05, 0.2, 0.5] {
            policies.push(PlacementPolicy {
                imbalance_high: high,
                imbalance_low: low,
                churn_per_hour: churn,
                ..base.clone()
            });
        }
    }
    policies.extend([16, 32, 128, 256].map(|slices_per_target| PlacementPolicy {
        slices_per_target,
        ..base.clone()
    }));
    policies.extend([0.1, 0.5].map(|hot_slice_share| PlacementPolicy {
        hot_slice_share,
        ..base.clone()
    }));
    policies
}

fn print(name: &str, runs: &[Vec<Row>]) {
    println!("\n{name}\n\n{HEADS}\n|---|---|---|---|---|---|");
    for position in 0..runs[0].len() {
        let rows: Vec<&Row> = runs.iter().map(|rows| &rows[position]).collect();
        println!("{}", mean(&rows));
    }
}

fn mean(rows: &[&Row]) -> Row {
    let mean =
        |value: fn(&Row) -> f64| rows.iter().map(|row| value(row)).sum::<f64>() / rows.len() as f64;
    Row {
        placer: rows[0].placer.clone(),
        imbalance_mean: mean(|row| row.imbalance_mean),
        imbalance_max: mean(|row| row.imbalance_max),
        churn: mean(|row| row.churn),
        elective_churn: mean(|row| row.elective_churn),
        unavailable_seconds: mean(|row| row.unavailable_seconds),
    }
}
