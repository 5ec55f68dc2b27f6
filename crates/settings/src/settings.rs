//! The settings of one node, after all checks.

use std::net::SocketAddr;
use std::time::Duration;

use wingspar_world::{GroupId, Machine, MachineName, RegionName, ZoneName};

/// All settings of one node. Port 0 stands for any free port, for tests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The machine the node runs on.
    pub machine: MachineSettings,
    /// Address of the internal protocol, UDP and TCP.
    pub control_address: SocketAddr,
    /// Internal addresses of control candidates.
    pub seeds: Vec<SocketAddr>,
    /// The router, when it is on.
    pub router: Option<RouterSettings>,
    /// The agent, when it is on.
    pub agent: Option<AgentSettings>,
    /// The control candidate, when it is on.
    pub control: Option<ControlSettings>,
    /// The platform's object API, when it is named.
    pub platform: Option<PlatformSettings>,
    /// Counters, health and logs.
    pub telemetry: TelemetrySettings,
    /// Time bounds.
    pub timing: Timing,
}

/// Where the machine stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineSettings {
    /// Its name.
    pub name: MachineName,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
}

/// The router part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouterSettings {
    /// Address for callers.
    pub listen: SocketAddr,
}

/// The agent part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentSettings {
    /// Address for routers; told to them as it stands.
    pub listen: SocketAddr,
}

/// The control candidate part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlSettings {
    /// Address of the operator API.
    pub operator_listen: SocketAddr,
    /// Voting replicas of the group, an odd number.
    pub replicas: u32,
    /// The group it stands for.
    pub group: GroupId,
}

/// The platform's object API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Its base URL, `http://IP:PORT` without a trailing slash.
    pub url: String,
}

/// Counters, health and logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TelemetrySettings {
    /// Operator-only address of metrics and health; `None` serves none.
    pub listen: Option<SocketAddr>,
    /// Lines below this level are dropped.
    pub log_level: LogLevel,
    /// Whether log lines are JSON.
    pub json: bool,
}

/// Level of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum LogLevel {
    /// Broken promises and lost parts.
    Error,
    /// Something an operator should look at.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Details for tracing a fault.
    Debug,
}

/// Time bounds; see `docs/design/architecture.md` for the budget they share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Between two lease renewals.
    pub renewal: Duration,
    /// A lease, from the sending of its renewal.
    pub lease: Duration,
    /// Bound on the drift between two clocks during one lease.
    pub drift: Duration,
    /// Between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// Shortest silence of a leader that starts an election.
    pub election_min: Duration,
    /// Longest silence of a leader that starts an election.
    pub election_max: Duration,
    /// A planned stop ends after this even when work is still in flight.
    pub drain_limit: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            renewal: Duration::from_millis(400),
            lease: Duration::from_millis(1_500),
            drift: Duration::from_millis(100),
            heartbeat: Duration::from_millis(100),
            election_min: Duration::from_millis(600),
            election_max: Duration::from_millis(1_000),
            drain_limit: Duration::from_secs(90),
        }
    }
}

impl Settings {
    /// The machine as other nodes see it.
    pub fn as_machine(&self) -> Machine {
        Machine {
            name: self.machine.name.clone(),
            region: self.machine.region.clone(),
            zone: self.machine.zone.clone(),
            control_address: self.control_address,
            agent_address: self.agent.as_ref().map(|agent| agent.listen),
        }
    }
}
