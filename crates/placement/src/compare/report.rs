//! Tables of measures.

use std::fmt::Write;

use wingspar_world::PlacementPolicy;

use super::model::{Costs, Row, run};
use super::workload::Workload;
use crate::baseline::{ConsistentHash, Modulo, Placer, Planned, StaticSlices};

/// Measures a workload under the baselines and a policy.
pub fn table(workload: &Workload, policy: &PlacementPolicy, costs: Costs) -> Vec<Row> {
    let mut placers: Vec<Box<dyn Placer>> = vec![
        Box::new(Modulo::default()),
        Box::new(ConsistentHash::default()),
        Box::new(StaticSlices::new(policy.clone())),
        Box::new(Planned::new(policy.clone())),
    ];
    let rows = placers.iter_mut();
    rows.map(|placer| run(workload, placer.as_mut(), costs))
        .collect()
}

/// Measures a workload under many policies; each row is named by the terms that differ.
pub fn sweep(workload: &Workload, policies: &[PlacementPolicy], costs: Costs) -> Vec<Row> {
    let row = |policy: &PlacementPolicy| Row {
        placer: describe(policy),
        ..run(workload, &mut Planned::new(policy.clone()), costs)
    };
    policies.iter().map(row).collect()
}

fn describe(policy: &PlacementPolicy) -> String {
    let mut text = String::new();
    write!(
        text,
        "slices {} high {} low {} churn {} hot {}",
        policy.slices_per_target,
        policy.imbalance_high,
        policy.imbalance_low,
        policy.churn_per_hour,
        policy.hot_slice_share,
    )
    .expect("writing to a string succeeds");
    text
}

/// Heads of the columns, in the order of a displayed [`Row`].
pub const HEADS: &str =
    "| placement | imbalance mean | imbalance max | churn | elective churn | unavailable s |";

impl std::fmt::Display for Row {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "| {} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} |",
            self.placer,
            self.imbalance_mean,
            self.imbalance_max,
            self.churn,
            self.elective_churn,
            self.unavailable_seconds,
        )
    }
}
