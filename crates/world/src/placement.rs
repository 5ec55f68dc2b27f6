//! Placement policies and the groups that carry them out.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{PolicyName, RegionName};

/// A control group: a few replicas that own the assignments of some hundred machines.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct GroupId(pub u32);

impl fmt::Display for GroupId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "g{}", self.0)
    }
}

/// A daily window (UTC) in which no elective move is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuietWindow {
    /// First minute of the day, 0 to 1439.
    pub from_minute: u16,
    /// Minute of the day at which it ends; at or below `from_minute` it ends the next day.
    pub to_minute: u16,
}

impl QuietWindow {
    /// Whether a minute of the day lies in the window.
    pub fn contains(&self, minute: u16) -> bool {
        if self.from_minute < self.to_minute {
            (self.from_minute..self.to_minute).contains(&minute)
        } else {
            minute >= self.from_minute || minute < self.to_minute
        }
    }
}

/// How a service's slices are spread over its targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementPolicy {
    /// The policy's name.
    pub name: PolicyName,
    /// Slices a service starts with for each of its targets.
    #[serde(default = "defaults::slices_per_target")]
    pub slices_per_target: u32,
    /// Imbalance (highest load over mean load) above which moves begin.
    #[serde(default = "defaults::imbalance_high")]
    pub imbalance_high: f64,
    /// Imbalance at which moves stop.
    #[serde(default = "defaults::imbalance_low")]
    pub imbalance_low: f64,
    /// Elective moves allowed in one hour, as a share of the service's ring.
    #[serde(default = "defaults::churn_per_hour")]
    pub churn_per_hour: f64,
    /// A slice with more than this share of a target's mean load is split.
    #[serde(default = "defaults::hot_slice_share")]
    pub hot_slice_share: f64,
    /// Windows without elective moves.
    #[serde(default)]
    pub quiet_windows: Vec<QuietWindow>,
    /// Relative share of each region; empty means by slots alone. Zero empties a region.
    #[serde(default)]
    pub region_weights: BTreeMap<RegionName, f64>,
    /// Holds all elective moves, also a running shift of weights.
    #[serde(default)]
    pub paused: bool,
}

mod defaults {
    pub(super) const fn slices_per_target() -> u32 {
        64
    }
    pub(super) const fn imbalance_high() -> f64 {
        1.25
    }
    pub(super) const fn imbalance_low() -> f64 {
        1.10
    }
    pub(super) const fn churn_per_hour() -> f64 {
        0.5
    }
    pub(super) const fn hot_slice_share() -> f64 {
        0.25
    }
}

impl PlacementPolicy {
    /// A policy with default terms.
    pub fn with_defaults(name: PolicyName) -> Self {
        Self {
            name,
            slices_per_target: defaults::slices_per_target(),
            imbalance_high: defaults::imbalance_high(),
            imbalance_low: defaults::imbalance_low(),
            churn_per_hour: defaults::churn_per_hour(),
            hot_slice_share: defaults::hot_slice_share(),
            quiet_windows: Vec::new(),
            region_weights: BTreeMap::new(),
            paused: false,
        }
    }
}
