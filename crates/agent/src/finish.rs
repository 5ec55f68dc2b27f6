//! The end of a request: memory, counters, health and the freed slot.

use wingspar_wire::RememberedOutcome;
use wingspar_world::MonotonicTime;

use crate::work::{Phase, Work};
use crate::{Agent, AgentEvent, Finish, NotRunProof, Output, Ticket};

impl Agent {
    /// Ends a ticket. Returns the tickets that now have a slot and should call `start`.
    pub fn finish(&mut self, now: MonotonicTime, ticket: Ticket, finish: Finish) -> Vec<Ticket> {
        self.look_at_lease(now);
        let Some(work) = self.works.remove(ticket) else {
            return Vec::new();
        };
        self.remember_end(now, ticket, &work, &finish);
        self.note_unsettled(now, &work, &finish);
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
        let was_started = matches!(work.phase, Phase::Started { .. });
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

    /// Work that may still begin keeps its slice from being given up, unless it harms no one.
    fn note_unsettled(&mut self, now: MonotonicTime, work: &Work, finish: &Finish) {
        let Phase::Started { right_until, .. } = work.phase else {
            return;
        };
        let is_unknown = matches!(finish, Finish::Unknown | Finish::Cancelled);
        let harmless = work.admission.repeatable || right_until <= now;
        if let Some(key) = work.admission.key.filter(|_| is_unknown && !harmless) {
            let service = work.admission.service.clone();
            self.unsettled.add(service, key, right_until);
        }
    }

    fn count_end(&mut self, work: &Work, finish: &Finish) {
        let was_started = matches!(work.phase, Phase::Started { .. });
        match finish {
            Finish::Ran { .. } => self.counters.ran += 1,
            Finish::Unknown | Finish::Cancelled if was_started => self.counters.unknown += 1,
            _ => self.counters.not_run += 1,
        }
    }

    fn observe_end(&mut self, now: MonotonicTime, work: &Work, finish: &Finish) {
        let name = &work.admission.target;
        let (Phase::Started { at, .. }, Some(state)) = (work.phase, self.targets.get_mut(name))
        else {
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
            Phase::Admitted | Phase::Started { .. } => state.free_slot(work.admission.class),
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
}
