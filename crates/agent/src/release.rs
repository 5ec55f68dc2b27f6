//! Giving slices up and taking in what other agents remember.

use std::net::SocketAddr;
use std::time::Duration;

use wingspar_wire::{Message, Remember, RememberReply};
use wingspar_world::{MonotonicTime, ServiceName};

use crate::handover::Surroundings;
use crate::{Agent, AgentEvent, Output};

impl Agent {
    pub(crate) fn follow_hand_overs(&mut self) {
        let own_address = self.machine.control_address;
        let gone = self.hand_overs.follow(self.grants.owned(), own_address);
        for slice in gone {
            if !self.grants.serves_any(&slice.service, slice.range) {
                self.remembered.forget_range(&slice.service, slice.range);
                self.guards.lift(&slice.service, slice.range);
            }
        }
    }

    pub(crate) fn step_hand_overs(&mut self, now: MonotonicTime) {
        let Some(held) = self.session.running(now) else {
            return;
        };
        if self.hand_overs.is_empty() {
            return;
        }
        let (works, unsettled) = (&self.works, &self.unsettled);
        let is_running = |service: &ServiceName, range| {
            works.started_in(service, range).next().is_some() || unsettled.any_in(service, range)
        };
        let surroundings = Surroundings {
            group: self.settings.group,
            node: &self.node,
            own_address: self.machine.control_address,
            session: held.id,
            leader: self.session.destination(),
            repeat: self.settings.hand_over_repeat,
            remember_timeout: self.settings.remember_timeout,
            remembered: &self.remembered,
            guards: &self.guards,
            is_running: &is_running,
        };
        let mut outputs = Vec::new();
        self.hand_overs.step(now, &surroundings, &mut outputs);
        self.count_released(&outputs);
        self.pending.append(&mut outputs);
    }

    fn count_released(&mut self, outputs: &[Output]) {
        for output in outputs {
            let Output::Event(AgentEvent::SliceReleased {
                remembered_moved, ..
            }) = output
            else {
                continue;
            };
            self.counters.slices_released += 1;
            self.counters.remembered_lost += u64::from(!remembered_moved);
        }
    }

    /// Takes in remembered requests of a slice that this agent expects.
    pub(crate) fn on_remember(
        &mut self,
        now: MonotonicTime,
        reply_to: SocketAddr,
        remember: &Remember,
    ) {
        let ordered = remember.range.first <= remember.range.last;
        if !ordered || !self.expects(remember) || !self.take_in(now, remember) {
            self.counters.messages_ignored += 1;
            return;
        }
        let reply = RememberReply {
            hand_over: remember.hand_over,
            service: remember.service.clone(),
            range: remember.range,
            part: remember.part,
        };
        self.send(reply_to, Message::RememberReply(reply));
    }

    fn expects(&self, remember: &Remember) -> bool {
        self.grants.incoming().any(|entry| {
            entry.grant.service == remember.service
                && entry.grant.fence == remember.fence
                && entry.grant.range.covers(&remember.range)
        })
    }

    fn take_in(&mut self, now: MonotonicTime, remember: &Remember) -> bool {
        if remember.guard_remaining_ms > 0 {
            let rest = Duration::from_millis(remember.guard_remaining_ms);
            self.guards
                .raise(&remember.service, remember.range, now + rest);
        }
        let window = self.window(&remember.service);
        for request in &remember.requests {
            if !remember.range.contains(request.key) {
                return false;
            }
            let ended_at = now - Duration::from_millis(request.age_ms);
            let id = (request.key, request.id);
            let outcome = request.outcome.clone();
            let taken = self
                .remembered
                .end(&remember.service, id, outcome, ended_at, window);
            if !taken {
                return false;
            }
            self.counters.remembered_taken_in += 1;
        }
        true
    }

    pub(crate) fn on_leave(&mut self, now: MonotonicTime) {
        if self.leaving_since.is_some() {
            return;
        }
        self.leaving_since = Some(now);
        self.pending.push(Output::Event(AgentEvent::Leaving));
        self.session.hurry(now);
        self.wake_refused(now);
    }

    /// Ends the session once nothing is left after a `Leave`.
    pub(crate) fn finish_leaving(&mut self, now: MonotonicTime) {
        let has_session = self.session.running(now).is_some();
        let knows_grants = self.grants.is_known() || !has_session;
        let idle = self.works.is_empty() && self.grants.is_empty() && knows_grants;
        if self.leaving_since.is_none() || self.drained || !idle {
            return;
        }
        self.drained = true;
        if has_session {
            self.send_renewal(now);
        }
        self.pending.push(Output::Drained);
    }
}
