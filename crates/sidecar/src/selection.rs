//! Load balancing of requests without a key: which of several targets a request goes to.
//!
//! The target with the least cost among a few random candidates of this node's region, one of them of its zone. A cost
//! is a time in seconds: the expected time of the request there plus the network round trip. A request leaves the
//! region only if staying would take longer by more than a penalty, which is a time too, and if the other region has
//! room. So requests stay in the region again as soon as it has room, and while all regions are overloaded none takes
//! the load of others.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use rand::RngExt;
use wingspar_ownership::{NodeName, Time};

use crate::directory::Destination;
use crate::leaving_targets::LifeDigest;
use crate::network_paths::{NetworkPaths, ReachabilityChange, Relation, Topology};
use crate::occupancy::Occupancy;

/// Weight of one answer's time in the exponential moving average.
const TIME_SMOOTHING: f64 = 0.2;
/// Assumed time of a request, in seconds, before any was measured.
const INITIAL_TIME_S: f64 = 0.08;
/// Factor by which another zone's cost must be lower to be preferred over this node's zone.
pub const ZONE_PREFERENCE: f64 = 1.35;
/// Factor by which another zone's cost must be lower for a request with a large answer: transferring large answers
/// between zones costs more than some waiting.
pub const ZONE_PREFERENCE_LARGE: f64 = 6.0;
/// A request goes to another region, whose link is slow, shared by all and expensive, only if that saves it this
/// multiple of its objective: a smaller gain rarely makes a late answer timely.
const REGION_PENALTY: f64 = 1.0;
/// The multiple of the objective that leaving the region must save a request with a large answer: a single such answer
/// fills the link between regions.
const REGION_PENALTY_LARGE: f64 = 4.0;
/// Candidates sampled in this node's region, in addition to one in its zone.
const SAMPLES_IN_REGION: usize = 3;
/// Candidates sampled in this node's region, in addition to one in its zone, if no destination is in another region.
const SAMPLES_IN_ONLY_REGION: usize = 2;
/// Candidates sampled in other regions.
const SAMPLES_IN_OTHER_REGIONS: usize = 2;
/// Random draws of one candidate that may hit a tried or avoided target before all destinations are filtered instead.
const MAX_DRAWS: usize = 4;
/// Weight of one request's outcome in the moving average of failures.
const FAILURE_SMOOTHING: f64 = 0.2;
/// The failure rate of a target decays to 0 over this time, so that the target is tried again.
const FAILURE_FADE_TIME: Duration = Duration::from_secs(4);
/// Added to the cost factor of a target that fails every request.
const FAILURE_PENALTY: f64 = 8.0;
/// How long a node is avoided after it couldn't be reached or had no target that accepts work.
const NODE_AVOIDANCE_TIME: Duration = Duration::from_millis(1_000);
/// Increase of the expected time at a target whose slots are all just in use, as a multiple of the time at an idle one.
/// If it is smaller, near or fast targets fill up while others are idle; if it is larger, a small difference in load
/// outweighs the network distance.
const LOAD_STEEPNESS: f64 = 2.0;
/// A waiting request counts as this many running ones, since the next request waits behind it. If it counts less,
/// requests queue up while other targets have free slots; if it counts more, one short queue drives requests away from
/// a target.
const WAITING_WEIGHT: u32 = 3;
/// While all targets that could run a request are ejected, one of them is probed this often: few requests even from
/// many routers, and often enough that the targets are back in use when callers retry.
const EJECTED_PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Cost, in seconds, that is added for an avoided node: longer than any request takes.
const AVOIDED_PENALTY_S: f64 = 10.0;
/// A node's load report loses its weight over this time.
const LOAD_REPORT_FADE_TIME: Duration = Duration::from_millis(400);
/// A node's report about the load of its link loses its weight over this time.
const LINK_REPORT_FADE_TIME: Duration = Duration::from_millis(1_500);
/// How long after a report the target's rate limit is used for selection: an overloaded target rarely recovers sooner,
/// and one that gets few requests reports seldom.
const LIMIT_VALIDITY: Duration = Duration::from_secs(3);
/// How long after a report the target's rate limit is sent along with requests: the node's process beside the target
/// may restart meanwhile and lose the limit.
const LIMIT_FORWARDING_TIME: Duration = Duration::from_secs(15);
/// Load reports of nodes in another region are combined for the region, and lose their weight over this time: requests
/// go there too seldom to estimate the load of each node, and an overloaded region rarely recovers sooner.
const REGION_LOAD_FADE_TIME: Duration = Duration::from_secs(3);
/// Weight of one report in the moving average of a region's load.
const REGION_LOAD_SMOOTHING: f64 = 0.3;

