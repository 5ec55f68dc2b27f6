//! Callers and operators.

use std::time::Duration;

use rand::RngExt;
use wingspar_control::operator::{OperatorReply, OperatorRequest};
use wingspar_world::{ConfigVersion, MonotonicTime};

use super::event::Event;
use super::{ROLLOUT_INTERVAL, Simulation};
use crate::backend::RequestId;
use crate::checker::{CallerOutcome, ChangeVerdict};
use crate::network::{MachineIndex, Place};
use crate::operators::{ANSWER_TIMEOUT, ASK_PAUSE, OperatorStep, pointed_leader};
use crate::process::Arrival;
use crate::request::CallerRequest;

/// First id of the questions about the configuration in force; operators' asks stay below.
const FIRST_ROLLOUT_ID: u64 = 1 << 40;
/// Time beyond its deadline that a caller waits for an answer.
const CALLER_PATIENCE: Duration = Duration::from_millis(1_500);

impl Simulation {
    pub(super) fn next_request(&mut self) {
        let request = self.callers.draw(&mut self.random);
        self.send_request(request);
        let mean = 1_000_000 / u64::from(self.scenario.requests_per_second);
        let pause = Duration::from_micros(self.random.random_range(0..2 * mean));
        self.push_after(pause, Event::NextRequest);
    }

    pub(super) fn send_request(&mut self, request: CallerRequest) {
        let routers = (0..self.machines.len()).filter(|one| self.machines[*one].takes_requests());
        let routers: Vec<_> = routers.collect();
        let outcome = CallerOutcome::Unknown;
        if routers.is_empty() {
            let outcome = CallerOutcome::NotRun;
            let event = Event::CallerTold { request, outcome };
            return self.push_after(Duration::from_millis(1), event);
        }
        let to = routers[self.random.random_range(0..routers.len())];
        let now = self.now();
        let place = Place::Machine(to);
        match self
            .network
            .stream(&mut self.random, now, Place::Outside, place)
        {
            Some(at) => self.push_arrival(at, to, Arrival::Request(request)),
            None => {
                let patience = request.deadline + CALLER_PATIENCE;
                self.push_after(patience, Event::CallerTold { request, outcome });
            }
        }
    }

    pub(super) fn answer_caller(
        &mut self,
        index: MachineIndex,
        request: CallerRequest,
        outcome: CallerOutcome,
    ) {
        let told = self.interference.told(&request, outcome);
        let checked = self
            .checker
            .outcomes
            .answered(request.id, request.work, told);
        self.check(checked);
        let now = self.now();
        if let (CallerOutcome::Ran(_), Some(key)) = (told, &request.key) {
            self.last_ran.insert(key.clone(), now);
        }
        let from = Place::Machine(index);
        let arrival = self
            .network
            .stream(&mut self.random, now, from, Place::Outside);
        let (at, outcome) = match arrival {
            Some(at) => (at, told),
            None => (now + CALLER_PATIENCE, CallerOutcome::Unknown),
        };
        self.queue.push(at, Event::CallerTold { request, outcome });
    }

    pub(super) fn caller_told(&mut self, request: CallerRequest, outcome: CallerOutcome) {
        if let Some((pause, retry)) = self.callers.told(&request, outcome) {
            self.push_after(pause, Event::RetryRequest(retry));
        }
    }

    pub(super) fn cleared(&mut self, index: MachineIndex, request: RequestId, used: ConfigVersion) {
        let Some(place) = &self.machines[index].process else {
            return;
        };
        let outcome = self.checker.configuration.used(place.node(), request, used);
        self.check(outcome);
    }

    pub(super) fn operator_proceeds(&mut self, number: usize) {
        let step = self.operators.proceed(self.now(), number);
        self.follow_operator(number, step);
    }

    pub(super) fn operator_answered(&mut self, ask: u64, reply: Option<Box<OperatorReply>>) {
        let reply = reply.map(|reply| *reply);
        if ask >= FIRST_ROLLOUT_ID {
            return self.rollout_answered(reply);
        }
        self.follow_hint(reply.as_ref());
        if let Some((number, step)) = self.operators.answered(ask, reply) {
            self.follow_operator(number, step);
        }
    }

