//! A deployment on loopback, embedded in this process: platform, control candidates, routers, and
//! back ends with their agents, over real sockets.

mod host;
mod machines;
mod operate;
pub mod ports;
mod spec;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use wingspar_ctl::{Client, Failure};
use wingspar_standins::backend::JournalEntry;
use wingspar_standins::platform::{Faults, MachineAction, PlatformStandIn};

pub use host::{Host, HostError, HostPlan, HostedBackend};
pub use operate::ServiceOwners;
pub use spec::{BULK_PREFIX, CHECKS_PREFIX, ClusterSpec, KEY_HEADER, ServiceSpec};

/// Longest time that one operator call takes with its repeats.
const OPERATOR_LIMIT: Duration = Duration::from_secs(10);

/// Why a deployment can't be started or steered.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// A machine did not start.
    #[error("machine {machine}: {error}")]
    Host {
        /// The machine.
        machine: String,
        /// Why.
        error: HostError,
    },
    /// A loopback address can't be had.
    #[error("loopback: {0}")]
    Io(#[from] std::io::Error),
    /// An operator's call failed.
    #[error("{call}: {failure:?}")]
    Operator {
        /// The call.
        call: String,
        /// How it failed.
        failure: Failure,
    },
    /// Something did not happen in time.
    #[error("{what} did not happen within {limit:?}: {last}")]
    Timeout {
        /// What was waited for.
        what: String,
        /// For how long.
        limit: Duration,
        /// What was seen last.
        last: String,
    },
    /// There is no such thing.
    #[error("there is no running {0}")]
    Unknown(String),
}

/// A running deployment.
#[derive(Debug)]
pub struct Cluster {
    spec: ClusterSpec,
    platform: PlatformStandIn,
    hosts: BTreeMap<String, Host>,
    plans: BTreeMap<String, HostPlan>,
    routers: Vec<SocketAddr>,
    operators: Vec<SocketAddr>,
    /// Back ends of all machines that ever ran, for their journals.
    backends: Vec<HostedBackend>,
}

impl Cluster {
    /// Starts a deployment, creates its services, and waits until they are served.
    ///
    /// # Errors
    /// When something can't be started, or is not served in time.
    pub async fn start(spec: ClusterSpec) -> Result<Self, ClusterError> {
        let platform = PlatformStandIn::start(ports::ANY).await?;
        let mut cluster = Self {
            plans: machines::plans(&spec, platform.local_addr())?,
            spec,
            platform,
            hosts: BTreeMap::new(),
            routers: Vec::new(),
            operators: Vec::new(),
            backends: Vec::new(),
        };
        cluster.start_machines().await?;
        operate::create_services(&cluster).await?;
        operate::wait_until_served(&cluster).await?;
        Ok(cluster)
    }

    async fn start_machines(&mut self) -> Result<(), ClusterError> {
        let names = self.plans.keys().cloned().collect::<Vec<_>>();
        for name in names {
            self.start_machine(&name).await?;
            let host = &self.hosts[&name];
            self.routers.extend(host.addresses().router);
            self.operators.extend(host.addresses().operators);
        }
        Ok(())
    }

    /// Starts a machine, again on the addresses that it had before.
    ///
    /// # Errors
    /// When it can't start, or runs.
    pub async fn start_machine(&mut self, name: &str) -> Result<(), ClusterError> {
        let failed = |error| ClusterError::Host {
            machine: name.to_owned(),
            error,
        };
        let plan = self.plans.get_mut(name);
        let plan = plan.ok_or_else(|| ClusterError::Unknown(format!("machine {name}")))?;
        let host = Host::start(plan.clone()).await.map_err(failed)?;
        machines::keep_addresses(plan, &host);
        self.backends.extend(host.backends().iter().cloned());
        self.platform.state().change_machine(MachineAction::Add {
            name: name.to_owned(),
            zone: plan.settings.machine.zone.to_string(),
            address: host.addresses().control.ip().to_string(),
        });
        self.hosts.insert(name.to_owned(), host);
        Ok(())
    }

    /// What the deployment was to look like.
    #[must_use]
    pub fn spec(&self) -> &ClusterSpec {
        &self.spec
    }

    /// Addresses of the routers.
    #[must_use]
    pub fn routers(&self) -> &[SocketAddr] {
        &self.routers
    }

    /// A client of the operator API.
    #[must_use]
    pub fn client(&self) -> Client {
        Client::new(self.operators.clone()).with_limit(OPERATOR_LIMIT)
    }

    /// A machine that runs.
    ///
    /// # Errors
    /// When no machine of this name runs.
    pub fn host(&self, name: &str) -> Result<&Host, ClusterError> {
        let host = self.hosts.get(name);
        host.ok_or_else(|| ClusterError::Unknown(format!("machine {name}")))
    }

    /// Ends a machine as a crash would.
    ///
    /// # Errors
    /// When no machine of this name runs.
    pub fn kill(&mut self, name: &str) -> Result<(), ClusterError> {
        let host = self.hosts.remove(name);
        let host = host.ok_or_else(|| ClusterError::Unknown(format!("machine {name}")))?;
        host.kill();
        Ok(())
    }

    /// Replaces the faults of the platform.
    pub fn set_platform_faults(&self, faults: Faults) {
        self.platform.set_faults(faults);
    }

    /// Back ends of all machines that ever ran.
    #[must_use]
    pub fn backends(&self) -> &[HostedBackend] {
        &self.backends
    }

    /// The joined journals of all back ends that ever ran, and the number of entries they dropped.
    #[must_use]
    pub fn journals(&self) -> (Vec<JournalEntry>, u64) {
        let mut entries = Vec::new();
        let mut dropped = 0;
        for backend in &self.backends {
            let journal = backend.state.journal();
            entries.extend(journal.entries_from(0));
            dropped += journal.dropped();
        }
        (entries, dropped)
    }
}
