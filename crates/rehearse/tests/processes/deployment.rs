//! Platform, three control candidates, two routers, four back ends with their agents: each a process.

use std::collections::BTreeMap;
use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::SeedableRng;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};
use wingspar_ctl::Client;
use wingspar_rehearse::audit::{Evidence, check};
use wingspar_rehearse::load::{
    Call, Caller, CallerSettings, Driver, DriverSettings, Outcome, Record, RequestKind, Traffic,
    TrafficMix,
};
use wingspar_standins::backend::JournalEntry;
use wingspar_world::ServiceName;

use crate::process::{Process, rehearse, wingspar};

/// Longest wait for anything; no test depends on how fast it comes.
const LIMIT: Duration = Duration::from_secs(60);
/// Longest time of one operator call; a frozen process holds an attempt up for 5 s.
const CLIENT_LIMIT: Duration = Duration::from_secs(20);
pub const TARGETS: usize = 4;
const CONTROLS: usize = 3;
const ROUTERS: usize = 2;

/// Ports; each deployment has an address of its own, out of reach of the system's own choices.
const PLATFORM: u16 = 7500;
const CONTROL: u16 = 7400;
const OPERATORS: u16 = 7410;
const ROUTER: u16 = 7420;
const AGENT: u16 = 7430;
const BACKEND: u16 = 7440;
const ADMIN: u16 = 7450;
const TELEMETRY: u16 = 7460;

/// Deployments run one at a time: a dozen processes of each would starve the others of their leases.
static TURN: Mutex<()> = Mutex::new(());

pub struct Deployment {
    ip: IpAddr,
    directory: PathBuf,
    pub processes: BTreeMap<String, Process>,
    /// Journals read from back ends before they were killed.
    kept: Vec<JournalEntry>,
    caller: Caller,
    records: Arc<Mutex<Vec<Record>>>,
    next_call: u64,
    _turn: MutexGuard<'static, ()>,
}

impl Deployment {
    /// Starts all processes, creates the services by `wingspar ctl`, and waits until they answer.
    pub async fn start(number: u8) -> Self {
        // A test that failed in its turn leaves nothing behind.
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let id = std::process::id();
        let ip = Ipv4Addr::new(127, 64 + (id >> 8) as u8 % 64, id as u8, number);
        let directory = format!("processes-{id}-{number}");
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(directory);
        fs::create_dir_all(&directory).unwrap();
        let routers = (0..ROUTERS as u16).map(|index| SocketAddr::new(ip.into(), ROUTER + index));
        let settings = CallerSettings {
            routers: routers.collect(),
            services: services().into_iter().map(|(name, _)| name).collect(),
            delay: Duration::ZERO,
            run: format!("processes-{number}"),
        };
        let mut deployment = Self {
            ip: ip.into(),
            directory,
            processes: BTreeMap::new(),
            kept: Vec::new(),
            caller: Caller::new(settings, Instant::now()).unwrap(),
            records: Arc::default(),
            next_call: 1_000_000,
            _turn: turn,
        };
        deployment.start_processes();
        deployment.create_services();
        deployment.wait_until_served().await;
        deployment
    }

    fn at(&self, port: u16, index: usize) -> String {
        format!("{}:{}", self.ip, port + index as u16)
    }

    fn start_processes(&mut self) {
        let listen = ["platform", "--listen"].map(str::to_owned);
        let words = [listen.as_slice(), &[self.at(PLATFORM, 0)]].concat();
        self.spawn("platform", &rehearse(), &words);
        for index in 0..CONTROLS {
            let part = format!(
                "[control]\noperator_listen = \"{}\"\n[platform]\nurl = \"http://{}\"\n",
                self.at(OPERATORS, index),
                self.at(PLATFORM, 0)
            );
            self.start_node(&format!("control-{}", index + 1), index, &part);
        }
        for index in 0..ROUTERS {
            let part = format!("[router]\nlisten = \"{}\"\n", self.at(ROUTER, index));
            self.start_node(&format!("router-{}", index + 1), CONTROLS + index, &part);
        }
        for index in 0..TARGETS {
            self.start_backend(index);
            self.start_agent(index);
        }
    }

