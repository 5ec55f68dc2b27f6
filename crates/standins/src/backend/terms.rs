//! The terms under which a request may run, read from its headers and query.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use salvo::Request;
use thiserror::Error;
use tokio::time::Instant;
use wingspar_wire::headers;
use wingspar_world::{Fence, KeyHash, SliceRange};

use crate::net::query_value;

/// Largest answer that a request may ask for, in bytes.
const MAX_ANSWER_BYTES: u64 = 1024 * 1024 * 1024;

/// Longest work that a request may ask for, and longest deadline or grant that is counted.
const MAX_DURATION: Duration = Duration::from_secs(24 * 60 * 60);

/// A request that can't be read. Nothing was run.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MalformedRequest {
    /// A header has an unreadable value.
    #[error("header {name} has the unreadable value {value:?}")]
    Header {
        /// Name of the header.
        name: &'static str,
        /// Its value.
        value: String,
    },
    /// A keyed request lacks a header.
    #[error("a request with a key hash needs the header {name}")]
    Missing {
        /// Name of the header.
        name: &'static str,
    },
    /// A query parameter is unreadable or too large.
    #[error("{0}")]
    Query(String),
}

/// The right to run requests for a range of keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OfferedGrant {
    /// Keys that the grant covers.
    pub range: SliceRange,
    /// Its fence token.
    pub fence: Fence,
    /// When it is over on this server's monotonic clock, counted from receipt.
    pub until: Instant,
    /// When it is over by the machine's wall clock, if told. It also holds for a request that lay
    /// unread while the server was stopped.
    pub until_wall: Option<SystemTime>,
}

impl OfferedGrant {
    /// Whether the grant is over.
    #[must_use]
    pub fn is_over(&self) -> bool {
        Instant::now() >= self.until
            || self
                .until_wall
                .is_some_and(|until| SystemTime::now() >= until)
    }
}

/// Key and grant of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyTerms {
    /// Place of the key on the ring.
    pub key: KeyHash,
    /// The grant that it runs under.
    pub grant: OfferedGrant,
}

/// What the answer shall look like.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AnswerTerms {
    /// Size in bytes; `None` for a short JSON report.
    pub bytes: Option<u64>,
    /// Whether it is sent without a length.
    pub chunked: bool,
    /// Whether it breaks off half-way.
    pub truncate: bool,
    /// Whether it is given before the body of the request was read.
    pub early: bool,
    /// Its status; `None` for 200.
    pub status: Option<u16>,
}

/// Everything that a request says about itself.
#[derive(Debug, Clone)]
pub struct RequestTerms {
    /// Name of the service; empty when not told.
    pub service: String,
    /// Id of the request; empty when not told.
    pub request_id: String,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// Key and grant of a keyed request.
    pub keyed: Option<KeyTerms>,
    /// When the caller stops waiting.
    pub deadline: Option<Instant>,
    /// How long the work takes, in place of the server's own time.
    pub work: Option<Duration>,
    /// What the answer shall look like.
    pub answer: AnswerTerms,
    /// Method of the request.
    pub method: String,
}

impl RequestTerms {
    /// Reads the terms of a request that arrived now.
    ///
    /// # Errors
    /// Tells the first header or parameter that can't be read.
    pub fn read(request: &Request) -> Result<Self, MalformedRequest> {
        let now = Instant::now();
        let deadline_ms = parsed(request, headers::DEADLINE_MS, |text| {
            text.parse::<i64>().ok()
        })?;
        let work_ms = query::<u64>(request, "work_ms")?;
        Ok(Self {
            service: text(request, headers::SERVICE).unwrap_or_default(),
            request_id: text(request, headers::REQUEST_ID).unwrap_or_default(),
            idempotency_key: text(request, headers::IDEMPOTENCY_KEY),
            keyed: key_terms(request, now)?,
            deadline: deadline_ms.map(|ms| now + bounded(ms.try_into().unwrap_or(0))),
            work: work_ms.map(bounded),
            answer: answer_terms(request)?,
            method: request.method().to_string(),
        })
    }

