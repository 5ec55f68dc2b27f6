//! A soak of planned stops: nodes stop and start again in overlapping series, beside changes of the configuration, while
//! clients go on using their connections until the process is gone. Some read slowly, some send bodies behind requests
//! that are still being answered, some are rejected while they send, some send requests whose ends come late or that
//! can't be repeated. Targets sometimes work longer than the grace time leaves, or don't end their answers.
//!
//! The promises: an answer to a request that a target has run reaches its client whole, and so does a rejection. A
//! request that a node has read whole is answered. None that can't be repeated runs twice, and none that was answered as
//! not run runs at all. Processes end in order within the grace time.
//!
//! `STOP_SOAK_SEEDS=N STOP_SOAK_FIRST=S STOP_SOAK_SECONDS=T STOP_SOAK_CLIENTS=C STOP_SOAK_PARALLEL=P cargo test -p
//! wingspar --test sidecar stop_soak -- --nocapture` plays other seeds than the fixed ones, some at a time.

mod client;
mod connection;
mod exchange;
mod stops;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use futures_util::stream::{self, StreamExt};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use wingspar_standins::fleet::TargetFaults;
use wingspar_standins::net::{AnswerEnd, InterceptedRequest, RawAnswer};

use crate::deployment::{Deployment, KEYED, PLAIN, Wiring, eventually, kept_logs, route};
use client::{Client, Habit};
use exchange::Events;
use stops::stop_nodes;

/// Seeds that are always played.
const SEEDS: std::ops::Range<u64> = 1..3;
/// Seeds of the second test that are always played: one of each [`Plan::varied`].
const VARIED_SEEDS: std::ops::Range<u64> = 4..8;
/// Length of the fixed seeds, in seconds.
const SECONDS: u64 = 12;
/// Clients of the fixed seeds.
const CLIENTS: u64 = 24;
/// Seeds of the second test that are played at a time.
const PARALLEL: u64 = 2;
/// Bytes of an answer.
const ANSWER: usize = 400_000;
/// Maximum length of a body in the configuration.
const MAX_BODY: u64 = 4 * 1024 * 1024;
/// The grace time in the settings of nodes.
const GRACE: Duration = Duration::from_secs(6);
/// Usual work of a target on a request.
const WORK: Duration = Duration::from_millis(300);

fn number(name: &str, default: u64) -> u64 {
    let value = std::env::var(name)
        .ok()
        .and_then(|value| value.parse().ok());
    value.unwrap_or(default)
}

/// What is played.
struct Plan {
    /// What clients do.
    habits: &'static [Habit],
    /// How long targets work on a request, by turns.
    works: &'static [Duration],
    /// How long a request may take at most by its route, in seconds.
    timeout_s: u64,
    /// Whether nodes get SIGHUP beside the stops.
    hangs_up: bool,
    /// Whether processes are suspended for short times around their stops.
    freezes: bool,
    /// Whether processes are killed, too: then answers may be lost.
    kills: bool,
    /// Whether targets give endless answers to some requests.
    intercepted: bool,
}

impl Plan {
    /// Answers that are read slowly and bodies behind them.
    const PLAIN: Self = Self {
        habits: &[
            Habit::Sequential,
            Habit::Slow,
            Habit::BodyBehind,
            Habit::Rejected,
        ],
        works: &[WORK],
        timeout_s: 5,
        hangs_up: false,
        freezes: false,
        kills: false,
        intercepted: false,
    };

    /// All habits, and long work.
    fn varied(seed: u64) -> Self {
        const LONG: [Duration; 5] = [
            WORK,
            WORK,
            Duration::from_millis(1_000),
            Duration::from_millis(2_400),
            Duration::from_millis(4_000),
        ];
        const HABITS: [Habit; 14] = [
            Habit::Sequential,
            Habit::Slow,
            Habit::BodyBehind,
            Habit::Rejected,
            Habit::Kept,
            Habit::Kept,
            Habit::LateHead,
            Habit::LateHead,
            Habit::LateBody,
            Habit::LateBody,
            Habit::Drip,
            Habit::Behind,
            Habit::Behind,
            Habit::Endless,
        ];
        let intercepted = seed % 4 == 2;
        Self {
            habits: if intercepted { &HABITS } else { &HABITS[..13] },
            works: &LONG,
            timeout_s: 20,
            hangs_up: true,
            freezes: seed % 4 == 1,
            kills: seed % 4 == 3,
            intercepted,
        }
    }

    fn has_long_work(&self) -> bool {
        self.works.len() > 1
    }
}

fn routes(plan: &Plan) -> serde_json::Value {
    let route = |name, prefix, kind, service| {
        let mut route = route(name, prefix, kind, service);
        route["timeout_s"] = json!(plan.timeout_s);
        route
    };
    json!([
        route("orders", "/orders/", "idempotent", PLAIN),
        route("patient", "/patient/", "non_idempotent", PLAIN),
        route("stock", "/stock/", "idempotent", KEYED),
    ])
}

