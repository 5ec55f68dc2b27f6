//! Measures of placement, with one definition for decisions, tests and reports.

/// Imbalance: the highest ratio of a target's share of the load to its due share.
///
/// 1.0 is perfect. `loads` and `shares` are in the same order, in any unit. A target without a due
/// share is left out. 1.0 as well when there is no load at all.
pub fn imbalance(loads: &[f64], shares: &[f64]) -> f64 {
    let due = || loads.iter().zip(shares).filter(|(_, share)| **share > 0.0);
    let loads_sum: f64 = due().map(|(load, _)| load).sum();
    let shares_sum: f64 = due().map(|(_, share)| share).sum();
    if loads_sum <= 0.0 || shares_sum <= 0.0 {
        return 1.0;
    }
    let ratios = due().map(|(load, share)| (load / loads_sum) / (share / shares_sum));
    ratios.fold(0.0, f64::max)
}

/// Churn: the share of keys whose owner differs between two placements of the same keys.
///
/// A key without an owner before or after counts when the other placement gives it one.
pub fn churn<Owner: PartialEq>(before: &[Owner], after: &[Owner]) -> f64 {
    if before.is_empty() {
        return 0.0;
    }
    let moved = before.iter().zip(after).filter(|(old, new)| old != new);
    moved.count() as f64 / before.len() as f64
}
