//! Network paths to other nodes: their nearness, round-trip times to their zones, and regions that can't be reached.
//!
//! All nodes of a zone are reached over the same links, so a time measured for one of them holds for all. A congested
//! link shows in the time that answers spend on the network.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use wingspar_ownership::{NodeName, Time};

use crate::settings::Settings;

/// Weight of one answer's network time in the moving average.
const RTT_SMOOTHING: f64 = 0.2;
/// A measured round-trip time returns to the default over this time, so that a link that was congested is tried again.
const RTT_FADE_TIME: Duration = Duration::from_secs(3);
/// Default round-trip time within a zone, in seconds: within a building.
const SAME_ZONE_RTT_S: f64 = 0.000_5;
/// Default round-trip time between zones of a region, in seconds: between buildings.
const SAME_REGION_RTT_S: f64 = 0.003;
/// Default round-trip time to another region, in seconds: some hundred kilometres away.
const OTHER_REGION_RTT_S: f64 = 0.02;
/// A region is avoided once this many of its nodes couldn't be reached, without an answer from the region in between:
/// fewer may be machines that failed independently.
const UNREACHABLE_NODES_TO_AVOID: usize = 3;
/// Unreachable nodes count together if they failed within this time, in which a client's request tries its few nodes.
const UNREACHABLE_WINDOW: Duration = Duration::from_secs(2);
/// An avoided region is tried again after this time: each failed try costs a request the time to connect.
const REGION_AVOIDANCE_TIME: Duration = Duration::from_secs(2);
/// After the avoidance a single request tries the region; others follow only if its outcome is still unknown after this
/// time. A connection attempt is given up in half of it.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// How near a node is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Relation {
    /// In this node's zone.
    SameZone,
    /// In another zone of this node's region, or in a zone whose region isn't known.
    SameRegion,
    /// In another region.
    OtherRegion,
}

impl Relation {
    /// Stable name for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::SameZone => "same_zone",
            Self::SameRegion => "same_region",
            Self::OtherRegion => "other_region",
        }
    }

    /// Default round-trip time, in seconds, before any was measured.
    fn default_time(self) -> f64 {
        match self {
            Self::SameZone => SAME_ZONE_RTT_S,
            Self::SameRegion => SAME_REGION_RTT_S,
            Self::OtherRegion => OTHER_REGION_RTT_S,
        }
    }
}

/// The zone of this node, and the region of each zone.
#[derive(Debug, Clone, Default)]
pub struct Topology {
    zone: String,
    regions: BTreeMap<String, String>,
}

impl Topology {
    /// The topology for a node in `zone`. Target selection treats a zone that isn't in `regions` as one of this node's
    /// region.
    pub fn new(zone: &str, regions: BTreeMap<String, String>) -> Self {
        Self {
            zone: zone.to_owned(),
            regions,
        }
    }

    /// The topology in the settings.
    pub fn of(settings: &Settings) -> Self {
        Self::new(&settings.node.zone, settings.zones.clone())
    }

    /// How near a zone is to this node.
    pub fn relation(&self, zone: &str) -> Relation {
        if zone == self.zone {
            return Relation::SameZone;
        }
        if self.are_in_different_regions(&self.zone, zone) {
            Relation::OtherRegion
        } else {
            Relation::SameRegion
        }
    }

    /// Whether two zones are known to lie in different regions.
    pub fn are_in_different_regions(&self, zone: &str, other: &str) -> bool {
        match (self.regions.get(zone), self.regions.get(other)) {
            (Some(region), Some(other)) => region != other,
            _ => false,
        }
    }

    /// The region of a zone; a zone without a known region is a region of its own, as in [`Settings::region_of`].
    pub fn region<'a>(&'a self, zone: &'a str) -> &'a str {
        self.regions.get(zone).map_or(zone, String::as_str)
    }
}

/// Measured round-trip time to a zone.
#[derive(Debug, Clone, Copy, Default)]
struct PathTime {
    /// Moving average of the round-trip time, in seconds.
    time: f64,
    /// Time of the last measurement.
    seen_at: Time,
}

/// Reachability of a region.
#[derive(Debug, Clone, Default)]
struct Reachability {
    /// Nodes that couldn't be reached since the last answer from the region, each with the time.
    unreachable: Vec<(NodeName, Time)>,
    /// `None` while the region isn't avoided.
    avoided_until: Option<Time>,
}

/// Change in whether a region is avoided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachabilityChange {
    /// No change.
    None,
    /// The region is avoided from now on.
    Avoided,
    /// The region answers again.
    Reached,
}

/// Measured round-trip times by zone, and reachability by region.
#[derive(Debug, Default)]
pub struct NetworkPaths {
    zones: HashMap<String, PathTime>,
    regions: HashMap<String, Reachability>,
}

impl NetworkPaths {
    /// Expected round-trip time to a zone, in seconds.
    pub fn time(&self, now: Time, zone: &str, relation: Relation) -> f64 {
        let usual = relation.default_time();
        self.zones.get(zone).map_or(usual, |path| {
            let age = now.since(path.seen_at).as_secs_f64() / RTT_FADE_TIME.as_secs_f64();
            usual + (path.time - usual) * (1.0 - age).max(0.0)
        })
    }

    /// Records that an answer from a zone spent `network_time` on the network, there and back.
    pub fn answered(&mut self, now: Time, zone: &str, relation: Relation, network_time: Duration) {
        let known = self.time(now, zone, relation);
        let time = known + RTT_SMOOTHING * (network_time.as_secs_f64() - known);
        let seen = PathTime { time, seen_at: now };
        match self.zones.get_mut(zone) {
            Some(path) => *path = seen,
            None => {
                self.zones.insert(zone.to_owned(), seen);
            }
        }
    }

    /// Whether a region is avoided.
    pub fn is_avoided(&self, now: Time, region: &str) -> bool {
        let reachability = self.regions.get(region);
        reachability
            .and_then(|reachability| reachability.avoided_until)
            .is_some_and(|until| now < until)
    }

    /// Records that a request goes to a region; if the region was avoided, others stay away until the outcome is known.
    pub fn request_sent(&mut self, now: Time, region: &str) {
        if let Some(reachability) = self.regions.get_mut(region)
            && let Some(until) = &mut reachability.avoided_until
        {
            *until = (*until).max(now + TRIAL_TIMEOUT);
        }
    }

    /// Records that a node of another region couldn't be reached.
    pub fn unreachable(&mut self, now: Time, region: &str, node: &NodeName) -> ReachabilityChange {
        let reachability = self.regions.entry(region.to_owned()).or_default();
        reachability
            .unreachable
            .retain(|(known, at)| known != node && now.since(*at) < UNREACHABLE_WINDOW);
        reachability.unreachable.push((node.clone(), now));
        let was_avoided = reachability.avoided_until.is_some();
        // While the region is avoided, a single unreachable node shows that it hasn't recovered.
        if !was_avoided && reachability.unreachable.len() < UNREACHABLE_NODES_TO_AVOID {
            return ReachabilityChange::None;
        }
        reachability.avoided_until = Some(now + REGION_AVOIDANCE_TIME);
        if was_avoided {
            ReachabilityChange::None
        } else {
            ReachabilityChange::Avoided
        }
    }

    /// Records that a node of another region has answered.
    pub fn reached(&mut self, region: &str) -> ReachabilityChange {
        match self.regions.remove(region) {
            Some(reachability) if reachability.avoided_until.is_some() => {
                ReachabilityChange::Reached
            }
            _ => ReachabilityChange::None,
        }
    }
}
