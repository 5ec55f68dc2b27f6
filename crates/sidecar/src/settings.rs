//! Settings of a sidecar node, read from TOML.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use wingspar_ownership::Delivery;

/// The settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("settings can't be read: {0}")]
    Read(#[from] std::io::Error),
    /// The text isn't TOML, a field is missing or has the wrong shape.
    #[error("settings are wrong: {0}")]
    Parse(#[from] toml::de::Error),
    /// A value is out of its bounds.
    #[error("settings are wrong: {field} {problem}")]
    Value {
        /// The field, with its table.
        field: &'static str,
        /// What is wrong with it.
        problem: &'static str,
    },
}

/// Settings of one node. Fields that aren't known are passed over.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Settings {
    /// The node itself.
    pub node: NodeSettings,
    /// Where it listens.
    pub listen: ListenSettings,
    /// The store that lasts.
    pub store: StoreSettings,
    /// Bounds that others rely on.
    pub bounds: Bounds,
    /// The region of each zone, by the zone's name; a zone that isn't named is a region of its own.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
}

/// The node and the target beside it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct NodeSettings {
    /// Name, alone of its kind among all nodes.
    pub name: String,
    /// Zone of the machine.
    pub zone: String,
    /// Service of the target beside the node.
    pub service: String,
    /// Address of the machine.
    pub address: IpAddr,
    /// Where the target listens.
    pub target: SocketAddr,
    /// What the machine's link carries, in megabits a second, if that is known.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// Memory that the process may use, in megabytes, if that is limited.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Whether the whole system starts for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// Whether the node registers itself in the store whatever the leader says: while nodes of a version are replaced that
    /// knows no other way.
    #[serde(default)]
    pub registers_itself: bool,
    /// How keys reach the target.
    #[serde(default)]
    pub grants: Grants,
    /// How often the target sends a heartbeat, in seconds, if that is known.
    #[serde(default)]
    pub heartbeat_s: Option<f64>,
}

/// How keys reach a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
pub enum Grants {
    /// By calls to it.
    #[default]
    #[serde(rename = "rpc")]
    Calls,
    /// In the answers to its heartbeats.
    #[serde(rename = "heartbeat")]
    HeartbeatAnswers,
}

impl NodeSettings {
    /// How keys reach the target.
    pub fn delivery(&self) -> Delivery {
        match self.grants {
            Grants::Calls => Delivery::Calls,
            Grants::HeartbeatAnswers => Delivery::HeartbeatAnswers,
        }
    }
}

/// Where the node listens.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct ListenSettings {
    /// Requests of clients and of the target.
    pub outbound: SocketAddr,
    /// Readiness questions.
    pub ready: SocketAddr,
    /// Heartbeats of the target.
    pub heartbeats: SocketAddr,
    /// Other nodes, over TCP and UDP.
    pub internal_port: u16,
    /// Metrics.
    pub metrics_port: u16,
}

/// The store that lasts.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct StoreSettings {
    /// Where it listens.
    pub address: SocketAddr,
}

/// New requests still start for so much of the time that is allowed for it at a target that has said that it leaves: the
/// rest is for those that are on their way.
const DRAIN_GRACE_SHARE: f64 = 0.35;
/// No longer than this, however much time is allowed: routers have learnt of it by then.
const LONGEST_DRAIN_GRACE: Duration = Duration::from_millis(700);

/// Bounds that others rely on; times in seconds.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Bounds {
    /// A target gets nothing new this long after its leaving was acknowledged.
    pub drain_s: f64,
    /// The process is killed this long after SIGTERM.
    pub grace_s: f64,
    /// Extra sends to a service, in parts of its requests.
    pub budget_ratio: f64,
    /// The span over which extra sends are counted.
    pub budget_window_s: f64,
    /// Extra sends allowed beyond the ratio, by all nodes together.
    pub budget_extra: f64,
    /// Longest hold of keys that a target takes.
    pub max_hold_s: f64,
    /// A configuration is in force everywhere this long after the store has acknowledged it.
    #[serde(default = "default_converge_s")]
    pub converge_s: f64,
    /// While a target is slow after its start it may get this many times the requests a second that the
    /// configuration names for it, and
    #[serde(default)]
    pub warmup_rate_factor: Option<f64>,
    /// so many more; if neither is known, starts aren't limited.
    #[serde(default)]
    pub warmup_rate_extra: Option<f64>,
    /// Nothing reaches a zone's targets this long after the store has acknowledged that the zone is to be emptied; if
    /// it isn't known, zones aren't emptied here.
    #[serde(default)]
    pub evacuate_s: Option<f64>,
    /// The span over which a tenant's requests are counted against its quota.
    #[serde(default = "default_quota_window_s")]
    pub quota_window_s: f64,
    /// Requests beyond a tenant's quota that the operator tolerates within that span, in parts of the quota, and
    #[serde(default)]
    pub quota_over: f64,
    /// so many more.
    #[serde(default)]
    pub quota_slack: f64,
}