    /// The first moment at which the request must not be started any more, if there is one.
    #[must_use]
    pub fn give_up_at(&self) -> Option<Instant> {
        let grant_end = self.keyed.map(|keyed| keyed.grant.until);
        match (self.deadline, grant_end) {
            (Some(deadline), Some(end)) => Some(deadline.min(end)),
            (deadline, end) => deadline.or(end),
        }
    }

    /// Whether the caller has stopped waiting.
    #[must_use]
    pub fn deadline_is_over(&self) -> bool {
        self.deadline
            .is_some_and(|deadline| Instant::now() >= deadline)
    }
}

fn key_terms(request: &Request, now: Instant) -> Result<Option<KeyTerms>, MalformedRequest> {
    let Some(key) = parsed(request, headers::KEY_HASH, KeyHash::parse)? else {
        return Ok(None);
    };
    let fence =
        parsed(request, headers::FENCE, Fence::parse)?.ok_or(MalformedRequest::Missing {
            name: headers::FENCE,
        })?;
    let grant =
        parsed(request, headers::GRANT, GrantText::parse)?.ok_or(MalformedRequest::Missing {
            name: headers::GRANT,
        })?;
    let until_wall = grant
        .until_unix_ms
        .map(|ms| UNIX_EPOCH + Duration::from_millis(ms));
    let until = now + bounded(grant.ttl_ms);
    let grant = OfferedGrant {
        range: grant.range,
        fence,
        until,
        until_wall,
    };
    Ok(Some(KeyTerms { key, grant }))
}

/// The parts of a grant header: `<first>-<last>;ttl-ms=N[;until-unix-ms=M]`.
struct GrantText {
    range: SliceRange,
    ttl_ms: u64,
    until_unix_ms: Option<u64>,
}

impl GrantText {
    fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split(';').map(str::trim);
        let (first, last) = parts.next()?.split_once('-')?;
        let range = SliceRange::new(KeyHash::parse(first)?, KeyHash::parse(last)?)?;
        let mut ttl_ms = None;
        let mut until_unix_ms = None;
        for part in parts {
            match part.split_once('=')? {
                ("ttl-ms", value) => ttl_ms = Some(value.parse().ok()?),
                ("until-unix-ms", value) => until_unix_ms = Some(value.parse().ok()?),
                _ => {}
            }
        }
        Some(Self {
            range,
            ttl_ms: ttl_ms?,
            until_unix_ms,
        })
    }
}

fn answer_terms(request: &Request) -> Result<AnswerTerms, MalformedRequest> {
    let bytes = query::<u64>(request, "answer_bytes")?;
    if bytes.is_some_and(|bytes| bytes > MAX_ANSWER_BYTES) {
        let error = format!("answer_bytes is larger than {MAX_ANSWER_BYTES}");
        return Err(MalformedRequest::Query(error));
    }
    Ok(AnswerTerms {
        bytes,
        chunked: flag(request, "chunked")?,
        truncate: flag(request, "truncate")?,
        early: flag(request, "early")?,
        status: query(request, "status")?,
    })
}

fn flag(request: &Request, name: &str) -> Result<bool, MalformedRequest> {
    Ok(query::<u8>(request, name)?.is_some_and(|value| value != 0))
}

fn query<T: std::str::FromStr>(
    request: &Request,
    name: &str,
) -> Result<Option<T>, MalformedRequest> {
    query_value(request, name).map_err(MalformedRequest::Query)
}

fn parsed<T>(
    request: &Request,
    name: &'static str,
    parse: impl Fn(&str) -> Option<T>,
) -> Result<Option<T>, MalformedRequest> {
    let Some(value) = text(request, name) else {
        return Ok(None);
    };
    match parse(&value) {
        Some(parsed) => Ok(Some(parsed)),
        None => Err(MalformedRequest::Header { name, value }),
    }
}

fn text(request: &Request, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
}

fn bounded(ms: u64) -> Duration {
    Duration::from_millis(ms).min(MAX_DURATION)
}
