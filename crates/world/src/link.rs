//! Links between zones and what crossing them costs.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ZoneName;

/// What one crossing of a link costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Link {
    /// One-way delay.
    pub delay: Duration,
}

/// Delays between zones, symmetric, with a default for pairs not listed.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LinkTable {
    links: BTreeMap<(ZoneName, ZoneName), Link>,
    default_delay: Duration,
}

impl LinkTable {
    /// An empty table; unlisted pairs cost `default_delay` one way.
    pub fn new(default_delay: Duration) -> Self {
        Self {
            links: BTreeMap::new(),
            default_delay,
        }
    }

    /// Sets the link between two zones, in both directions.
    pub fn set(&mut self, one: &ZoneName, other: &ZoneName, link: Link) {
        self.links.insert(ordered(one, other), link);
    }

    /// One-way delay between two zones; zero within a zone.
    pub fn delay(&self, from: &ZoneName, to: &ZoneName) -> Duration {
        if from == to {
            return Duration::ZERO;
        }
        self.links
            .get(&ordered(from, to))
            .map_or(self.default_delay, |link| link.delay)
    }
}

fn ordered(one: &ZoneName, other: &ZoneName) -> (ZoneName, ZoneName) {
    if one <= other {
        (one.clone(), other.clone())
    } else {
        (other.clone(), one.clone())
    }
}
