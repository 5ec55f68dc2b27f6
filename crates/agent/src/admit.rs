//! Admission of a request to a slot or a queue, and its clearance right before the start.

use std::time::Duration;

use wingspar_world::{KeyHash, MonotonicTime};

use crate::advice::{CONFIGURATION_WAIT, ROUTE_AGAIN, refusal};
use crate::target::Place;
use crate::work::{Phase, Work};
use crate::{Admission, Admit, Agent, Clearance, Refusal, RefusalReason, Ticket};

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
                Phase::Started { .. } => Err(unknown),
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
        let started = Phase::Started {
            at: now,
            right_until: now + clearance.ttl,
        };
        self.works.set_phase(ticket, started);
    }
}
