//! Answers made by wingspar itself: JSON for programs and people, with outcome, reason and when to
//! come back in headers.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use http::{HeaderMap, StatusCode};
use http_body_util::{BodyExt, Full};
use salvo::Response;
use salvo::http::ResBody;
use serde::Serialize;
use wingspar_wire::headers::{OUTCOME, REASON};

/// Pause until another try makes sense, in milliseconds.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("retry-after-ms");
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// An answer made by wingspar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SystemAnswer {
    /// HTTP status.
    #[serde(skip)]
    pub status: StatusCode,
    /// `ran`, `not-run` or `unknown`.
    pub outcome: &'static str,
    /// A stable word.
    pub reason: String,
    /// One sentence for people.
    pub detail: String,
    /// The request it answers.
    pub request_id: String,
    /// When to come back, if another try makes sense.
    #[serde(skip)]
    pub retry_after: Option<Duration>,
}

impl SystemAnswer {
    /// Writes the answer into a response, replacing what was there.
    pub fn write(&self, response: &mut Response) {
        response.status_code = Some(self.status);
        response.headers = self.headers();
        response.body = whole_body(self.body());
    }

    fn headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, JSON);
        headers.insert(OUTCOME, HeaderValue::from_static(self.outcome));
        if let Ok(reason) = HeaderValue::from_str(&self.reason) {
            headers.insert(REASON, reason);
        }
        if let Some(pause) = self.retry_after {
            let millis = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
            let seconds = millis.div_ceil(1_000).max(1);
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
            headers.insert(RETRY_AFTER_MS, HeaderValue::from(millis.max(1)));
        }
        headers
    }

    fn body(&self) -> Bytes {
        serde_json::to_vec(self).map_or_else(|_| Bytes::new(), Bytes::from)
    }
}

/// A body of known bytes. It is never "no body", so the server library adds no error page of its
/// own to an empty answer.
pub fn whole_body(bytes: Bytes) -> ResBody {
    let body = Full::new(bytes).map_err(|never| match never {});
    ResBody::Boxed(Box::pin(body))
}