/// A rate limit that a target announced, as its node reported it.
#[derive(Debug, Clone, Copy)]
struct ReportedLimit {
    /// The life of the target that announced it.
    life: LifeDigest,
    requests_per_s: f64,
    reported_at: Time,
}

/// What this node has observed of the target of a node.
#[derive(Debug, Clone, Default)]
struct EndpointStatistics {
    /// Moving average of the time at the node, in seconds; `None` before the first useful answer.
    time: Option<f64>,
    /// Moving average of failures, from 0 to 1, as of `failed_at`.
    failures: f64,
    failed_at: Time,
    /// Requests of this node that are there now.
    outstanding: u32,
    /// Requests of all nodes that run there, as last reported.
    running: u32,
    /// Requests of all nodes that wait there, as last reported.
    waiting: u32,
    /// How long a large answer would wait for the node's link, as last reported.
    link_ms: u32,
    reported_at: Time,
    avoid_until: Time,
    /// Until when the target gets no requests but probes, since its node reported that it rejects requests.
    ejected_until: Time,
    /// The rate limit that the target announced last, if it has one.
    limit: Option<ReportedLimit>,
}

impl EndpointStatistics {
    /// Recent failure rate, from 0 to 1.
    fn failures(&self, now: Time) -> f64 {
        self.failures * remaining(now, self.failed_at, FAILURE_FADE_TIME)
    }

    fn is_avoided(&self, now: Time) -> bool {
        now < self.avoid_until || now < self.ejected_until
    }

    /// Slots of a target that can be in use at once under its rate limit, at least one.
    fn slots(&self, now: Time, slots: u32) -> f64 {
        let slots = f64::from(slots);
        let limit = self.limit_since(now, LIMIT_VALIDITY);
        let usable = limit.map(|limit| limit.requests_per_s * self.time.unwrap_or(INITIAL_TIME_S));
        usable.map_or(slots, |usable| usable.min(slots)).max(1.0)
    }

    /// The rate limit, if it was reported within `span`.
    fn limit_since(&self, now: Time, span: Duration) -> Option<ReportedLimit> {
        self.limit
            .filter(|limit| now.since(limit.reported_at) < span)
    }
}

/// Weight of an observation made at `since`, falling linearly from 1 to 0 over `fades`.
fn remaining(now: Time, since: Time, fades: Duration) -> f64 {
    let age = now.since(since).as_secs_f64() / fades.as_secs_f64();
    (1.0 - age).max(0.0)
}

/// Load of a service's targets in another region, combined from the reports of nodes there.
#[derive(Debug, Clone, Copy, Default)]
struct RegionLoad {
    /// Moving average of running and weighted waiting requests per slot.
    load: f64,
    reported_at: Time,
}

impl RegionLoad {
    /// The load with its weight at this time.
    fn now(&self, now: Time) -> f64 {
        self.load * remaining(now, self.reported_at, REGION_LOAD_FADE_TIME)
    }
}

/// Outcome of a request at a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// Answered without a server error, after this time at the node.
    Succeeded(Duration),
    /// Answered with a server error, rejected by the target, or not answered.
    Failed,
    /// Nothing is known about the target: the request was refused before its start, or its client disconnected.
    Unknown,
}

/// The properties of a request that decide which target it goes to.
#[derive(Debug, Clone, Copy)]
pub struct SelectionCriteria<'a> {
    /// The node that routes the request.
    pub node: &'a NodeName,
    /// The service that is to run the request.
    pub service: &'a str,
    /// Factor by which the cost in another zone of the region must be lower than in this node's zone.
    pub zone_preference: f64,
    /// Latency objective of the request.
    pub objective: Duration,
    /// Whether the answer is likely to be large.
    pub large: bool,
}

