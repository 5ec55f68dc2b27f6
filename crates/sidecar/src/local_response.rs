//! Responses that a node generates itself instead of forwarding a target's response.

use std::time::Duration;

use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use rand::RngExt;

use crate::body::Body;

/// Why a node generated the response itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Reason {
    /// The request has no ID or host, or more than one.
    Malformed,
    /// The request needs a tenant's credential and has none, or an unknown one.
    Unauthorized,
    /// The tenant has used up its quota.
    OverQuota,
    /// The route or the tenant is restricted to certain regions, and no target there accepts work.
    RegionNotAllowed,
    /// No route matches the request.
    NoRoute,
    /// The configuration entry that matches, or could match, the request can't be parsed.
    Unreadable,
    /// The node has no configuration yet.
    NoConfiguration,
    /// No node has a target that could run the request now.
    NoTarget,
    /// All targets that could run the request are at capacity.
    Full,
    /// The request is quarantined, because targets repeatedly crashed while running it.
    Quarantined,
    /// The key currently has no owner.
    NoOwner,
    /// The node is stopping, and the request might not end before the process does.
    Stopping,
    /// The deadline passed before the request was sent.
    NotSentInTime,
    /// The deadline passed after the request was sent.
    NoAnswerInTime,
    /// A send failed in such a way that the request may have run.
    MayHaveRun,
    /// The body exceeds the configured limit.
    TooLarge,
    /// The body ended early.
    BodyCut,
}

impl Reason {
    /// Stable name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::Unauthorized => "unauthorized",
            Self::OverQuota => "over_quota",
            Self::RegionNotAllowed => "region_not_allowed",
            Self::NoRoute => "no_route",
            Self::Unreadable => "unreadable",
            Self::NoConfiguration => "no_configuration",
            Self::NoTarget => "no_target",
            Self::Full => "full",
            Self::Quarantined => "quarantined",
            Self::NoOwner => "no_owner",
            Self::Stopping => "stopping",
            Self::NotSentInTime => "not_sent_in_time",
            Self::NoAnswerInTime => "no_answer_in_time",
            Self::MayHaveRun => "may_have_run",
            Self::TooLarge => "too_large",
            Self::BodyCut => "body_cut",
        }
    }

    /// HTTP status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed | Self::BodyCut => StatusCode::BAD_REQUEST,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoConfiguration
            | Self::Unreadable
            | Self::RegionNotAllowed
            | Self::NoTarget
            | Self::Full
            | Self::Quarantined
            | Self::NoOwner
            | Self::Stopping
            | Self::NotSentInTime => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoAnswerInTime => StatusCode::GATEWAY_TIMEOUT,
            Self::MayHaveRun => StatusCode::BAD_GATEWAY,
        }
    }
}

/// Jitter of `Retry-After`, as a share of the value. It spreads the retries of callers that are rejected at the same
/// moment. The value is only ever lengthened, since an earlier retry would be rejected again.
const RETRY_AFTER_JITTER: f64 = 0.3;
/// Largest factor by which jitter lengthens a `Retry-After` value.
pub const MAX_RETRY_AFTER_FACTOR: f64 = 1.0 + RETRY_AFTER_JITTER;

/// The response for a reason. `retry_after` is the time after which a retry makes sense; `None` if there is no such
/// time.
pub fn own(reason: Reason, retry_after: Option<Duration>) -> Response<Body> {
    let mut response = Response::new(Body::whole(reason.name()));
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    let spread = 1.0 + rand::rng().random_range(0.0..=RETRY_AFTER_JITTER);
    if let Some(wait) = retry_after
        && let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64() * spread))
    {
        headers.insert(RETRY_AFTER, seconds);
    }
    response
}

/// A response with the given status, content type and body.
pub fn plain(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<bytes::Bytes>,
) -> Response<Body> {
    let mut response = Response::new(Body::whole(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
