//! A target that owns keys, with what it can do wrong.

use std::io::Result;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tokio::task::JoinHandle;

use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};
use serde_json::{Value, json};

use super::answer;
use crate::net::{ConnectionSettings, RunningServer};

/// What the target does wrong.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetFaults {
    /// Runs requests and answers with the id of another.
    pub wrong_id: bool,
    /// Runs requests and answers without its signature.
    pub unsigned: bool,
    /// Rejects requests and says so.
    pub sheds: bool,
    /// Runs requests and never answers.
    pub silent: bool,
    /// Works this long on each request.
    pub work: Duration,
    /// Answers with so many bytes.
    pub answer_bytes: usize,
    /// Says that it is slow from its start for this much longer.
    pub warmup: Duration,
    /// Has room for so many requests at once, those of callers that have left included; never answers one that comes
    /// beyond, nor anything behind it on its connection. Nothing: it has room for all.
    pub room: Option<usize>,
    /// Ends under each request of such a path, some time after it began to run it.
    pub crashes_on: Option<&'static str>,
}

/// Requests that it says it works on at once.
const SLOTS: usize = 8;
/// Time from the beginning of a request that ends the target to its end.
const CRASHES_AFTER: Duration = Duration::from_millis(60);
/// Time from there until the target is back.
const BACK_AFTER: Duration = Duration::from_millis(500);

/// A request that the target has run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// Its id.
    pub id: String,
    /// Its key.
    pub key: Option<u16>,
    /// Who called.
    pub caller: String,
    /// The tenants that it was told, each that stands in a header.
    pub tenants: Vec<String>,
    /// Whether it was shown a credential.
    pub credential: bool,
    /// How long its caller waits, in milliseconds.
    pub deadline_ms: u64,
    /// Its body.
    pub body: String,
    /// When it began.
    pub at: Instant,
    /// Fence of the grant under which the target held its key.
    pub fence: Option<u64>,
}

#[derive(Debug, Clone, Copy)]
struct Grant {
    from: u64,
    to: u64,
    fence: u64,
    until: Instant,
}

#[derive(Debug)]
struct Shared {
    first_id: String,
    keyed: bool,
    /// Lives before this one.
    past_lives: Mutex<u32>,
    crash: Notify,
    grants: Mutex<Vec<Grant>>,
    /// Ranges let go since the last acknowledged heartbeat.
    let_go: Mutex<Vec<(u64, u64)>>,
    seen: Mutex<Vec<Seen>>,
    faults: Mutex<TargetFaults>,
    /// Requests that it works on, while its room is bounded.
    at_work: Mutex<usize>,
    without_room: Mutex<usize>,
}

/// A running target.
#[derive(Debug)]
pub struct FleetTarget {
    local_addr: SocketAddr,
    server: Arc<Mutex<Option<RunningServer>>>,
    shared: Arc<Shared>,
    /// Ends it and starts it again when a request crashes it.
    keeper: JoinHandle<()>,
}

impl Drop for FleetTarget {
    fn drop(&mut self) {
        self.keeper.abort();
    }
}

