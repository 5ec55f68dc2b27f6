//! An application target, as PROTOCOL.md and the later letters tell it.

use std::io::Result;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use std::io::Write;

use crate::http::{Conn, Head, Server, answer_bytes, call};
use crate::json::Json;
use crate::record::Record;

/// Long answers: so many pieces of so many bytes, 240,000 bytes in all, and the pause after each.
const PIECE: usize = 8_000;
const PIECES: usize = 30;
const PIECE_PAUSE: Duration = Duration::from_millis(5);

/// Keys that a target holds under a grant.
#[derive(Debug, Clone, Copy)]
struct Held {
    from: u16,
    to: u16,
    fence: u64,
    until: Instant,
}

/// A request that a target has begun to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub path: String,
    /// The service on the machine where it began, as the target was told.
    pub caller: String,
    /// When the head of the request had arrived.
    pub arrived: Instant,
}

/// How the end of an answer is shown.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Framing {
    #[default]
    Chunks,
    /// Its length is declared.
    Length,
    /// It ends with its connection.
    Close,
}

#[derive(Default)]
struct Life {
    held: Vec<Held>,
    /// Ranges with the highest fences seen on them.
    fences: Vec<(u16, u16, u64)>,
    running: u32,
}

pub struct Shared {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    control: SocketAddr,
    keyed: bool,
    slots: u32,
    work: Mutex<Duration>,
    /// The requests a second that it names as its limit, while it is in need.
    limit: Mutex<Option<f64>>,
    /// Whether it is to send a second answer: an earlier one of the same connection, once more.
    second_answer: AtomicBool,
    /// The path whose requests crash the target, while it does so.
    crashes_on: Mutex<Option<String>>,
    /// The caller whose requests do so; nothing if all callers' do.
    crashes_for: Mutex<Option<(String, String)>>,
    has_new_ids: AtomicBool,
    /// How long it works on a request before that crashes it.
    crashes_after: Mutex<Duration>,
    /// Requests below this path get long answers without a declared length; one that crashes the target does so midway.
    long_answers: Mutex<Option<String>>,
    /// How the end of long answers is shown.
    framing: Mutex<Framing>,
    away: Duration,
    born: AtomicU64,
    lives: AtomicU64,
    pub crashes: AtomicU64,
    sequence: AtomicU64,
    up: AtomicBool,
    leaving: AtomicBool,
    ended: AtomicBool,
    life: Mutex<Life>,
    pub runs: Mutex<Vec<Run>>,
    server: Mutex<Option<Server>>,
    record: Arc<Record>,
}

#[derive(Clone)]
pub struct Target(pub Arc<Shared>);

pub struct Plan<'a> {
    pub name: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub keyed: bool,
    pub slots: u32,
    pub work: Duration,
    /// How long it is away after a crash.
    pub away: Duration,
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}

impl Target {
    pub fn start(plan: &Plan<'_>, record: &Arc<Record>) -> Result<Self> {
        let target = Self(Arc::new(Shared {
            name: plan.name.to_owned(),
            service: plan.service.to_owned(),
            zone: plan.zone.to_owned(),
            address: plan.address,
            control: plan.control,
            keyed: plan.keyed,
            slots: plan.slots,
            work: Mutex::new(plan.work),
            limit: Mutex::default(),
            second_answer: AtomicBool::default(),
            crashes_on: Mutex::default(),
            crashes_for: Mutex::default(),
            has_new_ids: AtomicBool::default(),
            crashes_after: Mutex::default(),
            long_answers: Mutex::default(),
            framing: Mutex::default(),
            away: plan.away,
            born: AtomicU64::default(),
            lives: AtomicU64::default(),
            crashes: AtomicU64::default(),
            sequence: AtomicU64::default(),
            up: AtomicBool::default(),
            leaving: AtomicBool::default(),
            ended: AtomicBool::default(),
            life: Mutex::default(),
            runs: Mutex::default(),
            server: Mutex::default(),
            record: record.clone(),
        }));
        target.begin_life()?;
        let beating = target.clone();
        thread::spawn(move || beating.beat());
        Ok(target)
    }

    /// Starts its process: it knows nothing of before, but has the id that it had.
    fn begin_life(&self) -> Result<()> {
        let shared = &self.0;
        *shared.life.lock().unwrap() = Life::default();
        shared.born.store(unix_ms(), Ordering::SeqCst);
        shared.sequence.store(0, Ordering::SeqCst);
        let life = shared.lives.fetch_add(1, Ordering::SeqCst) + 1;
        let serving = self.clone();
        let server = Server::start(shared.address, move |conn| serving.serve(life, conn))?;
        *shared.server.lock().unwrap() = Some(server);
        shared.up.store(true, Ordering::SeqCst);
        Ok(())
    }

