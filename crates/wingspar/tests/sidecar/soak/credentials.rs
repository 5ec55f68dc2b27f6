//! Credentials that versions of the configuration add, take away and pass on, and what targets may be told of them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use super::faults::Faults;
use super::quotas::{self, METERED, VARIED};
use crate::deployment::Deployment;

/// A credential that every version lists.
pub const STEADY: &str = "steady";
/// The tenant that holds it.
const STEADY_TENANT: &str = "house";
/// Credentials that every version lists.
pub const LISTED: [&str; 3] = [STEADY, METERED, VARIED];
/// Credentials that come and go.
const MOVING: [&str; 4] = ["moving-1", "moving-2", "moving-3", "moving-4"];
/// Tenants that hold them.
const TENANTS: [&str; 3] = ["north", "south", "east"];
/// A credential that no version lists.
const STRANGER: &str = "stranger";
/// Mixed into a run's seed, so that credentials are drawn apart from faults and load.
const DRAWN_APART: u64 = 0x7e4a_11d5;
/// The operator's bound for a configuration.
const BOUND: Duration = Duration::from_secs(2);

/// Tenants by the credentials that a version lists.
type Holders = BTreeMap<&'static str, &'static str>;

/// All versions so far.
pub struct Credentials {
    random: ChaCha8Rng,
    versions: Vec<(Instant, Holders)>,
}

impl Credentials {
    /// No version yet.
    pub fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed ^ DRAWN_APART),
            versions: Vec::new(),
        }
    }

    /// The tenants of the next version; `lowered` says whether one has a smaller quota.
    pub fn next_version(&mut self, lowered: bool) -> Value {
        let mut holders = Holders::from([
            (STEADY, STEADY_TENANT),
            (METERED, METERED),
            (VARIED, VARIED),
        ]);
        for credential in MOVING {
            let drawn = self.random.random_range(0..=TENANTS.len());
            if let Some(tenant) = TENANTS.get(drawn) {
                holders.insert(credential, tenant);
            }
        }
        let tenant = |name: &str| {
            let held = holders.iter().filter(|(_, tenant)| **tenant == name);
            let held = held.map(|(credential, _)| *credential).collect::<Vec<_>>();
            json!({"name": name, "api_keys": held})
        };
        let mut tenants = TENANTS.map(tenant).to_vec();
        tenants.push(tenant(STEADY_TENANT));
        tenants.extend(quotas::tenants(lowered));
        self.versions.push((Instant::now(), holders));
        Value::Array(tenants)
    }

    /// A credential for a request: mostly one that is always listed.
    pub fn draw(&mut self) -> &'static str {
        match self.random.random_range(0..10) {
            0 => STRANGER,
            8 => METERED,
            9 => VARIED,
            1..=3 => MOVING[self.random.random_range(0..MOVING.len())],
            _ => STEADY,
        }
    }

    /// Whether a version written before `at` gave the credential to the tenant.
    pub fn was_held_by(&self, credential: &str, tenant: &str, at: Instant) -> bool {
        let mut before = self.versions.iter().filter(|(written, _)| *written <= at);
        before.any(|(_, holders)| holders.get(credential) == Some(&tenant))
    }

    fn holder(&self, credential: &str) -> Option<&'static str> {
        let (_, holders) = self.versions.last()?;
        holders.get(credential).copied()
    }
}

/// With no fault under way, a later version holds at every node once the operator's bound is over: who isn't listed is
/// refused, and targets are told who is. It leaves the smaller quota in force.
pub async fn the_last_version_holds(
    deployment: &Deployment,
    faults: &mut Faults,
    seed: u64,
) -> Result<(), String> {
    faults.configure_quotas(deployment, true);
    let until = Instant::now() + BOUND;
    while Instant::now() < until {
        deployment.try_heartbeats().await;
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    for node in 0..deployment.nodes.len() {
        for credential in MOVING.into_iter().chain([STEADY, STRANGER]) {
            let id = format!("last-{seed}-{node}-{credential}");
            let request =
                deployment.request_as(node, &format!("/orders/{id}"), &id, Some(credential));
            let answer = request.send().await.map_err(|error| error.to_string())?;
            let seen = deployment.seen(&id);
            let told = seen.iter().flat_map(|seen| &seen.tenants);
            let told = told.map(String::as_str).collect::<Vec<_>>();
            let expected = faults.credentials().holder(credential);
            let status = if expected.is_some() { 200 } else { 401 };
            if answer.status() != status || told != Vec::from_iter(expected) {
                let got = answer.status();
                return Err(format!(
                    "{id} got {got}, told {told:?}, held by {expected:?}"
                ));
            }
        }
    }
    Ok(())
}
