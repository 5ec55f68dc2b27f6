//! Callers at every entrance, each with one request at a time, so the load is bounded.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::task::JoinSet;
use wingspar_platform::headers;

use super::deployment::{GUEST_CREDENTIAL, HOST, HOUSE_CREDENTIAL};
use super::evidence::Answer;

/// Callers of the steady load at each entrance.
const CALLERS: usize = 2;
/// Pause of such a caller after an answer: 16 callers make at most 200 requests a second.
const PAUSE: Duration = Duration::from_millis(80);
/// The same for the callers of a tenant that goes over its quota.
const SURGE_PAUSE: Duration = Duration::from_millis(25);
/// Time for which callers wait for an answer.
const DEADLINE_MS: u64 = 2_000;
/// A caller gives up then if nothing has come at all: later than any node answers, so that no answer is missed.
const GIVES_UP: Duration = Duration::from_secs(4);
/// Keys that are asked for, evenly spread over the key space: a few of each owner.
const ASKED_KEYS: u16 = 64;
/// Steps from one asked key to the next, so that neighbours in time belong to different owners; odd, so that all take
/// their turn.
const KEY_STRIDE: u64 = 37;
/// Every so many requests of the steady load are the tenant's with the quota.
const GUEST_EVERY: u64 = 10;

/// What is asked for.
struct Asked {
    path: &'static str,
    key: Option<u16>,
    repeatable: bool,
    credential: &'static str,
}

struct Shared {
    began_at: Instant,
    entrances: Vec<SocketAddr>,
    numbers: AtomicU64,
    surge: AtomicBool,
    ends: AtomicBool,
    answers: Mutex<Vec<Answer>>,
    served: AtomicU64,
}

/// Callers at work.
pub(super) struct Load {
    shared: Arc<Shared>,
    callers: JoinSet<()>,
}

impl Load {
    /// Starts the callers.
    pub(super) fn start(began_at: Instant, entrances: Vec<SocketAddr>) -> Self {
        let shared = Arc::new(Shared {
            began_at,
            entrances,
            numbers: AtomicU64::new(0),
            surge: AtomicBool::new(false),
            ends: AtomicBool::new(false),
            answers: Mutex::default(),
            served: AtomicU64::new(0),
        });
        let mut callers = JoinSet::new();
        for entrance in 0..shared.entrances.len() {
            for _ in 0..CALLERS {
                callers.spawn(call_steadily(Arc::clone(&shared), entrance));
            }
            callers.spawn(call_in_a_surge(Arc::clone(&shared), entrance));
        }
        Self { shared, callers }
    }

    /// Has the tenant with the quota send many more requests from all entrances, or no longer.
    pub(super) fn surge(&self, on: bool) {
        self.shared.surge.store(on, Ordering::Relaxed);
    }

    /// Requests served and not served so far.
    pub(super) fn counts(&self) -> (u64, u64) {
        let all = lock(&self.shared.answers).len() as u64;
        let served = self.shared.served.load(Ordering::Relaxed);
        (served, all - served)
    }

    /// Ends the load; what became of all requests.
    pub(super) async fn finish(self) -> Vec<Answer> {
        self.shared.ends.store(true, Ordering::Relaxed);
        self.callers.join_all().await;
        std::mem::take(&mut *lock(&self.shared.answers))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn call_steadily(shared: Arc<Shared>, entrance: usize) {
    let client = client();
    while !shared.ends.load(Ordering::Relaxed) {
        let number = shared.numbers.fetch_add(1, Ordering::Relaxed);
        let asked = steady_request(number);
        shared.ask(&client, entrance, number, &asked).await;
        tokio::time::sleep(PAUSE).await;
    }
}

async fn call_in_a_surge(shared: Arc<Shared>, entrance: usize) {
    let client = client();
    while !shared.ends.load(Ordering::Relaxed) {
        if shared.surge.load(Ordering::Relaxed) {
            let number = shared.numbers.fetch_add(1, Ordering::Relaxed);
            let asked = Asked {
                path: "/book/1",
                key: None,
                repeatable: false,
                credential: GUEST_CREDENTIAL,
            };
            shared.ask(&client, entrance, number, &asked).await;
        }
        tokio::time::sleep(SURGE_PAUSE).await;
    }
}

fn client() -> reqwest::Client {
    let builder = reqwest::Client::builder().no_proxy().timeout(GIVES_UP);
    builder.build().expect("a client without TLS can be built")
}

/// Seven requests of ten are for keys; half of all may run only once.
fn steady_request(number: u64) -> Asked {
    let step = u16::MAX / ASKED_KEYS;
    let key = (number * KEY_STRIDE % u64::from(ASKED_KEYS)) as u16 * step;
    let (path, key, repeatable) = match number % 10 {
        0..=3 => ("/stock/1", Some(key), true),
        4..=6 => ("/reserve/1", Some(key), false),
        7 => ("/orders/1", None, true),
        _ => ("/book/1", None, false),
    };
    let credential = if number.is_multiple_of(GUEST_EVERY) {
        GUEST_CREDENTIAL
    } else {
        HOUSE_CREDENTIAL
    };
    Asked {
        path,
        key,
        repeatable,
        credential,
    }
}

impl Shared {
    fn now_us(&self) -> u64 {
        self.began_at.elapsed().as_micros() as u64
    }

    async fn ask(&self, client: &reqwest::Client, entrance: usize, number: u64, asked: &Asked) {
        let id = format!("demo-{number}");
        let sent_us = self.now_us();
        let (status, own) = self.send(client, entrance, &id, asked).await;
        if status == Some(200) {
            self.served.fetch_add(1, Ordering::Relaxed);
        }
        let answer = Answer {
            id,
            key: asked.key,
            repeatable: asked.repeatable,
            sent_us,
            end_us: self.now_us(),
            status,
            own,
        };
        lock(&self.answers).push(answer);
    }

    /// Sends a request to the caller's own entrance, or to the next one that takes connections.
    async fn send(
        &self,
        client: &reqwest::Client,
        entrance: usize,
        id: &str,
        asked: &Asked,
    ) -> (Option<u16>, bool) {
        let count = self.entrances.len();
        for place in (0..count).map(|turn| (entrance + turn) % count) {
            let mut request = client
                .post(format!("http://{}{}", self.entrances[place], asked.path))
                .header("host", HOST)
                .header(headers::REQUEST_ID, id)
                .header(headers::CREDENTIAL, asked.credential)
                .header(headers::DEADLINE_MS, DEADLINE_MS);
            if let Some(key) = asked.key {
                request = request.header(headers::KEY, key);
            }
            match request.send().await {
                Ok(response) => return read(response, id).await,
                // Nothing was sent, so the request may go elsewhere under its id.
                Err(error) if error.is_connect() => {}
                Err(_) => return (None, false),
            }
        }
        (None, false)
    }
}

/// Status of an answer, and whether it is the whole answer of a target to that request.
async fn read(response: reqwest::Response, id: &str) -> (Option<u16>, bool) {
    let status = response.status().as_u16();
    let answered = response.headers();
    let same_id = answered
        .get(headers::REQUEST_ID)
        .is_some_and(|answered_id| answered_id == id);
    let signed = answered.contains_key(headers::SIGNATURE);
    let Ok(body) = response.bytes().await else {
        return (None, false);
    };
    let body = serde_json::from_slice::<Value>(&body).unwrap_or(Value::Null);
    (
        Some(status),
        same_id && signed && body["ran_at"].is_string(),
    )
}
