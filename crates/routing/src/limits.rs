//! Limits on requests in flight per service and class, so that checks and bulk can't starve the
//! requests that people wait for.
//!
//! Interactive requests may use everything. Checks and bulk each stay below a share of the
//! service's slots, and these shares shrink while agents refuse work for load: several routers
//! feed the same targets, and none knows what the others have in flight.

use std::time::Duration;

use wingspar_world::{MonotonicTime, RequestClass};

use crate::settings::LimitSettings;

/// Weight of the newest sample in the moving average of holding times.
const HOLD_WEIGHT: f64 = 0.1;
/// Bounds of the estimated time until a place is free.
const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_secs(5));
/// Number of request classes.
pub(crate) const CLASSES: usize = 3;

/// Requests of one service in flight at this router.
#[derive(Debug, Clone)]
pub(crate) struct ServiceLimits {
    in_flight: [u32; CLASSES],
    /// Mean time that a request of the class stays, in microseconds.
    hold_micros: [f64; CLASSES],
    pressure: f64,
    decreased_at: Option<MonotonicTime>,
    increased_at: MonotonicTime,
}

impl Default for ServiceLimits {
    fn default() -> Self {
        Self {
            in_flight: [0; CLASSES],
            hold_micros: [0.0; CLASSES],
            pressure: 1.0,
            decreased_at: None,
            increased_at: MonotonicTime::ZERO,
        }
    }
}

/// Position of a class, the most urgent first.
pub(crate) const fn class_index(class: RequestClass) -> usize {
    match class {
        RequestClass::Interactive => 0,
        RequestClass::Checks => 1,
        RequestClass::Bulk => 2,
    }
}

impl ServiceLimits {
    /// Admits a request of a class; otherwise the estimated time until there is room.
    pub(crate) fn admit(
        &mut self,
        class: RequestClass,
        slots: u32,
        settings: &LimitSettings,
    ) -> Result<(), Duration> {
        // Without known slots there is nothing to share out: routing decides.
        if slots > 0 && !self.has_room(class, slots, settings) {
            return Err(self.retry_after(class));
        }
        self.in_flight[class_index(class)] += 1;
        Ok(())
    }

    /// Notes the end of an admitted request that stayed for `held`.
    pub(crate) fn release(&mut self, class: RequestClass, held: Duration) {
        let position = class_index(class);
        self.in_flight[position] = self.in_flight[position].saturating_sub(1);
        let average = &mut self.hold_micros[position];
        *average += HOLD_WEIGHT * (held.as_micros() as f64 - *average);
    }

    /// Notes that an agent refused work for load.
    pub(crate) fn refused(&mut self, now: MonotonicTime, settings: &LimitSettings) {
        let recent = |at: MonotonicTime| now.since(at) < settings.interval;
        if self.decreased_at.is_some_and(recent) {
            return;
        }
        self.decreased_at = Some(now);
        self.pressure = (self.pressure * settings.decrease).max(settings.least_pressure);
    }

    /// Notes that an agent ran work. What it restores depends on time, not on the number of
    /// answers: many quick interactive ones must not undo what slow checks brought about.
    pub(crate) fn answered(&mut self, now: MonotonicTime, settings: &LimitSettings) {
        if now.since(self.increased_at) < settings.interval {
            return;
        }
        self.increased_at = now;
        self.pressure = (self.pressure + settings.increase).min(1.0);
    }

    /// Requests in flight over all classes.
    pub(crate) fn total(&self) -> u32 {
        self.in_flight.iter().sum()
    }

    fn has_room(&self, class: RequestClass, slots: u32, settings: &LimitSettings) -> bool {
        let room = |used: u32, share: f64| {
            let limit = (f64::from(slots) * share).floor().max(1.0);
            f64::from(used) < limit
        };
        let share = match class {
            RequestClass::Interactive => settings.total,
            RequestClass::Checks => settings.checks * self.pressure,
            RequestClass::Bulk => settings.bulk * self.pressure,
        };
        // Each class has a limit of its own, so that checks don't starve bulk either.
        room(self.total(), settings.total) && room(self.in_flight[class_index(class)], share)
    }

    /// Mean time until one of the class's requests ends.
    fn retry_after(&self, class: RequestClass) -> Duration {
        let position = class_index(class);
        let in_flight = f64::from(self.in_flight[position].max(1));
        let micros = self.hold_micros[position] / in_flight;
        let (least, most) = RETRY_AFTER_BOUNDS;
        Duration::from_micros(micros as u64).clamp(least, most)
    }
}
