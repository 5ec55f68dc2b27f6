//! A router's front on loopback between a test's client and scripted agents.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use wingspar_dataplane::clock::Clock;
use wingspar_dataplane::listen::ListenCounters;
use wingspar_dataplane::router_front::{FrontError, FrontSettings, SharedRouter, serve};
use wingspar_routing::{Input, Router, RouterSettings};
use wingspar_wire::{
    Availability, SliceEntry, SliceStatus, StateVersion, TableUpdate, TargetEntry,
};
use wingspar_world::{
    ConfigVersion, Configuration, Contract, Fence, GroupId, KeySource, MonotonicTime, Service,
    ServiceKind, ServiceName, SliceRange, TargetName,
};

/// Longest wait for a condition; failing takes this long, passing does not.
const PATIENCE: Duration = Duration::from_secs(20);

/// What a scripted agent does with a request for one path.
#[derive(Clone)]
pub enum Reply {
    /// Writes these bytes and keeps the connection.
    Bytes(Vec<u8>),
    /// Writes these bytes and closes the connection.
    Cut(Vec<u8>),
    /// Writes these bytes and then more and more of them until the connection breaks.
    Endless(Vec<u8>),
    /// Writes these bytes as soon as the head is there, and reads no body.
    BeforeBody(Vec<u8>),
    /// Writes nothing.
    Silence,
}

/// A request as a scripted agent received it.
#[derive(Debug, Clone)]
pub struct Received {
    pub head: String,
    pub body: Vec<u8>,
}

#[derive(Default)]
struct AgentState {
    replies: Mutex<HashMap<String, Reply>>,
    received: Mutex<Vec<Received>>,
    ended: AtomicUsize,
}

/// An agent that answers by script, byte for byte.
#[derive(Clone)]
pub struct ScriptedAgent {
    pub address: SocketAddr,
    state: Arc<AgentState>,
}

impl ScriptedAgent {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(AgentState::default());
        let shared = state.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(converse(stream, shared.clone()));
            }
        });
        Self { address, state }
    }

    pub fn on(&self, path: &str, reply: Reply) {
        let mut replies = self.state.replies.lock().unwrap();
        replies.insert(path.to_owned(), reply);
    }

    pub fn received(&self) -> Vec<Received> {
        self.state.received.lock().unwrap().clone()
    }

    /// Connections that have ended.
    pub fn ended(&self) -> usize {
        self.state.ended.load(Ordering::SeqCst)
    }
}

async fn converse(mut stream: TcpStream, state: Arc<AgentState>) {
    while let Some((head, begun)) = read_head(&mut stream).await {
        let path = head.split(' ').nth(1).unwrap().to_owned();
        let reply = state.replies.lock().unwrap().get(&path).cloned();
        if let Some(Reply::BeforeBody(bytes)) = &reply {
            let _ = stream.write_all(bytes).await;
            std::future::pending::<()>().await;
        }
        let Some(request) = read_body(&mut stream, head, begun).await else {
            break;
        };
        state.received.lock().unwrap().push(request);
        let written = match reply.unwrap_or_else(|| Reply::Bytes(ran("200 OK", "", "fine"))) {
            Reply::Bytes(bytes) | Reply::BeforeBody(bytes) => stream.write_all(&bytes).await,
            Reply::Cut(bytes) => {
                let _ = stream.write_all(&bytes).await;
                break;
            }
            Reply::Endless(bytes) => {
                while stream.write_all(&bytes).await.is_ok() {}
                break;
            }
            Reply::Silence => {
                let _ = stream.read(&mut [0; 1]).await;
                break;
            }
        };
        if written.is_err() {
            break;
        }
    }
    state.ended.fetch_add(1, Ordering::SeqCst);
}

/// A request's head, and what was read of its body with it.
async fn read_head(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    let head_length = loop {
        let end = bytes.windows(4).position(|four| four == b"\r\n\r\n");
        if let Some(end) = end {
            break end + 4;
        }
        (stream.read_buf(&mut bytes).await.ok()? > 0).then_some(())?;
    };
    let body = bytes.split_off(head_length);
    Some((String::from_utf8(bytes).unwrap(), body))
}

async fn read_body(stream: &mut TcpStream, head: String, mut body: Vec<u8>) -> Option<Received> {
    let lower = head.to_lowercase();
    let length = lower.split("content-length: ").nth(1);
    let length = length.map(|rest| rest.split("\r\n").next().unwrap().parse::<usize>().unwrap());
    let is_chunked = lower.contains("transfer-encoding: chunked");
    let is_whole = |body: &[u8]| match length {
        Some(length) => body.len() >= length,
        None => !is_chunked || body.ends_with(b"0\r\n\r\n"),
    };
    while !is_whole(&body) {
        (stream.read_buf(&mut body).await.ok()? > 0).then_some(())?;
    }
    Some(Received { head, body })
}

/// An agent's answer to a request that ran.
pub fn ran(status: &str, more_headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\nwingspar-outcome: ran\r\n{more_headers}");
    format!("{head}content-length: {length}\r\n\r\n{body}").into_bytes()
}

