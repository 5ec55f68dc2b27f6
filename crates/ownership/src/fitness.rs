//! How suitable a node is as leader.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::TargetState;

/// Bytes per second that a member costs on its leader's link: renewals, answers and the member's
/// part of the table.
const BYTES_PER_MEMBER: f64 = 2_250.0;
/// Share of its link that a leader may use.
const MAX_LINK_SHARE: f64 = 0.2;
/// Longest time, in seconds, that sending a changed configuration may occupy the leader's link.
/// Renewals and the leader's own calls share the link, and a node that gets no answer for four
/// times as long suspects the leader.
const MAX_CONFIGURATION_SECONDS: f64 = 0.25;
/// A link below this rate, in megabits per second, counts as weak while the number of members isn't
/// known.
const WEAK_LINK_MBPS: f64 = 50.0;

/// The load that a leader's link has to carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LeaderWorkload {
    /// Number of nodes that the leader leads; 0 if it isn't known.
    pub members: usize,
    /// Approximate size of the stored configuration in bytes; 0 if it isn't known.
    pub configuration_bytes: usize,
}

/// How suitable a node is as leader. Lower values are more suitable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fitness {
    /// There is no reason against the node as leader.
    Preferred,
    /// The node's target owns keys, and losing a leader and an owner together leaves keys unserved
    /// for longer. Or the node has no target that accepts work, so its machine may stop soon.
    Deprioritized,
    /// The node's link is too slow for the number of members or the size of the configuration.
    WeakLink,
}

impl Fitness {
    /// The fitness of a node with this target and link; `link_mbps` is in megabits per second,
    /// `None` if unknown.
    pub fn of(
        target: Option<&TargetState>,
        keyed_services: &BTreeSet<String>,
        link_mbps: Option<f64>,
        workload: LeaderWorkload,
    ) -> Self {
        let burdened = target
            .is_none_or(|target| !target.accepting || keyed_services.contains(&target.service));
        if link_mbps.is_some_and(|link| is_weak(link, workload)) {
            Self::WeakLink
        } else if burdened {
            Self::Deprioritized
        } else {
            Self::Preferred
        }
    }

    /// How much longer than a [`Fitness::Preferred`] node this one waits before it contends for the
    /// leadership, so that more suitable nodes come first.
    pub fn contention_delay(self) -> Duration {
        match self {
            Self::Preferred => Duration::ZERO,
            Self::Deprioritized => Duration::from_millis(430),
            Self::WeakLink => Duration::from_millis(700),
        }
    }
}

fn is_weak(link_mbps: f64, workload: LeaderWorkload) -> bool {
    let bytes_per_second = link_mbps * 1e6 / 8.0;
    let is_slow =
        workload.configuration_bytes as f64 > bytes_per_second * MAX_CONFIGURATION_SECONDS;
    if workload.members == 0 {
        return is_slow || link_mbps < WEAK_LINK_MBPS;
    }
    is_slow || workload.members as f64 * BYTES_PER_MEMBER > bytes_per_second * MAX_LINK_SHARE
}
