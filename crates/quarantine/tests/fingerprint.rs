//! Which requests have the same fingerprint.

use quickcheck::quickcheck;
use wingspar_quarantine::{Fingerprint, RequestContent};

const LOOKUP: RequestContent<'static> = RequestContent {
    method: "GET",
    host: "shop.example",
    path: "/stock/17?page=2",
    body: b"",
    body_length: Some(0),
};

#[test]
fn each_part_of_the_content_changes_the_fingerprint() {
    let others = [
        RequestContent {
            method: "DELETE",
            ..LOOKUP
        },
        RequestContent {
            host: "other.example",
            ..LOOKUP
        },
        RequestContent {
            path: "/stock/17?page=3",
            ..LOOKUP
        },
        RequestContent {
            body: b"x",
            ..LOOKUP
        },
        RequestContent {
            body_length: Some(70_000),
            ..LOOKUP
        },
        RequestContent {
            body_length: None,
            ..LOOKUP
        },
        RequestContent {
            host: "shop.example/",
            path: "stock/17?page=2",
            ..LOOKUP
        },
    ];
    for other in others {
        assert_ne!(
            Fingerprint::of(&other),
            Fingerprint::of(&LOOKUP),
            "{other:?}"
        );
    }
}

/// Guards against requests of one tenant that clear, or are refused for, what another tenant's have done.
#[test]
fn tenants_change_the_fingerprint() {
    let content = Fingerprint::of(&LOOKUP);
    let north = content.of_tenant(Some(b"north"));
    assert_eq!(north, content.of_tenant(Some(b"north")));
    assert_ne!(north, content.of_tenant(Some(b"south")));
    assert_ne!(north, content.of_tenant(Some(b"")));
    assert_ne!(north, content);
    assert_eq!(content, content.of_tenant(None));
}

#[test]
fn invalid_fingerprints_are_rejected() {
    for text in ["", "xyz", "-1", "11112222333344445"] {
        assert!(text.parse::<Fingerprint>().is_err(), "{text}");
    }
}

quickcheck! {
    fn a_fingerprint_is_parsed_as_it_was_printed(number: u64) -> bool {
        let fingerprint = Fingerprint(number);
        fingerprint.to_string().parse() == Ok(fingerprint)
    }
}
