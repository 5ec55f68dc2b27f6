//! Ranges whose earlier owner was lost: a request there may be a repeat of work it ran.

use std::collections::BTreeMap;

use wingspar_world::{KeyHash, MonotonicTime, ServiceName, SliceRange};

use crate::range_map::RangeMap;

/// Until when attempts that may be repeats are not run, by service and range.
#[derive(Debug, Default)]
pub(crate) struct Guards {
    services: BTreeMap<ServiceName, RangeMap<MonotonicTime>>,
}

impl Guards {
    /// Guards a range until `until`, or longer where it is guarded for longer already.
    pub(crate) fn raise(&mut self, service: &ServiceName, range: SliceRange, until: MonotonicTime) {
        let guards = self.services.entry(service.clone()).or_default();
        let longer: Vec<(SliceRange, MonotonicTime)> = guards
            .overlapping(range)
            .filter(|(_, other)| **other > until)
            .map(|(part, other)| (part, *other))
            .collect();
        guards.insert(range, until);
        for (part, other) in longer {
            guards.insert(part, other);
        }
    }

    /// Until when a key is guarded.
    pub(crate) fn until(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
        key: KeyHash,
    ) -> Option<MonotonicTime> {
        let until = *self.services.get(service)?.get(key)?;
        (until > now).then_some(until)
    }

    /// Latest end of the guards over a range.
    pub(crate) fn latest(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
        range: SliceRange,
    ) -> Option<MonotonicTime> {
        let guards = self.services.get(service)?;
        let latest = guards.overlapping(range).map(|(_, until)| *until).max()?;
        (latest > now).then_some(latest)
    }

    /// Lifts guards that went to another owner.
    pub(crate) fn lift(&mut self, service: &ServiceName, range: SliceRange) {
        if let Some(guards) = self.services.get_mut(service) {
            guards.remove(range);
        }
    }

    /// Forgets guards that are over.
    pub(crate) fn expire(&mut self, now: MonotonicTime) {
        for guards in self.services.values_mut() {
            guards.retain(|until| *until > now);
        }
    }
}