/// A signed answer that doesn't end, to requests that ask for one.
fn endless_answer(request: &InterceptedRequest) -> Option<RawAnswer> {
    let start = "HTTP/1.1 200 OK\r\nX-Wingspar-Response-Signature: s\r\n\
                 Transfer-Encoding: chunked\r\n\r\n";
    request.path.ends_with("/endless").then(|| RawAnswer {
        start: start.as_bytes().to_vec(),
        end: AnswerEnd::Endless("4\r\nbody\r\n"),
    })
}

async fn deployment(network: u8, plan: &Plan) -> Deployment {
    let wiring = Wiring {
        intercepted: plan.intercepted,
        keeps_logs: kept_logs().is_some(),
        ..Wiring::default()
    };
    let deployment = Deployment::start_with(network, &wiring).await;
    deployment.configure_with_bodies(20, routes(plan), MAX_BODY);
    for node in 0..deployment.nodes.len() {
        eventually("the configuration is in force", || async {
            deployment.configuration_version(node).await == Some(20)
        })
        .await;
    }
    deployment.all_targets_do(TargetFaults {
        answer_bytes: ANSWER,
        work: WORK,
        ..TargetFaults::default()
    });
    for node in &deployment.nodes {
        node.target_interceptor.answer_by(endless_answer);
    }
    deployment
}

/// Plays one seed; what it counted, or the promise that broke.
async fn play(
    seed: u64,
    plan: &Plan,
    (length, clients): (Duration, u64),
) -> Result<String, String> {
    let network = 200 + u8::try_from(seed % 40).expect("a small number");
    let mut deployment = deployment(network, plan).await;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let is_over = Arc::new(AtomicBool::new(false));
    let running = (0..clients).map(|number| {
        let client = Client {
            name: format!("c{seed}-{number}"),
            nodes: deployment.nodes.iter().map(|node| node.outbound).collect(),
            node: 0,
            habits: plan.habits,
            random: ChaCha8Rng::seed_from_u64(seed * 1_000 + number),
            is_over: is_over.clone(),
            exchanges: Vec::new(),
        };
        tokio::spawn(client.run())
    });
    let running = running.collect::<Vec<_>>();
    let until = Instant::now() + length;
    let stops = stop_nodes(&mut deployment, plan, &mut random, until).await;
    is_over.store(true, Ordering::Relaxed);
    let exchanges = join_all(running).await.into_iter();
    let exchanges = exchanges.flat_map(|client| client.expect("a client's task doesn't panic"));
    let exchanges = exchanges.collect::<Vec<_>>();
    let events = Events {
        plan,
        stops: stops?,
    };
    let mut runs = HashMap::new();
    for seen in deployment.all_seen() {
        *runs.entry(seen.id).or_insert(0) += 1;
    }
    let problems = exchanges.iter().filter_map(|exchange| {
        let runs = runs.get(&exchange.id).copied();
        exchange.problem(runs.unwrap_or(0), &events)
    });
    let problems = problems.collect::<Vec<_>>();
    let whole = exchanges.iter().filter(|exchange| exchange.is_whole());
    let summary = format!(
        "{} requests, {} whole answers, {} planned stops",
        exchanges.len(),
        whole.count(),
        events.stops.len()
    );
    if problems.is_empty() {
        Ok(summary)
    } else {
        let first = problems.iter().take(6).cloned().collect::<Vec<_>>();
        Err(format!(
            "{} lost ({summary}): {}",
            problems.len(),
            first.join("; ")
        ))
    }
}

/// Plays seeds, some at a time, and fails with all promises that broke.
async fn play_all(seeds: std::ops::Range<u64>, parallel: u64, plan: impl Fn(u64) -> Plan) {
    let first = number("STOP_SOAK_FIRST", seeds.start);
    let count = number("STOP_SOAK_SEEDS", seeds.end - seeds.start);
    let length = Duration::from_secs(number("STOP_SOAK_SECONDS", SECONDS));
    let clients = number("STOP_SOAK_CLIENTS", CLIENTS);
    let parallel = number("STOP_SOAK_PARALLEL", parallel);
    let playing = (first..first + count).map(|seed| {
        let plan = plan(seed);
        async move { (seed, play(seed, &plan, (length, clients)).await) }
    });
    let parallel = usize::try_from(parallel).expect("a small number");
    let mut playing = stream::iter(playing).buffer_unordered(parallel);
    let mut failures = Vec::new();
    while let Some((seed, outcome)) = playing.next().await {
        match outcome {
            Ok(summary) => println!("seed {seed}: {summary}"),
            Err(problem) => {
                println!("seed {seed} FAILED: {problem}");
                failures.push(format!("seed {seed}: {problem}"));
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[tokio::test]
async fn planned_stops_cut_no_answer() {
    play_all(SEEDS, 1, |_| Plan::PLAIN).await;
}

/// Guards against requests that a stopping node has read and leaves unanswered, whatever their clients and targets do.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn planned_stops_leave_no_request_unanswered() {
    play_all(VARIED_SEEDS, PARALLEL, Plan::varied).await;
}
