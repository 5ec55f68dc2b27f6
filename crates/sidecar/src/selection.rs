//! Which of several targets a request without an owner goes to.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use rand::RngExt;
use wingspar_ownership::{NodeName, Time};

use crate::directory::Destination;

/// Weight of one answer's time against what was known.
const SMOOTHING: f64 = 0.2;
/// Time of a request, in seconds, before any was seen.
const FIRST_TIME: f64 = 0.08;
/// Another zone must look better by this factor to be preferred.
pub const ZONE_PREFERENCE: f64 = 1.35;
/// The same for large answers, whose bytes between zones cost more than a little waiting.
pub const ZONE_PREFERENCE_LARGE: f64 = 6.0;
/// A node that couldn't be reached isn't tried first for this long.
const AVOID: Duration = Duration::from_millis(1_000);
/// What a node reported of its load fades over this time.
const REPORT_FADES: Duration = Duration::from_millis(400);

/// What this node has seen of another's target.
#[derive(Debug, Clone, Default)]
struct Seen {
    time: Option<f64>,
    outstanding: u32,
    running: u32,
    waiting: u32,
    reported_at: Time,
    avoid_until: Time,
}

/// What this node has seen of all targets.
#[derive(Debug, Default)]
pub struct Selection {
    seen: RefCell<HashMap<NodeName, Seen>>,
}

impl Selection {
    /// Picks one of the destinations that aren't in `tried`: the one with the shortest expected time
    /// of one in the own zone and two drawn from all. Another zone counts `preference` times.
    pub fn choose<'a>(
        &self,
        now: Time,
        zone: &str,
        preference: f64,
        destinations: &'a [Destination],
        tried: &[NodeName],
    ) -> Option<&'a Destination> {
        let open = destinations
            .iter()
            .filter(|destination| !tried.contains(&destination.node))
            .collect::<Vec<_>>();
        let first = draw(&open)?;
        let mut best = (first, self.cost(now, zone, preference, first));
        let locals = open
            .iter()
            .copied()
            .filter(|destination| destination.zone == zone)
            .collect::<Vec<_>>();
        for candidate in [draw(&open), draw(&locals)].into_iter().flatten() {
            let cost = self.cost(now, zone, preference, candidate);
            if cost < best.1 {
                best = (candidate, cost);
            }
        }
        Some(best.0)
    }

    /// Expected time of a request there; `preference` is the handicap of other zones.
    fn cost(&self, now: Time, zone: &str, preference: f64, destination: &Destination) -> f64 {
        let seen = self.seen.borrow();
        let Some(seen) = seen.get(&destination.node) else {
            return FIRST_TIME;
        };
        let age = now.since(seen.reported_at).as_secs_f64() / REPORT_FADES.as_secs_f64();
        let weight = (1.0 - age).max(0.0);
        let reported = f64::from(seen.running + 3 * seen.waiting) * weight;
        let load = (f64::from(seen.outstanding) + reported) / f64::from(destination.slots.max(1));
        let mut cost = seen.time.unwrap_or(FIRST_TIME) * (1.0 + load * load * 2.0);
        if destination.zone != zone {
            cost *= preference;
        }
        if now < seen.avoid_until {
            cost += 10.0;
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

    /// It has ended; `took` is the time to a useful answer.
    pub fn ended(&self, node: &NodeName, took: Option<Duration>) {
        let mut seen = self.seen.borrow_mut();
        let seen = seen.entry(node.clone()).or_default();
        seen.outstanding = seen.outstanding.saturating_sub(1);
        if let Some(took) = took {
            let took = took.as_secs_f64();
            let known = seen.time.unwrap_or(took);
            seen.time = Some(known + SMOOTHING * (took - known));
        }
    }

    /// A node told how many requests run and wait at its target.
    pub fn reported(&self, now: Time, node: &NodeName, running: u32, waiting: u32) {
        let mut seen = self.seen.borrow_mut();
        let seen = seen.entry(node.clone()).or_default();
        seen.running = running;
        seen.waiting = waiting;
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
