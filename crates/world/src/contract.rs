//! Services, their contracts with callers, and their targets.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{MachineName, PolicyName, RegionName, ServiceName, TargetName, ZoneName};

/// Whether a service's state is owned key by key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// Each key has one owning target.
    Keyed,
    /// Any target may answer any request.
    Unkeyed,
}

/// Where a request carries its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeySource {
    /// The value of a header (lower-case name).
    Header(String),
    /// The segment named `{key}` in a path template such as `/stock/{key}/price`.
    PathTemplate(String),
}

/// How urgent a request is; each class has limits of its own.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum RequestClass {
    /// A person waits.
    #[default]
    Interactive,
    /// A program checks on another.
    Checks,
    /// Large downloads.
    Bulk,
}

/// A rule that tells the class and repeatability of the requests it matches.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestRule {
    /// Path prefix that the rule matches; the longest match wins.
    pub path_prefix: String,
    /// Methods that the rule matches (upper case); empty for all.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Class of the matching requests.
    #[serde(default)]
    pub class: RequestClass,
    /// Whether running a matching request twice harms no one; by default GET, HEAD and OPTIONS are
    /// repeatable and others are not.
    #[serde(default)]
    pub repeatable: Option<bool>,
}

/// Terms on which a service answers requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// Hosts (lower case, without port) that select the service; the `wingspar-service` header
    /// selects it too.
    #[serde(default)]
    pub hosts: Vec<String>,
    /// Where requests carry their key; required for keyed services.
    #[serde(default)]
    pub key: Option<KeySource>,
    /// Longest accepted key in bytes.
    #[serde(default = "defaults::max_key_bytes")]
    pub max_key_bytes: usize,
    /// Deadline of requests that name none, in milliseconds.
    #[serde(default = "defaults::deadline_ms")]
    pub default_deadline_ms: u64,
    /// Longest deadline a request may ask for, in milliseconds.
    #[serde(default = "defaults::max_deadline_ms")]
    pub max_deadline_ms: u64,
    /// How long an `Idempotency-Key` is remembered, in milliseconds.
    #[serde(default = "defaults::idempotency_window_ms")]
    pub idempotency_window_ms: u64,
    /// Answer `unknown` to requests that carry an `Idempotency-Key` without an attempt number for
    /// one window after an unplanned takeover, since they may be repeats of lost work.
    #[serde(default = "defaults::guard_unnumbered_attempts")]
    pub guard_unnumbered_attempts: bool,
    /// Rules for classes and repeatability; the longest matching prefix wins.
    #[serde(default)]
    pub rules: Vec<RequestRule>,
}

mod defaults {
    pub(super) const fn max_key_bytes() -> usize {
        512
    }
    pub(super) const fn deadline_ms() -> u64 {
        10_000
    }
    pub(super) const fn max_deadline_ms() -> u64 {
        60_000
    }
    pub(super) const fn idempotency_window_ms() -> u64 {
        600_000
    }
    pub(super) const fn guard_unnumbered_attempts() -> bool {
        true
    }
}

impl Default for Contract {
    fn default() -> Self {
        Self {
            hosts: Vec::new(),
            key: None,
            max_key_bytes: defaults::max_key_bytes(),
            default_deadline_ms: defaults::deadline_ms(),
            max_deadline_ms: defaults::max_deadline_ms(),
            idempotency_window_ms: defaults::idempotency_window_ms(),
            guard_unnumbered_attempts: defaults::guard_unnumbered_attempts(),
            rules: Vec::new(),
        }
    }
}

impl Contract {
    /// The rule for a request, if any matches.
    pub fn rule(&self, method: &str, path: &str) -> Option<&RequestRule> {
        let matches = |rule: &&RequestRule| {
            path.starts_with(&rule.path_prefix)
                && (rule.methods.is_empty() || rule.methods.iter().any(|one| one == method))
        };
        let rules = self.rules.iter().filter(matches);
        rules.max_by_key(|rule| rule.path_prefix.len())
    }

    /// Class of a request.
    pub fn class(&self, method: &str, path: &str) -> RequestClass {
        self.rule(method, path)
            .map_or(RequestClass::default(), |rule| rule.class)
    }

    /// Whether a request may run more than once.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        self.rule(method, path)
            .and_then(|rule| rule.repeatable)
            .unwrap_or(matches!(method, "GET" | "HEAD" | "OPTIONS"))
    }

    /// Deadline for a request that asks for `requested`, within the contract's bounds.
    pub fn deadline(&self, requested: Option<Duration>) -> Duration {
        let default = Duration::from_millis(self.default_deadline_ms);
        let longest = Duration::from_millis(self.max_deadline_ms);
        requested.unwrap_or(default).min(longest)
    }
}

/// A service as operators create it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// Keyed or unkeyed.
    pub kind: ServiceKind,
    /// Terms towards callers.
    #[serde(default)]
    pub contract: Contract,
    /// Policy that places its slices; required for keyed services.
    #[serde(default)]
    pub policy: Option<PolicyName>,
}

/// One back end of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The target's name, unique over all services.
    pub name: TargetName,
    /// The service it serves.
    pub service: ServiceName,
    /// The machine whose agent stands beside it.
    pub machine: MachineName,
    /// Region of the machine.
    pub region: RegionName,
    /// Zone of the machine.
    pub zone: ZoneName,
    /// Address of the back end's HTTP listener.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Connections that the agent may keep open to it.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Set by an operator: the target gives up its slices and gets no new work.
    #[serde(default)]
    pub draining: bool,
}

fn default_slots() -> u32 {
    20
}

fn default_connections() -> u32 {
    100
}
