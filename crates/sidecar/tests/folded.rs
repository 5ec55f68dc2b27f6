//! What nodes add to a request travels in one header, and comes out as it went in.

use http::{HeaderMap, HeaderName};
use quickcheck::{TestResult, quickcheck};
use wingspar_sidecar::folded::{FOLDED, fold, unfold};
use wingspar_sidecar::hop::is_hop;

fn hop_headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("host", "shop.example"),
        ("x-wingspar-request-id", "9c41d07be2a35f68"),
        ("wingspar-service", "board"),
        ("wingspar-left-ms", "995"),
        ("wingspar-patience-ms", "36"),
        ("wingspar-due-ms", "300"),
        ("wingspar-priority", "2"),
        ("wingspar-fingerprint", "3f9ac0ffee123456"),
    ] {
        headers.insert(
            HeaderName::from_static(name),
            value.parse().expect("a value"),
        );
    }
    headers
}

fn length(headers: &HeaderMap) -> usize {
    let lines = headers.iter();
    lines
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum()
}

#[test]
fn headers_come_out_as_they_went_in() {
    let plain = hop_headers();
    let mut folded = plain.clone();
    fold(&mut folded);
    assert_eq!(folded.len(), 3);
    assert!(is_hop(&folded));
    assert!(length(&folded) + 90 < length(&plain), "{folded:?}");
    assert!(unfold(&mut folded));
    assert_eq!(folded, plain);
    assert!(!unfold(&mut folded));
}

#[test]
fn what_has_no_letter_or_holds_the_separator_stays() {
    let mut headers = hop_headers();
    headers.insert("wingspar-later", "1".parse().expect("a value"));
    headers.insert("wingspar-service", "a;b".parse().expect("a value"));
    let plain = headers.clone();
    fold(&mut headers);
    assert!(headers.contains_key("wingspar-later"));
    assert_eq!(headers["wingspar-service"], "a;b");
    unfold(&mut headers);
    assert_eq!(headers, plain);
}

#[test]
fn what_is_broken_or_unknown_is_passed_over() {
    let mut headers = HeaderMap::new();
    headers.insert(FOLDED, ";;x1;l;sboard;=".parse().expect("a value"));
    assert!(unfold(&mut headers));
    assert_eq!(headers["wingspar-service"], "board");
    assert_eq!(headers["wingspar-left-ms"], "");
    assert_eq!(headers.len(), 2);
}

quickcheck! {
    fn any_service_comes_out_as_it_went_in(service: String) -> TestResult {
        let Ok(value) = service.parse() else {
            return TestResult::discard();
        };
        let mut headers = hop_headers();
        headers.insert("wingspar-service", value);
        let plain = headers.clone();
        fold(&mut headers);
        unfold(&mut headers);
        TestResult::from_bool(headers == plain)
    }
}