/// Chooses targets by what this node has observed of them.
#[derive(Debug, Default)]
pub struct Selection {
    topology: Topology,
    seen: RefCell<HashMap<NodeName, EndpointStatistics>>,
    network_paths: RefCell<NetworkPaths>,
    /// When any ejected target was probed last.
    probed_ejected_at: Cell<Time>,
    /// Loads of other regions, by service and region.
    regions: RefCell<HashMap<(String, String), RegionLoad>>,
}

impl Selection {
    /// A selection for a node with this topology, without any observations.
    pub fn new(topology: Topology) -> Self {
        Self {
            topology,
            ..Self::default()
        }
    }

    /// The zone of this node, and the region of each zone.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// Chooses one of the destinations, which are sorted by nearness, that isn't in `tried`. `None` if there is none.
    pub fn choose<'a>(
        &self,
        now: Time,
        criteria: SelectionCriteria<'_>,
        destinations: &'a [Destination],
        tried: &[NodeName],
    ) -> Option<&'a Destination> {
        let within = |relation| destinations.partition_point(|known| known.relation <= relation);
        let own_zone = &destinations[..within(Relation::SameZone)];
        let (own_region, elsewhere) = destinations.split_at(within(Relation::SameRegion));
        let in_region = if elsewhere.is_empty() {
            SAMPLES_IN_ONLY_REGION
        } else {
            SAMPLES_IN_REGION
        };
        let sample = |among| sample(among, tried, |node| self.is_avoided(now, node));
        let near = (0..in_region)
            .filter_map(|_| sample(own_region))
            .chain(sample(own_zone));
        let far = (0..SAMPLES_IN_OTHER_REGIONS).filter_map(|_| sample(elsewhere));
        match (
            self.best(now, criteria, near),
            self.best(now, criteria, far),
        ) {
            (Some(near), Some(far)) if !should_leave_region(criteria, near.1, far.1) => {
                Some(near.0)
            }
            (_, Some((far, _))) => {
                let region = self.topology.region(&far.zone);
                self.network_paths.borrow_mut().request_sent(now, region);
                Some(far)
            }
            (near, None) => near.map(|(destination, _)| destination),
        }
    }

    /// The candidate with the least cost, and that cost.
    fn best<'a>(
        &self,
        now: Time,
        criteria: SelectionCriteria<'_>,
        candidates: impl Iterator<Item = &'a Destination>,
    ) -> Option<(&'a Destination, f64)> {
        candidates
            .map(|candidate| (candidate, self.cost(now, criteria, candidate)))
            .min_by(|(_, left), (_, right)| left.total_cmp(right))
    }

    /// The cost of sending a request to a destination, in seconds.
    fn cost(&self, now: Time, criteria: SelectionCriteria<'_>, destination: &Destination) -> f64 {
        let (expected, avoided) = self.expected(now, criteria, destination);
        let network_paths = self.network_paths.borrow();
        let mut cost = expected + network_paths.time(now, &destination.zone, destination.relation);
        if destination.relation == Relation::SameRegion {
            cost *= criteria.zone_preference;
        }
        let region = self.topology.region(&destination.zone);
        if avoided || network_paths.is_avoided(now, region) {
            cost + AVOIDED_PENALTY_S
        } else {
            cost
        }
    }

    /// The expected time of a request at a node, in seconds, increased if requests fail there; and whether the node is
    /// avoided.
    fn expected(
        &self,
        now: Time,
        criteria: SelectionCriteria<'_>,
        destination: &Destination,
    ) -> (f64, bool) {
        let seen = self.seen.borrow();
        let region_load = self.region_load(now, criteria.service, destination);
        let Some(seen) = seen.get(&destination.node) else {
            return (INITIAL_TIME_S * slowdown(region_load), false);
        };
        let weight = remaining(now, seen.reported_at, LOAD_REPORT_FADE_TIME);
        let reported = f64::from(seen.running + WAITING_WEIGHT * seen.waiting) * weight;
        let slots = seen.slots(now, destination.slots);
        let load = (f64::from(seen.outstanding) + reported) / slots;
        let load = load.max(region_load);
        let mut expected = seen.time.unwrap_or(INITIAL_TIME_S) * slowdown(load);
        if criteria.large && destination.node != *criteria.node {
            let weight = remaining(now, seen.reported_at, LINK_REPORT_FADE_TIME);
            expected += f64::from(seen.link_ms) / 1000.0 * weight;
        }
        expected *= 1.0 + FAILURE_PENALTY * seen.failures(now);
        (expected, seen.is_avoided(now))
    }

    /// Load of a service's targets in the region of a destination; 0 if that is this node's region or nothing is known.
    fn region_load(&self, now: Time, service: &str, destination: &Destination) -> f64 {
        if destination.relation != Relation::OtherRegion {
            return 0.0;
        }
        let region = self.topology.region(&destination.zone);
        let regions = self.regions.borrow();
        let known = regions.get(&(service.to_owned(), region.to_owned()));
        known.map_or(0.0, |known| known.now(now))
    }

    /// Records that an answer of a node spent this time on the network, there and back.
    pub fn answered(
        &self,
        now: Time,
        destination: &Destination,
        network_time: Duration,
    ) -> ReachabilityChange {
        let mut network_paths = self.network_paths.borrow_mut();
        network_paths.answered(now, &destination.zone, destination.relation, network_time);
        match destination.relation {
            Relation::OtherRegion => network_paths.reached(self.topology.region(&destination.zone)),
            Relation::SameZone | Relation::SameRegion => ReachabilityChange::None,
        }
    }

    /// Records that no answer came from a node.
    pub fn unreachable(&self, now: Time, destination: &Destination) -> ReachabilityChange {
        if destination.relation != Relation::OtherRegion {
            return ReachabilityChange::None;
        }
        let region = self.topology.region(&destination.zone);
        let mut network_paths = self.network_paths.borrow_mut();
        network_paths.unreachable(now, region, &destination.node)
    }

    /// Counts a request that is sent to a node.
    pub fn sent(&self, node: &NodeName) {
        self.seen
            .borrow_mut()
            .entry(node.clone())
            .or_default()
            .outstanding += 1;
    }

    /// Records the end of a request that was counted by [`Self::sent`].
    pub fn ended(&self, now: Time, node: &NodeName, ended: RequestEnd) {
        let mut seen = self.seen.borrow_mut();
        let seen = seen.entry(node.clone()).or_default();
        seen.outstanding = seen.outstanding.saturating_sub(1);
        let failed = match ended {
            RequestEnd::Unknown => return,
            RequestEnd::Succeeded(_) => 0.0,
            RequestEnd::Failed => 1.0,
        };
        let failures = seen.failures(now);
        seen.failures = failures + FAILURE_SMOOTHING * (failed - failures);
        seen.failed_at = now;
        if let RequestEnd::Succeeded(took) = ended {
            let took = took.as_secs_f64();
            let known = seen.time.unwrap_or(took);
            seen.time = Some(known + TIME_SMOOTHING * (took - known));
        }
    }

    /// Records the load that a node reported for its target and its link.
    pub fn reported(
        &self,
        now: Time,
        service: &str,
        destination: &Destination,
        occupancy: Occupancy,
    ) {
        let mut seen = self.seen.borrow_mut();
        let seen = seen.entry(destination.node.clone()).or_default();
        seen.running = occupancy.running;
        seen.waiting = occupancy.waiting;
        seen.link_ms = occupancy.link_ms;
        seen.limit = occupancy.limit().map(|requests_per_s| ReportedLimit {
            life: destination.life,
            requests_per_s,
            reported_at: now,
        });
        seen.reported_at = now;
        if occupancy.ejected_ms > 0 {
            let ejection = Duration::from_millis(u64::from(occupancy.ejected_ms));
            seen.ejected_until = now + ejection;
        } else {
            seen.ejected_until = now;
        }
        if destination.relation != Relation::OtherRegion {
            return;
        }
        let busy = occupancy.running + WAITING_WEIGHT * occupancy.waiting;
        let load = f64::from(busy) / f64::from(destination.slots.max(1));
        let region = self.topology.region(&destination.zone);
        let mut regions = self.regions.borrow_mut();
        let region = regions
            .entry((service.to_owned(), region.to_owned()))
            .or_default();
        let known = region.now(now);
        *region = RegionLoad {
            load: known + REGION_LOAD_SMOOTHING * (load - known),
            reported_at: now,
        };
    }

    /// Avoids a node for a short time, since it couldn't be reached or has no target that accepts work.
    pub fn avoid(&self, now: Time, node: &NodeName) {
        self.seen
            .borrow_mut()
            .entry(node.clone())
            .or_default()
            .avoid_until = now + NODE_AVOIDANCE_TIME;
    }

    /// Whether a node is avoided or its target ejected.
    fn is_avoided(&self, now: Time, node: &NodeName) -> bool {
        let seen = self.seen.borrow();
        seen.get(node).is_some_and(|seen| seen.is_avoided(now))
    }

    /// Whether a request may be sent to a node. While the node's target is ejected since it rejects requests, only a
    /// probe may, so that it is soon noticed when the target accepts work again: one in [`EJECTED_PROBE_INTERVAL`] for all
    /// ejected targets together.
    pub fn allow_send(&self, now: Time, node: &NodeName) -> bool {
        let seen = self.seen.borrow();
        if seen.get(node).is_none_or(|seen| now >= seen.ejected_until) {
            return true;
        }
        let may_probe = now.since(self.probed_ejected_at.get()) >= EJECTED_PROBE_INTERVAL;
        if may_probe {
            self.probed_ejected_at.set(now);
        }
        may_probe
    }

    /// The rate limit to send along with a request, in requests per second: the last one that the destination's node
    /// reported for the same life of the target. `None` if there is none or the report is too old.
    pub fn reported_limit(&self, now: Time, destination: &Destination) -> Option<f64> {
        let seen = self.seen.borrow();
        let limit = seen
            .get(&destination.node)?
            .limit_since(now, LIMIT_FORWARDING_TIME)?;
        let is_same = limit.life.may_be(destination.life);
        is_same.then_some(limit.requests_per_s)
    }

    /// Drops observations of nodes that are no longer known, except those that may return beside a target with a rate
    /// limit.
    pub fn retain(&self, now: Time, known: impl Fn(&NodeName) -> bool) {
        self.seen.borrow_mut().retain(|node, seen| {
            let has_limit = seen.limit_since(now, LIMIT_FORWARDING_TIME).is_some();
            seen.outstanding > 0 || has_limit || known(node)
        });
    }
}

