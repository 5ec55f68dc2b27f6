//! Heads of the request to the back end and of its answer.

use std::time::{Duration, SystemTime};

use http::header::{HeaderMap, HeaderName, HeaderValue};
use wingspar_agent::{Clearance, ClearedGrant};
use wingspar_wire::headers;
use wingspar_world::MonotonicTime;

use super::answers::{NOT_RUN, RAN, UNKNOWN};
use crate::forward;

/// Headers between router and agent that are no business of the back end.
const ROUTER_ONLY: [&str; 3] = [headers::TARGET, headers::CONFIG, headers::REPEATABLE];
/// Headers of wingspar that a back end may set on its answer.
const BACK_END_MAY_SET: [&str; 1] = [headers::REASON];

/// The request's headers as the back end may see them, without those of one connection.
pub(super) fn towards_back_end(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    forward::remove_hop_by_hop(&mut headers);
    for name in ROUTER_ONLY {
        headers.remove(name);
    }
    headers
}

/// Adds fence, grant and the rest of the deadline. `wall_clock` was read no later than `now`.
pub(super) fn cleared(
    mut outgoing: reqwest::Request,
    clearance: &Clearance,
    now: MonotonicTime,
    wall_clock: SystemTime,
) -> reqwest::Request {
    let headers = outgoing.headers_mut();
    let remaining = now.until(clearance.deadline).as_millis() as u64;
    headers.insert(headers::DEADLINE_MS, HeaderValue::from(remaining));
    headers.remove(headers::FENCE);
    headers.remove(headers::GRANT);
    let Some(grant) = clearance.grant else {
        return outgoing;
    };
    let texts = [
        (headers::FENCE, grant.fence.to_string()),
        (
            headers::GRANT,
            grant_text(&grant, clearance.ttl, wall_clock),
        ),
    ];
    for (name, text) in texts {
        if let Ok(value) = HeaderValue::try_from(text) {
            headers.insert(name, value);
        }
    }
    outgoing
}

/// The grant as the back end reads it. The end by the wall clock is for a back end that was stopped
/// and reads late, which would count the rest of time too long.
fn grant_text(grant: &ClearedGrant, ttl: Duration, wall_clock: SystemTime) -> String {
    let rest = ttl.as_millis();
    let text = format!("{};ttl-ms={rest}", grant.range);
    match (wall_clock + ttl).duration_since(SystemTime::UNIX_EPOCH) {
        Ok(end) => format!("{text};until-unix-ms={}", end.as_millis()),
        Err(_) => text,
    }
}

/// Whether an answer is for this request, as far as the back end names the request it answers.
pub(super) fn is_own_answer(answer: &reqwest::Response, request_id: &str) -> bool {
    let named = answer.headers().get(headers::REQUEST_ID);
    named.is_none_or(|named| named.as_bytes() == request_id.as_bytes())
}

/// What a back end says of the outcome: it ran, unless it says otherwise.
pub(super) fn back_end_outcome(headers: &HeaderMap) -> &'static str {
    let said = headers.get(headers::OUTCOME);
    match said.and_then(|value| value.to_str().ok()) {
        Some(NOT_RUN) => NOT_RUN,
        Some(UNKNOWN) => UNKNOWN,
        _ => RAN,
    }
}

/// Removes what a back end must not say: headers of one connection, and wingspar's own.
pub(super) fn clean_answer(headers: &mut HeaderMap) {
    forward::remove_hop_by_hop(headers);
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(headers::PREFIX))
        .filter(|name| !BACK_END_MAY_SET.contains(&name.as_str()))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}
