//! Placement policies.

use std::collections::BTreeMap;

use wingspar_world::{PlacementPolicy, QuietWindow, RegionName};

use super::Mistakes;
use crate::v1;

/// Reads a policy.
pub fn policy_from_proto(message: v1::PlacementPolicy) -> Result<PlacementPolicy, Vec<String>> {
    let mut mistakes = Mistakes::default();
    let policy = read(&mut mistakes, message);
    mistakes.finish(policy)
}

fn read(mistakes: &mut Mistakes, message: v1::PlacementPolicy) -> Option<PlacementPolicy> {
    let name = mistakes.name("policy.name", &message.name);
    let weights = weights(mistakes, "policy.region_weights", message.region_weights);
    let windows = message.quiet_windows.into_iter();
    let quiet_windows = windows.map(quiet_window).collect();
    let default = PlacementPolicy::with_defaults(name?);
    Some(PlacementPolicy {
        slices_per_target: message
            .slices_per_target
            .unwrap_or(default.slices_per_target),
        imbalance_high: message.imbalance_high.unwrap_or(default.imbalance_high),
        imbalance_low: message.imbalance_low.unwrap_or(default.imbalance_low),
        churn_per_hour: message.churn_per_hour.unwrap_or(default.churn_per_hour),
        hot_slice_share: message.hot_slice_share.unwrap_or(default.hot_slice_share),
        quiet_windows,
        region_weights: weights,
        paused: message.paused,
        ..default
    })
}

/// Minutes beyond the day saturate and are then refused by validation.
fn quiet_window(window: v1::QuietWindow) -> QuietWindow {
    QuietWindow {
        from_minute: u16::try_from(window.from_minute).unwrap_or(u16::MAX),
        to_minute: u16::try_from(window.to_minute).unwrap_or(u16::MAX),
    }
}

/// Reads region weights.
pub(super) fn weights(
    mistakes: &mut Mistakes,
    field: &str,
    weights: BTreeMap<String, f64>,
) -> BTreeMap<RegionName, f64> {
    let mut read = BTreeMap::new();
    for (region, weight) in weights {
        if let Some(name) = mistakes.name(field, &region) {
            read.insert(name, weight);
        }
    }
    read
}

/// Writes a policy.
pub fn policy_to_proto(policy: &PlacementPolicy) -> v1::PlacementPolicy {
    let windows = policy.quiet_windows.iter();
    let weights = policy.region_weights.iter();
    v1::PlacementPolicy {
        name: policy.name.to_string(),
        slices_per_target: Some(policy.slices_per_target),
        imbalance_high: Some(policy.imbalance_high),
        imbalance_low: Some(policy.imbalance_low),
        churn_per_hour: Some(policy.churn_per_hour),
        hot_slice_share: Some(policy.hot_slice_share),
        quiet_windows: windows
            .map(|window| v1::QuietWindow {
                from_minute: window.from_minute.into(),
                to_minute: window.to_minute.into(),
            })
            .collect(),
        region_weights: weights
            .map(|(region, weight)| (region.to_string(), *weight))
            .collect(),
        paused: policy.paused,
    }
}