    pub fn start_backend(&mut self, index: usize) {
        let name = format!("backend-{}", index + 1);
        let words = [
            "backend".to_owned(),
            format!("--listen={}", self.at(BACKEND, index)),
            format!("--admin={}", self.at(ADMIN, index)),
            format!("--name={name}"),
            "--work-ms=2".to_owned(),
        ];
        self.spawn(&name, &rehearse(), &words);
    }

    pub fn start_agent(&mut self, index: usize) {
        let part = format!("[agent]\nlisten = \"{}\"\n", self.at(AGENT, index));
        let place = CONTROLS + ROUTERS + index;
        self.start_node(&format!("machine-{}", index + 1), place, &part);
    }

    fn start_node(&mut self, name: &str, place: usize, part: &str) {
        let seeds = (0..CONTROLS).map(|index| format!("\"{}\"", self.at(CONTROL, index)));
        let seeds = seeds.collect::<Vec<_>>().join(", ");
        let settings = format!(
            "control_address = \"{}\"\nseeds = [{seeds}]\n[machine]\nname = \"{name}\"\n\
             region = \"cymru-de\"\nzone = \"neuadd-{}\"\n[telemetry]\nlisten = \"{}\"\n{part}",
            self.at(CONTROL, place),
            ["a", "b", "c", "d"][place % 4],
            self.at(TELEMETRY, place),
        );
        let file = self.directory.join(format!("{name}.toml"));
        fs::write(&file, settings).unwrap();
        let words = ["node".to_owned(), format!("--settings={}", file.display())];
        self.spawn(name, &wingspar(), &words);
    }

    fn spawn(&mut self, name: &str, program: &std::path::Path, words: &[String]) {
        let process = Process::start(name, program, words, &self.directory);
        self.processes.insert(name.to_owned(), process);
    }

    /// Runs `wingspar ctl`.
    pub fn ctl(&self, words: &str) -> Output {
        let mut command = Command::new(wingspar());
        command.arg("ctl");
        for index in 0..CONTROLS {
            command.arg(format!("--endpoint={}", self.at(OPERATORS, index)));
        }
        command.arg("--limit=60").args(words.split(' '));
        command.output().unwrap()
    }

