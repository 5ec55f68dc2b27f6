//! Starts and stops the process.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use rand::RngExt;
use tokio::net::UdpSocket;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use wingspar_ownership::Incarnation;
use wingspar_platform::paths;

use crate::body::Body;
use crate::clock::whole_millis;
use crate::control::Control;
use crate::deadline::Deadline;
use crate::local_response::plain;
use crate::logs::{self, Event};
use crate::node::Node;
use crate::settings::{Settings, SettingsError};
use crate::stop::{ExitCondition, RemainingWork, StopPhase, StopSchedule, WorkDurations};
use crate::store_sync::Subject;
use crate::{heartbeats, internal, listen, operations, registration, store_sync, target_calls};

/// Why the node could not start or had to end.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The settings can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A socket, a signal handler, the log or the runtime couldn't be set up.
    #[error("{what}: {error}")]
    Start {
        /// What couldn't be set up.
        what: &'static str,
        /// Why it couldn't be set up.
        error: io::Error,
    },
}

/// Time between the stop signal and [`StopPhase::Closing`], in which clients and routers switch to
/// other nodes; at most half of the grace period.
const LEAVING_PHASE_DURATION: Duration = Duration::from_millis(2_500);
/// Safety margin: the process exits this long before the platform would kill it.
const EXIT_MARGIN: Duration = Duration::from_millis(450);
/// Time before the exit in which the last responses are written.
const LAST_RESPONSES_TIME: Duration = Duration::from_millis(150);
/// How often a stopping process checks whether it may exit, and the pause between attempts to
/// remove the registration.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// How often the modification time of the settings file is checked.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval between health checks of a target that hasn't answered since this process started.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of health checks of a target that hasn't answered since this process started.
const MAX_PROBES: usize = 4;

/// Runs a node with the settings from a file until SIGTERM or SIGINT.
pub fn run(path: &Path) -> Result<(), RunError> {
    let settings = Settings::load(path)?;
    logs::setup().map_err(|error| started("log", io::Error::other(error)))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| started("runtime", error))?;
    let local = LocalSet::new();
    let outcome = local.block_on(&runtime, serve(settings, path));
    logs::flush();
    outcome
}

fn started(what: &'static str, error: io::Error) -> RunError {
    RunError::Start { what, error }
}

async fn serve(settings: Settings, path: &Path) -> Result<(), RunError> {
    let mut terminate = signal_stream(SignalKind::terminate())?;
    let mut interrupt = signal_stream(SignalKind::interrupt())?;
    let hangup = signal_stream(SignalKind::hangup())?;
    let life = Incarnation(rand::rng().random());
    let node = Node::new(settings, life);
    node.log.write(Event::Started {
        service: &node.settings.node.service,
        zone: &node.settings.node.zone,
        version: env!("CARGO_PKG_VERSION"),
    });
    start_listeners(&node)?;
    let internal = node.settings.internal();
    let socket = UdpSocket::bind(internal)
        .await
        .map_err(|error| started("internal datagrams", error))?;
    spawn_local(Control::new(node.clone(), socket).run());
    spawn_local(store_sync::run(node.clone(), Subject::Configuration));
    spawn_local(store_sync::watch_while_leading(
        node.clone(),
        Subject::Configuration,
    ));
    if node.evacuation_bound().is_some() {
        spawn_local(store_sync::run(node.clone(), Subject::Evacuations));
        spawn_local(store_sync::watch_while_leading(
            node.clone(),
            Subject::Evacuations,
        ));
    }
    spawn_local(check_target(node.clone()));
    spawn_local(target_calls::poll_load_while_slots_reduced(node.clone()));
    spawn_local(registration::keep_registered(node.clone()));
    spawn_local(watch_settings(node.clone(), path.to_owned(), hangup));
    if !node.settings.node.first_start {
        spawn_local(probe(node.clone()));
    }
    let signal = tokio::select! {
        _ = terminate.recv() => "SIGTERM",
        _ = interrupt.recv() => "SIGINT",
    };
    stop(&node, signal).await;
    Ok(())
}

fn signal_stream(kind: SignalKind) -> Result<Signal, RunError> {
    signal(kind).map_err(|error| started("signal", error))
}

fn start_listeners(node: &Rc<Node>) -> Result<(), RunError> {
    let listen = &node.settings.listen;
    let bind =
        |what, address: SocketAddr| listen::bind(address).map_err(|error| started(what, error));
    let metrics = SocketAddr::new(node.settings.node.address, listen.metrics_port);
    spawn_local(listen::serve_clients(
        node.clone(),
        bind("outbound", listen.outbound)?,
    ));
    spawn_local(listen::serve(
        node.clone(),
        bind("internal", node.settings.internal())?,
        internal::answer,
    ));
    spawn_local(listen::serve(
        node.clone(),
        bind("heartbeats", listen.heartbeats)?,
        heartbeats::answer,
    ));
    spawn_local(listen::serve(
        node.clone(),
        bind("ready", listen.ready)?,
        answer_ready,
    ));
    spawn_local(listen::serve(
        node.clone(),
        bind("metrics", metrics)?,
        operations::answer,
    ));
    Ok(())
}