impl Bounds {
    /// New requests still start this long after a target has said that it leaves, while routers learn of it.
    pub fn drain_grace(&self) -> Duration {
        Duration::from_secs_f64(self.drain_s * DRAIN_GRACE_SHARE).min(LONGEST_DRAIN_GRACE)
    }

    /// Most requests within a second that a target may get while it is slow after its start, where the configuration
    /// names `per_s`; nothing if no bound is known.
    pub fn warmup_requests(&self, per_s: f64) -> Option<f64> {
        let factor = self.warmup_rate_factor?;
        Some(per_s * factor + self.warmup_rate_extra.unwrap_or_default())
    }
}

/// The bound that holds where the settings name none: the shortest that the users' pages give.
fn default_converge_s() -> f64 {
    2.0
}

/// The span that holds where the settings name none: as short as a caller's usual patience.
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

    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&std::fs::read_to_string(path)?)
    }

    /// Reads and checks a text.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings = toml::from_str::<Self>(text)?;
        settings.check()?;
        Ok(settings)
    }

    /// Where other nodes reach this one.
    pub fn internal(&self) -> SocketAddr {
        SocketAddr::new(self.node.address, self.listen.internal_port)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let name = &self.node.name;
        let plain = name
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
        if name.is_empty() || !plain {
            return wrong("node.name", "must be letters, digits, '-', '_' or '.'");
        }
        if self.node.service.is_empty() {
            return wrong("node.service", "is empty");
        }
        if self.listen.internal_port == self.listen.metrics_port {
            return wrong("listen.metrics_port", "is the same as listen.internal_port");
        }
        for (field, value) in [
            ("node.link_mbps", self.node.link_mbps),
            ("node.memory_mb", self.node.memory_mb),
            ("node.heartbeat_s", self.node.heartbeat_s),
        ] {
            if value.is_some_and(|value| !value.is_finite() || value <= 0.0) {
                return wrong(field, "must be a number above 0");
            }
        }
        let times = [
            ("bounds.drain_s", self.bounds.drain_s),
            ("bounds.grace_s", self.bounds.grace_s),
            ("bounds.budget_window_s", self.bounds.budget_window_s),
            ("bounds.max_hold_s", self.bounds.max_hold_s),
            ("bounds.converge_s", self.bounds.converge_s),
            ("bounds.quota_window_s", self.bounds.quota_window_s),
        ];
        for (field, value) in times {
            if Duration::try_from_secs_f64(value).is_err() || value <= 0.0 {
                return wrong(field, "must be a time above 0, in seconds");
            }
        }
        if let Some(value) = self.bounds.evacuate_s
            && (Duration::try_from_secs_f64(value).is_err() || value <= 0.0)
        {
            return wrong("bounds.evacuate_s", "must be a time above 0, in seconds");
        }
        for (field, value) in [
            ("bounds.warmup_rate_factor", self.bounds.warmup_rate_factor),
            ("bounds.warmup_rate_extra", self.bounds.warmup_rate_extra),
        ] {
            if value.is_some_and(|value| !value.is_finite() || value < 0.0) {
                return wrong(field, "must be a number, 0 or more");
            }
        }
        for (field, value) in [
            ("bounds.budget_ratio", self.bounds.budget_ratio),
            ("bounds.budget_extra", self.bounds.budget_extra),
            ("bounds.quota_over", self.bounds.quota_over),
            ("bounds.quota_slack", self.bounds.quota_slack),
        ] {
            if !value.is_finite() || value < 0.0 {
                return wrong(field, "must be a number, 0 or more");
            }
        }
        Ok(())
    }
}

fn wrong(field: &'static str, problem: &'static str) -> Result<(), SettingsError> {
    Err(SettingsError::Value { field, problem })
}
