//! The conditions under which a request may run at an instant.

use std::time::Duration;

use wingspar_wire::SessionId;
use wingspar_world::{MonotonicTime, ServiceKind, Target};

use crate::advice::{CONFIGURATION_WAIT, ROUTE_AGAIN, SESSION_WAIT, refusal};
use crate::grants::Holding;
use crate::{Admission, Agent, Clearance, ClearedGrant, Refusal, RefusalReason};

impl Agent {
    /// All conditions under which a request may run at this instant.
    pub(crate) fn check(
        &self,
        now: MonotonicTime,
        admission: &Admission,
    ) -> Result<Clearance, Refusal> {
        if now >= admission.deadline {
            return Err(refusal(RefusalReason::DeadlinePassed, ROUTE_AGAIN));
        }
        let held = self.session.running(now);
        let held = held.ok_or(refusal(RefusalReason::NoLease, SESSION_WAIT))?;
        let (target, kind) = self.check_target(admission)?;
        let keyed = kind == ServiceKind::Keyed;
        self.check_leaving(now, target, keyed)?;
        let mut clearance = Clearance {
            grant: None,
            ttl: now.until(held.lease.expires_at()),
            deadline: admission.deadline,
        };
        if keyed {
            let grant = self.check_grant(now, held.id, admission)?;
            clearance.grant = Some(grant);
        }
        Ok(clearance)
    }

    fn check_target(&self, admission: &Admission) -> Result<(&Target, ServiceKind), Refusal> {
        let unknown = |reason| refusal(reason, CONFIGURATION_WAIT);
        let target = self.local.get(&admission.target);
        let target = target.ok_or(unknown(RefusalReason::UnknownTarget))?;
        let service = self.configuration.service(&admission.service);
        let service = service
            .filter(|service| service.name == target.service)
            .ok_or(unknown(RefusalReason::UnknownService))?;
        Ok((target, service.kind))
    }

    /// A leaving target gets no new work; slices not yet called back are served for a short grace,
    /// so that a drain moves them one by one instead of stopping them all.
    fn check_leaving(
        &self,
        now: MonotonicTime,
        target: &Target,
        keyed: bool,
    ) -> Result<(), Refusal> {
        let grace = if keyed {
            self.settings.drain_grace
        } else {
            Duration::ZERO
        };
        let is_over = |since: MonotonicTime| now >= since + grace;
        if self.leaving_since.is_some_and(is_over) {
            return Err(refusal(RefusalReason::Leaving, ROUTE_AGAIN));
        }
        let state = self.targets.get(&target.name);
        let draining_since = state.and_then(|state| state.draining_since);
        if draining_since.is_some_and(is_over) {
            return Err(refusal(RefusalReason::Draining, ROUTE_AGAIN));
        }
        Ok(())
    }

    fn check_grant(
        &self,
        now: MonotonicTime,
        session: SessionId,
        admission: &Admission,
    ) -> Result<ClearedGrant, Refusal> {
        let missing = refusal(RefusalReason::KeyMissing, CONFIGURATION_WAIT);
        let key = admission.key.ok_or(missing)?;
        let not_owner = refusal(RefusalReason::NotOwner, ROUTE_AGAIN);
        match self.grants.lookup(session, &admission.service, key) {
            Holding::Owned(entry) if entry.grant.target == admission.target => Ok(ClearedGrant {
                fence: entry.grant.fence,
                range: entry.grant.range,
            }),
            Holding::Releasing(entry) => {
                let works = self.works.started_in(&admission.service, entry.grant.range);
                let longest = works.map(|work| now.until(work.admission.deadline)).max();
                let state = self.targets.get(&entry.grant.target);
                let mean = state.map_or(ROUTE_AGAIN, |state| state.mean_service());
                let wait = longest.map_or(ROUTE_AGAIN, |rest| rest.min(mean) + ROUTE_AGAIN);
                Err(refusal(RefusalReason::HandingOver, wait))
            }
            Holding::Incoming => Err(refusal(RefusalReason::NotYetOwner, ROUTE_AGAIN)),
            Holding::Owned(_) | Holding::None => Err(not_owner),
        }
    }
}