async fn answer_ready(node: Rc<Node>, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() != paths::READY {
        return plain(StatusCode::NOT_FOUND, "text/plain", "no such path");
    }
    let not_ready = if node.is_stopping() {
        Some("stopping")
    } else if node.routes.borrow().is_none() {
        Some("no configuration")
    } else if node.directory.borrow().table().members.is_empty() {
        Some("no table")
    } else {
        None
    };
    match not_ready {
        None => plain(StatusCode::OK, "text/plain", "ready"),
        Some(what) => plain(StatusCode::SERVICE_UNAVAILABLE, "text/plain", what),
    }
}

/// Checks the target's health after a restart of this process: an earlier process may have
/// acknowledged that the target is leaving.
async fn probe(node: Rc<Node>) {
    for _ in 0..MAX_PROBES {
        target_calls::probe(&node).await;
        if node.target.borrow().id().is_some() {
            return;
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Checks the target's health whenever an event may have made the target slow.
async fn check_target(node: Rc<Node>) {
    loop {
        node.target_check.notified().await;
        target_calls::probe(&node).await;
    }
}

/// Reads the settings again on SIGHUP or when the file has changed, and logs whether they are
/// valid. They take effect at the next start.
async fn watch_settings(node: Rc<Node>, path: std::path::PathBuf, mut hangup: Signal) {
    let modified_at = || {
        std::fs::metadata(&path)
            .and_then(|metadata| metadata.modified())
            .ok()
    };
    let mut last_modified: Option<SystemTime> = modified_at();
    let mut current = node.settings.clone();
    loop {
        let told = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_CHECK_INTERVAL) => false,
        };
        let modified = modified_at();
        if !told && modified == last_modified {
            continue;
        }
        last_modified = modified;
        let (accepted, problem) = match Settings::load(&path) {
            Ok(settings) => {
                current = settings;
                (true, String::new())
            }
            Err(error) => (false, error.to_string()),
        };
        let problem = if accepted && current != node.settings {
            "some fields differ and take effect at the next start".to_owned()
        } else {
            problem
        };
        node.log.write(Event::Reloaded { accepted, problem });
    }
}

/// Stops in order: other nodes and clients switch elsewhere, running requests finish, then the
/// process exits.
async fn stop(node: &Rc<Node>, signal: &str) {
    let signalled_at = node.clock.uptime();
    let stopping_since = node.now();
    let grace = Duration::from_secs_f64(node.settings.bounds.grace_s).saturating_sub(EXIT_MARGIN);
    let schedule = schedule_stop(grace);
    node.stop_schedule.set(Some(schedule));
    node.log.write(Event::Stopping { signal });
    node.stop.send_replace(StopPhase::Leaving);
    node.control_wakeup.notify_one();
    tokio::time::sleep_until(schedule.closing_at).await;
    node.stop.send_replace(StopPhase::Closing);
    let mut exit_condition = ExitCondition::default();
    let mut work = WorkDurations::default();
    let mut removal = None::<JoinHandle<()>>;
    while node.clock.uptime().saturating_sub(signalled_at) < grace {
        let remaining = remaining(node);
        work.observe(node.clock.uptime().saturating_sub(signalled_at), remaining);
        if exit_condition.is_met(Instant::now(), remaining) {
            break;
        }
        let phase = *node.stop.borrow();
        if phase != StopPhase::GivingUp && schedule.giving_up_at.has_passed() {
            node.stop.send_replace(StopPhase::GivingUp);
        }
        let is_removing = removal.as_ref().is_some_and(|task| !task.is_finished());
        let may_unregister = || {
            let mut participant = node.participant.borrow_mut();
            participant.may_unregister(node.now(), stopping_since)
        };
        if node.registration.may_be_stored() && !is_removing && may_unregister() {
            removal = Some(spawn_local(registration::unregister(node.clone())));
        }
        tokio::time::sleep(EXIT_CHECK_INTERVAL).await;
    }
    node.log.write(Event::Stopped {
        unfinished: remaining(node).requests,
        refused: node.stop_refusals.get(),
        given_up: node.stop_given_up.get(),
        requests_ms: whole_millis(work.requests),
        keys_ms: whole_millis(work.keys),
        connections_ms: whole_millis(work.connections),
        registration_ms: whole_millis(work.registration),
    });
}

/// The times of a planned stop that begins now and takes `grace` at most.
fn schedule_stop(grace: Duration) -> StopSchedule {
    let now = tokio::time::Instant::now();
    StopSchedule {
        closing_at: now + LEAVING_PHASE_DURATION.min(grace / 2),
        giving_up_at: Deadline::at(now + grace.saturating_sub(LAST_RESPONSES_TIME)),
    }
}

fn remaining(node: &Node) -> RemainingWork {
    let mut participant = node.participant.borrow_mut();
    RemainingWork {
        requests: node.in_flight.get() + node.slots.running(),
        holds_keys: participant.may_hold_any(node.now()),
        blocked_writes: node.blocked_writes.get(),
        connections: node.connections.get(),
        discarded_bytes: node.discarded_bytes.get(),
        registered: node.registration.acknowledged().is_some(),
    }
}
