//! Evacuated zones: zones whose targets must receive no requests because the operator has emptied
//! them for a while.
//!
//! The agent of a target enforces it by starting no more requests once its own zone is evacuated.
//! Requests without an owner are refused almost at once, since other targets can run them. Keys
//! first move out of the zone together with the state that their targets have warmed up, so
//! requests for keys are served until shortly before the operator's bound.

use std::time::Duration;

use wingspar_ownership::{EvacuatedZones, Time};

/// Requests without an owner still start for this long after the node received the evacuation,
/// while routers receive it too: the leader updates them every 0.4 s.
const ROUTER_UPDATE_TIME: Duration = Duration::from_millis(500);
/// Share of the operator's bound after which no request starts any more. The bound counts from the
/// store's acknowledgement, which can't be earlier than the time at which this node last knew the
/// zone to be in service.
const LAST_START_SHARE: f64 = 0.85;

/// How the state of the node's own zone has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnZoneChange {
    /// The zone's state is the same.
    Unchanged,
    /// The zone is evacuated now.
    Evacuated,
    /// The zone is back in service.
    InService,
}

/// When requests stop being started in an evacuated zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct StartDeadlines {
    without_owner: Time,
    with_owner: Time,
}

/// The evacuated zones, as known to a node.
#[derive(Debug, Default)]
pub struct Evacuations {
    evacuated: EvacuatedZones,
    /// When the known zones were last confirmed to be those in the store; `None` if they never
    /// were.
    checked_at: Option<Time>,
    /// Set while the node's own zone is evacuated.
    start_deadlines: Option<StartDeadlines>,
    /// After the store was restored from a copy: until when zones that it no longer lists stay
    /// evacuated.
    retained_until: Option<Time>,
}

impl Evacuations {
    /// The evacuated zones, as of a revision of the store.
    pub fn evacuated(&self) -> &EvacuatedZones {
        &self.evacuated
    }

    /// When the known zones were last confirmed to be those in the store.
    pub fn checked_at(&self) -> Option<Time> {
        self.checked_at
    }

    /// Whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.evacuated.zones.contains(zone)
    }

    /// Records that the store held at `checked_at` what is known here.
    pub fn record_check(&mut self, checked_at: Time) {
        self.checked_at = self.checked_at.max(Some(checked_at));
    }

    /// Applies the store's contents unless a later revision is known; `bound` is the time after the
    /// store's acknowledgement by which the operator expects an evacuation to be in force.
    /// Returns how the own zone has changed, or `None` if the set of zones is the same.
    pub fn apply(
        &mut self,
        now: Time,
        own_zone: &str,
        bound: Duration,
        mut told: EvacuatedZones,
    ) -> Option<OwnZoneChange> {
        if told.as_of() < self.evacuated.as_of() {
            return None;
        }
        if told.era > self.evacuated.era {
            // The operator rewrites what the copy lacks; until then the earlier evacuations stay in
            // force.
            self.retained_until = Some(now + bound);
        }
        if self.retained_until.is_some_and(|until| now < until) {
            told.zones.extend(self.evacuated.zones.iter().cloned());
        }
        let is_same = told.zones == self.evacuated.zones;
        self.evacuated = told;
        if is_same {
            return None;
        }
        match (self.start_deadlines.is_some(), self.contains(own_zone)) {
            (false, true) => {
                self.start_deadlines = Some(self.start_deadlines_from(now, bound));
                Some(OwnZoneChange::Evacuated)
            }
            (true, false) => {
                self.start_deadlines = None;
                Some(OwnZoneChange::InService)
            }
            _ => Some(OwnZoneChange::Unchanged),
        }
    }

    /// Whether a request may start at the node's own target.
    pub fn may_start(&self, now: Time, has_owner: bool) -> bool {
        self.start_deadlines.is_none_or(|last| {
            let until = if has_owner {
                last.with_owner
            } else {
                last.without_owner
            };
            now < until
        })
    }

    /// Whether the node's own zone is evacuated.
    pub fn is_own_zone_evacuated(&self) -> bool {
        self.start_deadlines.is_some()
    }

    fn start_deadlines_from(&self, now: Time, bound: Duration) -> StartDeadlines {
        // A process that has never known its zone to be in service has started no requests there,
        // so it needs no transition period.
        let in_service_at = self.checked_at.unwrap_or_default();
        let with_owner = in_service_at + bound.mul_f64(LAST_START_SHARE);
        StartDeadlines {
            without_owner: with_owner.min(now + ROUTER_UPDATE_TIME),
            with_owner,
        }
    }
}
