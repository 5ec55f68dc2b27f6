//! Limits on requests that targets elsewhere have named, as a router remembers them.
//!
//! The node beside such a target keeps the limit, but its process may start again and know nothing of it. So routers send
//! along what they were told, and it holds there until the target has answered that process itself.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use wingspar_ownership::{NodeName, Time};

use crate::directory::Destination;
use crate::leaving_targets::LifeDigest;

/// What was told is sent along for this long: a process is back within a few seconds.
const SENT_FOR: Duration = Duration::from_secs(15);

/// A limit that a life of a target has named.
#[derive(Debug, Clone, Copy)]
struct NamedLimit {
    life: LifeDigest,
    requests_per_s: f64,
    told_at: Time,
}

/// The limits, by the targets' nodes.
#[derive(Debug, Default)]
pub struct NamedLimits(RefCell<HashMap<NodeName, NamedLimit>>);

impl NamedLimits {
    /// The node beside a target has told its limit, or that it names none.
    pub fn told(&self, now: Time, destination: &Destination, requests_per_s: Option<f64>) {
        let mut known = self.0.borrow_mut();
        match requests_per_s {
            Some(requests_per_s) => {
                let named = NamedLimit {
                    life: destination.life,
                    requests_per_s,
                    told_at: now,
                };
                known.insert(destination.node.clone(), named);
            }
            None => {
                known.remove(&destination.node);
            }
        }
    }

    /// The limit that the router was told of a destination's target, in requests a second.
    pub fn of(&self, now: Time, destination: &Destination) -> Option<f64> {
        let known = self.0.borrow();
        let named = known.get(&destination.node)?;
        let holds = named.life.may_be(destination.life) && now.since(named.told_at) < SENT_FOR;
        holds.then_some(named.requests_per_s)
    }

    /// Forgets what is no longer sent along.
    pub fn forget_old(&self, now: Time) {
        let mut known = self.0.borrow_mut();
        known.retain(|_, named| now.since(named.told_at) < SENT_FOR);
    }
}
