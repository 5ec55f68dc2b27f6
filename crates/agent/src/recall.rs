//! What memory and guards say of a request that may be a repeat.

use std::time::Duration;

use wingspar_wire::{GrantState, RememberedOutcome, Takeover};
use wingspar_world::{KeyHash, MonotonicTime, ServiceName};

use crate::advice::{MEMORY_WAIT_LIMIT, ROUTE_AGAIN, refusal};
use crate::remembered::Recall;
use crate::{Admission, Admit, Agent, Refusal, RefusalReason, Ticket};

/// Window of a service that the configuration doesn't know.
const DEFAULT_WINDOW: Duration = Duration::from_secs(600);
/// Id under which requests of unkeyed services are remembered.
const NO_KEY: KeyHash = KeyHash(0);

impl Agent {
    /// Id under which a request must be remembered; repeatable ones need not be.
    pub(crate) fn memory_id(&self, admission: &Admission) -> Option<(KeyHash, [u64; 2])> {
        let idempotency = admission.idempotency.filter(|_| !admission.repeatable)?;
        Some((admission.key.unwrap_or(NO_KEY), idempotency.id))
    }

    /// What memory and guards say of a request; `None` lets it run.
    pub(crate) fn recall(
        &mut self,
        now: MonotonicTime,
        admission: &Admission,
        id: (KeyHash, [u64; 2]),
    ) -> Option<Admit> {
        self.remembered.expire(now);
        let answer = match self.remembered.recall(&admission.service, id) {
            Recall::Nothing => self.guard(now, admission)?,
            Recall::Running(ticket) => {
                let wait = self.remaining_estimate(now, ticket);
                refusal(RefusalReason::InProgress, wait)
            }
            Recall::Ended(RememberedOutcome::Unknown) => refusal(
                RefusalReason::EarlierUnknown,
                self.window(&admission.service),
            ),
            Recall::Ended(outcome) => {
                self.counters.replayed += 1;
                return Some(Admit::Replay(outcome));
            }
        };
        self.counters.answered_unknown += 1;
        Some(Admit::Unknown(answer))
    }

    /// Whether a request that is not remembered may be a repeat of work whose memory is lost.
    fn guard(&self, now: MonotonicTime, admission: &Admission) -> Option<Refusal> {
        let attempt = admission.idempotency?.attempt;
        let until = match admission.key {
            Some(key) => self.guards.until(now, &admission.service, key)?,
            // Unkeyed services have no owner whose memory could be asked.
            None if attempt.is_some_and(|number| number > 1) => {
                now + self.window(&admission.service)
            }
            None => return None,
        };
        let contract = self
            .configuration
            .service(&admission.service)
            .map(|service| &service.contract);
        let may_be_repeat = match attempt {
            Some(number) => number > 1,
            None => contract.is_none_or(|contract| contract.guard_unnumbered_attempts),
        };
        let wait = now.until(until);
        may_be_repeat.then(|| refusal(RefusalReason::PreviousOwnerLost, wait))
    }

    fn remaining_estimate(&self, now: MonotonicTime, ticket: Ticket) -> Duration {
        let Some(work) = self.works.get(ticket) else {
            return ROUTE_AGAIN;
        };
        let state = self.targets.get(&work.admission.target);
        let mean = state.map_or(ROUTE_AGAIN, |state| state.mean_service());
        mean.min(now.until(work.admission.deadline))
    }

    pub(crate) fn memory_full(&self, now: MonotonicTime) -> Refusal {
        let first = self.remembered.first_expiry();
        let wait = first.map_or(MEMORY_WAIT_LIMIT, |at| now.until(at));
        refusal(RefusalReason::MemoryFull, wait.min(MEMORY_WAIT_LIMIT))
    }

    /// Guards the slices that came by loss of their owner, also those to be given up at once: the
    /// list that said to serve them may never have arrived, and the next owner needs the guard.
    pub(crate) fn raise_guards(&mut self, now: MonotonicTime) {
        self.guards.expire(now);
        for entry in self.grants.owned() {
            let (GrantState::Hold { takeover } | GrantState::Release { takeover, .. }) =
                entry.state
            else {
                continue;
            };
            let Takeover::Unplanned { age_ms } = takeover else {
                continue;
            };
            let service = &entry.grant.service;
            let age = Duration::from_millis(age_ms);
            let rest = self.window(service).saturating_sub(age);
            if !rest.is_zero() {
                self.guards.raise(service, entry.grant.range, now + rest);
            }
        }
    }

    /// How long requests of a service are remembered.
    pub(crate) fn window(&self, service: &ServiceName) -> Duration {
        let service = self.configuration.service(service);
        service.map_or(DEFAULT_WINDOW, |service| {
            Duration::from_millis(service.contract.idempotency_window_ms)
        })
    }
}
