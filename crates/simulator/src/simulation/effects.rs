//! What processes want done: messages, store requests, forwardings and answers.

use std::time::Duration;

use rand::RngExt;
use wingspar_control::{StoreReply, StoreRequest};
use wingspar_store::Answer;
use wingspar_store::operation::{Operation, Reply};
use wingspar_wire::{Channel, Outbound};

use super::Simulation;
use super::event::{BackEndExchange, Event, ProcessPlace, StoreExchange};
use crate::network::{MachineIndex, Place};
use crate::platform::Exchange;
use crate::process::{Arrival, Effect};
use crate::request::{ForwardResult, ForwardedRequest, Origin};

/// Time after which a client gives up on a silent store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long the store holds a watch that has nothing new.
const WATCH_HOLD: Duration = Duration::from_millis(1_000);
/// Time between two looks of a held watch.
const WATCH_POLL: Duration = Duration::from_millis(50);
/// Time after which a connection that can't be made is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay between an agent and a back end beside it.
const BACK_END_DELAY: Duration = Duration::from_micros(150);

impl Simulation {
    pub(super) fn carry_out(&mut self, index: MachineIndex, effects: Vec<Effect>) {
        let Some(place) = self.place(index) else {
            return;
        };
        for effect in effects {
            self.carry_out_one(place, effect);
        }
    }

    fn carry_out_one(&mut self, place: ProcessPlace, effect: Effect) {
        let index = place.machine;
        match effect {
            Effect::Send(outbound) => self.send(index, outbound),
            Effect::Store(request) => self.ask_store(place, request),
            Effect::OperatorReply { id, reply } => self.operator_reply(index, id, reply),
            Effect::Forward(forwarded) => self.forward(index, *forwarded),
            Effect::Reply { origin, result } => self.send_result(Some(index), origin, result),
            Effect::BackEnd {
                target,
                ticket,
                work,
            } => {
                let exchange = BackEndExchange {
                    process: place,
                    target,
                    ticket,
                    work,
                    is_written: false,
                };
                self.push_after(BACK_END_DELAY, Event::BackEndOffer(Box::new(exchange)));
            }
            Effect::AnswerCaller { request, outcome } => {
                self.answer_caller(index, request, outcome);
            }
            Effect::Timer { at, timer } => self.set_timer(index, at, timer),
            Effect::Cleared { request, config } => self.cleared(index, request, config),
            Effect::Event(line) => self.note_event(index, &line),
            Effect::Stopped => self.planned_stop(index),
        }
    }

    fn note_event(&mut self, index: MachineIndex, line: &str) {
        let name = self.machines[index].machine.name.clone();
        self.note(|| format!("{name}: {line}"));
    }

    fn send(&mut self, index: MachineIndex, outbound: Outbound) {
        let Some(to) = self.addresses.get(&outbound.to).copied() else {
            return;
        };
        let Some(process) = &self.machines[index].process else {
            return;
        };
        let sender = process.node().clone();
        let reply_to = self.machines[index].machine.control_address;
        let mut message = outbound.message;
        let now = self.now();
        if !self.interference.message(now, to, &mut message) {
            return;
        }
        let (from, place) = (Place::Machine(index), Place::Machine(to));
        let random = &mut self.random;
        let arrivals = match message.channel() {
            Channel::Datagram => self.network.datagram(random, now, from, place),
            Channel::Stream => self
                .network
                .stream(random, now, from, place)
                .into_iter()
                .collect(),
        };
        for at in arrivals {
            let arrival = Arrival::Message {
                sender: sender.clone(),
                reply_to,
                message: Box::new(message.clone()),
            };
            self.push_arrival(at, to, arrival);
        }
    }

    pub(super) fn push_arrival(
        &mut self,
        at: wingspar_world::MonotonicTime,
        machine: MachineIndex,
        arrival: Arrival,
    ) {
        let event = Event::Arrive {
            machine,
            incarnation: None,
            arrival,
        };
        self.queue.push(at, event);
    }

    fn ask_store(&mut self, place: ProcessPlace, request: StoreRequest) {
        let (from, now) = (Place::Machine(place.machine), self.now());
        let arrival = self
            .network
            .stream(&mut self.random, now, from, Place::Platform);
        let Some(at) = arrival else {
            let cause = "no connection".to_owned();
            let answer = Answer::Unavailable { cause };
            return self.push_store_reply(CONNECT_TIMEOUT, place, request.id, answer);
        };
        let at = at + self.platform.slowness();
        let exchange = StoreExchange {
            process: place,
            id: request.id,
            operation: request.operation,
            hold_until: at + WATCH_HOLD,
        };
        self.queue.push(at, Event::StoreRequest(Box::new(exchange)));
    }

