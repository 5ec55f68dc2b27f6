//! Loads of targets, smoothed over some sweeps.

use std::time::Duration;

use wingspar_world::MonotonicTime;

use super::view::View;

/// Time constant of the smoothing. Counts of some seconds scatter by several percent, which would
/// call for moves without end.
const TIME_CONSTANT: Duration = Duration::from_secs(15);

/// A change of a target's load counts at once when it is more than this part of the targets' mean load
/// and more than [`SCATTER`] allows.
const JUMP: f64 = 0.25;

/// Standard deviations within which a change of load may be scatter.
const SCATTER: f64 = 4.0;

/// Seconds over which agents count in effect: twice the time constant of their decaying counts.
const COUNTING_SECONDS: f64 = 6.0;

/// Loads of targets, smoothed over some sweeps.
#[derive(Debug, Clone, Default)]
pub(super) struct SmoothLoads {
    loads: Vec<f64>,
    /// Which targets accepted slices; another set begins anew.
    accepting: Vec<bool>,
    at: MonotonicTime,
}

impl SmoothLoads {
    /// Forgets everything.
    pub(super) fn forget(&mut self) {
        *self = Self::default();
    }

    /// Learns the present loads and answers the smoothed ones.
    pub(super) fn update(&mut self, view: &View<'_>, loads: &[f64]) -> Vec<f64> {
        let now = view.input.now;
        let targets = view.input.targets.iter();
        let accepting: Vec<bool> = targets.map(|target| target.accepts).collect();
        if self.accepting != accepting || self.loads.len() != loads.len() {
            self.accepting = accepting;
            self.loads = loads.to_vec();
        }
        let elapsed = now.since(self.at).as_secs_f64();
        let weight = 1.0 - (-elapsed / TIME_CONSTANT.as_secs_f64()).exp();
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        let scatter = SCATTER * (mean / COUNTING_SECONDS).sqrt();
        let jump = scatter.max(JUMP * mean);
        for (smooth, load) in self.loads.iter_mut().zip(loads) {
            let change = load - *smooth;
            let is_jump = change.abs() > jump;
            *smooth += change * if is_jump { 1.0 } else { weight };
        }
        self.at = now;
        self.loads.clone()
    }

    /// Takes over the loads that are expected after planned moves.
    pub(super) fn expect(&mut self, loads: Vec<f64>) {
        self.loads = loads;
    }
}
