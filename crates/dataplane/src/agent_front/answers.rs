//! Answers that the agent makes itself.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{HeaderMap, StatusCode};
use salvo::Response;
use wingspar_agent::{Refusal, RefusalReason};
use wingspar_wire::{RememberedOutcome, headers};

use super::parse::ParseError;
use crate::answer::{SystemAnswer, whole_body};

/// Value of the outcome header for requests that ran.
pub(super) const RAN: &str = "ran";
/// Value of the outcome header for requests that did not run.
pub(super) const NOT_RUN: &str = "not-run";
/// Value of the outcome header for requests that may have run.
pub(super) const UNKNOWN: &str = "unknown";
/// Reason of an answer given from memory.
const REPLAYED: HeaderValue = HeaderValue::from_static("replayed");

fn detail(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::NoLease => "the server's lease has run out",
        RefusalReason::NotOwner => "the server does not own this key",
        RefusalReason::HandingOver => "the key is being handed over to another server",
        RefusalReason::NotYetOwner => "the key is on its way to this server",
        RefusalReason::Draining | RefusalReason::Leaving => "the server is leaving",
        RefusalReason::UnknownTarget => "there is no such server here",
        RefusalReason::UnknownService => "there is no such service here",
        RefusalReason::KeyMissing => "the service needs a key",
        RefusalReason::Overloaded => "the server has no room for more work",
        RefusalReason::BackEndDown => "the server does not answer",
        RefusalReason::DeadlinePassed => "the deadline has passed",
        RefusalReason::MemoryFull => "no room to remember another request",
        RefusalReason::InProgress => "the same request is running now",
        RefusalReason::PreviousOwnerLost => {
            "an earlier attempt may have run on a server that was lost"
        }
        RefusalReason::EarlierUnknown => "an earlier attempt may have run",
        RefusalReason::UnknownTicket => "the request is not known",
    }
}

/// A request that was refused before it started.
pub(super) fn refused(request_id: String, refusal: Refusal) -> SystemAnswer {
    SystemAnswer {
        status: StatusCode::SERVICE_UNAVAILABLE,
        outcome: NOT_RUN,
        reason: refusal.reason.as_str().to_owned(),
        detail: detail(refusal.reason).to_owned(),
        request_id,
        retry_after: Some(refusal.retry_after),
    }
}

/// A request that is not run since it may have run or be running.
pub(super) fn uncertain(request_id: String, refusal: Refusal) -> SystemAnswer {
    SystemAnswer {
        status: StatusCode::CONFLICT,
        outcome: UNKNOWN,
        ..refused(request_id, refusal)
    }
}

/// Why a request that was sent has no known outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Loss {
    /// The deadline passed while it ran.
    Deadline,
    /// The connection to the back end failed.
    Connection,
    /// The lease ran out while it ran.
    Lease,
}

/// A request that was sent and whose outcome is not known.
pub(super) fn lost(request_id: String, loss: Loss, retry_after: Duration) -> SystemAnswer {
    let (status, reason, detail) = match loss {
        Loss::Deadline => (
            StatusCode::GATEWAY_TIMEOUT,
            "deadline",
            "the deadline passed while the request ran",
        ),
        Loss::Connection => (
            StatusCode::BAD_GATEWAY,
            "connection_lost",
            "the connection to the server was lost while the request ran",
        ),
        Loss::Lease => (
            StatusCode::BAD_GATEWAY,
            "lease_lost",
            "the server's lease ran out while the request ran",
        ),
    };
    SystemAnswer {
        status,
        outcome: UNKNOWN,
        reason: reason.to_owned(),
        detail: detail.to_owned(),
        request_id,
        retry_after: Some(retry_after),
    }
}

/// A request that never reached the back end, since no connection could be made.
pub(super) fn unreachable(request_id: String, retry_after: Duration) -> SystemAnswer {
    SystemAnswer {
        status: StatusCode::SERVICE_UNAVAILABLE,
        outcome: NOT_RUN,
        reason: "unreachable".to_owned(),
        detail: "the server can't be reached".to_owned(),
        request_id,
        retry_after: Some(retry_after),
    }
}

/// A request that no router of ours has sent, or that can't be forwarded.
pub(super) fn bad_request(request_id: String, detail: String) -> SystemAnswer {
    SystemAnswer {
        status: StatusCode::BAD_REQUEST,
        outcome: NOT_RUN,
        reason: "bad_request".to_owned(),
        detail,
        request_id,
        retry_after: None,
    }
}

/// A request without the headers of a router.
pub(super) fn malformed(error: &ParseError) -> SystemAnswer {
    bad_request(String::new(), error.to_string())
}

/// Answers from memory a request that ran before.
pub(super) fn replay(response: &mut Response, request_id: String, outcome: RememberedOutcome) {
    match outcome {
        RememberedOutcome::Ran {
            status,
            content_type,
            body: Some(body),
        } => write_replay(response, status, content_type, body),
        RememberedOutcome::Ran { .. } => not_kept(request_id).write(response),
        RememberedOutcome::Unknown => {
            let refusal = Refusal {
                reason: RefusalReason::EarlierUnknown,
                retry_after: Duration::from_secs(1),
            };
            uncertain(request_id, refusal).write(response);
        }
    }
}

fn write_replay(response: &mut Response, status: u16, content_type: Option<String>, body: Bytes) {
    let mut headers = HeaderMap::new();
    let content_type = content_type.and_then(|text| HeaderValue::try_from(text).ok());
    if let Some(content_type) = content_type {
        headers.insert(CONTENT_TYPE, content_type);
    }
    headers.insert(headers::OUTCOME, HeaderValue::from_static(RAN));
    headers.insert(headers::REASON, REPLAYED);
    response.status_code = Some(StatusCode::from_u16(status).unwrap_or(StatusCode::OK));
    response.headers = headers;
    response.body = whole_body(body);
}

fn not_kept(request_id: String) -> SystemAnswer {
    SystemAnswer {
        status: StatusCode::CONFLICT,
        outcome: RAN,
        reason: "answer_not_kept".to_owned(),
        detail: "the request ran before, but its answer was not kept".to_owned(),
        request_id,
        retry_after: None,
    }
}
