//! Decisions on single requests: admission, the check right before the start, and the end.

use std::time::Duration;

use wingspar_wire::{RememberedOutcome, Takeover};
use wingspar_world::{KeyHash, MonotonicTime, ServiceKind, ServiceName, Target};

use crate::grants::Holding;
use crate::remembered::Recall;
use crate::target::Place;
use crate::work::{Phase, Work};
use crate::{
    Admission, Admit, Agent, AgentEvent, Clearance, ClearedGrant, Finish, NotRunProof, Output,
    Refusal, RefusalReason, Ticket,
};

/// Pause advised when another owner should already be known to routers.
const ROUTE_AGAIN: Duration = Duration::from_millis(50);
/// Pause advised while a session is being established.
const SESSION_WAIT: Duration = Duration::from_millis(500);
/// Pause advised for what only a change of configuration can mend.
const CONFIGURATION_WAIT: Duration = Duration::from_secs(1);
/// Longest pause advised while the memory is full.
const MEMORY_WAIT_LIMIT: Duration = Duration::from_secs(5);
/// Window of a service that the configuration doesn't know.
const DEFAULT_WINDOW: Duration = Duration::from_secs(600);
/// Id under which requests of unkeyed services are remembered.
const NO_KEY: KeyHash = KeyHash(0);

fn refusal(reason: RefusalReason, retry_after: Duration) -> Refusal {
    Refusal {
        reason,
        retry_after,
    }
}

impl Agent {
    /// Decides whether a request may run, must wait, or is answered without being run.
    pub fn admit(&mut self, now: MonotonicTime, mut admission: Admission) -> Admit {
        self.counters.admissions += 1;
        self.look_at_lease(now);
        self.bound_deadline(now, &mut admission);
        if let Err(refusal) = self.check(now, &admission) {
            self.counters.refused += 1;
            return Admit::Refuse(refusal);
        }
        let remember = self.memory_id(&admission);
        if let Some(id) = remember
            && let Some(answer) = self.recall(now, &admission, id)
        {
            return answer;
        }
        self.find_place(now, admission, remember)
    }

    fn bound_deadline(&self, now: MonotonicTime, admission: &mut Admission) {
        if let Some(service) = self.configuration.service(&admission.service) {
            let longest = Duration::from_millis(service.contract.max_deadline_ms);
            admission.deadline = admission.deadline.min(now + longest);
        }
    }

    /// Id under which a request must be remembered; repeatable ones need not be.
    fn memory_id(&self, admission: &Admission) -> Option<(KeyHash, [u64; 2])> {
        let idempotency = admission.idempotency.filter(|_| !admission.repeatable)?;
        Some((admission.key.unwrap_or(NO_KEY), idempotency.id))
    }

