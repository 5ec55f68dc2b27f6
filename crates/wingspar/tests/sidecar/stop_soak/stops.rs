//! Stops nodes in overlapping series, beside changes of the configuration, of the targets' work and other signals.

use std::process::Command;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use wingspar_standins::fleet::TargetFaults;

use super::exchange::LONGEST_FREEZE;
use super::{ANSWER, GRACE, MAX_BODY, Plan, routes};
use crate::deployment::Deployment;

/// Time between two stops, and until a stopped process starts again, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 100..1_200;
/// Time after which a process must have ended: `grace_s` and what starting and observing it takes.
const LONGEST_STOP: Duration = GRACE.saturating_add(Duration::from_millis(500));
/// When in a stop a process is suspended, in milliseconds after SIGTERM.
const FREEZE_MS: std::ops::Range<u64> = 1..4_500;

/// What becomes of a node.
#[derive(Clone, Copy)]
enum State {
    Runs,
    Stops(Instant),
    StartsAt(Instant),
}

/// Stops nodes and starts them again, two at a time at most, until the end; when they got SIGTERM.
pub async fn stop_nodes(
    deployment: &mut Deployment,
    plan: &Plan,
    random: &mut ChaCha8Rng,
    until: Instant,
) -> Result<Vec<Instant>, String> {
    let mut states = [State::Runs; 4];
    let mut next_at = Instant::now();
    let (mut version, mut stops) = (20, Vec::new());
    loop {
        let now = Instant::now();
        let pause = Duration::from_millis(random.random_range(PAUSE_MS));
        for (node, state) in states.iter_mut().enumerate() {
            *state = next_state(deployment, node, *state, now + pause)?;
        }
        let away = states.iter().filter(|state| !matches!(state, State::Runs));
        let away = away.count();
        if now >= until && away == 0 {
            return Ok(stops);
        }
        if now >= next_at && now < until {
            next_at = now + pause;
            let node = random.random_range(0..states.len());
            if matches!(states[node], State::Runs) && away < 2 && deployment.is_ready(node).await {
                if plan.kills && random.random_range(0..4) == 0 {
                    deployment.kill(node);
                    states[node] = State::StartsAt(now + pause);
                } else {
                    if plan.freezes && random.random_range(0..2) == 0 {
                        suspend(deployment, node, random);
                    }
                    let stopped_at = Instant::now();
                    deployment.terminate(node);
                    states[node] = State::Stops(stopped_at);
                    stops.push(stopped_at);
                }
            } else {
                version += 1;
                deployment.configure_with_bodies(version, routes(plan), MAX_BODY);
            }
            if plan.hangs_up {
                hang_up(deployment, states, random).await;
            }
            change_work(deployment, plan, random);
        }
        deployment.try_heartbeats().await;
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
}

fn next_state(
    deployment: &mut Deployment,
    node: usize,
    state: State,
    start_at: Instant,
) -> Result<State, String> {
    match state {
        State::Stops(since) => {
            let process = deployment.nodes[node].process.as_mut();
            let status = process.expect("a process").try_wait();
            match status.expect("a status") {
                Some(status) if !status.success() => {
                    Err(format!("node {node} ended with {status}"))
                }
                Some(_) => Ok(State::StartsAt(start_at)),
                None if since.elapsed() > LONGEST_STOP => {
                    Err(format!("node {node} didn't end in {LONGEST_STOP:?}"))
                }
                None => Ok(state),
            }
        }
        State::StartsAt(at) if Instant::now() >= at => {
            deployment.start_process(node);
            Ok(State::Runs)
        }
        State::Runs | State::StartsAt(_) => Ok(state),
    }
}

/// Suspends a process that is about to stop for a short time, at once or later in its stop.
fn suspend(deployment: &Deployment, node: usize, random: &mut ChaCha8Rng) {
    let process = deployment.nodes[node].process.as_ref();
    let id = process.expect("a process").id().to_string();
    let longest = u64::try_from(LONGEST_FREEZE.as_millis()).expect("a short time");
    let length = Duration::from_millis(random.random_range(50..longest));
    let delay = Duration::from_millis(random.random_range(FREEZE_MS));
    let is_at_once = random.random_range(0..3) == 0;
    let signal = move |id: &str, signal| {
        // The process may have ended.
        let _told = Command::new("kill").args([signal, id]).status();
    };
    if is_at_once {
        signal(&id, "-STOP");
    }
    tokio::spawn(async move {
        if !is_at_once {
            tokio::time::sleep(delay).await;
            signal(&id, "-STOP");
        }
        tokio::time::sleep(length).await;
        signal(&id, "-CONT");
    });
}

/// Sends SIGHUP to some nodes, up to three times in a row. A process that has just started doesn't handle it yet.
async fn hang_up(deployment: &mut Deployment, states: [State; 4], random: &mut ChaCha8Rng) {
    for (node, state) in states.into_iter().enumerate() {
        let handles_it = match state {
            State::Runs => deployment.is_ready(node).await,
            State::Stops(_) => true,
            State::StartsAt(_) => false,
        };
        let times = random.random_range(0..4);
        for _ in 0..times {
            if handles_it {
                deployment.signal(node, "-HUP");
            }
        }
    }
}

/// Changes how long the targets of the service without owners work on a request.
pub fn change_work(deployment: &Deployment, plan: &Plan, random: &mut ChaCha8Rng) {
    let work = plan.works[random.random_range(0..plan.works.len())];
    deployment.plain_targets_do(TargetFaults {
        answer_bytes: ANSWER,
        work,
        ..TargetFaults::default()
    });
}
