//! What the router's front costs: a direct call to an agent's stub against one through the router.
//!
//! Stub, router and client have a thread each. Run with
//! `cargo bench -p wingspar-dataplane --bench router_front`. The bounds are ratios of figures of one
//! run, the best of several short rounds taken in turn, so that a slow or busy machine does not fail
//! them; exits 1 if one is broken.

use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::StreamExt;
use salvo::http::ResBody;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use wingspar_dataplane::clock::Clock;
use wingspar_dataplane::listen::{self, ListenSettings};
use wingspar_dataplane::router_front::{self, FrontSettings, SharedRouter};
use wingspar_routing::{Input, Router, RouterSettings};
use wingspar_wire::{Availability, StateVersion, TableUpdate, TargetEntry, headers};
use wingspar_world::{
    ConfigVersion, Configuration, Contract, GroupId, MonotonicTime, Service, ServiceKind,
    ServiceName, TargetName,
};

const SERVICE: &str = "tal";
const REQUESTS_PER_SECOND: u32 = 2_200;
const ROUNDS: u32 = 8;
/// Calls in one round at the fixed rate.
const ROUND_CALLS: u32 = REQUESTS_PER_SECOND / 2;
const FLAT_OUT_CONNECTIONS: usize = 32;
const FLAT_OUT_TIME: Duration = Duration::from_secs(1);
/// Most accepted median through the router, as a multiple of the direct one.
const MAX_MEDIAN_RATIO: f64 = 8.0;
/// Most accepted median of streamed answers as a multiple of answers of known length, both through
/// the router. The delay of acknowledgements that Nagle's algorithm runs into would be 40 ms.
const MAX_STREAMED_RATIO: f64 = 8.0;
/// Most accepted processor time of a request in the router's thread, as a multiple of the stub's.
const MAX_PROCESSOR_RATIO: f64 = 6.0;
/// Least accepted throughput through the router, as a share of the direct one.
const MIN_THROUGHPUT_RATIO: f64 = 0.15;

fn main() {
    let agent = start(|listener| {
        let settings = ListenSettings::default();
        let never = std::future::pending();
        async move {
            let served = listen::serve(listener, Stub, settings, Arc::default(), never).await;
            served.expect("the stub serves");
        }
    });
    let agent_address = agent.address;
    let router = start(move |listener| serve_router(listener, agent_address));
    let runtime = runtime();
    let client = client();
    let rows = [
        ("known, direct", &agent, "known"),
        ("known, router", &router, "known"),
        ("streamed, direct", &agent, "streamed"),
        ("streamed, router", &router, "streamed"),
    ];
    let rows = rows.map(|(name, server, path)| (name, format!("http://{}/{path}", server.address)));
    let mut best = [Round::WORST; 4];
    for _ in 0..ROUNDS {
        for ((_, url), best) in rows.iter().zip(&mut best) {
            best.improve(runtime.block_on(open_loop(&client, url)));
        }
    }
    println!(
        "{:<30} {:>9} {:>9} {:>9}",
        "at 2,200 requests/s", "p50 µs", "p99 µs", "failed"
    );
    for ((name, _), best) in rows.iter().zip(&best) {
        println!(
            "{name:<30} {:>9.0} {:>9.0} {:>9}",
            best.median, best.tail, best.failed
        );
    }
    let medians = best.map(|best| best.median);
    let (mut throughputs, mut called) = ([0.0_f64; 2], [0; 2]);
    let servers = [&agent, &router];
    let before = servers.map(Running::processor_time);
    for _ in 0..ROUNDS {
        for (number, server) in servers.iter().enumerate() {
            let url = format!("http://{}/known", server.address);
            let (throughput, count) = runtime.block_on(flat_out(&client, &url));
            throughputs[number] = throughputs[number].max(throughput);
            called[number] += count;
        }
    }
    // Every call ends at the stub, through the router or not.
    let spent = [0, 1].map(|number: usize| servers[number].processor_time() - before[number]);
    let stub_time = spent[0] / f64::from(called[0] + called[1]);
    let router_time = spent[1] / f64::from(called[1]);
    println!(
        "{:<30} {:>9.0} requests/s",
        "flat out, direct", throughputs[0]
    );
    println!(
        "{:<30} {:>9.0} requests/s",
        "flat out, router", throughputs[1]
    );
    println!("{:<30} {stub_time:>9.1} µs", "processor time, stub");
    println!("{:<30} {router_time:>9.1} µs", "processor time, router");
    let throughput = throughputs[1] / throughputs[0];
    let bounds = [
        (
            "median, router / direct",
            medians[1] / medians[0],
            MAX_MEDIAN_RATIO,
        ),
        (
            "median, streamed / known",
            medians[3] / medians[1],
            MAX_STREAMED_RATIO,
        ),
        (
            "processor, router / stub",
            router_time / stub_time,
            MAX_PROCESSOR_RATIO,
        ),
        (
            "throughput, direct / router",
            1.0 / throughput,
            1.0 / MIN_THROUGHPUT_RATIO,
        ),
    ];
    let mut is_broken = false;
    for (name, value, bound) in bounds {
        let verdict = if value <= bound { "ok" } else { "BROKEN" };
        println!("{name:<30} {value:>9.2} (bound {bound:.2}) {verdict}");
        is_broken |= value > bound;
    }
    std::process::exit(i32::from(is_broken));
}