    fn follow_operator(&mut self, number: usize, step: OperatorStep) {
        match step {
            OperatorStep::Ask { id, request } => self.ask(id, *request),
            OperatorStep::AskLater => {
                self.push_after(ASK_PAUSE, Event::OperatorProceeds(number));
            }
            OperatorStep::Settled {
                change_id,
                request,
                reply,
                verdict,
            } => {
                self.note(|| format!("operator {number}: {change_id} {verdict:?} {reply:?}"));
                self.settled(&change_id, &request, reply.as_deref(), &verdict);
                self.checker.configuration.told(&change_id, verdict);
                self.push_after(Duration::ZERO, Event::OperatorProceeds(number));
            }
            OperatorStep::Idle(Some(at)) => {
                self.queue.push(at, Event::OperatorProceeds(number));
            }
            OperatorStep::Idle(None) => {}
        }
    }

    fn settled(
        &mut self,
        change_id: &str,
        request: &OperatorRequest,
        reply: Option<&OperatorReply>,
        verdict: &ChangeVerdict,
    ) {
        if let Some(OperatorReply::MoveAccepted { version }) = reply {
            let ledger = &mut self.checker.configuration;
            ledger.assignment_acknowledged(change_id, *version);
        }
        let is_written = matches!(verdict, ChangeVerdict::Written { .. });
        if let OperatorRequest::SetDraining {
            target,
            draining: true,
            ..
        } = request
            && is_written
        {
            self.checker.leaving.drained(self.queue.now(), target);
        }
    }

    fn ask(&mut self, id: u64, request: OperatorRequest) {
        if let OperatorRequest::SetDraining {
            target,
            draining: false,
            ..
        } = &request
        {
            self.checker.leaving.undrained(target);
        }
        let to = self.choose_control();
        let now = self.now();
        let place = Place::Machine(to);
        let arrival = self
            .network
            .stream(&mut self.random, now, Place::Outside, place);
        if let Some(at) = arrival {
            self.push_arrival(at, to, Arrival::Operator { id, request });
        }
        let event = Event::OperatorAnswered {
            ask: id,
            reply: None,
        };
        self.push_after(ANSWER_TIMEOUT, event);
    }

    fn choose_control(&mut self) -> MachineIndex {
        if let Some(hint) = self.leader_hint.take() {
            return hint;
        }
        let candidates = (0..self.machines.len()).filter(|one| {
            let machine = &self.machines[*one];
            machine.parts.control && machine.process.is_some()
        });
        let candidates: Vec<_> = candidates.collect();
        if candidates.is_empty() {
            return 0;
        }
        candidates[self.random.random_range(0..candidates.len())]
    }

    fn follow_hint(&mut self, reply: Option<&OperatorReply>) {
        if let Some(leader) = reply.and_then(pointed_leader) {
            let mut machines = self.machines.iter();
            self.leader_hint = machines.position(|one| one.machine.name == leader.machine);
        }
    }

    pub(super) fn operator_reply(&mut self, index: MachineIndex, id: u64, reply: OperatorReply) {
        let now = self.now();
        let from = Place::Machine(index);
        let arrival = self
            .network
            .stream(&mut self.random, now, from, Place::Outside);
        if let Some(at) = arrival {
            let reply = Some(Box::new(reply));
            self.queue
                .push(at, Event::OperatorAnswered { ask: id, reply });
        }
    }

    pub(super) fn ask_rollout(&mut self) {
        let id = FIRST_ROLLOUT_ID + self.now().as_micros();
        let request = OperatorRequest::Rollout { version: None };
        if let Some(leader) = self.leader() {
            let now = self.now();
            let place = Place::Machine(leader);
            let arrival = self
                .network
                .stream(&mut self.random, now, Place::Outside, place);
            if let Some(at) = arrival {
                self.push_arrival(at, leader, Arrival::Operator { id, request });
            }
        }
        self.push_after(ROLLOUT_INTERVAL, Event::AskRollout);
    }

    fn rollout_answered(&mut self, reply: Option<OperatorReply>) {
        let Some(OperatorReply::Rollout(report)) = reply else {
            return;
        };
        if !report.in_force {
            return;
        }
        self.checker.configuration.reported_in_force(report.version);
        if let Some(time) = report.in_force_after_ms {
            self.in_force_ms.entry(report.version.0).or_insert(time);
        }
    }

    pub(super) fn wall_clock(&mut self) {
        let minutes = self.now().since(MonotonicTime::ZERO).as_secs() / 60;
        let minute = u16::try_from(minutes % 1_440).unwrap_or_default();
        for index in 0..self.machines.len() {
            self.arrive(index, None, Arrival::WallClock(minute));
        }
        self.push_after(Duration::from_secs(30), Event::WallClock);
    }
}
