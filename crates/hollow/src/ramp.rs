//! The ramp: points of rising size, and lines fitted through what each role cost.

use std::fmt::Write as _;

use serde::Serialize;

use crate::account::{Account, Role};
use crate::cluster::ClusterSettings;
use crate::fit::{Line, fit};
use crate::phases::{PhaseReport, PointReport, run_point};

/// All roles.
const ROLES: [Role; 4] = [Role::Leader, Role::Follower, Role::Agent, Role::Router];
/// The phases that lines are fitted for.
const FITTED: [&str; 7] = [
    "start",
    "steady",
    "moves",
    "configuration",
    "owner_lost",
    "leader_lost",
    "zone_lost",
];

/// A line fitted over the ramp; x is the number of agents.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RoleLine {
    /// The phase.
    pub phase: &'static str,
    /// The role.
    pub role: Role,
    /// What was measured, of one node of the role.
    pub measure: &'static str,
    /// Values by number of agents.
    pub points: Vec<(f64, f64)>,
    /// The line, with three points or more.
    pub line: Option<Line>,
}

/// A ramp's points and lines.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RampReport {
    /// Mean load of the machine at the end, over one minute, in runnable threads.
    pub load_average: Option<f64>,
    /// The points.
    pub points: Vec<PointReport>,
    /// The lines.
    pub lines: Vec<RoleLine>,
}

/// Size of one point.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Agents.
    pub agents: usize,
    /// Slices that the service starts with for each agent's target.
    pub slices_per_target: u32,
}

/// Runs the ramp; `done` is told of each point.
pub fn ramp(sizes: &[Size], routers: usize, mut done: impl FnMut(&PointReport)) -> RampReport {
    let mut points = Vec::new();
    for size in sizes {
        let settings = ClusterSettings {
            slices_per_target: size.slices_per_target,
            ..ClusterSettings::new(size.agents, routers)
        };
        let point = run_point(settings);
        done(&point);
        points.push(point);
    }
    let lines = lines(&points);
    RampReport {
        load_average: load_average(),
        points,
        lines,
    }
}

fn load_average() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").ok()?;
    text.split_whitespace().next()?.parse().ok()
}

fn nodes_of(role: Role, point: &PointReport) -> f64 {
    let members = ClusterSettings::new(point.agents, point.routers).members;
    let nodes = match role {
        Role::Leader => 1,
        Role::Follower => members - 1,
        Role::Agent => point.agents,
        Role::Router => point.routers,
    };
    nodes.max(1) as f64
}

/// Name of a measure and how to take it from an account over a number of seconds.
type Measure = (&'static str, fn(&Account, f64) -> f64);

const MEASURES: [Measure; 5] = [
    ("cpu_percent_of_a_core", |account, seconds| {
        account.cpu.as_secs_f64() / seconds * 100.0
    }),
    ("cpu_milliseconds", |account, _| {
        account.cpu.as_secs_f64() * 1_000.0
    }),
    ("messages_per_second", |account, seconds| {
        account.messages() as f64 / seconds
    }),
    ("bytes_per_second", |account, seconds| {
        account.bytes() as f64 / seconds
    }),
    ("bytes", |account, _| account.bytes() as f64),
];

fn lines(points: &[PointReport]) -> Vec<RoleLine> {
    let mut lines = Vec::new();
    for phase in FITTED {
        for role in ROLES {
            for (measure, take) in MEASURES {
                let value = |point: &PointReport| {
                    let report: &PhaseReport = point.phase(phase)?;
                    let account = report.ledger.roles.get(&role)?;
                    let seconds = report.length.as_secs_f64();
                    let value = take(account, seconds) / nodes_of(role, point);
                    Some((point.agents as f64, value))
                };
                let points: Vec<(f64, f64)> = points.iter().filter_map(value).collect();
                if points.is_empty() {
                    continue;
                }
                let line = fit(&points);
                lines.push(RoleLine {
                    phase,
                    role,
                    measure,
                    points,
                    line,
                });
            }
        }
    }
    lines
}

impl RampReport {
    /// The lines and times as a table for people.
    pub fn table(&self) -> String {
        let mut text = String::new();
        if let Some(load) = self.load_average {
            let _ = writeln!(text, "load average of the machine: {load}");
        }
        for point in &self.points {
            let _ = write!(text, "{} agents, {} slices:", point.agents, point.slices);
            for phase in &point.phases {
                match phase.done_after {
                    Some(time) => {
                        let _ = write!(text, " {} {:.2} s", phase.name, time.as_secs_f64());
                    }
                    None => {
                        let _ = write!(text, " {} NOT DONE", phase.name);
                    }
                }
            }
            let lost = point.leases_lost_with_leader;
            let _ = writeln!(text, ", leases lost with the leader {lost}");
        }
        for line in &self.lines {
            let _ = write!(text, "{} {:?} {}:", line.phase, line.role, line.measure);
            for (agents, value) in &line.points {
                let _ = write!(text, " {agents}={value:.4}");
            }
            if let Some(fit) = &line.line {
                let _ = write!(
                    text,
                    " | {:.6} (±{:.6}) a node + {:.4} (±{:.4}), r² {:.3}",
                    fit.slope, fit.slope_error, fit.intercept, fit.intercept_error, fit.r_squared
                );
            }
            text.push('\n');
        }
        text
    }
}
