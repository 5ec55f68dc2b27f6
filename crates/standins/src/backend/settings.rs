//! What a back-end stand-in is, and how it can be made to misbehave.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How long the work of a request takes, if the request doesn't say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceTime {
    /// Always the same.
    Fixed(Duration),
    /// Exponentially distributed, drawn with the server's seed.
    Exponential {
        /// Mean of the distribution.
        mean: Duration,
    },
}

/// The fixed properties of a back end.
#[derive(Debug, Clone)]
pub struct BackendSettings {
    /// Name in answers and in the journal.
    pub name: String,
    /// Requests that are worked on at the same time.
    pub slots: usize,
    /// Requests that may wait for a slot; further ones are shed.
    pub queue: usize,
    /// Cost of a new connection.
    pub connection_setup: Duration,
    /// Time that a health or load probe takes.
    pub probe_time: Duration,
    /// Work of a request.
    pub service_time: ServiceTime,
    /// Seed of the service times.
    pub seed: u64,
    /// Whether fence and grant are checked again right before the effect. Without it, work that was
    /// begun in time takes effect whatever happened since.
    pub check_before_commit: bool,
    /// Entries kept in the journal.
    pub journal_limit: usize,
    /// A second address for `/admin`, which answers also while the server is frozen.
    pub admin_address: Option<SocketAddr>,
}

impl Default for BackendSettings {
    fn default() -> Self {
        Self {
            name: "backend".into(),
            slots: 20,
            queue: 100,
            connection_setup: Duration::from_millis(1),
            probe_time: Duration::ZERO,
            service_time: ServiceTime::Fixed(Duration::from_millis(1)),
            seed: 1,
            check_before_commit: true,
            journal_limit: 200_000,
            admin_address: None,
        }
    }
}

/// What `/health` tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthReport {
    /// The truth, as late as the reports are.
    #[default]
    Truth,
    /// Always well.
    AlwaysOk,
    /// Always ill.
    AlwaysFailing,
}

/// How the server behaves now. Missing fields of the JSON form have their ordinary value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Refuses new work; work in flight is finished.
    pub draining: bool,
    /// Refuses new work as if overloaded.
    pub shed: bool,
    /// Refuses new work for this long from now, in milliseconds.
    pub cold_start_ms: u64,
    /// Stops as a whole: nothing is accepted, read, written or finished.
    pub frozen: bool,
    /// Thaws by itself after this long, in milliseconds; 0 for never. Only with `frozen`.
    pub freeze_ms: u64,
    /// Work takes this many percent of its ordinary time.
    pub work_percent: u32,
    /// Every n-th answer breaks off half-way; 0 for never.
    pub truncate_every: u64,
    /// What `/health` tells.
    pub health: HealthReport,
    /// `/load` tells this many percent of the true numbers.
    pub load_percent: u32,
    /// `/health` and `/load` tell what was true this long ago, in milliseconds.
    pub report_lag_ms: u64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            draining: false,
            shed: false,
            cold_start_ms: 0,
            frozen: false,
            freeze_ms: 0,
            work_percent: 100,
            truncate_every: 0,
            health: HealthReport::Truth,
            load_percent: 100,
            report_lag_ms: 0,
        }
    }
}