    pub fn set_crashes_on(&self, path: Option<&str>) {
        *self.0.crashes_on.lock().unwrap() = path.map(str::to_owned);
    }

    /// From now on only requests of this caller crash it: a service, and a tenant.
    pub fn set_crashes_for(&self, service: &str, tenant: &str) {
        *self.0.crashes_for.lock().unwrap() = Some((service.to_owned(), tenant.to_owned()));
    }

    /// From now on a request that crashes it does so when it has worked on it for this long. It goes on if the caller
    /// closes the connection.
    pub fn set_crashes_after(&self, work: Duration) {
        *self.0.crashes_after.lock().unwrap() = work;
    }

    /// From its next life on, each life has an id of its own.
    pub fn set_new_ids(&self) {
        self.0.has_new_ids.store(true, Ordering::SeqCst);
    }

    /// From now on requests below this path get long answers.
    pub fn set_long_answers(&self, path: &str, framing: Framing) {
        *self.0.long_answers.lock().unwrap() = Some(path.to_owned());
        *self.0.framing.lock().unwrap() = framing;
    }

    /// The id of its present life.
    fn id(&self) -> String {
        let life = self.0.lives.load(Ordering::SeqCst);
        if self.0.has_new_ids.load(Ordering::SeqCst) && life > 1 {
            format!("{}-{life}", self.0.name)
        } else {
            self.0.name.clone()
        }
    }

    /// From now on it is in need: it takes longer and names its limit in all answers.
    pub fn set_need(&self, limit: f64, work: Duration) {
        *self.0.limit.lock().unwrap() = Some(limit);
        *self.0.work.lock().unwrap() = work;
    }

    /// Has it send, once, an answer from before its need a second time, late.
    pub fn send_second_answer(&self) {
        self.0.second_answer.store(true, Ordering::SeqCst);
    }

    /// Its process ends: the socket and all connections are closed at once. It is back under the same id later.
    fn crash(&self) {
        let shared = &self.0;
        shared.up.store(false, Ordering::SeqCst);
        let server = shared.server.lock().unwrap().take();
        drop(server);
        shared.crashes.fetch_add(1, Ordering::SeqCst);
        shared.record.line(&format!("{} crashed", shared.name));
        thread::sleep(shared.away);
        if shared.ended.load(Ordering::SeqCst) {
            return;
        }
        match self.begin_life() {
            Ok(()) => shared
                .record
                .line(&format!("{} is back as {}", shared.name, self.id())),
            Err(error) => shared
                .record
                .line(&format!("{} isn't back: {error}", shared.name)),
        }
    }

    /// Says that it is gone, as it does before a planned end.
    pub fn deregister(&self) {
        let path = format!("/instances/{}", self.id());
        let _answer = call(
            self.0.control,
            "DELETE",
            &path,
            &[],
            b"",
            Duration::from_secs(1),
        );
    }

    pub fn end(&self) {
        self.0.ended.store(true, Ordering::SeqCst);
        self.0.up.store(false, Ordering::SeqCst);
        let server = self.0.server.lock().unwrap().take();
        drop(server);
    }

    /// Says `draining` until that is acknowledged; returns when that was.
    pub fn drain(&self) -> Option<Instant> {
        self.0.leaving.store(true, Ordering::SeqCst);
        for _ in 0..5 {
            if self.heartbeat() {
                return Some(Instant::now());
            }
        }
        None
    }

    fn beat(&self) {
        while !self.0.ended.load(Ordering::SeqCst) {
            if self.0.up.load(Ordering::SeqCst) {
                let _acknowledged = self.heartbeat();
            }
            thread::sleep(Duration::from_millis(1_300));
        }
    }

    /// Sends a heartbeat; whether it was acknowledged.
    fn heartbeat(&self) -> bool {
        let shared = &self.0;
        let sequence = shared.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if shared.leaving.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let body = format!(
            "{{\"born\":{},\"address\":\"{}\",\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\"capacity\":{}}},\"status\":{{\"state\":\"{state}\",\"seq\":{sequence},\"warmup_left_s\":0}}}}",
            shared.born.load(Ordering::SeqCst),
            shared.address,
            shared.service,
            shared.zone,
            shared.slots,
        );
        let headers = [("Content-Type", "application/json".to_owned())];
        let path = format!("/instances/{}", self.id());
        let time = Duration::from_secs(1);
        let answer = call(
            shared.control,
            "PUT",
            &path,
            &headers,
            body.as_bytes(),
            time,
        );
        answer.is_ok_and(|answer| (200..300).contains(&answer.status))
    }