/// Factor by which a request takes longer at a target with this load per slot.
fn slowdown(load: f64) -> f64 {
    1.0 + load * load * LOAD_STEEPNESS
}

/// Whether a request should leave its region, by its costs within (`near`) and outside (`far`): it must save more than
/// the penalty and be expected to meet its objective there.
fn should_leave_region(criteria: SelectionCriteria<'_>, near: f64, far: f64) -> bool {
    let objective = criteria.objective.as_secs_f64();
    let penalty = if criteria.large {
        REGION_PENALTY_LARGE
    } else {
        REGION_PENALTY
    };
    far + objective * penalty < near && far < objective
}

/// Samples one of the destinations that haven't been tried, uniformly; an avoided one only if no other is left.
fn sample<'a>(
    destinations: &'a [Destination],
    tried: &[NodeName],
    is_avoided: impl Fn(&NodeName) -> bool,
) -> Option<&'a Destination> {
    if destinations.is_empty() {
        return None;
    }
    let is_untried = |destination: &&Destination| !tried.contains(&destination.node);
    let mut random = rand::rng();
    for _ in 0..MAX_DRAWS {
        let drawn = destinations.get(random.random_range(0..destinations.len()));
        let drawn = drawn.filter(is_untried);
        if let Some(drawn) = drawn.filter(|drawn| !is_avoided(&drawn.node)) {
            return Some(drawn);
        }
    }
    // Most destinations have been tried or are avoided.
    let mut untried = destinations.iter().filter(is_untried).collect::<Vec<_>>();
    if untried.iter().any(|untried| !is_avoided(&untried.node)) {
        untried.retain(|untried| !is_avoided(&untried.node));
    }
    let drawn = random.random_range(0..untried.len().max(1));
    untried.get(drawn).copied()
}