    /// What memory and guards say of a request; `None` lets it run.
    fn recall(
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

    fn find_place(
        &mut self,
        now: MonotonicTime,
        admission: Admission,
        remember: Option<(KeyHash, [u64; 2])>,
    ) -> Admit {
        let place = match self.choose_place(now, &admission) {
            Ok(place) => place,
            Err(refusal) => {
                self.counters.refused += 1;
                return Admit::Refuse(refusal);
            }
        };
        if let Some(id) = remember {
            let ticket = self.works.next_ticket();
            if !self.remembered.begin(&admission.service, id, ticket) {
                self.counters.memory_full += 1;
                self.counters.refused += 1;
                return Admit::Refuse(self.memory_full(now));
            }
        }
        self.take_place(admission, remember, place)
    }

    fn choose_place(
        &mut self,
        now: MonotonicTime,
        admission: &Admission,
    ) -> Result<Place, Refusal> {
        let unknown = refusal(RefusalReason::UnknownTarget, CONFIGURATION_WAIT);
        let state = self.targets.get_mut(&admission.target).ok_or(unknown)?;
        let place = state.place(&self.settings, admission.class);
        let wait = state.expected_wait(admission.class);
        let hopeless = place == Place::Queue && wait >= now.until(admission.deadline);
        if place == Place::Full || hopeless {
            self.counters.overloaded += 1;
            return Err(refusal(RefusalReason::Overloaded, wait));
        }
        state
            .try_health(now, self.settings.trial_interval)
            .map_err(|wait| refusal(RefusalReason::BackEndDown, wait))?;
        Ok(place)
    }

    fn take_place(
        &mut self,
        admission: Admission,
        remember: Option<(KeyHash, [u64; 2])>,
        place: Place,
    ) -> Admit {
        let class = admission.class;
        let target = admission.target.clone();
        let phase = match place {
            Place::Slot => Phase::Admitted,
            Place::Queue | Place::Full => Phase::Queued,
        };
        let ticket = self.works.insert(Work {
            admission,
            phase,
            remember,
        });
        let Some(state) = self.targets.get_mut(&target) else {
            return Admit::Run(ticket);
        };
        if place == Place::Slot {
            state.take_slot(class);
            return Admit::Run(ticket);
        }
        self.counters.queued += 1;
        state.enqueue(class, ticket);
        Admit::Queue(ticket)
    }

    fn memory_full(&self, now: MonotonicTime) -> Refusal {
        let first = self.remembered.first_expiry();
        let wait = first.map_or(MEMORY_WAIT_LIMIT, |at| now.until(at));
        refusal(RefusalReason::MemoryFull, wait.min(MEMORY_WAIT_LIMIT))
    }

    /// Gives permission to send a request to the back end now. Call it right before, with the
    /// time of that instant. A refused ticket must still be ended by `finish`.
    pub fn start(&mut self, now: MonotonicTime, ticket: Ticket) -> Result<Clearance, Refusal> {
        self.look_at_lease(now);
        let unknown = refusal(RefusalReason::UnknownTicket, ROUTE_AGAIN);
        let work = self.works.get(ticket).ok_or(unknown)?;
        let checked = self.check(now, &work.admission).and_then(|clearance| {
            // Woken without a slot, yet not refused any more: it lost its place in the queue.
            match work.phase {
                Phase::Admitted => Ok(clearance),
                Phase::Queued => Err(refusal(RefusalReason::Overloaded, ROUTE_AGAIN)),
                Phase::Started(_) => Err(unknown),
            }
        });
        match checked {
            Ok(clearance) => {
                self.note_start(now, ticket, &clearance);
                Ok(clearance)
            }
            Err(refusal) => {
                self.counters.refused_at_start += 1;
                Err(refusal)
            }
        }
    }

    fn note_start(&mut self, now: MonotonicTime, ticket: Ticket, clearance: &Clearance) {
        self.counters.started += 1;
        let Some(work) = self.works.get(ticket) else {
            return;
        };
        let slice = clearance.grant.map(|grant| grant.range);
        let slice = slice.zip(work.admission.key);
        let target = work.admission.target.clone();
        self.loads.entry(target).or_default().count(slice);
        self.works.set_phase(ticket, Phase::Started(now));
    }

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
        session: wingspar_wire::SessionId,
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

    /// Ends a ticket. Returns the tickets that now have a slot and should call `start`.
    pub fn finish(&mut self, now: MonotonicTime, ticket: Ticket, finish: Finish) -> Vec<Ticket> {
        self.look_at_lease(now);
        let Some(work) = self.works.remove(ticket) else {
            return Vec::new();
        };
        self.remember_end(now, ticket, &work, &finish);
        self.count_end(&work, &finish);
        self.observe_end(now, &work, &finish);
        if !self.hand_overs.is_empty() || self.leaving_since.is_some() {
            self.look_now = true;
        }
        self.free_place(ticket, &work)
    }

    fn remember_end(&mut self, now: MonotonicTime, ticket: Ticket, work: &Work, finish: &Finish) {
        let Some(id) = work.remember else {
            return;
        };
        let service = &work.admission.service;
        let was_started = matches!(work.phase, Phase::Started(_));
        let outcome = match finish {
            Finish::NotRun(_) => None,
            Finish::Unknown | Finish::Cancelled => {
                was_started.then_some(RememberedOutcome::Unknown)
            }
            Finish::Ran {
                status,
                content_type,
                body,
            } => Some(RememberedOutcome::Ran {
                status: *status,
                content_type: content_type.clone(),
                body: body
                    .clone()
                    .filter(|body| body.len() <= self.settings.remembered_body_bytes),
            }),
        };
        let Some(outcome) = outcome else {
            self.remembered.forget_running(service, id, ticket);
            return;
        };
        let window = self.window(service);
        self.remembered.end(service, id, outcome, now, window);
    }

    /// How long requests of a service are remembered.
    pub(crate) fn window(&self, service: &ServiceName) -> Duration {
        let service = self.configuration.service(service);
        service.map_or(DEFAULT_WINDOW, |service| {
            Duration::from_millis(service.contract.idempotency_window_ms)
        })
    }

    fn count_end(&mut self, work: &Work, finish: &Finish) {
        let was_started = matches!(work.phase, Phase::Started(_));
        match finish {
            Finish::Ran { .. } => self.counters.ran += 1,
            Finish::Unknown | Finish::Cancelled if was_started => self.counters.unknown += 1,
            _ => self.counters.not_run += 1,
        }
    }

    fn observe_end(&mut self, now: MonotonicTime, work: &Work, finish: &Finish) {
        let name = &work.admission.target;
        let (Phase::Started(at), Some(state)) = (work.phase, self.targets.get_mut(name)) else {
            return;
        };
        let changed = match finish {
            Finish::Ran { .. } => {
                state.observe_service_time(now.since(at));
                state.observe_success()
            }
            Finish::NotRun(NotRunProof::RefusedByBackEnd) => state.observe_success(),
            Finish::NotRun(NotRunProof::NoConnection) | Finish::Unknown => {
                state.observe_failure(now, &self.settings)
            }
            Finish::NotRun(NotRunProof::NotStarted) | Finish::Cancelled => false,
        };
        if changed {
            let (target, healthy) = (name.clone(), state.is_healthy());
            let event = AgentEvent::TargetHealth { target, healthy };
            self.pending.push(Output::Event(event));
        }
    }

    fn free_place(&mut self, ticket: Ticket, work: &Work) -> Vec<Ticket> {
        let name = &work.admission.target;
        let Some(state) = self.targets.get_mut(name) else {
            return Vec::new();
        };
        match work.phase {
            Phase::Queued => {
                state.leave_queue(work.admission.class, ticket);
            }
            Phase::Admitted | Phase::Started(_) => state.free_slot(work.admission.class),
        }
        let mut runnable = Vec::new();
        while let Some(next) = state.promote(&self.settings) {
            self.works.set_phase(next, Phase::Admitted);
            runnable.push(next);
        }
        let is_gone = state.is_idle() && !self.local.contains_key(name);
        if is_gone {
            self.targets.remove(name);
        }
        runnable
    }

    /// Guards the slices that came by loss of their owner.
    pub(crate) fn raise_guards(&mut self, now: MonotonicTime) {
        self.guards.expire(now);
        for entry in self.grants.owned() {
            let wingspar_wire::GrantState::Hold {
                takeover: Takeover::Unplanned { age_ms },
            } = entry.state
            else {
                continue;
            };
            let service = &entry.grant.service;
            let lost_at = now - Duration::from_millis(age_ms);
            let until = lost_at + self.window(service);
            if until > now {
                self.guards.raise(service, entry.grant.range, until);
            }
        }
    }
}
