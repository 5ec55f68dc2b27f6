//! Resolution of request heads.

mod support;

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};
use support::*;
use wingspar_routing::{Rejection, RequestHead, Resolved, Resolver};
use wingspar_world::{KeyHash, RequestClass};

fn resolve(
    method: &str,
    host: Option<&str>,
    path: &str,
    headers: &[(&str, &str)],
) -> Result<Resolved, Rejection> {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        let name: HeaderName = name.parse().unwrap();
        map.append(name, HeaderValue::from_str(value).unwrap());
    }
    let head = RequestHead {
        method,
        host,
        path,
        headers: &map,
    };
    Resolver::new(&configuration()).resolve(&head)
}

fn reason(path: &str, headers: &[(&str, &str)]) -> String {
    let rejection = resolve("GET", Some("stoc.example"), path, headers).unwrap_err();
    assert!(!rejection.to_string().is_empty());
    assert_eq!(rejection.status(), 400);
    rejection.reason().to_string()
}

#[test]
fn service_comes_from_host_or_header() {
    let by_host = resolve("GET", Some("STOC.example:8080"), "/stock/rosa/price", &[]).unwrap();
    assert_eq!(by_host.service, service_name("stoc"));
    assert_eq!(by_host.key, Some(KeyHash::of(b"rosa")));
    assert!(by_host.repeatable);
    let by_header = resolve("POST", None, "/pay", &[("wingspar-service", "tal")]).unwrap();
    assert_eq!(by_header.service, service_name("tal"));
    assert_eq!(by_header.key, None);
    assert!(!by_header.repeatable);
    assert!(
        resolve("GET", Some("tal.example"), "/", &[]).is_ok(),
        "hosts ignore case"
    );
    assert_eq!(
        resolve("GET", Some("no.example"), "/", &[]),
        Err(Rejection::NoService)
    );
    assert_eq!(resolve("GET", None, "/", &[]), Err(Rejection::NoService));
    for unknown in ["nothing", "Not A Name", ""] {
        let rejection = resolve("GET", None, "/", &[("wingspar-service", unknown)]).unwrap_err();
        assert_eq!(rejection, Rejection::UnknownService(unknown.to_owned()));
        assert_eq!(rejection.status(), 404);
    }
}

#[test]
fn both_spellings_of_a_key_are_one_key() {
    let plain = resolve("GET", Some("stoc.example"), "/stock/rosa-x", &[]).unwrap();
    let encoded = resolve("GET", Some("stoc.example"), "/stock/rosa%2dx/a", &[]).unwrap();
    assert_eq!(plain.key, encoded.key);
}

#[test]
fn bad_keys_are_refused() {
    for path in [
        "/stock",
        "/stock/",
        "/other/rosa",
        "/",
        "*",
        "/stock//price",
    ] {
        assert_eq!(reason(path, &[]), "missing_key", "{path}");
    }
    for path in [
        "/stock/a/../b",
        "/stock/..",
        "/stock/%2e%2E/b",
        "/./stock/a",
    ] {
        assert_eq!(reason(path, &[]), "dot_segment", "{path}");
    }
    for path in ["/stock/a%", "/stock/a%4", "/stock/%zz"] {
        assert_eq!(reason(path, &[]), "bad_key", "{path}");
    }
    assert_eq!(reason("/stock/12345678901234567", &[]), "key_too_long");
    assert!(resolve("GET", Some("stoc.example"), "/stock/1234567890123456", &[]).is_ok());
}

#[test]
fn a_header_key_is_taken_once() {
    let mut world = configuration();
    let service = &mut world.services.get_mut(&service_name("stoc")).unwrap().1;
    service.contract.key = Some(wingspar_world::KeySource::Header("x-plant".to_owned()));
    let resolver = Resolver::new(&world);
    let mut headers = HeaderMap::new();
    let resolve = |headers: &HeaderMap| {
        let head = RequestHead {
            method: "GET",
            host: Some("stoc.example"),
            path: "/",
            headers,
        };
        resolver.resolve(&head)
    };
    assert_eq!(resolve(&headers), Err(Rejection::MissingKey));
    headers.append("x-plant", HeaderValue::from_static("rosa"));
    assert_eq!(resolve(&headers).unwrap().key, Some(KeyHash::of(b"rosa")));
    headers.append("x-plant", HeaderValue::from_static("lily"));
    assert_eq!(
        resolve(&headers),
        Err(Rejection::RepeatedHeader("x-plant".to_owned()))
    );
}

#[test]
fn deadlines_and_idempotency_headers_are_checked() {
    let path = "/stock/rosa";
    let deadline = |value: &str| {
        let headers = [("wingspar-deadline-ms", value)];
        resolve("GET", Some("stoc.example"), path, &headers).map(|resolved| resolved.deadline)
    };
    assert_eq!(deadline("250"), Ok(Duration::from_millis(250)));
    assert_eq!(
        deadline("99999999"),
        Ok(Duration::from_secs(60)),
        "clamped by the contract"
    );
    for value in ["0", "-1", "soon", "1.5", "", "99999999999999999999999"] {
        assert!(deadline(value).is_err(), "{value}");
    }
    let long = "k".repeat(256);
    for headers in [
        [("idempotency-key", "")].as_slice(),
        &[("idempotency-key", long.as_str())],
        &[("idempotency-key", "k"), ("idempotency-attempt", "0")],
        &[
            ("idempotency-key", "k"),
            ("idempotency-attempt", "4294967296"),
        ],
    ] {
        assert_eq!(reason(path, headers), "bad_header", "{headers:?}");
    }
    let twice = [("idempotency-key", "a"), ("idempotency-key", "b")];
    assert_eq!(reason(path, &twice), "repeated_header");
    let good = [
        ("idempotency-key", &long[1..]),
        ("idempotency-attempt", "2"),
    ];
    assert!(
        resolve("POST", Some("stoc.example"), path, &good)
            .unwrap()
            .has_idempotency_key
    );
}

#[test]
fn rules_tell_the_class() {
    let class = |path| {
        resolve("GET", Some("tal.example"), path, &[])
            .unwrap()
            .class
    };
    assert_eq!(class("/pay"), RequestClass::Interactive);
    assert_eq!(class("/check/1"), RequestClass::Checks);
    assert_eq!(class("/bulk/file"), RequestClass::Bulk);
}