/// An agent's refusal.
pub fn not_run(reason: &str) -> Vec<u8> {
    let outcome = format!("wingspar-outcome: not-run\r\nwingspar-reason: {reason}\r\n");
    let status = "HTTP/1.1 503 Service Unavailable";
    format!("{status}\r\n{outcome}retry-after-ms: 1200\r\ncontent-length: 2\r\n\r\n{{}}")
        .into_bytes()
}

/// A router's front: `stoc` is keyed by `/stock/{key}` and owned by `s1` at `agents[0]`; `tal` is
/// unkeyed with one target at each agent.
pub struct Bed {
    pub agents: Vec<ScriptedAgent>,
    pub router: SharedRouter,
    pub address: SocketAddr,
    pub counters: Arc<ListenCounters>,
    pub client: reqwest::Client,
    pub clock: Clock,
    stop: Option<oneshot::Sender<()>>,
    serving: Option<JoinHandle<Result<(), FrontError>>>,
}

impl Bed {
    pub async fn start(agent_count: usize) -> Self {
        let mut agents = Vec::new();
        for _ in 0..agent_count {
            agents.push(ScriptedAgent::start().await);
        }
        let addresses: Vec<SocketAddr> = agents.iter().map(|agent| agent.address).collect();
        let mut bed = Self::with_addresses(&addresses).await;
        bed.agents = agents;
        bed
    }

    pub async fn with_addresses(addresses: &[SocketAddr]) -> Self {
        let origin = Instant::now();
        let clock: Clock = Arc::new(move || MonotonicTime::ZERO + origin.elapsed());
        let router = SharedRouter::new(Router::new(RouterSettings::default(), 5));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let counters = Arc::new(ListenCounters::default());
        let (stop, stopped) = oneshot::channel::<()>();
        let serving = tokio::spawn(serve(
            listener,
            router.clone(),
            clock.clone(),
            FrontSettings::default(),
            counters.clone(),
            async {
                let _ = stopped.await;
            },
        ));
        let bed = Self {
            agents: Vec::new(),
            router,
            address,
            counters,
            client: reqwest::Client::builder().no_proxy().build().unwrap(),
            clock,
            stop: Some(stop),
            serving: Some(serving),
        };
        bed.step(Input::Configuration(Arc::new(configuration())));
        let owner = SliceStatus::Served(target_name("s1"));
        let mut update = table(None, 1, owner);
        update.targets.push(target("s1", "stoc", addresses[0]));
        for (number, agent) in addresses.iter().enumerate() {
            update
                .targets
                .push(target(&format!("t{number}"), "tal", *agent));
        }
        bed.step(Input::Table(update));
        bed
    }

    pub fn step(&self, input: Input) {
        self.router.step((self.clock)(), input);
    }

    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// A request to a service by its header.
    pub fn request(&self, method: &str, service: &str, path: &str) -> reqwest::RequestBuilder {
        let method = method.parse().unwrap();
        let request = self.client.request(method, self.url(path));
        request.header("wingspar-service", service)
    }

    pub fn in_flight(&self) -> u32 {
        self.router.with(|router| router.in_flight())
    }

    /// Begins a planned stop and returns what to wait for.
    pub fn stop(&mut self) -> JoinHandle<Result<(), FrontError>> {
        let _ = self.stop.take().unwrap().send(());
        self.serving.take().unwrap()
    }
}

/// Waits for a condition.
pub async fn until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < PATIENCE, "waited in vain: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

pub fn table(since: Option<u64>, sequence: u64, status: SliceStatus) -> TableUpdate {
    let version = |sequence| StateVersion {
        generation: 1,
        sequence,
    };
    TableUpdate {
        group: GroupId(0),
        since: since.map(version),
        version: version(sequence),
        slices: vec![SliceEntry {
            service: ServiceName::new("stoc").unwrap(),
            range: SliceRange::FULL,
            fence: Fence {
                generation: 1,
                sequence,
            },
            status,
        }],
        targets: Vec::new(),
        more: false,
    }
}

pub fn target_name(name: &str) -> TargetName {
    TargetName::new(name).unwrap()
}

fn target(name: &str, service: &str, agent: SocketAddr) -> TargetEntry {
    TargetEntry {
        target: target_name(name),
        service: ServiceName::new(service).unwrap(),
        agent: Some(agent),
        availability: Availability::Serving,
    }
}

fn configuration() -> Configuration {
    let mut configuration = Configuration {
        version: ConfigVersion(9),
        ..Configuration::default()
    };
    let key = Some(KeySource::PathTemplate("/stock/{key}".to_owned()));
    for (name, kind, key) in [
        ("stoc", ServiceKind::Keyed, key),
        ("tal", ServiceKind::Unkeyed, None),
    ] {
        let contract = Contract {
            hosts: vec![format!("{name}.example")],
            key,
            ..Contract::default()
        };
        let name = ServiceName::new(name).unwrap();
        let service = Service {
            name: name.clone(),
            kind,
            contract,
            policy: None,
        };
        configuration
            .services
            .insert(name, (ConfigVersion(9), service));
    }
    configuration
}
