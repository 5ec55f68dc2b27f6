//! Which answers to a release prove that a target holds nothing any more.

use http::StatusCode;
use wingspar_sidecar::key_release::is_released;

/// Guards against keys that count as free because a target was too busy to read a release, or rejected it.
#[test]
fn only_a_success_shows_that_a_target_has_released_its_keys() {
    let released = (100..600)
        .filter_map(|code| StatusCode::from_u16(code).ok())
        .filter(|status| is_released(*status, true));
    assert!(released.clone().all(|status| status.is_success()));
    assert_eq!(released.count(), 100);
}

/// Guards against a node that is never clean because the target beside it doesn't implement releases.
#[test]
fn a_target_without_keys_has_nothing_to_release_if_it_rejects_the_call() {
    for status in [
        StatusCode::OK,
        StatusCode::BAD_REQUEST,
        StatusCode::NOT_FOUND,
        StatusCode::METHOD_NOT_ALLOWED,
    ] {
        assert!(is_released(status, false), "{status}");
    }
    for status in [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::INTERNAL_SERVER_ERROR,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::PERMANENT_REDIRECT,
    ] {
        assert!(!is_released(status, false), "{status}");
    }
}
