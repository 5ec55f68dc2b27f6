//! A small deployment: the project's processes on loopback addresses, beside a store and targets.

use std::fs::{self, File};
use std::io::{Error, Result};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Seen, call};
use crate::record::Record;
use crate::store::Store;
use crate::target::{Plan, Target};

pub const HOST: &str = "hulo84.example";
const READY_WITHIN: Duration = Duration::from_secs(25);

/// What the settings say of a deployment's links and bounds.
pub struct Terms {
    pub link_mbps: f64,
    pub drain_s: f64,
    pub converge_s: f64,
    pub budget_extra: u32,
    /// Further bounds, as lines of the settings.
    pub further: &'static str,
}

/// Those of the site tegid-gardd.
pub const TEGID: Terms = Terms {
    link_mbps: 1000.0,
    drain_s: 2.0,
    converge_s: 2.0,
    budget_extra: 58,
    further: "",
};
/// Those of the site tegid-gardd-grown, of the machines with the slowest links.
pub const TEGID_GROWN: Terms = Terms {
    link_mbps: 10.0,
    drain_s: 2.5,
    converge_s: 2.5,
    budget_extra: 158,
    further: "",
};

/// Those of the site kassaverkko-grown.
pub const KASSAVERKKO: Terms = Terms {
    link_mbps: 100.0,
    drain_s: 2.5,
    converge_s: 2.5,
    budget_extra: 208,
    further: "warmup_rate_factor = 1.5\nwarmup_rate_extra = 8\nevacuate_s = 5\nquota_window_s = 5\nquota_over = 0.1\nquota_slack = 20\n",
};

/// One machine as a case wants it.
pub struct Wanted {
    pub service: &'static str,
    pub zone: &'static str,
    pub keyed: bool,
    pub slots: u32,
    pub work: Duration,
    pub away: Duration,
}

pub struct Machine {
    pub name: String,
    pub service: &'static str,
    pub ip: Ipv4Addr,
    pub target: Target,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

impl Machine {
    pub fn outbound(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 8304))
    }

    fn ready(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 8302))
    }

    fn start(&mut self) -> Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        // The command of the deploy file.
        let process = Command::new("target/release/wingspar-sidecar")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.process = Some(process);
        Ok(())
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _killed = process.kill();
            let _reaped = process.wait();
        }
    }
}

pub struct Deployment {
    _store: Store,
    pub machines: Vec<Machine>,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            machine.kill();
            machine.target.end();
        }
        match std::env::var_os("KEEP_LOGS") {
            Some(kept) => {
                let _kept = fs::rename(&self.folder, kept);
            }
            None => {
                let _removed = fs::remove_dir_all(&self.folder);
            }
        }
    }
}

/// Free addresses for that many machines and the store.
fn free_network(machines: u8) -> Result<[u8; 2]> {
    let start = std::process::id();
    for step in 0..400_u32 {
        let number = start.wrapping_mul(31).wrapping_add(step * 7);
        let network = [100 + (number % 100) as u8, (number / 100 % 250) as u8 + 1];
        let ports = [8300, 8301, 8302, 8304, 8306, 7620, 7635, 8309];
        let is_free = (1..=machines + 1).all(|host| {
            let ip = Ipv4Addr::new(127, network[0], network[1], host);
            ports
                .iter()
                .all(|port| TcpListener::bind((ip, *port)).is_ok())
        });
        if is_free {
            return Ok(network);
        }
    }
    Err(Error::other("no free addresses"))
}

impl Deployment {
    pub fn start(
        wanted: &[Wanted],
        terms: &Terms,
        configuration: &str,
        record: &Arc<Record>,
    ) -> Result<Self> {
        let [high, low] = free_network(wanted.len() as u8)?;
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store_ip = Ipv4Addr::new(127, high, low, wanted.len() as u8 + 1);
        let store = Store::start(SocketAddr::from((store_ip, 8309)))?;
        store.write("config", "main", configuration);
        let mut deployment = Self {
            _store: store,
            machines: Vec::new(),
            folder,
        };
        let mut zones = wanted.iter().map(|wanted| wanted.zone).collect::<Vec<_>>();
        zones.sort_unstable();
        zones.dedup();
        for (index, wanted) in wanted.iter().enumerate() {
            let ip = Ipv4Addr::new(127, high, low, index as u8 + 1);
            let name = format!("sidecar-{}-{}", wanted.zone, wanted.service);
            let target = format!("i-{}-{}", wanted.service, wanted.zone);
            let plan = Plan {
                name: &target,
                service: wanted.service,
                zone: wanted.zone,
                address: SocketAddr::from((ip, 8301)),
                control: SocketAddr::from((ip, 8306)),
                keyed: wanted.keyed,
                slots: wanted.slots,
                work: wanted.work,
                away: wanted.away,
            };
            let text = settings(&name, wanted, ip, store_ip, &zones, terms);
            let settings = deployment.folder.join(format!("{name}.toml"));
            fs::write(&settings, text)?;
            let log = deployment.folder.join(format!("{name}.log"));
            let mut machine = Machine {
                service: wanted.service,
                ip,
                target: Target::start(&plan, record)?,
                settings,
                log,
                process: None,
                name,
            };
            machine.start()?;
            deployment.machines.push(machine);
        }
        deployment.wait_until_ready()?;
        Ok(deployment)
    }