/// A server on a thread of its own.
struct Running {
    address: SocketAddr,
    /// Where Linux tells the thread's processor time.
    statistics: PathBuf,
}

impl Running {
    /// Processor time of the thread so far in microseconds.
    fn processor_time(&self) -> f64 {
        let text = std::fs::read_to_string(&self.statistics).expect("Linux's statistics");
        let nanos = text.split(' ').next().expect("three numbers");
        nanos.parse::<f64>().expect("nanoseconds") / 1e3
    }
}

fn start<Serving>(serve: impl FnOnce(TcpListener) -> Serving + Send + 'static) -> Running
where
    Serving: Future<Output = ()>,
{
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let thread = std::fs::read_link("/proc/thread-self").expect("Linux");
        let statistics = PathBuf::from("/proc").join(thread).join("schedstat");
        runtime().block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("bound");
            let running = Running {
                address,
                statistics,
            };
            sender.send(running).expect("main waits");
            serve(listener).await;
        });
    });
    receiver.recv().expect("the thread binds")
}

fn runtime() -> Runtime {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime")
}

/// Answers as an agent does after a back end ran the request.
struct Stub;

#[async_trait]
impl Handler for Stub {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        const PART: &[u8] = &[b'x'; 256];
        let ran = http::HeaderValue::from_static("ran");
        response.headers_mut().insert(headers::OUTCOME, ran);
        response.status_code(http::StatusCode::OK);
        if request.uri().path() == "/known" {
            response.body(ResBody::Once(Bytes::from_static(PART)));
            return;
        }
        // Each part is written by itself, as a back end does that works while it answers.
        let parts = futures_util::stream::iter(0..4).then(|_| async {
            tokio::task::yield_now().await;
            Ok::<_, std::io::Error>(Bytes::from_static(PART))
        });
        response.body(ResBody::stream(parts));
    }
}

async fn serve_router(listener: TcpListener, agent: SocketAddr) {
    let origin = Instant::now();
    let clock: Clock = Arc::new(move || MonotonicTime::ZERO + origin.elapsed());
    let mut settings = RouterSettings::default();
    // A stall of a busy machine must not look like an overload of the targets.
    settings.limits.total = 1_000.0;
    let router = SharedRouter::new(Router::new(settings, 1));
    router.step(clock(), Input::Configuration(Arc::new(configuration())));
    router.step(clock(), Input::Table(table(agent)));
    let settings = FrontSettings::default();
    let never = std::future::pending();
    let served =
        router_front::serve(listener, router, clock, settings, Arc::default(), never).await;
    served.expect("the router serves");
}

