//! A direct call to a back end against the same call through router and agent.

use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use reqwest::redirect::Policy;
use reqwest::{Client, Url};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};
use wingspar_wire::headers;
use wingspar_world::{RegionName, ServiceName, ZoneName};

use super::{BenchError, Bound, Row};
use crate::cluster::{Cluster, ClusterSpec, ServiceSpec};

const SERVICE: &str = "bench";
/// Requests a second of the paced measurements: what a node must bear.
const PACED_RATE: f64 = 2_200.0;
/// Length of a measurement.
const LENGTH: Duration = Duration::from_secs(4);
/// Requests before a measurement that are not counted.
const WARM_UP: usize = 500;
/// Requests under way at once when flat out.
const CONCURRENCY: usize = 64;
/// Size of the streamed answer, in bytes.
const STREAMED_BYTES: u64 = 20_000;
/// Rate of the streamed requests.
const STREAMED_RATE: f64 = 500.0;
/// Longest latency that is told apart, in microseconds.
const LONGEST_US: u64 = 60_000_000;

/// Bounds. The first two are goals of the project; the third shows Nagle's algorithm meeting delayed
/// acknowledgements, which costs 40 ms at once.
const ADDED_P99_MS: f64 = 1.0;
const FLAT_OUT_PER_SECOND: f64 = 10_000.0;
const CLIFF_MS: f64 = 20.0;

/// Where requests go.
#[derive(Clone)]
struct Way {
    client: Client,
    url: Url,
}

pub(super) async fn measure() -> Result<Vec<Row>, BenchError> {
    let cluster = Cluster::start(spec()).await?;
    let client = Client::builder()
        .no_proxy()
        .redirect(Policy::none())
        .retry(reqwest::retry::never())
        .http1_only()
        .build()?;
    let way = |address, query: &str| {
        let url = format!("http://{address}/items?work_ms=0{query}");
        Way {
            client: client.clone(),
            url: Url::parse(&url).expect("an address makes a URL"),
        }
    };
    let backend = cluster.backends()[0].address;
    let router = cluster.routers()[0];
    let streamed = format!("&answer_bytes={STREAMED_BYTES}&chunked=1");
    let direct = paced(&way(backend, ""), PACED_RATE).await;
    let routed = paced(&way(router, ""), PACED_RATE).await;
    let direct_flat = flat_out(&way(backend, "")).await;
    let routed_flat = flat_out(&way(router, "")).await;
    let chunked = paced(&way(router, &streamed), STREAMED_RATE).await;
    let quantile = |times: &Histogram<u64>, at| times.value_at_quantile(at) as f64 / 1_000.0;
    let added = quantile(&routed, 0.99) - quantile(&direct, 0.99);
    let row = |name, value, unit, bound| Row {
        name,
        value,
        unit,
        bound,
    };
    Ok(vec![
        row(
            "direct, 2,200/s: p50",
            quantile(&direct, 0.5),
            "ms",
            Bound::None,
        ),
        row(
            "direct, 2,200/s: p99",
            quantile(&direct, 0.99),
            "ms",
            Bound::None,
        ),
        row(
            "router + agent, 2,200/s: p50",
            quantile(&routed, 0.5),
            "ms",
            Bound::None,
        ),
        row(
            "router + agent, 2,200/s: p99",
            quantile(&routed, 0.99),
            "ms",
            Bound::None,
        ),
        row(
            "router + agent, 2,200/s: added p99",
            added,
            "ms",
            Bound::AtMost(ADDED_P99_MS),
        ),
        row("direct, flat out", direct_flat, "/s", Bound::None),
        row(
            "router + agent, flat out",
            routed_flat,
            "/s",
            Bound::AtLeast(FLAT_OUT_PER_SECOND),
        ),
        row(
            "router + agent, streamed answer: p50 (40 ms cliff)",
            quantile(&chunked, 0.5),
            "ms",
            Bound::AtMost(CLIFF_MS),
        ),
    ])
}

/// One router, one target, no work.
fn spec() -> ClusterSpec {
    ClusterSpec {
        region: RegionName::new("bench").expect("the name is valid"),
        zones: vec![ZoneName::new("bench-a").expect("the name is valid")],
        controls: 3,
        replicas: 3,
        routers: 1,
        services: vec![ServiceSpec {
            name: ServiceName::new(SERVICE).expect("the name is valid"),
            keyed: false,
            targets: 1,
            slots: 100,
            connections: 100,
            connection_ms: 0.0,
            work_ms: 0.0,
        }],
        slices_per_target: 1,
        churn_per_hour: 0.0,
    }
}

async fn ask(way: &Way) -> bool {
    let request = way.client.get(way.url.clone());
    let request = request.header(headers::SERVICE, SERVICE);
    let Ok(response) = request.send().await else {
        return false;
    };
    response.status().is_success() && response.bytes().await.is_ok()
}

/// Latencies of successful requests that arrive evenly, in microseconds from when they were due.
async fn paced(way: &Way, rate: f64) -> Histogram<u64> {
    for _ in 0..WARM_UP {
        ask(way).await;
    }
    let mut latencies = Histogram::new_with_max(LONGEST_US, 3).expect("the bounds are valid");
    let start = Instant::now();
    let mut running = JoinSet::new();
    let count = (LENGTH.as_secs_f64() * rate) as u32;
    for number in 0..count {
        let due = start + Duration::from_secs_f64(f64::from(number) / rate);
        sleep_until(due).await;
        let way = way.clone();
        running.spawn(async move { ask(&way).await.then(|| due.elapsed()) });
        while let Some(ended) = running.try_join_next() {
            note(&mut latencies, ended.ok().flatten());
        }
    }
    while let Some(ended) = running.join_next().await {
        note(&mut latencies, ended.ok().flatten());
    }
    latencies
}

fn note(latencies: &mut Histogram<u64>, latency: Option<Duration>) {
    if let Some(latency) = latency {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        latencies.saturating_record(micros.max(1));
    }
}

/// Successful requests a second when each answer starts the next request.
async fn flat_out(way: &Way) -> f64 {
    let end = Instant::now() + LENGTH;
    let way = Arc::new(way.clone());
    let mut workers = JoinSet::new();
    for _ in 0..CONCURRENCY {
        let way = Arc::clone(&way);
        workers.spawn(async move {
            let mut done = 0_u64;
            while Instant::now() < end {
                done += u64::from(ask(&way).await);
            }
            done
        });
    }
    let mut done = 0;
    while let Some(ended) = workers.join_next().await {
        done += ended.unwrap_or(0);
    }
    done as f64 / LENGTH.as_secs_f64()
}
