//! Two regions with two zones each; in each zone a machine of a service whose keys have owners, and one of a plain one.

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use wingspar_standins::fleet::{FleetStore, Seen};

use super::DemoError;
use super::evidence::{QuotaBound, Run};
use super::machine::{Location, Machine};

/// The service whose keys have owners.
pub(super) const KEYED: &str = "stock";
/// The service that any target can serve.
pub(super) const PLAIN: &str = "orders";
/// Host of all routes.
pub(super) const HOST: &str = "shop.example";
/// Credential of the tenant without a quota.
pub(super) const HOUSE_CREDENTIAL: &str = "house-credential";
/// Credential of the tenant with one.
pub(super) const GUEST_CREDENTIAL: &str = "guest-credential";
/// The zones with their regions.
pub(super) const ZONES: [(&str, &str); 4] = [
    ("north-a", "north"),
    ("north-b", "north"),
    ("south-a", "south"),
    ("south-b", "south"),
];
/// A target gets nothing new this long after it has said that it leaves, in seconds.
pub(super) const DRAIN_S: u64 = 2;
/// A process may take this long to stop, in seconds.
pub(super) const GRACE_S: u64 = 6;
/// An evacuated zone gets nothing new after this long, in seconds.
pub(super) const EVACUATE_S: u64 = 4;
/// The span over which quotas are counted, in seconds.
pub(super) const QUOTA_WINDOW_S: f64 = 5.0;
/// Tolerated beyond a quota, in parts of it.
pub(super) const QUOTA_OVER: f64 = 0.1;
/// Tolerated beyond a quota, in requests.
pub(super) const QUOTA_SLACK: f64 = 5.0;

const GUEST: &str = "guest";
/// Requests a second of the tenant with a quota: above its part of the steady load, below what it sends later.
const GUEST_RATE: f64 = 40.0;
/// Time between two looks at something that is waited for.
const LOOK_AGAIN: Duration = Duration::from_millis(50);
/// Longest wait for something that has to come about: several times as long as a loss of owner and leader takes.
const PATIENCE: Duration = Duration::from_secs(15);
/// A heartbeat that isn't acknowledged by then is given up; the next one follows.
const HEARTBEAT_WITHIN: Duration = Duration::from_millis(300);
/// Keys by which the start is judged: of each part of the key space.
const START_KEYS: [u16; 3] = [0, 32_000, 65_535];
/// A port that is held while a deployment uses its network of loopback addresses.
const CLAIM_PORT: u16 = 7598;
/// Last byte of the address where that port is held; machines count from 1.
const CLAIM_HOST: u8 = 250;
/// The same of the store.
const STORE_HOST: u8 = 200;
/// Second byte of the first network that a demonstration may use, above those that a machine uses by itself.
const FIRST_NETWORK: u8 = 10;
/// So many second bytes are used, by process id, so that several demonstrations seldom ask for the same network.
const NETWORKS: u32 = 240;

/// The quota that one tenant has.
pub(super) fn guest_quota() -> QuotaBound {
    QuotaBound {
        tenant: GUEST.to_owned(),
        rate_per_s: GUEST_RATE,
        burst: GUEST_RATE,
        window_s: QUOTA_WINDOW_S,
        over: QUOTA_OVER,
        slack: QUOTA_SLACK,
    }
}

/// A folder that goes with its owner.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        // What stays lies in the folder for temporary files.
        let _removed = fs::remove_dir_all(&self.0);
    }
}

/// A running deployment.
pub(super) struct Deployment {
    pub(super) machines: Vec<Machine>,
    pub(super) store: FleetStore,
    pub(super) client: reqwest::Client,
    program: PathBuf,
    began_at: Instant,
    _folder: Folder,
    _network: TcpListener,
}

