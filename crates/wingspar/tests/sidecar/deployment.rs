//! Four machines: two targets of a keyed service, two of another, and their nodes.

use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::Child;
use std::time::Duration;

use serde_json::{Value, json};
use wingspar_standins::fleet::{FleetStore, FleetTarget, Seen, TargetFaults};
use wingspar_standins::net::{Interceptor, Proxy, SharedLink};

use crate::machine::machine;
use crate::network::claim_network;

/// Where nodes serve their metrics.
const METRICS_PORT: u16 = 7621;
/// How long something may take at most before a test fails.
const PATIENCE: Duration = Duration::from_secs(40);
/// Service of the first two machines; its keys have owners.
pub const KEYED: &str = "stock";
/// Service of the other two.
pub const PLAIN: &str = "orders";

/// How a deployment differs from the plain one.
#[derive(Debug, Default)]
pub struct Wiring {
    /// More lines for the table of the node in its settings.
    pub node_settings: &'static str,
    /// Whether nodes reach the store and their targets through proxies.
    pub through_proxies: bool,
    /// Whether targets send heartbeats all the time, and take their keys in the answers.
    pub keys_by_heartbeats: bool,
    /// Whether each service has a machine in zone `a` and one in zone `b`, and zones may be evacuated.
    pub two_zones: bool,
    /// Whether nodes' logs are kept, for [`Deployment::log`].
    pub keeps_logs: bool,
    /// More lines for the table of bounds in the settings of nodes.
    pub bounds: &'static str,
    /// Whether zones `a` and `b` lie in regions of their own, `north` and `south`.
    pub two_regions: bool,
    /// Whether heartbeats leave out when the target's life began.
    pub without_births: bool,
    /// Whether nodes reach the store and their targets through interceptors.
    pub intercepted: bool,
    /// Whether targets take no grants that name another life than the present one.
    pub checks_grants: bool,
}

/// How long a node's read-out for operators may take: it may be stopped.
const READ_OUT: Duration = Duration::from_millis(300);

/// One machine.
pub struct Machine {
    /// Where its clients send requests.
    pub outbound: SocketAddr,
    /// Service of its target.
    pub service: String,
    /// Its zone.
    pub zone: &'static str,
    /// Its target, while that is up.
    pub target: Option<FleetTarget>,
    /// Between its node and the store.
    pub store_link: Proxy,
    /// Between its node and its target.
    pub target_link: Proxy,
    /// Between its node and the store, if the deployment is intercepted.
    pub store_interceptor: Interceptor,
    /// Between its node and its target, if the deployment is intercepted.
    pub target_interceptor: Interceptor,
    /// The address of its target in its node's settings.
    pub target_address: SocketAddr,
    /// Where its node tells whether it is ready.
    pub ready: SocketAddr,
    /// Where its target sends heartbeats.
    pub heartbeats: SocketAddr,
    /// Its node's settings.
    pub settings: PathBuf,
    /// Where its node's log is kept.
    pub log: Option<PathBuf>,
    /// Its node's process.
    pub process: Option<Child>,
    /// Sends the target's heartbeats.
    pub sending: Option<tokio::task::AbortHandle>,
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(sending) = &self.sending {
            sending.abort();
        }
        if let Some(process) = &mut self.process {
            let _killed = process.kill();
            let _reaped = process.wait();
        }
    }
}

/// A whole deployment.
pub struct Deployment {
    /// The metadata store.
    pub store: FleetStore,
    /// The link over which its answers reach nodes that speak to it through proxies.
    pub store_way: SharedLink,
    /// The machines.
    pub nodes: Vec<Machine>,
    /// The credential of its clients' requests, unless a request names its own.
    pub credential: Option<&'static str>,
    /// Whether heartbeats say when the target's life began.
    pub names_births: bool,
    /// Sends everything that targets, clients and operators send.
    pub client: reqwest::Client,
    folder: PathBuf,
    _network: TcpListener,
}

/// Where logs of nodes are kept beyond a test: in a folder that the tester names.
pub fn kept_logs() -> Option<PathBuf> {
    std::env::var_os("KEEP_LOGS").map(PathBuf::from)
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let logs = self.nodes.iter().filter_map(|node| node.log.as_ref());
        for (log, kept) in logs.zip(std::iter::repeat(kept_logs())) {
            let name = log.strip_prefix(std::env::temp_dir());
            let Some((kept, name)) = kept.zip(name.ok()) else {
                continue;
            };
            let kept = kept.join(name);
            let _folder = kept.parent().map(std::fs::create_dir_all);
            let _kept = std::fs::copy(log, kept);
        }
        let _removed = std::fs::remove_dir_all(&self.folder);
    }
}

/// A route of the operator.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str) -> Value {
    json!({
        "name": name, "host": "shop.example", "path_prefix": prefix, "kind": kind, "timeout_s": 1.2,
        "slo_s": 0.4, "priority": 1, "service": service, "max_attempts": 2, "unheard_of": true,
    })
}

