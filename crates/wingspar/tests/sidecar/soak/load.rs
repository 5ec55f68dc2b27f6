//! Requests of clients, and what became of each.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinHandle;

use super::credentials::STEADY;
use super::faults::Faults;
use crate::deployment::Deployment;
use crate::pipelined_client::{PipelinedClient, request};

/// Requests sent at each step, at most.
const AT_ONCE: usize = 4;
/// Further requests of a tenant at each step while it sends many times its usual.
const STORM: usize = 10;
/// Keys are drawn from so many, so that each is asked for often.
const KEYS: u16 = 12;

/// One in so many requests is for the same path as others, as repeated lookups are.
const SHARED: u32 = 3;
/// One in so many steps sends several requests on one connection.
const PIPELINED: u32 = 4;
/// Requests of such a connection at most: more than run at once.
const MOST_PIPELINED: usize = 12;
/// How long a client waits for an answer.
const PATIENCE: Duration = Duration::from_secs(3);
/// One in so many steps sends the request under which targets end.
const CRASHING: u32 = 25;
/// How long clients wait, in milliseconds.
const DEADLINE_MS: u64 = 2_000;
/// Path of the request under which targets end.
pub const CRASHING_PATH: &str = "/orders/crashing";

/// What a request may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It may run at most once.
    Once,
    /// It may be repeated.
    Repeatable,
    /// It may be repeated, where its key is held.
    Keyed(u16),
    /// Targets end under it.
    Crashing,
}

/// A request and its answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The request's id.
    pub id: String,
    /// The machine whose node it was sent to.
    pub node: usize,
    /// What it may do.
    pub kind: Kind,
    /// The credential that the request carried.
    pub credential: &'static str,
    /// When it was sent.
    pub sent_at: Instant,
    /// The answer's status; nothing if none came.
    pub status: Option<u16>,
    /// The id in the answer.
    pub answered_id: Option<String>,
    /// Whether the answer has a target's signature.
    pub signed: bool,
    /// Its body, if it came whole.
    pub body: Option<String>,
    /// When the answer began.
    pub answered_at: Option<Instant>,
    /// Whether the target says in it that it leaves.
    pub says_leaving: bool,
}

impl Answer {
    /// A request without an answer.
    fn none(id: String, node: usize, kind: Kind, credential: &'static str) -> Self {
        Self {
            id,
            node,
            kind,
            credential,
            sent_at: Instant::now(),
            status: None,
            answered_id: None,
            signed: false,
            body: None,
            answered_at: None,
            says_leaving: false,
        }
    }

    /// The id and the number of the target's life that says in the answer that it leaves.
    pub fn leaving_target(&self) -> Option<(String, u32)> {
        let body = self.body.as_ref().filter(|_| self.says_leaving)?;
        let body = serde_json::from_str::<serde_json::Value>(body).ok()?;
        let life = u32::try_from(body["ran_in_life"].as_u64()?).ok()?;
        Some((body["ran_at"].as_str()?.to_owned(), life))
    }
}

/// The keys that requests ask for.
pub fn keys() -> impl Iterator<Item = u16> {
    (0..KEYS).map(key)
}

fn key(number: u16) -> u16 {
    number * (u16::MAX / KEYS)
}

/// All requests of a run.
pub struct Load {
    seed: u64,
    sent: u64,
    running: Vec<JoinHandle<Answer>>,
    pipelined: Vec<JoinHandle<Vec<Answer>>>,
}

