//! Plain values of one version of the configuration.

use std::borrow::Borrow;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{NamedList, UnreadableCounts};

/// One whole version of what the operator wants. Copies share routes, services and tenants.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Rises with every change; a node never goes back to a lower one.
    pub version: u64,
    /// All routes.
    pub routes: NamedList<Route>,
    /// All services that routes name.
    pub services: NamedList<Service>,
    /// What a client may send and how long it may rest.
    pub limits: Limits,
    /// All tenants; if there are none, requests need no credential.
    #[serde(default)]
    pub tenants: NamedList<Tenant>,
    /// Entries of the operator's that can't be read.
    #[serde(default)]
    pub unreadable: UnreadableCounts,
}

impl Configuration {
    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Whether each name stands for one route, service or tenant.
    pub fn names_tell_apart(&self) -> bool {
        self.routes.names_tell_apart()
            && self.services.names_tell_apart()
            && self.tenants.names_tell_apart()
    }
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeatability {
    /// May run more than once.
    Idempotent,
    /// Large answers; may run more than once.
    Download,
    /// Runs at most once for each attempt of a client, as does what a node of a later version tells that isn't known here.
    #[serde(other)]
    AtMostOnce,
}

impl Repeatability {
    /// Whether a request may be sent again after it may have run.
    pub fn may_repeat(self) -> bool {
        self != Self::AtMostOnce
    }
}

/// One route: which requests it takes and where they go.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The operator's name for it.
    pub name: String,
    /// The host it belongs to, in lower case.
    pub host: String,
    /// Requests whose path begins with this take the route.
    pub path_prefix: String,
    /// What may be repeated.
    pub repeatability: Repeatability,
    /// The longest time a client's attempt is held.
    pub timeout: Option<Duration>,
    /// An answer within this time earns its full credit.
    pub objective: Option<Duration>,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Most targets that one attempt of a client may be sent to.
    pub max_attempts: u32,
    /// The services it goes to, by weight; one entry without a split.
    pub destinations: Vec<WeightedService>,
    /// Whether its requests need no credential.
    #[serde(default)]
    pub public: bool,
    /// The only regions in which its requests may run; any if there are none.
    #[serde(default)]
    pub allowed_regions: Vec<String>,
}

/// One part of a split.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service's name.
    pub service: String,
    /// Its share is this over the sum of all weights.
    pub weight: u32,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Path of its health check.
    pub health_path: String,
    /// Most connections that one target takes from all callers.
    pub max_connections: u32,
    /// Whether each key has one owner among the targets.
    pub keyed: bool,
    /// Requests a second that a target withstands while it is slow after its start; nothing if the operator sets
    /// no such bound.
    #[serde(default)]
    pub warmup_requests_per_s: Option<f64>,
}

/// A customer of the operator, whose clients are known by their credentials.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name, which targets are told.
    pub name: String,
    /// Any of these names it.
    pub credentials: Vec<Credential>,
    /// 0 is the most urgent; it goes before the priority of routes.
    pub priority: u8,
    /// What all its clients together may ask for, on all nodes together; nothing if that isn't limited.
    pub quota: Option<Quota>,
    /// The only regions in which its requests may run; any if there are none.
    pub allowed_regions: Vec<String>,
}

/// How many requests a tenant may have run.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Requests a second.
    pub rate_per_s: f64,
    /// Requests at once beyond that.
    pub burst: f64,
}

/// A secret by which a client shows whose it is. It isn't written to logs. Copies share the text.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Credential(Rc<str>);

impl Credential {
    /// A credential as clients send it.
    pub fn new(secret: String) -> Self {
        Self(secret.into())
    }

    /// The secret itself.
    pub fn secret(&self) -> &str {
        &self.0
    }
}

/// Looks a credential up by what a client has sent, without a copy of it.
impl Borrow<str> for Credential {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Debug for Credential {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Credential(..)")
    }
}

/// What a client may send and how long it may rest.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Most bytes of a request's head.
    pub header_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: u64,
    /// Longest time for a request's head to arrive.
    pub header_time: Duration,
    /// Longest time a connection may rest between requests.
    pub idle_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