    fn ctl_done(&self, words: &str) {
        let output = self.ctl(words);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "ctl {words}: {errors}");
    }

    fn create_services(&self) {
        self.ctl_done("policy create even --slices 8");
        self.ctl_done("service create stoc --kind keyed --policy even --key-header x-key");
        self.ctl_done("service create cludo --kind unkeyed");
        for index in 0..TARGETS {
            for service in ["stoc", "cludo"] {
                let number = index + 1;
                self.ctl_done(&format!(
                    "target create {service}-{number} --service {service} --machine machine-{number} \
                     --region cymru-de --zone neuadd-a --address {}",
                    self.at(BACKEND, index)
                ));
            }
        }
    }

    async fn wait_until_served(&mut self) {
        for service in 0..services().len() {
            for key in 0..32 {
                self.read_until_served(service, &format!("item-{key}"))
                    .await;
            }
        }
    }

    /// Reads a key again and again until it is served.
    pub async fn read_until_served(&mut self, service: usize, key: &str) {
        let deadline = Instant::now() + LIMIT;
        loop {
            let record = self.read(service, key).await;
            if record.outcome == Outcome::Ran {
                return;
            }
            for process in self.processes.values_mut() {
                process.assert_alive();
            }
            assert!(Instant::now() < deadline, "{key} is not served: {record:?}");
            sleep(Duration::from_millis(100)).await;
        }
    }

    pub async fn read(&mut self, service: usize, key: &str) -> Record {
        let call = Call {
            number: self.next_call,
            service,
            kind: RequestKind::Read,
            key: services()[service].1.then(|| key.to_owned()),
            work_ms: None,
            answer_bytes: None,
            deadline_ms: 3_000,
        };
        self.next_call += 1;
        let record = self.caller.attempt(&call, 1, Instant::now()).await;
        self.records.lock().unwrap().push(record.clone());
        record
    }

    /// Starts reads and deposits that go on for some seconds.
    pub fn load(&self, seconds: u64) -> JoinHandle<()> {
        let traffic = |service: &str, kind, rate| Traffic {
            service: ServiceName::new(service).unwrap(),
            kind,
            rate,
            keys: 200,
            zipf: 0.8,
            work_ms: None,
            answer_bytes: None,
            deadline_ms: 8_000,
        };
        let traffic = [
            traffic("stoc", RequestKind::Read, 60.0),
            traffic("stoc", RequestKind::Deposit, 30.0),
            traffic("cludo", RequestKind::Read, 30.0),
        ];
        let random = rand_chacha::ChaCha12Rng::seed_from_u64(7);
        let mix = TrafficMix::new(&traffic, &services(), random, Arc::default());
        let settings = DriverSettings {
            duration: Duration::from_secs(seconds),
            attempts: 3,
        };
        let records = Arc::clone(&self.records);
        let driver = Driver::new(self.caller.clone(), mix, settings, records);
        tokio::spawn(driver.run(Instant::now()))
    }

    pub fn client(&self) -> Client {
        let addresses = (0..CONTROLS).map(|index| self.at(OPERATORS, index));
        let addresses = addresses.map(|address| address.parse().unwrap());
        Client::new(addresses.collect()).with_limit(CLIENT_LIMIT)
    }

    pub fn control_address(&self, index: usize) -> SocketAddr {
        self.at(CONTROL, index).parse().unwrap()
    }

    /// What a node tells about itself on its operators' address.
    pub async fn metrics(&self, place: usize) -> String {
        let url = format!("http://{}/metrics", self.at(TELEMETRY, place));
        reqwest::get(url).await.unwrap().text().await.unwrap()
    }

    /// The number of the machine that owns a key, from 0.
    pub async fn owner_of(&self, key: &str) -> Option<usize> {
        let service = ServiceName::new("stoc").unwrap();
        let report = self
            .client()
            .placement(&service, Some(key.as_bytes()))
            .await
            .ok()?;
        match &report.slices.first()?.status {
            wingspar_wire::SliceStatus::Served(target) => {
                let number = target.as_str().strip_prefix("stoc-")?;
                Some(number.parse::<usize>().ok()? - 1)
            }
            _ => None,
        }
    }

    /// Kills a back end after its journal was read.
    pub async fn kill_backend(&mut self, index: usize) {
        let journal = self.journal(index).await;
        self.kept.extend(journal);
        let name = format!("backend-{}", index + 1);
        self.processes.get_mut(&name).unwrap().kill();
        self.processes.remove(&name);
    }

    async fn journal(&self, index: usize) -> Vec<JournalEntry> {
        let url = format!("http://{}/admin/journal", self.at(ADMIN, index));
        let text = reqwest::get(url).await.unwrap().text().await.unwrap();
        let lines = text.lines().filter(|line| !line.is_empty());
        lines
            .map(|line| serde_json::from_str(line).unwrap())
            .collect()
    }

    /// What callers have seen so far.
    pub fn records(&self) -> Vec<Record> {
        self.records.lock().unwrap().clone()
    }

    /// Checks all promises on the journals of all back ends.
    pub async fn audit(&mut self, complete: bool) {
        let mut journals = std::mem::take(&mut self.kept);
        for index in 0..TARGETS {
            if self
                .processes
                .contains_key(&format!("backend-{}", index + 1))
            {
                journals.extend(self.journal(index).await);
            }
        }
        let records = self.records();
        let ran = records.iter().filter(|one| one.outcome == Outcome::Ran);
        assert!(ran.count() > 0, "nothing was served");
        let broken = check(Evidence {
            records: &records,
            journals: &journals,
            complete,
        });
        assert!(broken.is_empty(), "{broken:#?}");
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.processes.clear();
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

pub fn services() -> Vec<(ServiceName, bool)> {
    let name = |text| ServiceName::new(text).unwrap();
    vec![(name("stoc"), true), (name("cludo"), false)]
}

/// Waits until something holds.
pub async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + LIMIT;
    while !holds().await {
        assert!(Instant::now() < deadline, "never: {what}");
        sleep(Duration::from_millis(50)).await;
    }
}
