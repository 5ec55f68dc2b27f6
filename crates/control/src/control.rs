//! The composition of all parts of a control candidate.

use std::net::SocketAddr;

use wingspar_world::{Machine, MonotonicTime, NodeId};

use crate::{ControlCounters, ControlSettings, Input, Output};

/// A control candidate: spare, learner, voter or leader of one control group.
#[derive(Debug)]
pub struct Control {
    settings: ControlSettings,
    counters: ControlCounters,
    next_tick: MonotonicTime,
}

impl Control {
    /// Makes a candidate that runs on `machine`. `seeds` are internal addresses of candidates to
    /// begin with; `random_seed` spreads election timeouts.
    pub fn new(
        settings: ControlSettings,
        _node: NodeId,
        _machine: Machine,
        _seeds: Vec<SocketAddr>,
        _random_seed: u64,
        now: MonotonicTime,
    ) -> Self {
        Self {
            settings,
            counters: ControlCounters::default(),
            next_tick: now,
        }
    }

    /// Takes in one input and appends what is to be done.
    pub fn step(&mut self, now: MonotonicTime, _input: Input, _out: &mut Vec<Output>) {
        self.next_tick = now + self.settings.tick_interval;
    }

    /// When `step` must be called with `Tick` at the latest.
    pub fn next_wake(&self) -> MonotonicTime {
        self.next_tick
    }

    /// Running totals.
    pub fn counters(&self) -> &ControlCounters {
        &self.counters
    }
}
