//! Reads the router's headers of a request.

use std::time::Duration;

use http::{HeaderMap, Method};
use thiserror::Error;
use wingspar_agent::{Admission, Idempotency};
use wingspar_wire::headers;
use wingspar_world::{
    ConfigVersion, KeyHash, MonotonicTime, RequestClass, ServiceName, TargetName,
};
use xxhash_rust::xxh3::xxh3_128;

/// Longest accepted request id in bytes.
const MAX_REQUEST_ID: usize = 128;

/// Longest deadline that is taken at its word; the contract's bound is far below.
const LONGEST_DEADLINE: Duration = Duration::from_secs(24 * 3_600);

/// A request that no router of ours has sent.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(super) enum ParseError {
    #[error("header {0} is missing")]
    Missing(&'static str),
    #[error("header {0} is malformed")]
    Malformed(&'static str),
}

/// Reads what the router says of a request.
pub(super) fn admission(
    method: &Method,
    path: &str,
    headers: &HeaderMap,
    now: MonotonicTime,
) -> Result<Admission, ParseError> {
    let remaining: u64 = parsed(headers, headers::DEADLINE_MS, |text| text.parse().ok())?;
    let service = parsed(headers, headers::SERVICE, |text| {
        ServiceName::new(text).ok()
    })?;
    let target = parsed(headers, headers::TARGET, |text| TargetName::new(text).ok())?;
    let config = optional(headers, headers::CONFIG, |text| text.parse().ok())?;
    Ok(Admission {
        request_id: request_id(headers)?,
        service,
        target,
        key: optional(headers, headers::KEY_HASH, KeyHash::parse)?,
        router_config: ConfigVersion(config.unwrap_or_default()),
        class: optional(headers, headers::CLASS, class)?.unwrap_or_default(),
        deadline: now + Duration::from_millis(remaining).min(LONGEST_DEADLINE),
        repeatable: optional(headers, headers::REPEATABLE, flag)?.unwrap_or(false),
        idempotency: idempotency(method, path, headers)?,
    })
}

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, ParseError> {
    let value = headers.get(name);
    let text = value.map(|value| value.to_str().map_err(|_| ParseError::Malformed(name)));
    text.transpose()
}

fn optional<T>(
    headers: &HeaderMap,
    name: &'static str,
    parse: impl FnOnce(&str) -> Option<T>,
) -> Result<Option<T>, ParseError> {
    let Some(text) = text(headers, name)? else {
        return Ok(None);
    };
    parse(text).map(Some).ok_or(ParseError::Malformed(name))
}

fn parsed<T>(
    headers: &HeaderMap,
    name: &'static str,
    parse: impl FnOnce(&str) -> Option<T>,
) -> Result<T, ParseError> {
    optional(headers, name, parse)?.ok_or(ParseError::Missing(name))
}

fn request_id(headers: &HeaderMap) -> Result<String, ParseError> {
    parsed(headers, headers::REQUEST_ID, |text| {
        (text.len() <= MAX_REQUEST_ID).then(|| text.to_owned())
    })
}

fn class(text: &str) -> Option<RequestClass> {
    match text {
        "interactive" => Some(RequestClass::Interactive),
        "checks" => Some(RequestClass::Checks),
        "bulk" => Some(RequestClass::Bulk),
        _ => None,
    }
}

fn flag(text: &str) -> Option<bool> {
    match text {
        "0" => Some(false),
        "1" => Some(true),
        _ => None,
    }
}

/// The caller's name for the work. Method and path belong to the name: the same key on another
/// path is other work, whose caller must not get this one's answer.
fn idempotency(
    method: &Method,
    path: &str,
    headers: &HeaderMap,
) -> Result<Option<Idempotency>, ParseError> {
    let Some(key) = headers.get(headers::IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let attempt = optional(headers, headers::IDEMPOTENCY_ATTEMPT, |text| {
        text.parse().ok().filter(|number| *number > 0)
    })?;
    let mut name = Vec::new();
    for part in [method.as_str().as_bytes(), path.as_bytes(), key.as_bytes()] {
        name.extend_from_slice(&(part.len() as u64).to_le_bytes());
        name.extend_from_slice(part);
    }
    let hash = xxh3_128(&name);
    let id = [(hash >> 64) as u64, hash as u64];
    Ok(Some(Idempotency { id, attempt }))
}
