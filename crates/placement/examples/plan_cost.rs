//! Measures what a planner's call costs for a service with many slices.
//!
//! `cargo run --release -p wingspar-placement --example plan_cost [slices]`

use std::time::{Duration, Instant};

use wingspar_placement::baseline::SliceTable;
use wingspar_placement::{ChurnBudget, PlanInput, PlanLimits, Planner, TargetState};
use wingspar_world::{
    KeyHash, MonotonicTime, PlacementPolicy, PolicyName, RegionName, TargetName, ZoneName,
};

/// Targets of the service: those of one control group.
const TARGETS: u32 = 100;

/// Requests a second of the service.
const RATE: f64 = 200_000.0;

/// Calls measured.
const CALLS: u64 = 100;

/// Times that each call is repeated from the same memory; the shortest counts, so that a busy machine
/// doesn't show.
const REPEATS: usize = 7;

fn main() {
    let slices = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let slices: u32 = slices.unwrap_or(1_000_000);
    let policy = PlacementPolicy {
        slices_per_target: slices / TARGETS,
        ..PlacementPolicy::with_defaults(PolicyName::new("cost").expect("a valid name"))
    };
    let mut targets: Vec<TargetState> = (0..TARGETS).map(target).collect();
    let now = MonotonicTime::from_millis(3_600_000);
    let mut table = SliceTable::place(MonotonicTime::ZERO, &policy, &targets);
    let keys = rates(&table, &targets);
    table.set_loads(&keys);
    for (number, target) in targets.iter_mut().enumerate() {
        target.requests_per_second = RATE / f64::from(TARGETS) * skew(number);
    }
    measure(&policy, &targets, &table, now);
}

fn target(number: u32) -> TargetState {
    TargetState {
        name: TargetName::new(&format!("target-{number:03}")).expect("a valid name"),
        region: RegionName::new("here").expect("a valid name"),
        zone: ZoneName::new(&format!("zone-{}", number % 3)).expect("a valid name"),
        slots: 20,
        accepts: true,
        requests_per_second: 0.0,
    }
}

/// Every tenth target has half as much load again, so that moves are wanted at every sweep.
fn skew(number: usize) -> f64 {
    if number.is_multiple_of(10) {
        1.5
    } else {
        0.945
    }
}

fn rates(table: &SliceTable, targets: &[TargetState]) -> Vec<(KeyHash, f64)> {
    let mean = RATE / table.len() as f64;
    let rate = |owner: &TargetName| {
        let number = targets.iter().position(|target| &target.name == owner);
        mean * skew(number.expect("the owner is a target"))
    };
    let slices = table.slices();
    slices
        .map(|slice| (slice.range.first, rate(&slice.owner)))
        .collect()
}

fn measure(
    policy: &PlacementPolicy,
    targets: &[TargetState],
    table: &SliceTable,
    start: MonotonicTime,
) {
    let mut planner = Planner::new();
    let mut budget = ChurnBudget::new();
    let mut times = Vec::new();
    let mut actions = 0;
    for call in 0..CALLS {
        let input = PlanInput {
            now: start + Duration::from_secs(call),
            minute_of_day: None,
            policy,
            targets,
            hot_keys: &[],
            hand_overs: 0,
            limits: PlanLimits::default(),
        };
        let mut least = Duration::MAX;
        let before = (planner.clone(), budget.clone());
        for _ in 0..REPEATS {
            (planner, budget) = before.clone();
            let slices = table.states(planner.cursor());
            let began = Instant::now();
            let planned = std::hint::black_box(planner.step(&input, slices, &mut budget));
            least = least.min(began.elapsed());
            actions += planned.len();
        }
        times.push(least);
    }
    times.sort();
    let total: Duration = times.iter().sum();
    let read = table.len().min(PlanLimits::default().slices_per_call) as f64;
    println!(
        "{} slices, {TARGETS} targets, {CALLS} calls: median {:.2?}, highest {:.2?}, \
         {:.0} ns a slice read, {} actions",
        table.len(),
        times[times.len() / 2],
        times[times.len() - 1],
        total.as_secs_f64() * 1e9 / CALLS as f64 / read,
        actions / REPEATS,
    );
}