impl Deployment {
    /// Starts everything and waits until all is served.
    pub(super) async fn start(program: &Path) -> Result<Self, DemoError> {
        let (network, [high, low]) = claim_network()?;
        let path = std::env::temp_dir().join(format!("wingspar-demo-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        let folder = Folder(path);
        let store = FleetStore::start(SocketAddr::from(([127, high, low, STORE_HOST], 0))).await?;
        store.write("config", "main", configuration());
        let mut machines = Vec::new();
        for (zone, region) in ZONES {
            for (service, keyed) in [(KEYED, true), (PLAIN, false)] {
                let number = machines.len() as u8;
                let ip = Ipv4Addr::new(127, high, low, number + 1);
                let location = Location {
                    number,
                    ip,
                    zone,
                    region,
                    service,
                    keyed,
                };
                machines.push(Machine::start(location, &folder.0).await?);
            }
        }
        let mut deployment = Self {
            machines,
            store,
            client: reqwest::Client::builder().no_proxy().build()?,
            program: program.to_owned(),
            began_at: Instant::now(),
            _folder: folder,
            _network: network,
        };
        for machine in 0..deployment.machines.len() {
            deployment.start_process_as(machine, true).await?;
        }
        deployment
            .until("all is served", Deployment::serves_all)
            .await?;
        Ok(deployment)
    }

    /// Starts a machine's process again.
    pub(super) async fn start_process(&mut self, machine: usize) -> Result<(), DemoError> {
        self.start_process_as(machine, false).await
    }

    async fn start_process_as(
        &mut self,
        machine: usize,
        first_start: bool,
    ) -> Result<(), DemoError> {
        let store = self.store.local_addr();
        let machine = &mut self.machines[machine];
        let started = machine.start_process(&self.program, store, &ZONES, first_start);
        started.await
    }

    /// Where callers send requests.
    pub(super) fn entrances(&self) -> Vec<SocketAddr> {
        self.machines.iter().map(Machine::entrance).collect()
    }

    /// Waits until something holds; targets send heartbeats meanwhile.
    pub(super) async fn until(
        &self,
        what: &str,
        holds: impl AsyncFn(&Self) -> bool,
    ) -> Result<(), DemoError> {
        let since = Instant::now();
        loop {
            self.send_heartbeats().await;
            if holds(self).await {
                return Ok(());
            }
            if since.elapsed() > PATIENCE {
                return Err(DemoError::NotInTime(what.to_owned()));
            }
            tokio::time::sleep(LOOK_AGAIN).await;
        }
    }

    /// Lets time pass while targets send heartbeats.
    pub(super) async fn pass(&self, time: Duration) {
        let since = Instant::now();
        while since.elapsed() < time {
            self.send_heartbeats().await;
            tokio::time::sleep(LOOK_AGAIN).await;
        }
    }

    /// Sends a heartbeat for each target; whether all were acknowledged.
    pub(super) async fn send_heartbeats(&self) -> bool {
        let sequence = self.began_at.elapsed().as_millis() as u64 + 1;
        let beats = self
            .machines
            .iter()
            .filter_map(|machine| machine.heartbeat(sequence));
        let calls = beats.map(|(url, body)| {
            let call = self.client.put(url).body(body.to_string());
            call.timeout(HEARTBEAT_WITHIN).send()
        });
        let answers = futures_util::future::join_all(calls).await;
        answers.iter().all(|answer| {
            answer
                .as_ref()
                .is_ok_and(|answer| answer.status().is_success())
        })
    }

    /// Whether a machine's node is ready.
    pub(super) async fn is_ready(&self, machine: usize) -> bool {
        let url = format!("http://{}/readyz", self.machines[machine].ready());
        let asked = self.client.get(url).timeout(HEARTBEAT_WITHIN).send().await;
        asked.is_ok_and(|answer| answer.status().is_success())
    }

    async fn serves_all(&self) -> bool {
        for machine in 0..self.machines.len() {
            if !self.is_ready(machine).await {
                return false;
            }
        }
        START_KEYS.iter().all(|key| self.owner(*key).is_some())
    }

    /// The machine whose target holds a key.
    pub(super) fn owner(&self, key: u16) -> Option<usize> {
        self.machines.iter().position(|machine| machine.holds(key))
    }

    /// The machine whose node leads, as the store has it.
    pub(super) fn leader(&self) -> Option<usize> {
        let leadership = self.store.read("wingspar-leadership", "leader")?;
        let name = leadership["leader"]["node"].as_str()?;
        self.machines
            .iter()
            .position(|machine| machine.name() == name)
    }

    /// All that targets have run, in the order of time.
    pub(super) fn runs(&self, began_at: Instant) -> Vec<Run> {
        let mut runs = Vec::new();
        for machine in &self.machines {
            let zone = machine.location.zone;
            for ended in &machine.ended_targets {
                runs.extend(
                    ended
                        .seen
                        .iter()
                        .map(|seen| run(&ended.id, zone, seen, began_at)),
                );
            }
            if let Some(target) = &machine.target {
                let seen = target.seen();
                runs.extend(
                    seen.iter()
                        .map(|seen| run(&target.id(), zone, seen, began_at)),
                );
            }
        }
        runs.sort_by_key(|run| run.at_us);
        runs
    }
}

fn run(target: &str, zone: &str, seen: &Seen, began_at: Instant) -> Run {
    Run {
        id: seen.id.clone(),
        at_us: seen.at.saturating_duration_since(began_at).as_micros() as u64,
        target: target.to_owned(),
        zone: zone.to_owned(),
        key: seen.key,
        fence: seen.fence,
        tenants: seen.tenants.clone(),
    }
}

fn configuration() -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({"name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": kind, "timeout_s": 1.2,
            "slo_s": 0.4, "priority": 1, "service": service, "max_attempts": 2})
    };
    let service = |name: &str, keyed: bool| json!({"name": name, "health_path": "/healthz", "max_conns": 100, "sharded": keyed});
    json!({
        "version": 1,
        "routes": [
            route("stock", "idempotent", KEYED),
            route("reserve", "non_idempotent", KEYED),
            route("orders", "idempotent", PLAIN),
            route("book", "non_idempotent", PLAIN),
        ],
        "services": [service(KEYED, true), service(PLAIN, false)],
        "limits": {"header_bytes": 16384, "max_body_bytes": 1048576, "header_s": 3, "idle_s": 15},
        "tenants": [
            {"name": "house", "api_keys": [HOUSE_CREDENTIAL]},
            {"name": GUEST, "api_keys": [GUEST_CREDENTIAL], "rate_per_s": GUEST_RATE, "burst": GUEST_RATE},
        ],
    })
}

/// A network of loopback addresses that no other demonstration uses: two bytes of it, and what holds it.
fn claim_network() -> io::Result<(TcpListener, [u8; 2])> {
    let mut last = io::Error::from(io::ErrorKind::AddrInUse);
    let high = FIRST_NETWORK + (std::process::id() % NETWORKS) as u8;
    for low in 1..=u8::MAX {
        match TcpListener::bind((Ipv4Addr::new(127, high, low, CLAIM_HOST), CLAIM_PORT)) {
            Ok(claim) => return Ok((claim, [high, low])),
            Err(error) => last = error,
        }
    }
    Err(last)
}