    fn wait_until_ready(&self) -> Result<()> {
        let until = Instant::now() + READY_WITHIN;
        for machine in &self.machines {
            loop {
                let time = Duration::from_millis(500);
                let answer = call(machine.ready(), "GET", "/readyz", &[], b"", time);
                if answer.is_ok_and(|answer| answer.status == 200) {
                    break;
                }
                if Instant::now() > until {
                    return Err(Error::other(format!(
                        "{} isn't ready in time",
                        machine.name
                    )));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }

    /// The machine of a service in a zone.
    pub fn machine(&self, service: &str, zone: &str) -> &Machine {
        let name = format!("sidecar-{zone}-{service}");
        self.machines
            .iter()
            .find(|machine| machine.name == name)
            .expect("a machine")
    }
}

/// `platform/node.toml.template`, filled in.
fn settings(
    name: &str,
    wanted: &Wanted,
    ip: Ipv4Addr,
    store: Ipv4Addr,
    zones: &[&str],
    terms: &Terms,
) -> String {
    let zones = zones
        .iter()
        .map(|zone| format!("\"{zone}\" = \"cymru-de\"\n"))
        .collect::<String>();
    format!(
        "[node]\nname = \"{name}\"\nzone = \"{}\"\nservice = \"{}\"\naddress = \"{ip}\"\ntarget = \"{ip}:8301\"\n\
         link_mbps = {:?}\nmemory_mb = 260\nfirst_start = true\ngrants = \"rpc\"\nheartbeat_s = 1.3\n\
         [listen]\noutbound = \"{ip}:8304\"\ninbound = \"{ip}:8300\"\nready = \"{ip}:8302\"\nheartbeats = \"{ip}:8306\"\n\
         internal_port = 7620\nmetrics_port = 7635\n[store]\naddress = \"{store}:8309\"\n\
         [bounds]\ndrain_s = {:?}\ngrace_s = 6\nbudget_ratio = 0.2\nbudget_window_s = 10\nbudget_extra = {}\nmax_hold_s = 10\n\
         converge_s = {:?}\n{}[zones]\n{zones}",
        wanted.zone,
        wanted.service,
        terms.link_mbps,
        terms.drain_s,
        terms.budget_extra,
        terms.converge_s,
        terms.further,
    )
}

/// A route of the configuration.
pub fn route(prefix: &str, kind: &str, service: &str, timeout_s: f64, slo_s: f64) -> String {
    format!(
        "{{\"name\":\"r-{service}-{kind}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout_s\":{timeout_s},\"slo_s\":{slo_s},\"priority\":1,\"service\":\"{service}\",\"max_attempts\":2}}"
    )
}

pub fn configuration(routes: &[String], services: &[(&str, bool)]) -> String {
    let services = services
        .iter()
        .map(|(name, keyed)| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false,\"sharded\":{keyed}}}"
            )
        })
        .collect::<Vec<_>>();
    format!(
        "{{\"version\":3,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"header_bytes\":16384,\"max_body_bytes\":67108864,\"header_s\":3,\"idle_s\":15}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// A configuration with tenants, each with one credential and without a quota.
pub fn with_tenants(configuration: &str, tenants: &[(&str, &str)]) -> String {
    let tenants = tenants
        .iter()
        .map(|(name, key)| format!("{{\"name\":\"{name}\",\"api_keys\":[\"{key}\"]}}"))
        .collect::<Vec<_>>();
    let body = configuration.trim_end_matches('}');
    format!("{body}}},\"tenants\":[{}]}}", tenants.join(","))
}

/// A request of a client of that machine.
pub fn send(
    machine: &Machine,
    method: &str,
    path: &str,
    id: &str,
    key: Option<u16>,
    deadline: Duration,
    body: &[u8],
) -> Result<Seen> {
    let mut headers = vec![
        ("Host", HOST.to_owned()),
        ("X-Wingspar-Request-Id", id.to_owned()),
        ("X-Wingspar-Deadline-Ms", deadline.as_millis().to_string()),
    ];
    if let Some(key) = key {
        headers.push(("X-Wingspar-Shard-Key", key.to_string()));
    }
    let time = deadline + Duration::from_millis(300);
    call(machine.outbound(), method, path, &headers, body, time)
}

/// A request without a body, of a client of that machine with a credential.
pub fn send_as(
    machine: &Machine,
    credential: &str,
    path: &str,
    id: &str,
    deadline: Duration,
) -> Result<Seen> {
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Wingspar-Request-Id", id.to_owned()),
        ("X-Wingspar-Deadline-Ms", deadline.as_millis().to_string()),
        ("X-Wingspar-Credential", credential.to_owned()),
    ];
    let time = deadline + Duration::from_millis(300);
    call(machine.outbound(), "GET", path, &headers, b"", time)
}
