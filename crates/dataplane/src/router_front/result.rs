//! What an agent's answer, or the lack of one, says about a forwarding.

use std::time::Duration;

use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderName};
use wingspar_routing::{AgentRefusal, AttemptResult, ConnectFailure, Outcome, Reason};
use wingspar_wire::headers;

use crate::answer::RETRY_AFTER_MS;
use crate::forward::{SendFailure, send_failure};

/// Result of a forwarding that was answered with this head.
pub(crate) fn of_answer(status: u16, map: &HeaderMap) -> AttemptResult {
    let text = |name: &str| map.get(name).and_then(|value| value.to_str().ok());
    let word = text(headers::REASON);
    let reason = Reason::relayed(word.unwrap_or_default());
    match text(headers::OUTCOME) {
        Some(outcome) if outcome == Outcome::Ran.as_str() => AttemptResult::Answered { status },
        Some("not-run") => AttemptResult::Refused {
            // Agents always give a reason; a bare refusal is a back end's.
            refusal: word.map_or(AgentRefusal::ByBackEnd, |_| AgentRefusal::ByAgent),
            reason,
            retry_after: retry_after(map),
        },
        Some("unknown") => AttemptResult::Unknown { reason },
        _ => AttemptResult::BadAnswer,
    }
}

/// Result of a forwarding that ended without an answer.
pub(crate) fn of_error(error: &reqwest::Error, body_cut_short: bool) -> AttemptResult {
    match send_failure(error) {
        SendFailure::NoConnection => AttemptResult::NotConnected(ConnectFailure),
        SendFailure::AfterSending if body_cut_short => AttemptResult::BodyCutShort,
        SendFailure::AfterSending => AttemptResult::Lost,
    }
}

/// Result of a forwarding whose answer had this meaning by its head, but broke off. A refusal is
/// proved by its head alone.
pub(crate) fn of_broken_answer(by_head: AttemptResult) -> AttemptResult {
    match by_head {
        AttemptResult::Answered { .. } => AttemptResult::Lost,
        refused_or_unknown => refused_or_unknown,
    }
}

/// When to come back by an answer's `retry-after-ms`, else by its `Retry-After` in seconds.
fn retry_after(map: &HeaderMap) -> Option<Duration> {
    let number = |name: &HeaderName| map.get(name)?.to_str().ok()?.parse::<u64>().ok();
    let exact = number(&RETRY_AFTER_MS).map(Duration::from_millis);
    exact.or_else(|| number(&RETRY_AFTER).map(Duration::from_secs))
}
