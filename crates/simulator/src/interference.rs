//! Points at which tests bend the harness, to prove that the checker notices.
//!
//! The shipped machines have no such switches. Every method leaves everything as it is by default.

use wingspar_wire::Message;
use wingspar_world::{Incarnation, MonotonicTime};

use crate::backend::Work;
use crate::checker::CallerOutcome;
use crate::network::MachineIndex;
use crate::process::Arrival;
use crate::request::CallerRequest;

/// What a test changes on the way between machines.
pub trait Interference {
    /// Sees a message before it is delivered and may change it. Returns false to drop it.
    fn message(&mut self, _now: MonotonicTime, _to: MachineIndex, _message: &mut Message) -> bool {
        true
    }

    /// Sees what any process is about to take in and may change it.
    fn arrival(&mut self, _now: MonotonicTime, _at: MachineIndex, _arrival: &mut Arrival) {}

    /// Chooses the incarnation of a process that starts again.
    fn incarnation(&mut self, _machine: MachineIndex, drawn: Incarnation) -> Incarnation {
        drawn
    }

    /// Bends the time that a process reads.
    fn local_time(&mut self, _machine: MachineIndex, read: MonotonicTime) -> MonotonicTime {
        read
    }

    /// Whether a process that is asked to stop waits for what it has in flight.
    fn waits_to_stop(&mut self) -> bool {
        true
    }

    /// Sees work before the back end's checks and may change it.
    fn work(&mut self, _work: &mut Work) {}

    /// Changes what a caller is told.
    fn told(&mut self, _request: &CallerRequest, outcome: CallerOutcome) -> CallerOutcome {
        outcome
    }

    /// Sees the platform's store after each step and may replace its contents.
    fn store(&mut self, _now: MonotonicTime, _platform: &mut crate::platform::Platform) {}
}

/// Leaves everything as it is.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoInterference;

impl Interference for NoInterference {}
