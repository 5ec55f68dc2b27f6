//! What operators do with a deployment, over the operator API.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::{Instant, sleep};
use wingspar_control::operator::{Durability, PlacementReport};
use wingspar_ctl::{Client, Failure, Moved, mint_change_id};
use wingspar_wire::{Availability, SliceStatus};
use wingspar_world::{ConfigObject, KeyHash, MachineName, ServiceName, Target, TargetName};

use super::spec::ServiceSpec;
use super::{Cluster, ClusterError};

/// Longest time until a new deployment serves.
const START_LIMIT: Duration = Duration::from_secs(30);
/// Pause between two looks at something that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Points of the ring at which owners are looked at.
const RING_POINTS: u64 = 1_024;

/// Who owns a service's keys, sampled at evenly spaced points of the ring.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceOwners {
    /// Owner at each point, in order; `None` where nobody serves.
    pub points: Vec<Option<TargetName>>,
}

impl ServiceOwners {
    /// Samples a report.
    #[must_use]
    pub fn sample(report: &PlacementReport) -> Self {
        let step = u64::MAX / RING_POINTS;
        let owner = |point: u64| {
            let hash = KeyHash(point * step);
            let mut slices = report.slices.iter();
            let slice = slices.find(|slice| slice.range.contains(hash))?;
            match &slice.status {
                SliceStatus::Served(target) => Some(target.clone()),
                SliceStatus::HandingOver { .. } | SliceStatus::Unserved { .. } => None,
            }
        };
        Self {
            points: (0..RING_POINTS).map(owner).collect(),
        }
    }

    /// Share of the ring of each owner.
    #[must_use]
    pub fn shares(&self) -> BTreeMap<TargetName, f64> {
        let mut shares = BTreeMap::new();
        for target in self.points.iter().flatten() {
            *shares.entry(target.clone()).or_insert(0.0) += 1.0 / RING_POINTS as f64;
        }
        shares
    }
}

fn failed(call: &str) -> impl FnOnce(Failure) -> ClusterError {
    let call = call.to_owned();
    move |failure| ClusterError::Operator { call, failure }
}

/// Creates policy, services and targets.
pub(super) async fn create_services(cluster: &Cluster) -> Result<(), ClusterError> {
    let mut client = cluster.client().with_limit(START_LIMIT);
    let policy = cluster.spec.policy();
    create(&mut client, ConfigObject::Policy(policy.clone())).await?;
    for service in &cluster.spec.services {
        let object = ConfigObject::Service(service.service(&policy.name));
        create(&mut client, object).await?;
        for target in targets(cluster, service)? {
            create(&mut client, ConfigObject::Target(target)).await?;
        }
    }
    Ok(())
}

async fn create(client: &mut Client, object: ConfigObject) -> Result<(), ClusterError> {
    let created = client.create(&mint_change_id(), &object).await;
    created.map_err(failed(&format!("create {}", object.store_key())))?;
    Ok(())
}

fn targets(cluster: &Cluster, service: &ServiceSpec) -> Result<Vec<Target>, ClusterError> {
    let mut targets = Vec::new();
    for (index, name) in service.target_names().into_iter().enumerate() {
        let host = cluster.host(name.as_str())?;
        targets.push(Target {
            service: service.name.clone(),
            machine: MachineName::new(name.as_str()).expect("targets and machines share names"),
            region: cluster.spec.region.clone(),
            zone: cluster.spec.zone(index),
            address: host.backends()[0].address,
            slots: service.slots,
            connections: service.connections,
            draining: false,
            name,
        });
    }
    Ok(targets)
}

/// Waits until every slice is served and every target takes work.
pub(super) async fn wait_until_served(cluster: &Cluster) -> Result<(), ClusterError> {
    let mut client = cluster.client();
    for service in &cluster.spec.services {
        let deadline = Instant::now() + START_LIMIT;
        loop {
            let report = client.placement(&service.name, None).await;
            if report
                .as_ref()
                .is_ok_and(|report| is_served(service, report))
            {
                break;
            }
            if Instant::now() >= deadline {
                return Err(ClusterError::Timeout {
                    what: format!("serving {}", service.name),
                    limit: START_LIMIT,
                    last: format!("{report:?}"),
                });
            }
            sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

fn is_served(service: &ServiceSpec, report: &PlacementReport) -> bool {
    let served = |status: &SliceStatus| matches!(status, SliceStatus::Served(_));
    let mut targets = report.targets.iter();
    let mut slices = report.slices.iter();
    let ready = targets.all(|target| target.availability == Availability::Serving);
    let all_slices = slices.all(|slice| served(&slice.status));
    let placed = !service.keyed || !report.slices.is_empty();
    ready && all_slices && placed && report.targets.len() == service.targets
}

impl Cluster {
    /// The owner of a key now.
    ///
    /// # Errors
    /// When the call fails or nobody owns it.
    pub async fn owner_of(
        &self,
        service: &ServiceName,
        key: &str,
    ) -> Result<TargetName, ClusterError> {
        let mut client = self.client();
        let report = client.placement(service, Some(key.as_bytes())).await;
        let report = report.map_err(failed("placement"))?;
        let hash = KeyHash::of(key.as_bytes());
        let mut slices = report.slices.into_iter();
        match slices.find(|slice| slice.range.contains(hash)) {
            Some(slice) => match slice.status {
                SliceStatus::Served(owner) => Ok(owner),
                status => Err(ClusterError::Unknown(format!("owner of {key}: {status:?}"))),
            },
            None => Err(ClusterError::Unknown(format!("slice of {key}"))),
        }
    }

    /// The machine of the control group's leader.
    ///
    /// # Errors
    /// When the call fails or there is none.
    pub async fn leader(&self) -> Result<String, ClusterError> {
        let group = self.client().group().await;
        let leader = group.map_err(failed("group"))?.leader;
        let leader = leader.ok_or_else(|| ClusterError::Unknown("leader".to_owned()))?;
        Ok(leader.machine.to_string())
    }

    /// Orders a key's move.
    ///
    /// # Errors
    /// When the call fails.
    pub async fn move_key(
        &self,
        service: &ServiceName,
        key: &str,
        to: &TargetName,
    ) -> Result<(), ClusterError> {
        let moved = Moved::Key(key.as_bytes().to_vec());
        let id = mint_change_id();
        let mut client = self.client();
        let ordered = client.order_move(&id, service, &moved, to, Durability::Quorum);
        ordered.await.map_err(failed("move"))?;
        Ok(())
    }

    /// Drains a target, or takes the drain back.
    ///
    /// # Errors
    /// When the call fails.
    pub async fn set_draining(
        &self,
        target: &TargetName,
        draining: bool,
    ) -> Result<(), ClusterError> {
        let id = mint_change_id();
        let mut client = self.client();
        let written = client.set_draining(&id, target, draining).await;
        written.map_err(failed("drain"))?;
        Ok(())
    }
}
