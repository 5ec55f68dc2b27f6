//! Settings of a sidecar node, read from a TOML file.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use wingspar_ownership::Delivery;

/// Why settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("settings can't be read: {0}")]
    Read(#[from] std::io::Error),
    /// The text isn't TOML, a field is missing or a value has the wrong type.
    #[error("settings are wrong: {0}")]
    Parse(#[from] toml::de::Error),
    /// A value is out of range.
    #[error("settings are wrong: {field} {problem}")]
    Value {
        /// The field, prefixed with its table.
        field: &'static str,
        /// What is wrong with it.
        problem: &'static str,
    },
}

/// Settings of one node. Unknown fields are ignored.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Settings {
    /// The node itself.
    pub node: NodeSettings,
    /// Addresses and ports that the node listens on.
    pub listen: ListenSettings,
    /// The durable store.
    pub store: StoreSettings,
    /// Limits and deadlines that the platform and other nodes rely on.
    pub bounds: Bounds,
    /// Region of each zone, by zone name. A zone that isn't listed is a region of its own.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
}

/// The node and the target beside it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct NodeSettings {
    /// Name, unique among all nodes.
    pub name: String,
    /// Zone of the machine.
    pub zone: String,
    /// Service of the target beside the node.
    pub service: String,
    /// Address of the machine.
    pub address: IpAddr,
    /// Where the target listens.
    pub target: SocketAddr,
    /// Bandwidth of the machine's network link in Mbit/s; `None` if unknown.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// Memory limit of the process in MB; `None` if it isn't limited.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Whether the whole deployment starts for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// Whether the node registers itself in the store without waiting for the leader to request it.
    /// Needed while nodes of an older version, which supports no other way, are being replaced.
    #[serde(default)]
    pub registers_itself: bool,
    /// How keys are granted to the target.
    #[serde(default)]
    pub grants: Grants,
    /// Interval between the target's heartbeats in seconds; `None` if unknown.
    #[serde(default)]
    pub heartbeat_s: Option<f64>,
}

/// How keys are granted to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
pub enum Grants {
    /// By calls to the target.
    #[default]
    #[serde(rename = "rpc")]
    Calls,
    /// In the responses to the target's heartbeats.
    #[serde(rename = "heartbeat")]
    HeartbeatAnswers,
}

impl NodeSettings {
    /// How keys are granted to the target, as the ownership protocol expresses it.
    pub fn delivery(&self) -> Delivery {
        match self.grants {
            Grants::Calls => Delivery::Calls,
            Grants::HeartbeatAnswers => Delivery::HeartbeatAnswers,
        }
    }
}

/// Addresses and ports that the node listens on.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct ListenSettings {
    /// Address for requests of clients and of the target.
    pub outbound: SocketAddr,
    /// Address for readiness checks.
    pub ready: SocketAddr,
    /// Address for the target's heartbeats.
    pub heartbeats: SocketAddr,
    /// Port for other nodes, over TCP and UDP.
    pub internal_port: u16,
    /// Port for metrics and the operators' endpoint.
    pub metrics_port: u16,
}

/// The durable store.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
}

/// Share of `drain_s` for which a leaving target still starts new requests. The rest is left for
/// the requests that are already on their way.
const DRAIN_GRACE_SHARE: f64 = 0.35;
/// Upper bound of the time for which a leaving target still starts new requests, whatever `drain_s`
/// is: by then routers have received that the target is leaving.
const MAX_DRAIN_GRACE: Duration = Duration::from_millis(700);

/// Limits and deadlines that the platform and other nodes rely on. Times are in seconds.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Bounds {
    /// Time after a target's leaving was acknowledged from which the target must receive no new
    /// requests.
    pub drain_s: f64,
    /// Time between SIGTERM and the kill of the process by the platform.
    pub grace_s: f64,
    /// Retries and other extra sends to a service, as a fraction of its requests.
    pub budget_ratio: f64,
    /// Window over which extra sends are counted against `budget_ratio`.
    pub budget_window_s: f64,
    /// Extra sends allowed on top of `budget_ratio`, by all nodes together.
    pub budget_extra: f64,
    /// Longest time for which a target accepts to hold keys.
    pub max_hold_s: f64,
    /// Time after the store has acknowledged a configuration by which it must be in force on all
    /// nodes.
    #[serde(default = "default_converge_s")]
    pub converge_s: f64,
    /// Limit on the request rate of a target that is slow after its start, as a multiple of the
    /// requests per second that the configuration gives for the warm-up of its service. If it isn't
    /// set, starts aren't limited.
    #[serde(default)]
    pub warmup_rate_factor: Option<f64>,
    /// Requests per second allowed on top of `warmup_rate_factor`; 0 if not set.
    #[serde(default)]
    pub warmup_rate_extra: Option<f64>,
    /// Time after the store has acknowledged the evacuation of a zone from which no request may
    /// reach the zone's targets. If it isn't set, the node doesn't evacuate zones.
    #[serde(default)]
    pub evacuate_s: Option<f64>,
    /// Window over which a tenant's requests are counted against its quota.
    #[serde(default = "default_quota_window_s")]
    pub quota_window_s: f64,
    /// Requests beyond a tenant's quota that the operator tolerates within `quota_window_s`, as a
    /// fraction of the quota.
    #[serde(default)]
    pub quota_over: f64,
    /// Requests tolerated on top of `quota_over`.
    #[serde(default)]
    pub quota_slack: f64,
}