impl Load {
    /// No requests yet.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            sent: 0,
            running: Vec::new(),
            pipelined: Vec::new(),
        }
    }

    /// Sends a few requests from random machines.
    pub fn send_some(
        &mut self,
        deployment: &Deployment,
        faults: &mut Faults,
        random: &mut ChaCha8Rng,
    ) {
        for _ in 0..random.random_range(1..=AT_ONCE) {
            self.sent += 1;
            let id = format!("s{}-{}", self.seed, self.sent);
            let node = random.random_range(0..deployment.nodes.len());
            let kind = match random.random_range(0..3) {
                0 => Kind::Once,
                1 => Kind::Repeatable,
                _ => Kind::Keyed(key(random.random_range(0..KEYS))),
            };
            let thing = if random.random_range(0..SHARED) == 0 {
                "shared"
            } else {
                &id
            };
            let credential = faults.draw_credential();
            let request = |path: &str| {
                let path = format!("/{path}/{thing}");
                let request = deployment.request_as(node, &path, &id, Some(credential));
                request.header("x-wingspar-deadline-ms", DEADLINE_MS)
            };
            let request = match kind {
                Kind::Once => request("book"),
                Kind::Repeatable => request("orders"),
                Kind::Keyed(key) => request("stock").header("x-wingspar-shard-key", key),
                Kind::Crashing => continue,
            };
            self.send(request, Answer::none(id, node, kind, credential));
        }
        for credential in faults.storming() {
            for _ in 0..STORM {
                self.sent += 1;
                let id = format!("s{}-{}-storm", self.seed, self.sent);
                let node = random.random_range(0..deployment.nodes.len());
                let path = format!("/orders/{id}");
                let request = deployment.request_as(node, &path, &id, Some(credential));
                let request = request.header("x-wingspar-deadline-ms", DEADLINE_MS);
                let unanswered = Answer::none(id, node, Kind::Repeatable, credential);
                self.send(request, unanswered);
            }
        }
        if random.random_range(0..PIPELINED) == 0 {
            self.send_pipelined(deployment, faults, random);
        }
        if random.random_range(0..CRASHING) == 0 {
            let node = random.random_range(0..deployment.nodes.len());
            self.send_crashing(deployment, node);
        }
    }

    /// Sends several requests on one connection, some of which may run only once.
    fn send_pipelined(
        &mut self,
        deployment: &Deployment,
        faults: &mut Faults,
        random: &mut ChaCha8Rng,
    ) {
        let node = random.random_range(0..deployment.nodes.len());
        let count = random.random_range(2..=MOST_PIPELINED);
        let requests = (0..count).map(|_| {
            self.sent += 1;
            let kind = match random.random_range(0..5) {
                0 => Kind::Once,
                _ => Kind::Repeatable,
            };
            let id = format!("s{}-{}-piped", self.seed, self.sent);
            Answer::none(id, node, kind, faults.draw_credential())
        });
        let requests = requests.collect::<Vec<_>>();
        let address = deployment.nodes[node].outbound;
        let leaves = random.random_range(0..4) == 0;
        let client = ask_pipelined(address, requests, leaves);
        self.pipelined.push(tokio::spawn(client));
    }

    /// Sends the request under which targets end.
    pub fn send_crashing(&mut self, deployment: &Deployment, node: usize) {
        self.sent += 1;
        let id = format!("s{}-{}-crashing", self.seed, self.sent);
        let request = deployment.request(node, CRASHING_PATH, &id);
        self.send(request, Answer::none(id, node, Kind::Crashing, STEADY));
    }

    fn send(&mut self, request: reqwest::RequestBuilder, unanswered: Answer) {
        let request = request.timeout(PATIENCE);
        self.running.push(tokio::spawn(ask(request, unanswered)));
    }

    /// Waits for all answers.
    pub async fn finish(self) -> Vec<Answer> {
        let mut answers = Vec::with_capacity(self.running.len());
        for running in self.running {
            answers.push(running.await.expect("a request's task doesn't panic"));
        }
        for pipelined in self.pipelined {
            answers.extend(pipelined.await.expect("a client's task doesn't panic"));
        }
        answers
    }
}

/// Sends requests on one connection and reads answers until it ends; a client that `leaves` reads only the first.
async fn ask_pipelined(address: SocketAddr, mut answers: Vec<Answer>, leaves: bool) -> Vec<Answer> {
    let exchange = async {
        let mut client = PipelinedClient::connect(address).await?;
        let sent_at = Instant::now();
        answers.iter_mut().for_each(|asked| asked.sent_at = sent_at);
        let bytes = answers.iter().map(|asked| {
            let credential = format!("X-Wingspar-Credential: {}\r\n", asked.credential);
            let id = &asked.id;
            match asked.kind {
                Kind::Once => request("POST", &format!("/book/{id}"), id, &credential),
                _ => request("GET", &format!("/orders/{id}"), id, &credential),
            }
        });
        client.send(&bytes.collect::<String>()).await?;
        let read = if leaves { 1 } else { answers.len() };
        for answer in &mut answers[..read] {
            let Some(next) = client.answer().await? else {
                return Ok(());
            };
            answer.status = Some(next.status);
            answer.answered_id = next.id().map(str::to_owned);
            answer.signed = next.header("x-wingspar-response-signature").is_some();
            answer.answered_at = Some(Instant::now());
            answer.says_leaving = next.header("server-leaving").is_some();
            answer.body = Some(next.body);
        }
        std::io::Result::Ok(())
    };
    let _ended = tokio::time::timeout(PATIENCE, exchange).await;
    answers
}

async fn ask(request: reqwest::RequestBuilder, mut answer: Answer) -> Answer {
    let Ok(response) = request.send().await else {
        return answer;
    };
    let text = |name: &str| {
        let value = response.headers().get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    answer.status = Some(response.status().as_u16());
    answer.answered_id = text("x-wingspar-request-id");
    answer.signed = text("x-wingspar-response-signature").is_some();
    answer.answered_at = Some(Instant::now());
    answer.says_leaving = text("server-leaving").is_some();
    answer.body = response.text().await.ok();
    answer
}
