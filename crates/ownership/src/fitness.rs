//! How well a node is placed to lead.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::TargetState;

/// Bytes a second that a member costs its leader's link: renewals, answers, its share of the table.
const BYTES_A_MEMBER: f64 = 2_250.0;
/// Part of its link that a leader may use.
const LINK_SHARE: f64 = 0.2;
/// While the members aren't known, a link below this rate, in megabits a second, counts as weak.
const WEAK_MBPS: f64 = 50.0;

/// How well a node is placed to lead; the lower the better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fitness {
    /// Nothing speaks against it.
    Free,
    /// Its target owns keys, and a leader and an owner lost together leave keys unserved for longer; or
    /// it has no target that takes work, so its machine may go soon.
    Burdened,
    /// Its link doesn't carry that many members.
    WeakLink,
}

impl Fitness {
    /// The fitness of a node with that target and link, in megabits a second, to lead `members` nodes;
    /// 0 members if their number isn't known.
    pub fn of(
        target: Option<&TargetState>,
        keyed_services: &BTreeSet<String>,
        link_mbps: Option<f64>,
        members: usize,
    ) -> Self {
        let burdened = target
            .is_none_or(|target| !target.accepting || keyed_services.contains(&target.service));
        if link_mbps.is_some_and(|link| is_weak(link, members)) {
            Self::WeakLink
        } else if burdened {
            Self::Burdened
        } else {
            Self::Free
        }
    }

    /// How much longer such a node waits before it contends, so that a better one comes first.
    pub fn handicap(self) -> Duration {
        match self {
            Self::Free => Duration::ZERO,
            Self::Burdened => Duration::from_millis(430),
            Self::WeakLink => Duration::from_millis(700),
        }
    }
}

fn is_weak(link_mbps: f64, members: usize) -> bool {
    if members == 0 {
        return link_mbps < WEAK_MBPS;
    }
    members as f64 * BYTES_A_MEMBER > link_mbps * 1e6 / 8.0 * LINK_SHARE
}
