//! What a node tells of its target with each answer.

use std::time::Duration;

use wingspar_sidecar::hop::Occupancy;

#[test]
fn a_node_that_cannot_tell_when_it_has_room_does_not_send_callers_back_at_once() {
    let of = |retry_after_ms| Occupancy {
        retry_after_ms,
        ..Occupancy::default()
    };
    assert_eq!(of(0).retry_after(), None);
    assert_eq!(of(70).retry_after(), Some(Duration::from_millis(70)));
}
