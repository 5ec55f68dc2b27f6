//! One machine: a target, and the `wingspar sidecar` process beside it.

use std::fmt;
use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use wingspar_standins::fleet::{FleetTarget, Seen};

use super::DemoError;
use super::deployment::{DRAIN_S, EVACUATE_S, GRACE_S, QUOTA_OVER, QUOTA_SLACK, QUOTA_WINDOW_S};

const OUTBOUND_PORT: u16 = 7600;
const READY_PORT: u16 = 7601;
const HEARTBEAT_PORT: u16 = 7602;
/// Time between two looks at whether a process has ended.
const LOOK_AGAIN: Duration = Duration::from_millis(30);
/// A process that was asked to stop and hasn't ended by then is killed: the grace with some room.
const STOPS_WITHIN: Duration = Duration::from_secs(GRACE_S + 2);
/// What a target has received from a process that was killed is recorded by then.
const LAST_RECEIVED: Duration = Duration::from_millis(100);

/// Where a machine is and what it serves.
#[derive(Debug, Clone)]
pub(super) struct Location {
    pub(super) number: u8,
    pub(super) ip: Ipv4Addr,
    pub(super) zone: &'static str,
    pub(super) region: &'static str,
    pub(super) service: &'static str,
    pub(super) keyed: bool,
}

/// A process that ends with its owner.
struct Process(Child);

impl Process {
    fn end(&mut self) -> io::Result<()> {
        self.0.kill()?;
        self.0.wait().map(drop)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ended = self.end();
    }
}

/// What a target that has ended ran.
pub(super) struct EndedTarget {
    pub(super) id: String,
    pub(super) seen: Vec<Seen>,
}

/// One machine.
pub(super) struct Machine {
    pub(super) location: Location,
    pub(super) target: Option<FleetTarget>,
    pub(super) ended_targets: Vec<EndedTarget>,
    /// Whether the target says that it takes new work.
    pub(super) accepting: bool,
    lives: u32,
    target_address: SocketAddr,
    settings: PathBuf,
    process: Option<Process>,
}

impl fmt::Display for Machine {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Location {
            zone,
            region,
            service,
            ..
        } = &self.location;
        let (name, address) = (self.name(), self.entrance());
        write!(
            formatter,
            "{name}  {region}/{zone}  {service:<6}  {address}"
        )
    }
}

impl Machine {
    /// Starts the machine's target; its process isn't started.
    pub(super) async fn start(location: Location, folder: &Path) -> Result<Self, DemoError> {
        let mut machine = Self {
            target_address: SocketAddr::new(IpAddr::V4(location.ip), 0),
            settings: folder.join(format!("node-{}.toml", location.number)),
            location,
            target: None,
            ended_targets: Vec::new(),
            accepting: true,
            lives: 0,
            process: None,
        };
        machine.start_target().await?;
        Ok(machine)
    }

    /// Name of its node.
    pub(super) fn name(&self) -> String {
        format!("node-{}", self.location.number)
    }

    /// Where callers send requests.
    pub(super) fn entrance(&self) -> SocketAddr {
        self.socket(OUTBOUND_PORT)
    }

    /// Where its node tells whether it is ready.
    pub(super) fn ready(&self) -> SocketAddr {
        self.socket(READY_PORT)
    }