impl FleetTarget {
    /// Starts a target; `keyed` ones run requests only for keys they were granted.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn start(address: SocketAddr, id: &str, keyed: bool) -> Result<Self> {
        let shared = Arc::new(Shared {
            first_id: id.to_owned(),
            keyed,
            past_lives: Mutex::default(),
            crash: Notify::new(),
            grants: Mutex::default(),
            let_go: Mutex::default(),
            seen: Mutex::default(),
            faults: Mutex::default(),
            at_work: Mutex::default(),
            without_room: Mutex::default(),
        });
        let server = serve(address, &shared).await?;
        let local_addr = server.local_addr();
        let server = Arc::new(Mutex::new(Some(server)));
        let keeper = tokio::spawn(keep(local_addr, Arc::clone(&server), Arc::clone(&shared)));
        Ok(Self {
            local_addr,
            server,
            shared,
            keeper,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Whether it is up.
    #[must_use]
    pub fn is_up(&self) -> bool {
        lock(&self.server).is_some()
    }

    /// Its id; each life has its own.
    #[must_use]
    pub fn id(&self) -> String {
        self.shared.id()
    }

    /// How often a request has ended it.
    #[must_use]
    pub fn crashes(&self) -> u32 {
        *lock(&self.shared.past_lives)
    }

    /// Requests that came while it had no room.
    #[must_use]
    pub fn without_room(&self) -> usize {
        *lock(&self.shared.without_room)
    }

    /// Replaces what it does wrong.
    pub fn set_faults(&self, faults: TargetFaults) {
        *lock(&self.shared.faults) = faults;
    }

    /// How much longer it says that it is slow.
    #[must_use]
    pub fn warmup(&self) -> Duration {
        lock(&self.shared.faults).warmup
    }

    /// Requests that it has run.
    #[must_use]
    pub fn seen(&self) -> Vec<Seen> {
        lock(&self.shared.seen).clone()
    }

    /// Whether it holds a key now.
    #[must_use]
    pub fn holds(&self, key: u16) -> bool {
        self.shared.holds(key)
    }

    /// What the target tells of its keys in heartbeats, and takes from their answers.
    #[must_use]
    pub fn keys(&self) -> TargetKeys {
        TargetKeys(Arc::clone(&self.shared))
    }

    /// Connections that are open.
    #[must_use]
    pub fn open_connections(&self) -> u64 {
        let server = lock(&self.server);
        server.as_ref().map_or(0, RunningServer::open_connections)
    }

    /// Ends it, with its connections.
    pub async fn shutdown(self) {
        self.keeper.abort();
        let server = lock(&self.server).take();
        if let Some(server) = server {
            server.shutdown().await;
        }
    }
}

async fn serve(address: SocketAddr, shared: &Arc<Shared>) -> Result<RunningServer> {
    let router = Router::with_path("{**rest}").goal(TargetHandler(Arc::clone(shared)));
    RunningServer::start(address, ConnectionSettings::default(), router).await
}

/// Ends the target at each request that crashes it, and starts its next life a little later.
async fn keep(address: SocketAddr, server: Arc<Mutex<Option<RunningServer>>>, shared: Arc<Shared>) {
    loop {
        shared.crash.notified().await;
        tokio::time::sleep(CRASHES_AFTER).await;
        let ended = lock(&server).take();
        if let Some(ended) = ended {
            ended.shutdown().await;
        }
        *lock(&shared.past_lives) += 1;
        lock(&shared.grants).clear();
        lock(&shared.let_go).clear();
        tokio::time::sleep(BACK_AFTER).await;
        let next = loop {
            match serve(address, &shared).await {
                Ok(next) => break next,
                Err(_still_bound) => tokio::time::sleep(CRASHES_AFTER).await,
            }
        };
        *lock(&server) = Some(next);
    }
}

/// The keys of a target that takes them in the answers to its heartbeats.
#[derive(Debug, Clone)]
pub struct TargetKeys(Arc<Shared>);

impl TargetKeys {
    /// Adds the keys that the target holds, or has let go, to a heartbeat.
    pub fn tell(&self, heartbeat: &mut Value) {
        let now = Instant::now();
        let grants = lock(&self.0.grants);
        let holds = grants.iter().filter(|grant| now < grant.until);
        heartbeat["holds"] = holds
            .map(|grant| json!([grant.from, grant.to, grant.fence]))
            .collect();
        heartbeat["released"] = lock(&self.0.let_go)
            .iter()
            .map(|(from, to)| json!([from, to, "token"]))
            .collect();
    }

    /// Takes the answer to a heartbeat sent at `sent_at`. Returns whether keys were let go, so that the next
    /// heartbeat follows soon.
    #[must_use]
    pub fn take(&self, sent_at: Instant, answer: &Value) -> bool {
        let (Some(rows), Some(hold)) = (answer["holds"].as_array(), answer["hold_s"].as_f64())
        else {
            return false;
        };
        let row = |row: &Value| {
            Some(Grant {
                from: row[0].as_u64()?,
                to: row[1].as_u64()?,
                fence: row[2].as_u64()?,
                until: sent_at + Duration::from_secs_f64(hold),
            })
        };
        let next = rows.iter().filter_map(row).collect::<Vec<_>>();
        let mut grants = lock(&self.0.grants);
        let mut left_out = grants.clone();
        for kept in &next {
            left_out = left_out
                .iter()
                .flat_map(|grant| grant.outside(kept.from, kept.to))
                .collect();
        }
        *grants = next;
        let mut let_go = lock(&self.0.let_go);
        *let_go = left_out
            .iter()
            .map(|grant| (grant.from, grant.to))
            .collect();
        !let_go.is_empty()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    fn id(&self) -> String {
        match *lock(&self.past_lives) {
            0 => self.first_id.clone(),
            past => format!("{}-{past}", self.first_id),
        }
    }

    fn has_room(&self) -> bool {
        let room = lock(&self.faults).room;
        room.is_none_or(|room| *lock(&self.at_work) < room)
    }

    /// Its load: requests running, requests waiting, slots and how long work takes in parts of a hundred.
    fn load(&self) -> String {
        let at_work = *lock(&self.at_work);
        format!(
            "{},{},{SLOTS},100",
            at_work.min(SLOTS),
            at_work.saturating_sub(SLOTS)
        )
    }

    fn holds(&self, key: u16) -> bool {
        self.fence_of(key).is_some()
    }

    /// The fence of the grant that covers a key now.
    fn fence_of(&self, key: u16) -> Option<u64> {
        let key = u64::from(key);
        let now = Instant::now();
        lock(&self.grants)
            .iter()
            .find(|grant| grant.from <= key && key <= grant.to && now < grant.until)
            .map(|grant| grant.fence)
    }

    fn grant(&self, order: &Value) -> u16 {
        let (Some(from), Some(to), Some(fence), Some(hold)) = (
            order["from"].as_u64(),
            order["to_version"].as_u64(),
            order["fence"].as_u64(),
            order["hold_s"].as_f64(),
        ) else {
            return 400;
        };
        let mut grants = lock(&self.grants);
        if grants
            .iter()
            .any(|grant| grant.from <= to && from <= grant.to && grant.fence > fence)
        {
            return 409;
        }
        grants.retain(|grant| grant.from < from || grant.to > to);
        grants.push(Grant {
            from,
            to,
            fence,
            until: Instant::now() + Duration::from_secs_f64(hold),
        });
        200
    }

    fn release(&self, order: &Value) {
        let (Some(from), Some(to)) = (order["from"].as_u64(), order["to_version"].as_u64()) else {
            return;
        };
        let mut grants = lock(&self.grants);
        let kept = grants
            .iter()
            .flat_map(|grant| grant.outside(from, to))
            .collect();
        *grants = kept;
    }
}

impl Grant {
    /// The parts of the grant before and behind a range.
    fn outside(&self, from: u64, to: u64) -> Vec<Self> {
        let before = (self.from, self.to.min(from.wrapping_sub(1)));
        let behind = (self.from.max(to + 1), self.to);
        let part = |(first, last): (u64, u64)| Self {
            from: first,
            to: last,
            ..*self
        };
        let mut parts = Vec::new();
        if self.from < from {
            parts.push(part(before));
        }
        if self.to > to {
            parts.push(part(behind));
        }
        parts
    }
}

struct TargetHandler(Arc<Shared>);

fn text(request: &Request, name: &str) -> String {
    request.header::<String>(name).unwrap_or_default()
}

/// Each value of a header.
fn texts(request: &Request, name: &str) -> Vec<String> {
    let values = request.headers().get_all(name).iter();
    values
        .map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned())
        .collect()
}

#[async_trait]
impl Handler for TargetHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        let shared = &self.0;
        let _id = response.add_header("x-wingspar-instance-id", shared.id(), true);
        let path = request.uri().path().to_owned();
        let body = request.payload().await.cloned().unwrap_or_default();
        match path.as_str() {
            "/healthz" => {
                if !shared.has_room() {
                    std::future::pending::<()>().await;
                }
                let _load = response.add_header("x-wingspar-server-load", shared.load(), true);
                let warmup = lock(&shared.faults).warmup.as_millis().to_string();
                let _warmup = response.add_header("x-wingspar-warmup-ms", warmup, true);
                return answer(response, 200, &Value::Null);
            }
            "/grant" => {
                let order = serde_json::from_slice(&body).unwrap_or(Value::Null);
                return answer(response, shared.grant(&order), &Value::Null);
            }
            "/release" => {
                shared.release(&serde_json::from_slice(&body).unwrap_or(Value::Null));
                let _token = response.add_header("x-wingspar-handover", "token", true);
                return answer(response, 200, &Value::Null);
            }
            _ => {}
        }
        self.run(request, response, &body).await;
    }
}