    fn serve(&self, life: u64, conn: &mut Conn) -> Result<()> {
        let shared = &self.0;
        // The last answer on this connection from before the target's need.
        let mut earlier = None::<Vec<u8>>;
        while let Some(head) = conn.head()? {
            let arrived = Instant::now();
            let body = conn.body(&head, false)?;
            let is_this_life =
                shared.lives.load(Ordering::SeqCst) == life && shared.up.load(Ordering::SeqCst);
            if !is_this_life {
                return Ok(());
            }
            let (status, more) = match (head.method(), head.path()) {
                ("GET", "/healthz") => {
                    let leaves = shared.leaving.load(Ordering::SeqCst);
                    (if leaves { 503 } else { 200 }, Vec::new())
                }
                ("POST", "/grant") => (self.grant(&body), Vec::new()),
                ("POST", "/release") => {
                    self.release(&body);
                    (
                        200,
                        vec![("X-Wingspar-Handover", "5c0e7a21d94b36f8".to_owned())],
                    )
                }
                _ => {
                    if let Some(second) = &earlier
                        && shared.second_answer.swap(false, Ordering::SeqCst)
                    {
                        let id = head.header("x-wingspar-request-id").unwrap_or("");
                        let name = &shared.name;
                        shared.record.line(&format!(
                            "{name} sends an earlier answer again, where that to {id} is due"
                        ));
                        conn.stream.write_all(second)?;
                    }
                    match self.run(arrived, &head) {
                        Some((200, signed)) if self.answers_long(head.path()) => {
                            let ends = self.answer_long(conn, &head, &signed)?;
                            if ends {
                                return Ok(());
                            }
                            continue;
                        }
                        Some(answer) => answer,
                        None => return Ok(()),
                    }
                }
            };
            let running = shared.life.lock().unwrap().running;
            let mut headers = vec![
                ("X-Wingspar-Instance-Id", self.id()),
                (
                    "X-Wingspar-Server-Load",
                    format!("{running},0,{}", shared.slots),
                ),
            ];
            headers.extend(more);
            let is_run = headers
                .iter()
                .any(|(name, _)| *name == "X-Wingspar-Request-Id");
            let limit = *shared.limit.lock().unwrap();
            if let Some(limit) = limit {
                headers.push(("Server-Limit", format!("{limit:.1}")));
            } else if is_run {
                earlier = Some(answer_bytes(status, &headers, b"answer"));
            }
            conn.answer(status, &headers, b"answer")?;
        }
        Ok(())
    }