/// Waits until something holds.
pub async fn eventually<Check, Holds>(what: &str, check: Check)
where
    Check: Fn() -> Holds,
    Holds: Future<Output = bool>,
{
    let waiting = async {
        while !check().await {
            tokio::time::sleep(Duration::from_millis(60)).await;
        }
    };
    assert!(
        tokio::time::timeout(PATIENCE, waiting).await.is_ok(),
        "not in time: {what}"
    );
}

/// The machine whose target holds a key.
pub fn key_owned_by(deployment: &Deployment, key: u16) -> Option<usize> {
    deployment
        .nodes
        .iter()
        .position(|node| node.target.as_ref().is_some_and(|target| target.holds(key)))
}

impl Deployment {
    /// Starts everything and waits until all keys are served. Each test has loopback addresses of
    /// its own.
    pub async fn start(test: u8) -> Self {
        Self::start_with(test, &Wiring::default()).await
    }

    /// As [`Self::start`], wired in another way.
    pub async fn start_with(test: u8, wiring: &Wiring) -> Self {
        let (network, [high, low]) = claim_network(test);
        let folder = std::env::temp_dir().join(format!(
            "wingspar-sidecar-{}-{high}-{low}",
            std::process::id()
        ));
        std::fs::create_dir_all(&folder).expect("a folder");
        let store = FleetStore::start(SocketAddr::from(([127, high, low, 200], 0)))
            .await
            .expect("a store");
        let store_way = SharedLink::default();
        let mut nodes = Vec::new();
        for index in 0..4_u8 {
            nodes.push(
                machine(
                    Ipv4Addr::new(127, high, low, index + 1),
                    index,
                    (&store, &store_way),
                    &folder,
                    wiring,
                )
                .await,
            );
        }
        let client = reqwest::Client::builder()
            .no_proxy()
            .build()
            .expect("a client");
        let mut deployment = Self {
            store,
            store_way,
            nodes,
            credential: None,
            names_births: !wiring.without_births,
            client,
            folder,
            _network: network,
        };
        let routes = json!([
            route("orders", "/orders/", "idempotent", PLAIN),
            route("book", "/book/", "non_idempotent", PLAIN),
            route("stock", "/stock/", "idempotent", KEYED),
            {"name": "patient", "host": "shop.example", "path_prefix": "/patient/", "kind": "non_idempotent",
                "service": PLAIN},
        ]);
        deployment.configure(3, routes);
        for node in 0..deployment.nodes.len() {
            deployment.start_process(node);
        }
        if wiring.keys_by_heartbeats {
            for node in 0..deployment.nodes.len() {
                deployment.send_heartbeats(node);
            }
        } else {
            deployment.heartbeats(1).await;
        }
        for node in 0..deployment.nodes.len() {
            deployment.ready(node).await;
        }
        eventually("all keys are served", || async {
            deployment.keyed(0, 0, "w1").await.status() == 200
                && deployment.keyed(1, 65_535, "w2").await.status() == 200
                && deployment.keyed(2, 32_000, "w3").await.status() == 200
        })
        .await;
        deployment
    }

    /// The machine whose node leads, as the store has it.
    pub fn leader(&self) -> usize {
        let leadership = self.store.read("wingspar-leadership", "leader");
        let leadership = leadership.expect("a leader");
        let name = leadership["leader"]["node"].as_str().expect("its name");
        let number = name.strip_prefix("node-").expect("a node of ours");
        number.parse().expect("its number")
    }

    /// Waits until nothing in the store has changed for a while: the first leader of all hands on to one that is fitter.
    pub async fn nothing_changes(&self) {
        let mut revision = 0;
        while revision != self.store.revision() {
            revision = self.store.revision();
            tokio::time::sleep(Duration::from_secs(6)).await;
        }
    }

    /// Writes a configuration without tenants.
    pub fn configure(&self, version: u64, routes: Value) {
        self.configure_tenants(version, routes, json!([]));
    }

    /// Writes a configuration with a maximum length of bodies, in bytes.
    pub fn configure_with_bodies(&self, version: u64, routes: Value, max_body_bytes: u64) {
        self.configure_with(version, routes, json!([]), max_body_bytes);
    }

    /// Writes a configuration.
    pub fn configure_tenants(&self, version: u64, routes: Value, tenants: Value) {
        self.configure_with(version, routes, tenants, 1_048_576);
    }

    fn configure_with(&self, version: u64, routes: Value, tenants: Value, max_body_bytes: u64) {
        let service = |name: &str, keyed: bool| {
            json!({"name": name, "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false,
                "sharded": keyed, "warm_s": 3.0, "warmup_s": 3.0, "warmup_per_s": 8.0})
        };
        let limits = json!({"header_bytes": 16384, "max_body_bytes": max_body_bytes, "header_s": 3, "idle_s": 15});
        let services = [service(KEYED, true), service(PLAIN, false)];
        let spec = json!({"version": version, "routes": routes, "services": services, "limits": limits, "tenants": tenants});
        self.store.write("config", "main", spec);
    }

