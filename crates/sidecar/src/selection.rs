//! Which of several targets a request without an owner goes to.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use rand::RngExt;
use wingspar_ownership::{NodeName, Time};

use crate::directory::Destination;
use crate::hop::Occupancy;

/// Weight of one answer's time against what was known.
const SMOOTHING: f64 = 0.2;
/// Time of a request, in seconds, before any was seen.
const FIRST_TIME: f64 = 0.08;
/// Another zone must look better by this factor to be preferred.
pub const ZONE_PREFERENCE: f64 = 1.35;
/// The same for large answers, whose bytes between zones cost more than a little waiting.
pub const ZONE_PREFERENCE_LARGE: f64 = 6.0;
/// Weight of one request's end against the known share of failures.
const FAILURE_SMOOTHING: f64 = 0.2;
/// A share of failures fades over this time, so that the target is tried again.
const FAILURES_FADE: Duration = Duration::from_secs(4);
/// How much worse a target looks that fails every request.
const FAILURE_HANDICAP: f64 = 8.0;
/// A node that couldn't be reached isn't tried first for this long.
const AVOID: Duration = Duration::from_millis(1_000);
/// How many times longer a request takes at a target whose slots are just in use, beyond once. Chosen by hand.
const LOAD_STEEPNESS: f64 = 2.0;
/// A request that waits counts as so many that run. Chosen by hand.
const WAITING_WEIGHT: u32 = 3;
/// Seconds that an avoided node looks worse by: longer than any request takes.
const AVOIDED_COST: f64 = 10.0;
/// What a node reported of its load fades over this time.
const REPORT_FADES: Duration = Duration::from_millis(400);
/// The same for what it reported of its link.
const LINK_REPORT_FADES: Duration = Duration::from_millis(1_500);

/// What this node has seen of another's target.
#[derive(Debug, Clone, Default)]
struct EndpointStatistics {
    time: Option<f64>,
    failures: f64,
    failed_at: Time,
    outstanding: u32,
    running: u32,
    waiting: u32,
    link_ms: u32,
    reported_at: Time,
    avoid_until: Time,
}

impl EndpointStatistics {
    /// Share of requests that failed lately, from 0 to 1.
    fn failures(&self, now: Time) -> f64 {
        self.failures * remaining(now, self.failed_at, FAILURES_FADE)
    }
}

/// What is left of a fact of that age, from 1 to 0.
fn remaining(now: Time, since: Time, fades: Duration) -> f64 {
    let age = now.since(since).as_secs_f64() / fades.as_secs_f64();
    (1.0 - age).max(0.0)
}

/// How a request ended at a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// With a useful answer, after so long.
    Useful(Duration),
    /// The target failed it, lost its answer or was silent.
    Failed,
    /// Nothing is known: it was refused before its start, or its client left.
    Unknown,
}

/// What a request asks of its destination.
#[derive(Debug, Clone, Copy)]
pub struct RequestPreference<'a> {
    /// The node that took it.
    pub node: &'a NodeName,
    /// The zone of that node.
    pub zone: &'a str,
    /// Another zone must look better by this factor.
    pub preference: f64,
    /// Whether its answer is likely to be large.
    pub large: bool,
}

/// What this node has seen of all targets.
#[derive(Debug, Default)]
pub struct Selection {
    seen: RefCell<HashMap<NodeName, EndpointStatistics>>,
}

impl Selection {
    /// Picks one of the destinations that aren't in `tried`: the one with the shortest expected time
    /// of one in the own zone and two drawn from all.
    pub fn choose<'a>(
        &self,
        now: Time,
        wish: RequestPreference<'_>,
        destinations: &'a [Destination],
        tried: &[NodeName],
    ) -> Option<&'a Destination> {
        let open = destinations
            .iter()
            .filter(|destination| !tried.contains(&destination.node))
            .collect::<Vec<_>>();
        let first = draw(&open)?;
        let mut best = (first, self.cost(now, wish, first));
        let locals = open
            .iter()
            .copied()
            .filter(|destination| destination.zone == wish.zone)
            .collect::<Vec<_>>();
        for candidate in [draw(&open), draw(&locals)].into_iter().flatten() {
            let cost = self.cost(now, wish, candidate);
            if cost < best.1 {
                best = (candidate, cost);
            }
        }
        Some(best.0)
    }

    /// Expected time of a request there, in seconds, with the handicaps of other zones and failures.
    fn cost(&self, now: Time, wish: RequestPreference<'_>, destination: &Destination) -> f64 {
        let seen = self.seen.borrow();
        let Some(seen) = seen.get(&destination.node) else {
            return FIRST_TIME;
        };
        let weight = remaining(now, seen.reported_at, REPORT_FADES);
        let reported = f64::from(seen.running + WAITING_WEIGHT * seen.waiting) * weight;
        let load = (f64::from(seen.outstanding) + reported) / f64::from(destination.slots.max(1));
        let mut cost = seen.time.unwrap_or(FIRST_TIME) * (1.0 + load * load * LOAD_STEEPNESS);
        if wish.large && destination.node != *wish.node {
            let weight = remaining(now, seen.reported_at, LINK_REPORT_FADES);
            cost += f64::from(seen.link_ms) / 1000.0 * weight;
        }
        cost *= 1.0 + FAILURE_HANDICAP * seen.failures(now);
        if destination.zone != wish.zone {
            cost *= wish.preference;
        }
        if now < seen.avoid_until {
            cost += AVOIDED_COST;
        }
        cost
    }

    /// A request goes out to a node.
    pub fn sent(&self, node: &NodeName) {
        self.seen
            .borrow_mut()
            .entry(node.clone())
            .or_default()
            .outstanding += 1;
    }

    /// It has ended.
    pub fn ended(&self, now: Time, node: &NodeName, ended: Ended) {
        let mut seen = self.seen.borrow_mut();
        let seen = seen.entry(node.clone()).or_default();
        seen.outstanding = seen.outstanding.saturating_sub(1);
        let failed = match ended {
            Ended::Unknown => return,
            Ended::Useful(_) => 0.0,
            Ended::Failed => 1.0,
        };
        let failures = seen.failures(now);
        seen.failures = failures + FAILURE_SMOOTHING * (failed - failures);
        seen.failed_at = now;
        if let Ended::Useful(took) = ended {
            let took = took.as_secs_f64();
            let known = seen.time.unwrap_or(took);
            seen.time = Some(known + SMOOTHING * (took - known));
        }
    }

    /// A node told how many requests run and wait at its target, and how busy its link is.
    pub fn reported(&self, now: Time, node: &NodeName, occupancy: Occupancy) {
        let mut seen = self.seen.borrow_mut();
        let seen = seen.entry(node.clone()).or_default();
        seen.running = occupancy.running;
        seen.waiting = occupancy.waiting;
        seen.link_ms = occupancy.link_ms;
        seen.reported_at = now;
    }

    /// A node couldn't be reached, or refused.
    pub fn avoid(&self, now: Time, node: &NodeName) {
        self.seen
            .borrow_mut()
            .entry(node.clone())
            .or_default()
            .avoid_until = now + AVOID;
    }

    /// Forgets nodes that are gone.
    pub fn retain(&self, known: impl Fn(&NodeName) -> bool) {
        self.seen
            .borrow_mut()
            .retain(|node, seen| seen.outstanding > 0 || known(node));
    }
}

fn draw<'a>(destinations: &[&'a Destination]) -> Option<&'a Destination> {
    if destinations.is_empty() {
        return None;
    }
    destinations
        .get(rand::rng().random_range(0..destinations.len()))
        .copied()
}
