//! Back ends at work.

use std::time::Duration;

use rand::RngExt;

use super::Simulation;
use super::event::{BackEndExchange, Event};
use crate::backend::{ExecutionId, Offer};
use crate::process::{Arrival, BackEndResult};

/// Usual service times, in milliseconds.
const SERVICE_MILLIS: std::ops::Range<u64> = 2..60;
/// Service times of the few slow requests, in milliseconds.
const SLOW_SERVICE_MILLIS: std::ops::Range<u64> = 200..2_500;
/// Time between two looks at whether a stopped process writes on.
const WRITE_POLL: Duration = Duration::from_millis(1);
/// Share of slow requests.
const SLOW_SHARE: f64 = 0.02;

impl Simulation {
    pub(super) fn back_end_offer(&mut self, mut exchange: BackEndExchange) {
        let now = self.now();
        if self.machines[exchange.process.machine].is_destroyed {
            return;
        }
        if !exchange.is_written {
            if self.place(exchange.process.machine) != Some(exchange.process) {
                return;
            }
            if self.machines[exchange.process.machine].is_paused {
                // The process was stopped between its last look at the clock and the write.
                return self.push_after(WRITE_POLL, Event::BackEndOffer(Box::new(exchange)));
            }
            exchange.is_written = true;
        }
        let Some(back_end) = self.back_ends.get_mut(&exchange.target) else {
            return;
        };
        if let Some(thaw) = back_end.thaws_at(now) {
            let event = Event::BackEndOffer(Box::new(exchange));
            return self.queue.push(thaw, event);
        }
        self.interference.work(&mut exchange.work);
        let local = self.machines[exchange.process.machine].clock.local(now);
        match back_end.offer(now, local, exchange.work.clone()) {
            Offer::Started(execution) => self.begin_execution(exchange, execution),
            Offer::StaleFence | Offer::NoGrant | Offer::Full => {
                self.answer_agent(&exchange, BackEndResult::Refused);
            }
        }
    }

    fn begin_execution(&mut self, exchange: BackEndExchange, execution: ExecutionId) {
        self.started += 1;
        let entry = self.back_ends[&exchange.target].journal()[execution.0].clone();
        let outcome = self.checker.started(&entry);
        self.check(outcome);
        let is_slow = self.random.random_bool(SLOW_SHARE);
        let range = if is_slow {
            SLOW_SERVICE_MILLIS
        } else {
            SERVICE_MILLIS
        };
        let service = Duration::from_millis(self.random.random_range(range));
        let exchange = Box::new(exchange);
        let event = Event::BackEndDone {
            exchange,
            execution,
        };
        self.push_after(service, event);
    }

    pub(super) fn back_end_done(&mut self, exchange: BackEndExchange, execution: ExecutionId) {
        let now = self.now();
        if self.machines[exchange.process.machine].is_destroyed {
            return;
        }
        let Some(back_end) = self.back_ends.get_mut(&exchange.target) else {
            return;
        };
        if let Some(thaw) = back_end.thaws_at(now) {
            let exchange = Box::new(exchange);
            let event = Event::BackEndDone {
                exchange,
                execution,
            };
            return self.queue.push(thaw, event);
        }
        let request = back_end.finish(now, execution).work.request;
        self.answer_agent(&exchange, BackEndResult::Ran(request));
    }

    fn answer_agent(&mut self, exchange: &BackEndExchange, result: BackEndResult) {
        let arrival = Arrival::BackEnd {
            ticket: exchange.ticket,
            result,
        };
        let process = exchange.process;
        self.arrive(process.machine, Some(process.incarnation), arrival);
    }
}