impl Bounds {
    /// How long a leaving target still starts new requests, until routers have received that it is
    /// leaving.
    pub fn drain_grace(&self) -> Duration {
        Duration::from_secs_f64(self.drain_s * DRAIN_GRACE_SHARE).min(MAX_DRAIN_GRACE)
    }

    /// Maximum number of requests per second that a target may receive while it is slow after its
    /// start, if the configuration gives `per_s` for its warm-up; `None` if no limit is set.
    pub fn warmup_requests(&self, per_s: f64) -> Option<f64> {
        let factor = self.warmup_rate_factor?;
        Some(per_s * factor + self.warmup_rate_extra.unwrap_or_default())
    }
}

/// Default of `converge_s`: the shortest bound that the users' documentation gives.
fn default_converge_s() -> f64 {
    2.0
}

/// Default of `quota_window_s`: as short as the time that callers usually wait.
fn default_quota_window_s() -> f64 {
    5.0
}

impl Settings {
    /// The region of a zone.
    pub fn region_of<'a>(&'a self, zone: &'a str) -> &'a str {
        self.zones.get(zone).map_or(zone, String::as_str)
    }

    /// The region of the node's own zone.
    pub fn region(&self) -> &str {
        self.region_of(&self.node.zone)
    }

    /// Reads and validates a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&std::fs::read_to_string(path)?)
    }

    /// Parses and validates settings.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings = toml::from_str::<Self>(text)?;
        settings.check()?;
        Ok(settings)
    }

    /// The address at which other nodes reach this one.
    pub fn internal(&self) -> SocketAddr {
        SocketAddr::new(self.node.address, self.listen.internal_port)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let name = &self.node.name;
        let is_valid = name
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
        if name.is_empty() || !is_valid {
            return invalid("node.name", "must be letters, digits, '-', '_' or '.'");
        }
        if self.node.service.is_empty() {
            return invalid("node.service", "is empty");
        }
        if self.listen.internal_port == self.listen.metrics_port {
            return invalid("listen.metrics_port", "is the same as listen.internal_port");
        }
        for (field, value) in [
            ("node.link_mbps", self.node.link_mbps),
            ("node.memory_mb", self.node.memory_mb),
            ("node.heartbeat_s", self.node.heartbeat_s),
        ] {
            if value.is_some_and(|value| !value.is_finite() || value <= 0.0) {
                return invalid(field, "must be a number above 0");
            }
        }
        let durations = [
            ("bounds.drain_s", self.bounds.drain_s),
            ("bounds.grace_s", self.bounds.grace_s),
            ("bounds.budget_window_s", self.bounds.budget_window_s),
            ("bounds.max_hold_s", self.bounds.max_hold_s),
            ("bounds.converge_s", self.bounds.converge_s),
            ("bounds.quota_window_s", self.bounds.quota_window_s),
        ];
        for (field, value) in durations {
            if Duration::try_from_secs_f64(value).is_err() || value <= 0.0 {
                return invalid(field, "must be a time above 0, in seconds");
            }
        }
        if let Some(value) = self.bounds.evacuate_s
            && (Duration::try_from_secs_f64(value).is_err() || value <= 0.0)
        {
            return invalid("bounds.evacuate_s", "must be a time above 0, in seconds");
        }
        for (field, value) in [
            ("bounds.warmup_rate_factor", self.bounds.warmup_rate_factor),
            ("bounds.warmup_rate_extra", self.bounds.warmup_rate_extra),
        ] {
            if value.is_some_and(|value| !value.is_finite() || value < 0.0) {
                return invalid(field, "must be a number, 0 or more");
            }
        }
        for (field, value) in [
            ("bounds.budget_ratio", self.bounds.budget_ratio),
            ("bounds.budget_extra", self.bounds.budget_extra),
            ("bounds.quota_over", self.bounds.quota_over),
            ("bounds.quota_slack", self.bounds.quota_slack),
        ] {
            if !value.is_finite() || value < 0.0 {
                return invalid(field, "must be a number, 0 or more");
            }
        }
        Ok(())
    }
}

fn invalid(field: &'static str, problem: &'static str) -> Result<(), SettingsError> {
    Err(SettingsError::Value { field, problem })
}