fn configuration() -> Configuration {
    let name = ServiceName::new(SERVICE).expect("valid");
    let service = Service {
        name: name.clone(),
        kind: ServiceKind::Unkeyed,
        contract: Contract::default(),
        policy: None,
    };
    let mut configuration = Configuration {
        version: ConfigVersion(1),
        ..Configuration::default()
    };
    configuration
        .services
        .insert(name, (ConfigVersion(1), service));
    configuration
}

/// Four targets at one address.
fn table(agent: SocketAddr) -> TableUpdate {
    let target = |number| TargetEntry {
        target: TargetName::new(&format!("t{number}")).expect("valid"),
        service: ServiceName::new(SERVICE).expect("valid"),
        agent: Some(agent),
        availability: Availability::Serving,
    };
    TableUpdate {
        group: GroupId(0),
        since: None,
        version: StateVersion {
            generation: 1,
            sequence: 1,
        },
        slices: Vec::new(),
        targets: (0..4).map(target).collect(),
        more: false,
    }
}

fn client() -> reqwest::Client {
    wingspar_dataplane::forward::client(256).expect("a client")
}

/// Time of one call in microseconds; `None` when it failed.
async fn call(client: reqwest::Client, url: Arc<str>, since: Instant) -> Option<f64> {
    let request = client.get(&*url).header(headers::SERVICE, SERVICE);
    let answer = request.send().await.ok()?;
    let is_success = answer.status().is_success();
    answer.bytes().await.ok()?;
    is_success.then(|| since.elapsed().as_secs_f64() * 1e6)
}

/// Times of one round in microseconds, and failed calls.
#[derive(Clone, Copy)]
struct Round {
    median: f64,
    tail: f64,
    failed: usize,
}

impl Round {
    const WORST: Self = Self {
        median: f64::MAX,
        tail: f64::MAX,
        failed: 0,
    };

    /// Keeps the better times and adds the failures up.
    fn improve(&mut self, other: Self) {
        self.median = self.median.min(other.median);
        self.tail = self.tail.min(other.tail);
        self.failed += other.failed;
    }
}

/// Calls at a fixed rate that don't wait for each other. Time counts from when a call went out,
/// since the timer of the generator has a precision of 1 ms.
async fn open_loop(client: &reqwest::Client, url: &str) -> Round {
    let url: Arc<str> = Arc::from(url);
    for _ in 0..50 {
        call(client.clone(), url.clone(), Instant::now()).await;
    }
    let started = Instant::now();
    let mut calls = Vec::new();
    for number in 0..ROUND_CALLS {
        let due = started + Duration::from_secs(1) * number / REQUESTS_PER_SECOND;
        tokio::time::sleep_until(due.into()).await;
        let call = call(client.clone(), url.clone(), Instant::now());
        calls.push(tokio::spawn(call));
    }
    let mut times = Vec::new();
    let mut failed = 0;
    for call in calls {
        match call.await.expect("no panic") {
            Some(time) => times.push(time),
            None => failed += 1,
        }
    }
    times.sort_by(f64::total_cmp);
    let quantile = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    Round {
        median: quantile(0.5),
        tail: quantile(0.99),
        failed,
    }
}

/// Successful calls a second, and their number, on a fixed number of connections that are always busy.
async fn flat_out(client: &reqwest::Client, url: &str) -> (f64, u32) {
    let url: Arc<str> = Arc::from(url);
    let count = Arc::new(AtomicU32::new(0));
    let started = Instant::now();
    let mut workers = Vec::new();
    for _ in 0..FLAT_OUT_CONNECTIONS {
        let (client, url, count) = (client.clone(), url.clone(), count.clone());
        workers.push(tokio::spawn(async move {
            while started.elapsed() < FLAT_OUT_TIME {
                if call(client.clone(), url.clone(), Instant::now())
                    .await
                    .is_some()
                {
                    count.fetch_add(1, Ordering::Relaxed);
                }
            }
        }));
    }
    for worker in workers {
        worker.await.expect("no panic");
    }
    let count = count.load(Ordering::Relaxed);
    (f64::from(count) / started.elapsed().as_secs_f64(), count)
}
