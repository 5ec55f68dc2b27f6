//! One machine: its clock, its process, and what waits while the process is paused.

use std::collections::VecDeque;

use wingspar_world::{Incarnation, Machine, MonotonicTime, TargetName};

use crate::clock::Clock;
use crate::process::{Arrival, Parts, Process};

/// Messages that a paused process's sockets hold; later ones are lost.
const INBOUND_LIMIT: usize = 512;

/// A machine of the simulation.
#[derive(Debug)]
pub struct SimulatedMachine {
    /// Name, place and addresses.
    pub machine: Machine,
    /// Its clock.
    pub clock: Clock,
    /// What its process runs.
    pub parts: Parts,
    /// Back ends that run on it.
    pub targets: Vec<TargetName>,
    /// The process, while one runs.
    pub process: Option<Process>,
    /// The process makes no progress.
    pub is_paused: bool,
    /// The process was asked to stop.
    pub is_leaving: bool,
    /// The platform has taken the machine away.
    pub is_destroyed: bool,
    /// True time of the wake that is scheduled.
    pub wake_at: Option<MonotonicTime>,
    /// Ticks in a row after which the process asked to be called at once again.
    pub spins: u32,
    inbound: VecDeque<(Option<Incarnation>, Arrival)>,
}

impl SimulatedMachine {
    /// A machine without a process.
    pub fn new(machine: Machine, clock: Clock, parts: Parts, targets: Vec<TargetName>) -> Self {
        Self {
            machine,
            clock,
            parts,
            targets,
            process: None,
            is_paused: false,
            is_leaving: false,
            is_destroyed: false,
            wake_at: None,
            spins: 0,
            inbound: VecDeque::new(),
        }
    }

    /// Whether its process runs and makes progress.
    pub fn is_running(&self) -> bool {
        self.process.is_some() && !self.is_paused
    }

    /// Whether new requests may be sent to its router.
    pub fn takes_requests(&self) -> bool {
        self.parts.router && self.process.is_some() && !self.is_leaving
    }

    /// Keeps an arrival for a paused process.
    pub fn queue(&mut self, incarnation: Option<Incarnation>, arrival: Arrival) {
        let is_message = matches!(arrival, Arrival::Message { .. });
        if !is_message || self.inbound.len() < INBOUND_LIMIT {
            self.inbound.push_back((incarnation, arrival));
        }
    }

    /// Takes all that was kept.
    pub fn take_queued(&mut self) -> VecDeque<(Option<Incarnation>, Arrival)> {
        std::mem::take(&mut self.inbound)
    }

    /// Ends the process at once.
    pub fn end_process(&mut self) -> Option<Process> {
        self.is_paused = false;
        self.is_leaving = false;
        self.wake_at = None;
        self.spins = 0;
        self.inbound.clear();
        self.process.take()
    }
}
