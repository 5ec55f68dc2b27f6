//! Ejection of targets that fail again and again, whatever their health reports say.

use std::time::Duration;

use wingspar_world::MonotonicTime;

use crate::settings::OutlierSettings;

/// Recent results of one target as the router saw them.
#[derive(Debug, Clone, Default)]
pub(crate) struct Outlier {
    failures_in_a_row: u32,
    ejections_in_a_row: u32,
    ejected_until: Option<MonotonicTime>,
}

impl Outlier {
    /// Whether the target is ejected now.
    pub(crate) fn is_ejected(&self, now: MonotonicTime) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// When the ejection ends, if one runs.
    pub(crate) fn ejected_until(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        self.ejected_until.filter(|&until| now < until)
    }

    /// Notes a success; true when it ends a row of ejections.
    pub(crate) fn succeeded(&mut self) -> bool {
        let returned = self.ejections_in_a_row > 0;
        *self = Self::default();
        returned
    }

    /// Notes a failure. Ejects the target when it is one too many and `may_eject` allows it; true
    /// when it did.
    pub(crate) fn failed(
        &mut self,
        now: MonotonicTime,
        settings: &OutlierSettings,
        may_eject: bool,
    ) -> bool {
        self.failures_in_a_row = self.failures_in_a_row.saturating_add(1);
        // After an ejection one more failure is enough: the target had its chance.
        let on_probation = self.ejections_in_a_row > 0;
        let too_many = on_probation || self.failures_in_a_row >= settings.failures;
        if !too_many || !may_eject || self.is_ejected(now) {
            return false;
        }
        self.ejected_until = Some(now + self.next_ejection(settings));
        self.ejections_in_a_row += 1;
        true
    }

    fn next_ejection(&self, settings: &OutlierSettings) -> Duration {
        let doublings = self.ejections_in_a_row.min(16);
        let length = settings.first_ejection * (1 << doublings);
        length.min(settings.max_ejection)
    }
}