impl TargetHandler {
    /// Works to the end, whether or not its caller still waits.
    async fn work_on(&self, time: Duration) {
        let shared = Arc::clone(&self.0);
        *lock(&shared.at_work) += 1;
        let work = tokio::spawn(async move {
            tokio::time::sleep(time).await;
            *lock(&shared.at_work) -= 1;
        });
        let _done = work.await;
    }

    async fn run(&self, request: &Request, response: &mut Response, body: &[u8]) {
        let shared = &self.0;
        let faults = *lock(&shared.faults);
        let key = text(request, "x-wingspar-shard-key").parse::<u16>().ok();
        let expected = text(request, "x-wingspar-expect-instance");
        let misdirected = !expected.is_empty() && expected != shared.id();
        let foreign = shared.keyed && !key.is_some_and(|key| shared.holds(key));
        if misdirected || foreign {
            let _not_run = response.add_header("x-wingspar-not-executed", "1", true);
            return answer(response, 421, &Value::Null);
        }
        if faults.sheds {
            let _not_run = response.add_header("x-wingspar-not-executed", "1", true);
            return answer(response, 503, &Value::Null);
        }
        if !shared.has_room() {
            *lock(&shared.without_room) += 1;
            std::future::pending::<()>().await;
        }
        let id = text(request, "x-wingspar-request-id");
        lock(&shared.seen).push(Seen {
            id: id.clone(),
            key,
            caller: text(request, "x-wingspar-caller-service"),
            tenants: texts(request, "x-wingspar-tenant"),
            credential: request.headers().contains_key("x-wingspar-credential"),
            deadline_ms: text(request, "x-wingspar-deadline-ms").parse().unwrap_or(0),
            body: String::from_utf8_lossy(body).into_owned(),
            at: Instant::now(),
            fence: key.and_then(|key| shared.fence_of(key)),
        });
        if faults.crashes_on == Some(request.uri().path()) {
            shared.crash.notify_one();
            std::future::pending::<()>().await;
        }
        if faults.room.is_some() {
            self.work_on(faults.work).await;
            let _load = response.add_header("x-wingspar-server-load", shared.load(), true);
        } else {
            tokio::time::sleep(faults.work).await;
        }
        if faults.silent {
            std::future::pending::<()>().await;
        }
        let answered = if faults.wrong_id {
            "another".to_owned()
        } else {
            id
        };
        let _id = response.add_header("x-wingspar-request-id", answered, true);
        if !faults.unsigned {
            let _signature = response.add_header("x-wingspar-response-signature", "s", true);
        }
        if faults.answer_bytes > 0 {
            let _written = response.write_body(vec![b'w'; faults.answer_bytes]);
            return;
        }
        answer(response, 200, &json!({"ran_at": shared.id()}));
    }
}
