//! Goodput beyond capacity, and what slow checks do to people who wait.

use wingspar_world::{RegionName, ServiceName, ZoneName};

use super::{BenchError, Bound, Row};
use crate::cluster::{ClusterSpec, ServiceSpec};
use crate::experiment::{Experiment, Results, RunError, run};
use crate::load::{RequestKind, Traffic};

const SERVICE: &str = "bench";
/// Length of a measurement in seconds.
const LENGTH_S: f64 = 6.0;
/// Deadline of requests in milliseconds.
const DEADLINE_MS: u64 = 1_000;
const SLOTS: u32 = 20;
/// Work of a request in milliseconds; a target's capacity is its slots over this.
const WORK_MS: f64 = 40.0;
const TARGETS: usize = 2;

/// Requests a second of people who wait, while checks blast.
const INTERACTIVE_RATE: f64 = 200.0;
const CHECK_MS: u64 = 400;
/// Checks a second: several times what all slots could run.
const CHECK_RATE: f64 = 400.0;

const GOODPUT_RATIO: f64 = 0.9;
const CHECKS_RATIO: f64 = 2.0;

pub(super) async fn measure() -> Result<Vec<Row>, BenchError> {
    let capacity = f64::from(SLOTS) * TARGETS as f64 * 1_000.0 / WORK_MS;
    let at = goodput(&play(vec![reads(capacity)]).await?);
    let twice = goodput(&play(vec![reads(2.0 * capacity)]).await?);
    let calm = play(vec![reads(INTERACTIVE_RATE)]).await?;
    let blast = play(vec![reads(INTERACTIVE_RATE), checks()]).await?;
    let (calm, blast) = (p99(&calm), p99(&blast));
    let row = |name, value, unit, bound| Row {
        name,
        value,
        unit,
        bound,
    };
    Ok(vec![
        row("goodput at capacity", at, "/s", Bound::None),
        row("goodput at twice the capacity", twice, "/s", Bound::None),
        row(
            "goodput at twice the capacity, ratio",
            twice / at,
            "",
            Bound::AtLeast(GOODPUT_RATIO),
        ),
        row("interactive p99 without checks", calm, "ms", Bound::None),
        row("interactive p99 with slow checks", blast, "ms", Bound::None),
        row(
            "interactive p99 with slow checks, ratio",
            blast / calm,
            "",
            Bound::AtMost(CHECKS_RATIO),
        ),
    ])
}

fn service() -> ServiceName {
    ServiceName::new(SERVICE).expect("the name is valid")
}

fn reads(rate: f64) -> Traffic {
    Traffic {
        service: service(),
        kind: RequestKind::Read,
        rate,
        keys: 0,
        zipf: 0.0,
        work_ms: None,
        answer_bytes: None,
        deadline_ms: DEADLINE_MS,
    }
}

fn checks() -> Traffic {
    Traffic {
        kind: RequestKind::Check,
        work_ms: Some(CHECK_MS),
        ..reads(CHECK_RATE)
    }
}

async fn play(traffic: Vec<Traffic>) -> Result<Results, RunError> {
    let experiment = Experiment {
        name: SERVICE.to_owned(),
        seed: 1,
        duration_s: LENGTH_S,
        client_delay_ms: 0.0,
        attempts: 1,
        cluster: ClusterSpec {
            region: RegionName::new("bench").expect("the name is valid"),
            zones: vec![ZoneName::new("bench-a").expect("the name is valid")],
            controls: 3,
            replicas: 3,
            routers: 2,
            services: vec![ServiceSpec {
                name: service(),
                keyed: false,
                targets: TARGETS,
                slots: SLOTS,
                connections: 100,
                connection_ms: 1.0,
                work_ms: WORK_MS,
            }],
            slices_per_target: 1,
            churn_per_hour: 0.0,
        },
        traffic,
        events: Vec::new(),
    };
    run(&experiment, &|_| {}).await
}

fn goodput(results: &Results) -> f64 {
    results.total.ran as f64 / LENGTH_S
}

fn p99(results: &Results) -> f64 {
    let kind = results.kinds.get(&RequestKind::Read);
    kind.map_or(f64::INFINITY, |kind| kind.p99_ms)
}