    fn socket(&self, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.location.ip), port)
    }

    /// Starts the next life of its target, at the address of the one before.
    pub(super) async fn start_target(&mut self) -> Result<(), DemoError> {
        let id = format!("target-{}-{}", self.location.number, self.lives);
        let target = FleetTarget::start(self.target_address, &id, self.location.keyed).await?;
        self.target_address = target.local_addr();
        self.target = Some(target);
        self.accepting = true;
        self.lives += 1;
        Ok(())
    }

    /// Ends its target and keeps what that has run.
    pub(super) async fn end_target(&mut self) {
        if let Some(target) = self.target.take() {
            self.ended_targets.push(EndedTarget {
                id: target.id(),
                seen: target.seen(),
            });
            target.shutdown().await;
        }
    }

    /// Starts its process. That may take a while, so the callers and targets of this process go on meanwhile.
    pub(super) async fn start_process(
        &mut self,
        program: &Path,
        store: SocketAddr,
        zones: &[(&str, &str)],
        first_start: bool,
    ) -> Result<(), DemoError> {
        let text = self.settings_text(store, zones, first_start);
        let (program, settings) = (program.to_owned(), self.settings.clone());
        // A process that has started when this future is dropped ends with the value that nobody takes.
        let started = tokio::task::spawn_blocking(move || spawn(&program, &settings, &text));
        self.process = Some(started.await.map_err(io::Error::other)??);
        Ok(())
    }

    fn settings_text(
        &self,
        store: SocketAddr,
        zones: &[(&str, &str)],
        first_start: bool,
    ) -> String {
        let Location {
            ip, zone, service, ..
        } = &self.location;
        let (name, target) = (self.name(), self.target_address);
        let (outbound, ready, heartbeats) =
            (self.entrance(), self.ready(), self.socket(HEARTBEAT_PORT));
        let regions = zones
            .iter()
            .map(|(zone, region)| format!("{zone} = \"{region}\"\n"));
        let regions = regions.collect::<String>();
        format!(
            "[node]\nname = \"{name}\"\nzone = \"{zone}\"\nservice = \"{service}\"\naddress = \"{ip}\"\n\
             target = \"{target}\"\nfirst_start = {first_start}\n\
             [listen]\noutbound = \"{outbound}\"\nready = \"{ready}\"\nheartbeats = \"{heartbeats}\"\n\
             internal_port = 7620\nmetrics_port = 7621\n\
             [store]\naddress = \"{store}\"\n\
             [bounds]\ndrain_s = {DRAIN_S}\ngrace_s = {GRACE_S}\nbudget_ratio = 0.2\nbudget_window_s = 10\n\
             budget_extra = 60\nmax_hold_s = 10\nevacuate_s = {EVACUATE_S}\n\
             quota_window_s = {QUOTA_WINDOW_S}\nquota_over = {QUOTA_OVER}\nquota_slack = {QUOTA_SLACK}\n\
             [zones]\n{regions}"
        )
    }

    /// Asks its process to stop and waits until it has ended.
    pub(super) async fn stop_process(&mut self) -> Result<(), DemoError> {
        let Some(process) = &mut self.process else {
            return Ok(());
        };
        let id = process.0.id().to_string();
        Command::new("kill").args(["-TERM", &id]).status()?;
        let asked_at = Instant::now();
        while process.0.try_wait()?.is_none() {
            if asked_at.elapsed() > STOPS_WITHIN {
                self.kill_process()?;
                return Err(DemoError::NotInTime(format!("the stop of {}", self.name())));
            }
            tokio::time::sleep(LOOK_AGAIN).await;
        }
        self.process = None;
        Ok(())
    }

    /// Kills its process.
    pub(super) fn kill_process(&mut self) -> io::Result<()> {
        match self.process.take() {
            Some(mut process) => process.end(),
            None => Ok(()),
        }
    }

    /// Kills its process and ends its target, as the loss of the machine does.
    pub(super) async fn lose(&mut self) -> Result<(), DemoError> {
        self.kill_process()?;
        tokio::time::sleep(LAST_RECEIVED).await;
        self.end_target().await;
        Ok(())
    }

    /// Address and body of its target's next heartbeat; nothing while it has no target.
    pub(super) fn heartbeat(&self, sequence: u64) -> Option<(String, Value)> {
        let target = self.target.as_ref()?;
        let url = format!(
            "http://{}/instances/{}",
            self.socket(HEARTBEAT_PORT),
            target.id()
        );
        let state = if self.accepting { "ready" } else { "draining" };
        let body = json!({
            "address": target.local_addr().to_string(),
            "info": {"service": self.location.service, "version": "v1", "zone": self.location.zone, "capacity": 8},
            "status": {"state": state, "seq": sequence, "warmup_left_s": 0.0},
        });
        Some((url, body))
    }

    /// Whether its target holds a key.
    pub(super) fn holds(&self, key: u16) -> bool {
        self.target.as_ref().is_some_and(|target| target.holds(key))
    }
}

/// Starts a node's process; its log lies beside its settings.
fn spawn(program: &Path, settings: &Path, text: &str) -> io::Result<Process> {
    fs::write(settings, text)?;
    let log = fs::File::options()
        .create(true)
        .append(true)
        .open(settings.with_extension("log"))?;
    let process = Command::new(program)
        .args(["sidecar", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    Ok(Process(process))
}
