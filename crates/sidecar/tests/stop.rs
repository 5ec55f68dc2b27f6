//! When a process that stops as planned may end.

use std::time::{Duration, Instant};

use wingspar_sidecar::stop::{Ending, Remaining};

const NOTHING: Remaining = Remaining {
    requests: 0,
    holds_keys: false,
    connections: 0,
    registered: false,
};
const OPEN: Remaining = Remaining {
    connections: 1,
    ..NOTHING
};
const ANSWERING: Remaining = Remaining {
    requests: 1,
    ..OPEN
};

fn after(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

#[test]
fn it_ends_at_once_when_nothing_is_left() {
    assert!(Ending::default().is_over(Instant::now(), NOTHING));
}

#[test]
fn it_waits_for_a_request_that_comes_late_on_an_open_connection() {
    let start = Instant::now();
    let mut ending = Ending::default();
    assert!(!ending.is_over(start, OPEN));
    for millis in (60..1_800).step_by(25) {
        assert!(!ending.is_over(after(start, millis), ANSWERING));
    }
    assert!(
        !ending.is_over(after(start, 1_800), OPEN),
        "its last bytes leave"
    );
    assert!(ending.is_over(after(start, 1_850), NOTHING));
}

#[test]
fn a_connection_on_which_nothing_comes_holds_it_up_for_a_moment_only() {
    let start = Instant::now();
    let mut ending = Ending::default();
    assert!(!ending.is_over(start, OPEN));
    assert!(!ending.is_over(after(start, 575), OPEN));
    assert!(ending.is_over(after(start, 600), OPEN));
}

#[test]
fn keys_and_the_registration_are_given_up_first() {
    let start = Instant::now();
    let mut ending = Ending::default();
    let holding = Remaining {
        holds_keys: true,
        ..NOTHING
    };
    assert!(!ending.is_over(start, holding));
    let registered = Remaining {
        registered: true,
        ..NOTHING
    };
    assert!(!ending.is_over(after(start, 5_000), registered));
    assert!(ending.is_over(after(start, 5_000), NOTHING));
}
