//! Detects when requests of a service begin and cease to spill over to other regions, for operators.

use std::collections::HashMap;
use std::time::Duration;

use wingspar_ownership::Time;

use crate::network_paths::Relation;

/// A spill-over has ended once all requests have stayed in their region for this long: single requests still leave a
/// region that is about as heavily loaded as the others.
const SPILL_OVER_END_PAUSE: Duration = Duration::from_secs(2);

/// A spill-over begins once this many requests have left the region without a pause of [`SPILL_OVER_END_PAUSE`]: single
/// requests leave even a region that has room if the few targets sampled for them were busy.
const SPILL_OVER_MIN_REQUESTS: u64 = 3;

/// Change of a service's spill-over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpillChange {
    /// No change.
    None,
    /// Requests have begun to leave the region.
    Begun,
    /// Requests stay in the region again.
    Ended {
        /// Requests that left the region.
        requests: u64,
        /// Time from the first of them to the last.
        lasted: Duration,
    },
}

/// Requests of one service that left the region, since all stayed in it.
#[derive(Debug, Clone, Copy)]
struct Spill {
    began_at: Time,
    last_at: Time,
    requests: u64,
}

/// Tracks which services spill over to other regions.
#[derive(Debug, Default)]
pub struct SpillOver {
    services: HashMap<String, Spill>,
}

impl SpillOver {
    /// Records the destination chosen for a request without a key.
    pub fn chosen(&mut self, now: Time, service: &str, relation: Relation) -> SpillChange {
        if relation == Relation::OtherRegion {
            return self.left(now, service);
        }
        match self.services.get(service).copied() {
            Some(spill) if now.since(spill.last_at) >= SPILL_OVER_END_PAUSE => {
                self.services.remove(service);
                if spill.requests < SPILL_OVER_MIN_REQUESTS {
                    return SpillChange::None;
                }
                SpillChange::Ended {
                    requests: spill.requests,
                    lasted: spill.last_at.since(spill.began_at),
                }
            }
            _ => SpillChange::None,
        }
    }

    /// Records a request that leaves the region.
    fn left(&mut self, now: Time, service: &str) -> SpillChange {
        let spill = Spill {
            began_at: now,
            last_at: now,
            requests: 0,
        };
        let spill = self.services.entry(service.to_owned()).or_insert(spill);
        spill.last_at = now;
        spill.requests += 1;
        if spill.requests == SPILL_OVER_MIN_REQUESTS {
            SpillChange::Begun
        } else {
            SpillChange::None
        }
    }
}