    /// A request of a client of that machine that waits for two seconds.
    pub fn request(&self, node: usize, path: &str, id: &str) -> reqwest::RequestBuilder {
        self.request_within(node, path, id, 2_000)
    }

    /// A request of a client of that machine that waits so many milliseconds.
    pub fn request_within(
        &self,
        node: usize,
        path: &str,
        id: &str,
        deadline_ms: u64,
    ) -> reqwest::RequestBuilder {
        self.request_as(node, path, id, self.credential)
            .header("x-wingspar-deadline-ms", deadline_ms)
    }

    /// A request with a credential, of a client that names no deadline.
    pub fn request_as(
        &self,
        node: usize,
        path: &str,
        id: &str,
        credential: Option<&str>,
    ) -> reqwest::RequestBuilder {
        let request = self
            .client
            .post(format!("http://{}{path}", self.nodes[node].outbound))
            .header("host", "shop.example")
            .header("x-wingspar-request-id", id);
        match credential {
            Some(credential) => request.header("x-wingspar-credential", credential),
            None => request,
        }
    }

    /// The answer to a request for a key.
    pub async fn keyed(&self, node: usize, key: u16, id: &str) -> reqwest::Response {
        let request = self
            .request(node, "/stock/1", id)
            .header("x-wingspar-shard-key", key);
        request.send().await.expect("an answer")
    }

    /// Replaces what all targets do wrong.
    pub fn all_targets_do(&self, faults: TargetFaults) {
        let targets = self.nodes.iter().filter_map(|node| node.target.as_ref());
        targets.for_each(|target| target.set_faults(faults));
    }

    /// How often requests have ended targets.
    pub fn crashes(&self) -> u32 {
        let targets = self.nodes.iter().filter_map(|node| node.target.as_ref());
        targets.map(FleetTarget::crashes).sum()
    }

    /// Replaces what the targets of the service without owners do wrong.
    pub fn plain_targets_do(&self, faults: TargetFaults) {
        for node in self.nodes.iter().filter(|node| node.service == PLAIN) {
            node.target.as_ref().expect("a target").set_faults(faults);
        }
    }

    /// How often, and how, a request has run.
    pub fn seen(&self, id: &str) -> Vec<Seen> {
        let mut seen = self.all_seen();
        seen.retain(|seen| seen.id == id);
        seen
    }

    /// All requests that targets have run.
    pub fn all_seen(&self) -> Vec<Seen> {
        let targets = self.nodes.iter().filter_map(|node| node.target.as_ref());
        targets.flat_map(FleetTarget::seen).collect()
    }

    /// Whether a node says within a short time that it is ready.
    pub async fn is_ready(&self, node: usize) -> bool {
        let asked = self
            .client
            .get(format!("http://{}/readyz", self.nodes[node].ready));
        let answer = asked.timeout(READ_OUT).send().await;
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until a node is ready.
    pub async fn ready(&self, node: usize) {
        eventually("the node is ready", || self.is_ready(node)).await;
    }

    /// What a node has logged.
    pub fn log(&self, node: usize) -> String {
        let path = self.nodes[node].log.as_ref().expect("logs are kept");
        std::fs::read_to_string(path).expect("a log")
    }

    /// What a node answers an operator.
    pub async fn operate(&self, node: usize, method: reqwest::Method, path: &str) -> String {
        let address = SocketAddr::new(self.nodes[node].ready.ip(), METRICS_PORT);
        let call = self
            .client
            .request(method, format!("http://{address}{path}"));
        let answer = call.send().await.expect("an answer");
        answer.text().await.expect("a body")
    }

    /// Version of the configuration in force at a node, from its metrics.
    pub async fn configuration_version(&self, node: usize) -> Option<u64> {
        let address = SocketAddr::new(self.nodes[node].ready.ip(), METRICS_PORT);
        let metrics = self.client.get(format!("http://{address}/metrics"));
        let text = metrics.send().await.ok()?.text().await.ok()?;
        let line = text
            .lines()
            .find(|line| !line.starts_with('#') && line.contains("configuration_version"))?;
        line.rsplit(' ').next()?.parse().ok()
    }

    /// What a node tells operators of the tenants whose quotas it holds; empty if it doesn't answer.
    pub async fn quotas(&self, node: usize) -> String {
        let address = SocketAddr::new(self.nodes[node].ready.ip(), METRICS_PORT);
        let quotas = self.client.get(format!("http://{address}/quotas"));
        let quotas = quotas.timeout(READ_OUT);
        match quotas.send().await {
            Ok(answer) => answer.text().await.unwrap_or_default(),
            Err(_) => String::new(),
        }
    }

    /// The machine whose node owns a tenant's quota, if one tells so.
    pub async fn owner_of_quota(&self, tenant: &str) -> Option<usize> {
        for node in 0..self.nodes.len() {
            let quotas = self.quotas(node).await;
            let mut tenants = quotas.lines().filter_map(|line| line.split(' ').next());
            if tenants.any(|named| named == tenant) {
                return Some(node);
            }
        }
        None
    }
}