    pub(super) fn store_request(&mut self, exchange: StoreExchange) {
        let now = self.now();
        let operation = exchange.operation.clone();
        let answer = self.platform.carry_out(&mut self.random, now, operation);
        let is_watch = matches!(exchange.operation, Operation::Watch { .. });
        match answer {
            Exchange::Answered(Reply::Changes(batch))
                if is_watch && batch.events.is_empty() && now < exchange.hold_until =>
            {
                self.push_after(WATCH_POLL, Event::StoreRequest(Box::new(exchange)));
            }
            Exchange::Answered(reply) => self.answer_from_store(&exchange, reply),
            Exchange::Refused => {
                let cause = "refused".to_owned();
                let answer = Answer::Unavailable { cause };
                let pause = Duration::from_millis(2);
                self.push_store_reply(pause, exchange.process, exchange.id, answer);
            }
            Exchange::Silent => self.push_silence(&exchange),
        }
    }

    fn answer_from_store(&mut self, exchange: &StoreExchange, reply: Reply) {
        let to = Place::Machine(exchange.process.machine);
        let now = self.now();
        match self
            .network
            .stream(&mut self.random, now, Place::Platform, to)
        {
            Some(at) => {
                let answer = Answer::Reply(reply);
                let pause = at.since(now);
                self.push_store_reply(pause, exchange.process, exchange.id, answer);
            }
            None => self.push_silence(exchange),
        }
    }

    fn push_silence(&mut self, exchange: &StoreExchange) {
        let cause = "no answer".to_owned();
        let answer = Answer::Unknown { cause };
        self.push_store_reply(STORE_TIMEOUT, exchange.process, exchange.id, answer);
    }

    fn push_store_reply(
        &mut self,
        pause: Duration,
        process: ProcessPlace,
        id: u64,
        answer: Answer,
    ) {
        let reply = Box::new(StoreReply { id, answer });
        self.push_after(pause, Event::StoreReply { process, reply });
    }

    pub(super) fn store_reply(&mut self, process: ProcessPlace, reply: StoreReply) {
        let arrival = Arrival::Store(reply);
        self.arrive(process.machine, Some(process.incarnation), arrival);
    }

    fn forward(&mut self, index: MachineIndex, forwarded: ForwardedRequest) {
        let to = self.addresses.get(&forwarded.forward.agent).copied();
        let now = self.now();
        let origin = forwarded.origin;
        let Some(to) = to.filter(|to| !self.machines[*to].is_destroyed) else {
            return self.push_result(CONNECT_TIMEOUT, origin, ForwardResult::NotConnected);
        };
        let (from, place) = (Place::Machine(index), Place::Machine(to));
        match self.network.stream(&mut self.random, now, from, place) {
            Some(at) => self.push_arrival(at, to, Arrival::Forwarded(forwarded)),
            None => {
                // A new connection is never made; on an old one the request is written and lost.
                let was_pooled = self.random.random_bool(0.5);
                let result = if was_pooled {
                    ForwardResult::Lost
                } else {
                    ForwardResult::NotConnected
                };
                self.push_result(CONNECT_TIMEOUT, origin, result);
            }
        }
    }

    /// Sends an agent's answer back to the router that asked; `from` is none when nobody is there.
    pub(super) fn send_result(
        &mut self,
        from: Option<MachineIndex>,
        origin: Origin,
        result: ForwardResult,
    ) {
        let now = self.now();
        let to = Place::Machine(origin.machine);
        let from = from.map_or(to, Place::Machine);
        match self.network.stream(&mut self.random, now, from, to) {
            Some(at) => self.push_result(at.since(now), origin, result),
            None => self.push_result(CONNECT_TIMEOUT, origin, Self::unreachable()),
        }
    }

    fn push_result(&mut self, pause: Duration, origin: Origin, result: ForwardResult) {
        let event = Event::Arrive {
            machine: origin.machine,
            incarnation: Some(origin.incarnation),
            arrival: Arrival::Result { origin, result },
        };
        self.push_after(pause, event);
    }
}
