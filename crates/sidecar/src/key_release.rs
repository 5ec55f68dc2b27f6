//! Which answers to a release prove that the target holds nothing any more.

use http::StatusCode;

/// Whether the answer to a release proves that the target no longer holds the keys. A target that may hold keys never
/// refuses a release, so any other status than success shows that the call wasn't executed. A target of an unkeyed
/// service doesn't implement the call and holds nothing; it rejects the call, unless it is too busy to read it.
pub fn is_released(status: StatusCode, may_hold_keys: bool) -> bool {
    let is_not_run = matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
    );
    let is_rejected = status.is_client_error() && !is_not_run;
    status.is_success() || (!may_hold_keys && is_rejected)
}
