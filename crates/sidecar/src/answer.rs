//! Answers that a node gives itself.

use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};

use crate::body::Body;

/// Why a node answers by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Reason {
    /// The request lacks an id, a host, or has several.
    Malformed,
    /// No route takes the request.
    NoRoute,
    /// The node knows no configuration yet.
    NoConfiguration,
    /// No node has a target that could run it now.
    NoTarget,
    /// All that could run it are full.
    Full,
    /// Targets ended under this request again and again: it isn't run.
    Quarantined,
    /// Nobody owns the key at the moment.
    NoOwner,
    /// Time ran out before the request was sent.
    NotSentInTime,
    /// Time ran out after it was sent.
    NoAnswerInTime,
    /// A send failed after which the request may have run.
    MayHaveRun,
    /// The body is larger than the configuration allows.
    TooLarge,
    /// The body ended early.
    BodyCut,
}

impl Reason {
    /// Stable name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::NoRoute => "no_route",
            Self::NoConfiguration => "no_configuration",
            Self::NoTarget => "no_target",
            Self::Full => "full",
            Self::Quarantined => "quarantined",
            Self::NoOwner => "no_owner",
            Self::NotSentInTime => "not_sent_in_time",
            Self::NoAnswerInTime => "no_answer_in_time",
            Self::MayHaveRun => "may_have_run",
            Self::TooLarge => "too_large",
            Self::BodyCut => "body_cut",
        }
    }

    /// The status that tells it.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed | Self::BodyCut => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoConfiguration
            | Self::NoTarget
            | Self::Full
            | Self::Quarantined
            | Self::NoOwner
            | Self::NotSentInTime => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoAnswerInTime => StatusCode::GATEWAY_TIMEOUT,
            Self::MayHaveRun => StatusCode::BAD_GATEWAY,
        }
    }

    /// When to come back, in seconds, where the request has not run.
    fn retry_after(self) -> Option<&'static str> {
        match self {
            Self::NoConfiguration => Some("0.5"),
            Self::NoTarget | Self::NoOwner => Some("0.3"),
            Self::Full | Self::NotSentInTime => Some("0.15"),
            _ => None,
        }
    }
}

/// The answer for a reason.
pub fn own(reason: Reason) -> Response<Body> {
    let mut response = Response::new(Body::whole(reason.name()));
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(seconds) = reason.retry_after() {
        headers.insert(RETRY_AFTER, HeaderValue::from_static(seconds));
    }
    response
}

/// A plain answer with a body.
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