    /// Runs a request. Returns its status and headers, or nothing if the target crashed.
    fn run(&self, arrived: Instant, head: &Head) -> Option<(u16, Vec<(&'static str, String)>)> {
        let shared = &self.0;
        let id = head
            .header("x-wingspar-request-id")
            .unwrap_or("")
            .to_owned();
        let not_run = |status| {
            let headers = vec![
                ("X-Wingspar-Not-Executed", "1".to_owned()),
                ("X-Wingspar-Request-Id", id.clone()),
            ];
            Some((status, headers))
        };
        let expected = head.header("x-wingspar-expect-instance");
        if expected.is_some_and(|expected| expected != self.id()) {
            return not_run(421);
        }
        let key = head
            .header("x-wingspar-shard-key")
            .and_then(|key| key.parse::<u16>().ok());
        if shared.keyed && !key.is_some_and(|key| self.holds(key)) {
            return not_run(421);
        }
        {
            let mut present = shared.life.lock().unwrap();
            if present.running >= shared.slots {
                return not_run(503);
            }
            present.running += 1;
        }
        let run = Run {
            id: id.clone(),
            path: head.path().to_owned(),
            caller: head
                .header("x-wingspar-caller-service")
                .unwrap_or("")
                .to_owned(),
            arrived,
        };
        shared.runs.lock().unwrap().push(run);
        let crashes_on = shared.crashes_on.lock().unwrap().clone();
        let crashes_for = shared.crashes_for.lock().unwrap().clone();
        let caller = head.header("x-wingspar-caller-service");
        let tenant = head.header("x-wingspar-tenant");
        let is_its = crashes_for.is_none_or(|(service, its)| {
            caller == Some(service.as_str()) && tenant == Some(its.as_str())
        });
        if is_its && crashes_on.as_deref() == Some(head.path()) && !self.answers_long(head.path()) {
            let caller = caller.unwrap_or("");
            let life = shared.lives.load(Ordering::SeqCst);
            let work = *shared.crashes_after.lock().unwrap();
            thread::sleep(work);
            if shared.lives.load(Ordering::SeqCst) != life || !shared.up.load(Ordering::SeqCst) {
                return None;
            }
            let line = format!(
                "{} began to run {id} of {caller} {} ms ago and crashes",
                shared.name,
                work.as_millis()
            );
            shared.record.line(&line);
            let crashing = self.clone();
            thread::spawn(move || crashing.crash());
            thread::sleep(Duration::from_secs(1));
            return None;
        }
        let work = *shared.work.lock().unwrap();
        thread::sleep(work);
        {
            let mut present = shared.life.lock().unwrap();
            present.running = present.running.saturating_sub(1);
        }
        let signed = vec![
            ("X-Wingspar-Request-Id", id),
            (
                "X-Wingspar-Response-Signature",
                "3e1b.07.5a2.600.0.c9f2a4d1".to_owned(),
            ),
        ];
        Some((200, signed))
    }

    fn answers_long(&self, path: &str) -> bool {
        let below = self.0.long_answers.lock().unwrap();
        below
            .as_deref()
            .is_some_and(|below| path.starts_with(below))
    }

    /// Sends a long answer as it is made, piece by piece. Returns whether its connection ends.
    fn answer_long(
        &self,
        conn: &mut Conn,
        head: &Head,
        signed: &[(&'static str, String)],
    ) -> Result<bool> {
        let shared = &self.0;
        let framing = *shared.framing.lock().unwrap();
        let mut text = format!(
            "HTTP/1.1 200 OK\r\nX-Wingspar-Instance-Id: {}\r\n",
            self.id()
        );
        for (name, value) in signed {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        match framing {
            Framing::Chunks => text.push_str("Transfer-Encoding: chunked\r\n\r\n"),
            Framing::Length => {
                text.push_str(&format!("Content-Length: {}\r\n\r\n", PIECE * PIECES));
            }
            Framing::Close => text.push_str("Connection: close\r\n\r\n"),
        }
        conn.stream.write_all(text.as_bytes())?;
        let crashes_on = shared.crashes_on.lock().unwrap().clone();
        let crashes = crashes_on.as_deref() == Some(head.path());
        for piece in 0..PIECES {
            if crashes && piece == PIECES / 2 {
                let id = head.header("x-wingspar-request-id").unwrap_or("");
                let name = &shared.name;
                shared.record.line(&format!(
                    "{name} has run {id} until half of its answer was sent, and crashes"
                ));
                let crashing = self.clone();
                thread::spawn(move || crashing.crash());
                thread::sleep(Duration::from_secs(1));
                return Ok(true);
            }
            let mut bytes = Vec::new();
            if framing == Framing::Chunks {
                bytes.extend_from_slice(format!("{PIECE:x}\r\n").as_bytes());
            }
            bytes.resize(bytes.len() + PIECE, b'x');
            if framing == Framing::Chunks {
                bytes.extend_from_slice(b"\r\n");
            }
            conn.stream.write_all(&bytes)?;
            thread::sleep(PIECE_PAUSE);
        }
        if framing == Framing::Chunks {
            conn.stream.write_all(b"0\r\n\r\n")?;
        }
        Ok(framing == Framing::Close)
    }

    fn holds(&self, key: u16) -> bool {
        let now = Instant::now();
        let life = self.0.life.lock().unwrap();
        life.held
            .iter()
            .any(|held| (held.from..=held.to).contains(&key) && now < held.until)
    }

    fn grant(&self, body: &[u8]) -> u16 {
        let order = Json::parse(body).unwrap_or(Json::Null);
        let Some((from, to, fence)) = span(&order) else {
            return 400;
        };
        let hold = order.get("hold_s").number().unwrap_or(0.0);
        let mut life = self.0.life.lock().unwrap();
        if life
            .fences
            .iter()
            .any(|known| known.0 <= to && from <= known.1 && known.2 > fence)
        {
            return 409;
        }
        life.fences.retain(|known| known.0 < from || known.1 > to);
        life.fences.push((from, to, fence));
        life.held.retain(|held| held.from < from || held.to > to);
        let until = Instant::now() + Duration::from_secs_f64(hold.clamp(0.0, 10.0));
        life.held.push(Held {
            from,
            to,
            fence,
            until,
        });
        200
    }

    fn release(&self, body: &[u8]) {
        let order = Json::parse(body).unwrap_or(Json::Null);
        let Some((from, to, fence)) = span(&order) else {
            return;
        };
        let mut life = self.0.life.lock().unwrap();
        life.fences.retain(|known| known.0 < from || known.1 > to);
        life.fences.push((from, to, fence));
        let mut left = Vec::new();
        for held in life.held.drain(..) {
            if held.to < from || to < held.from || held.fence > fence {
                left.push(held);
                continue;
            }
            if held.from < from {
                left.push(Held {
                    to: from - 1,
                    ..held
                });
            }
            if held.to > to {
                left.push(Held {
                    from: to + 1,
                    ..held
                });
            }
        }
        life.held = left;
    }
}

fn span(order: &Json) -> Option<(u16, u16, u64)> {
    let from = order.get("from").number()? as u16;
    let to = order.get("to_version").number()? as u16;
    Some((from, to, order.get("fence").number()? as u64))
}
