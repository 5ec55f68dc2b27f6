//! Arrivals at machines, wakes, and the starts and ends of processes.

use std::time::Duration;

use rand::RngExt;
use wingspar_routing::Reason;
use wingspar_world::{Incarnation, MonotonicTime, NodeId};

use super::Simulation;
use super::event::{Event, ProcessPlace};
use crate::checker::{CallerOutcome, Violation};
use crate::network::MachineIndex;
use crate::process::{Arrival, Process, Timer};
use crate::request::ForwardResult;

/// Most lateness of a wake: a process drains its sockets on a tick.
const WAKE_LATENESS_MICROS: u64 = 3_000;
/// Ticks in a row that may leave something to do at once.
const MOST_SPINS: u32 = 3;
/// Time between the calls to a process that asks to be called at once.
const LEAST_WAKE_PAUSE: Duration = Duration::from_micros(50);

impl Simulation {
    pub(super) fn start_process(&mut self, index: MachineIndex) {
        let drawn = Incarnation(self.random.random());
        let now = self.now();
        let machine = &mut self.machines[index];
        if machine.process.is_some() || machine.is_destroyed {
            return;
        }
        let incarnation = self.interference.incarnation(index, drawn);
        let node = NodeId::new(machine.machine.name.clone(), incarnation);
        let local = machine.clock.local(now);
        let process = Process::start(
            &self.settings,
            machine.parts,
            index,
            node.clone(),
            &machine.machine,
            local,
        );
        machine.process = Some(process);
        self.note(|| format!("{node} starts"));
        self.deliver(index, Arrival::Tick);
    }

    /// Ends a process at once; callers connected to its router hear nothing more.
    pub(super) fn end_process(&mut self, index: MachineIndex) {
        let Some(process) = self.machines[index].end_process() else {
            return;
        };
        self.checker.ownership.forget(process.node());
        let requests: Vec<_> = process.front().requests().cloned().collect();
        for request in requests {
            let outcome = CallerOutcome::Unknown;
            let event = Event::CallerTold { request, outcome };
            self.push_after(Duration::from_millis(20), event);
        }
        self.note(|| format!("{} ends", process.node()));
    }

    pub(super) fn place(&self, index: MachineIndex) -> Option<ProcessPlace> {
        let process = self.machines[index].process.as_ref()?;
        Some(ProcessPlace {
            machine: index,
            incarnation: process.node().incarnation,
        })
    }

    pub(super) fn arrive(
        &mut self,
        index: MachineIndex,
        incarnation: Option<Incarnation>,
        arrival: Arrival,
    ) {
        let running = self.place(index).map(|place| place.incarnation);
        if running.is_none() || incarnation.is_some_and(|meant| Some(meant) != running) {
            self.nobody_there(arrival);
        } else if self.machines[index].is_paused {
            self.machines[index].queue(incarnation, arrival);
        } else {
            self.deliver(index, arrival);
        }
    }

    pub(super) fn wake(&mut self, place: ProcessPlace) {
        let index = place.machine;
        if self.place(index) != Some(place) || self.machines[index].wake_at != Some(self.now()) {
            return;
        }
        self.machines[index].wake_at = None;
        if !self.machines[index].is_paused {
            self.deliver(index, Arrival::Tick);
        }
    }

    /// Lets a paused process go on: it reads what its sockets kept.
    pub(super) fn resume(&mut self, index: MachineIndex) {
        if !self.machines[index].is_paused {
            return;
        }
        self.machines[index].is_paused = false;
        let queued = self.machines[index].take_queued();
        for (incarnation, arrival) in queued {
            self.arrive(index, incarnation, arrival);
        }
        self.deliver(index, Arrival::Tick);
    }

    /// A process takes something in and its effects are carried out.
    pub(super) fn deliver(&mut self, index: MachineIndex, mut arrival: Arrival) {
        let now = self.now();
        self.interference.arrival(now, index, &mut arrival);
        let machine = &mut self.machines[index];
        let Some(process) = &mut machine.process else {
            return;
        };
        let local = self
            .interference
            .local_time(index, machine.clock.local(now));
        let may_change_grants = matches!(
            arrival,
            Arrival::Message { .. } | Arrival::Tick | Arrival::Leave | Arrival::Store(_)
        );
        let is_tick = matches!(arrival, Arrival::Tick);
        let mut effects = Vec::new();
        process.handle(local, arrival, &mut effects);
        if is_tick {
            self.check_rest(index, local);
        }
        if may_change_grants {
            self.observe(index, local);
        }
        self.carry_out(index, effects);
        self.schedule_wake(index);
    }

    /// A process that was ticked has nothing to do until later.
    fn check_rest(&mut self, index: MachineIndex, local: MonotonicTime) {
        let machine = &mut self.machines[index];
        let Some(process) = &machine.process else {
            return;
        };
        let wants_more = process.next_wake() <= local;
        machine.spins = if wants_more { machine.spins + 1 } else { 0 };
        if machine.spins > MOST_SPINS {
            let node = process.node().clone();
            self.check(Err(Violation::Spins { node }));
        }
    }

    fn schedule_wake(&mut self, index: MachineIndex) {
        let lateness = self.random.random_range(0..WAKE_LATENESS_MICROS);
        let earliest = self.now() + LEAST_WAKE_PAUSE;
        let Some(place) = self.place(index) else {
            return;
        };
        let machine = &mut self.machines[index];
        let Some(process) = &machine.process else {
            return;
        };
        let due = machine.clock.true_time(process.next_wake());
        let due = due.max(earliest) + Duration::from_micros(lateness);
        if machine.wake_at.is_none_or(|scheduled| due < scheduled) && due < MonotonicTime::MAX {
            machine.wake_at = Some(due);
            self.queue.push(due, Event::Wake(place));
        }
    }

    fn nobody_there(&mut self, arrival: Arrival) {
        match arrival {
            Arrival::Forwarded(forwarded) => {
                let was_pooled = self.random.random_bool(0.5);
                let result = if was_pooled {
                    ForwardResult::Lost
                } else {
                    ForwardResult::NotConnected
                };
                self.send_result(None, forwarded.origin, result);
            }
            Arrival::Request(request) => {
                let outcome = CallerOutcome::NotRun;
                self.push_after(
                    Duration::from_millis(1),
                    Event::CallerTold { request, outcome },
                );
            }
            _ => {}
        }
    }

    pub(super) fn set_timer(&mut self, index: MachineIndex, at: MonotonicTime, timer: Timer) {
        let Some(place) = self.place(index) else {
            return;
        };
        let at = self.machines[index].clock.true_time(at);
        let event = Event::Arrive {
            machine: index,
            incarnation: Some(place.incarnation),
            arrival: Arrival::Timer(timer),
        };
        self.queue.push(at, event);
    }

    pub(super) fn unreachable() -> ForwardResult {
        ForwardResult::Unknown(Reason::CONNECTION_LOST)
    }
}
