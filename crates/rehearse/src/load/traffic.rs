//! What callers ask for: a seeded mix of reads, deposits, checks and downloads.

use std::sync::{Arc, Mutex, PoisonError};

use rand::RngExt;
use rand_chacha::ChaCha12Rng;
use serde::{Deserialize, Serialize};
use wingspar_world::ServiceName;

use super::zipf::Zipf;

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// May run more than once.
    Read,
    /// May run at most once; carries an `Idempotency-Key`.
    Deposit,
    /// A program checks on the service.
    Check,
    /// A large download.
    Download,
}

/// A stream of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// The service asked.
    pub service: ServiceName,
    /// Kind of the requests.
    pub kind: RequestKind,
    /// Requests a second.
    pub rate: f64,
    /// Number of keys, for keyed services.
    #[serde(default)]
    pub keys: usize,
    /// Exponent of the Zipf distribution over the keys.
    #[serde(default)]
    pub zipf: f64,
    /// Work of a request in milliseconds, in place of the service's.
    #[serde(default)]
    pub work_ms: Option<u64>,
    /// Size of an answer in bytes, in place of a short report.
    #[serde(default)]
    pub answer_bytes: Option<u64>,
    /// Deadline that callers name, in milliseconds.
    #[serde(default = "deadline_ms")]
    pub deadline_ms: u64,
}

fn deadline_ms() -> u64 {
    10_000
}

/// One request to make.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// Number of the call, from 0.
    pub number: u64,
    /// Place of the service in the deployment.
    pub service: usize,
    /// Kind.
    pub kind: RequestKind,
    /// Key, for keyed services.
    pub key: Option<String>,
    /// Work in milliseconds, if asked for.
    pub work_ms: Option<u64>,
    /// Size of the answer, if asked for.
    pub answer_bytes: Option<u64>,
    /// Deadline in milliseconds.
    pub deadline_ms: u64,
}

/// A change of the traffic while it runs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Shared {
    /// Service, rank and share of the service's requests of a key that has become hot.
    pub hot: Option<(ServiceName, usize, f64)>,
    /// Work of checks in milliseconds, when they have become slow.
    pub slow_checks_ms: Option<u64>,
}

struct Stream {
    traffic: Traffic,
    service: usize,
    keyed: bool,
    zipf: Zipf,
}

/// Draws requests of several streams.
pub struct TrafficMix {
    streams: Vec<Stream>,
    total_rate: f64,
    random: ChaCha12Rng,
    next: u64,
    changes: Arc<Mutex<Shared>>,
}

/// The key of a rank.
#[must_use]
pub fn key_of(rank: usize) -> String {
    format!("item-{rank}")
}

impl TrafficMix {
    /// A mix of streams; `services` gives the place of each service and whether it is keyed. Streams
    /// of other services are left out.
    #[must_use]
    pub fn new(
        traffic: &[Traffic],
        services: &[(ServiceName, bool)],
        random: ChaCha12Rng,
        changes: Arc<Mutex<Shared>>,
    ) -> Self {
        let stream = |traffic: &Traffic| {
            let mut places = services.iter();
            let service = places.position(|(name, _)| name == &traffic.service)?;
            Some(Stream {
                service,
                keyed: services[service].1,
                zipf: Zipf::new(traffic.keys, traffic.zipf),
                traffic: traffic.clone(),
            })
        };
        let streams = traffic.iter().filter_map(stream).collect::<Vec<_>>();
        Self {
            total_rate: streams.iter().map(|stream| stream.traffic.rate).sum(),
            streams,
            random,
            next: 0,
            changes,
        }
    }

    /// Time until the next arrival in seconds: exponentially distributed.
    pub fn pause(&mut self) -> f64 {
        let point: f64 = self.random.random();
        -(1.0 - point).ln() / self.total_rate
    }

    /// Draws the next request.
    pub fn draw(&mut self) -> Call {
        let number = self.next;
        self.next += 1;
        let changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        let mut point = self.random.random::<f64>() * self.total_rate;
        let mut streams = self.streams.iter();
        let chosen = streams.find(|stream| {
            point -= stream.traffic.rate;
            point < 0.0
        });
        let stream = chosen.unwrap_or(&self.streams[self.streams.len() - 1]);
        let traffic = &stream.traffic;
        let rank = stream.zipf.draw(&mut self.random);
        let rank = match &changes.hot {
            Some((service, hot, share))
                if service == &traffic.service && self.random.random::<f64>() < *share =>
            {
                *hot
            }
            _ => rank,
        };
        let slow = changes.slow_checks_ms;
        let is_check = traffic.kind == RequestKind::Check;
        Call {
            number,
            service: stream.service,
            kind: traffic.kind,
            key: stream.keyed.then(|| key_of(rank)),
            work_ms: slow.filter(|_| is_check).or(traffic.work_ms),
            answer_bytes: traffic.answer_bytes,
            deadline_ms: traffic.deadline_ms,
        }
    }
}
