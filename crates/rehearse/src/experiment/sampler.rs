//! Looks at who owns what while an experiment runs.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, sleep};
use wingspar_ctl::Client;
use wingspar_world::{ServiceName, TargetName};

use super::results::OwnerChange;
use crate::cluster::ServiceOwners;

/// Time between two looks.
const INTERVAL: Duration = Duration::from_millis(250);
/// Longest time that one look takes.
const LIMIT: Duration = Duration::from_secs(1);

/// What was seen of one service.
#[derive(Debug, Clone, Default)]
pub(super) struct Ownership {
    /// Owner of each point when last seen served.
    last: Vec<Option<TargetName>>,
    /// Changes of owner, over all points.
    moved: usize,
    /// Shares of the ring over time, noted when they change.
    pub(super) timeline: Vec<OwnerChange>,
}

impl Ownership {
    /// Share of the ring that changed its owner, each change counted.
    pub(super) fn churn(&self) -> f64 {
        match self.last.len() {
            0 => 0.0,
            points => self.moved as f64 / points as f64,
        }
    }

    fn see(&mut self, at_s: f64, owners: &ServiceOwners) {
        if self.last.is_empty() {
            self.last.clone_from(&owners.points);
        }
        for (last, now) in self.last.iter_mut().zip(&owners.points) {
            if now.is_none() || last == now {
                continue;
            }
            if last.is_some() {
                self.moved += 1;
            }
            last.clone_from(now);
        }
        let shares = owners.shares();
        let newest = self.timeline.last().map(|change| &change.shares);
        if newest != Some(&shares) {
            self.timeline.push(OwnerChange { at_s, shares });
        }
    }
}

/// What was seen of all services.
pub(super) type Seen = Arc<Mutex<BTreeMap<ServiceName, Ownership>>>;

/// Looks at services until it is dropped.
pub(super) async fn watch(client: Client, services: Vec<ServiceName>, start: Instant, seen: Seen) {
    let mut client = client.with_limit(LIMIT);
    loop {
        for service in &services {
            let Ok(report) = client.placement(service, None).await else {
                continue;
            };
            let owners = ServiceOwners::sample(&report);
            let at_s = start.elapsed().as_secs_f64();
            let mut seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
            seen.entry(service.clone()).or_default().see(at_s, &owners);
        }
        sleep(INTERVAL).await;
    }
}
