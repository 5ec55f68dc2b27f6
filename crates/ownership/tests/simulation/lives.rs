//! Targets that start again while heartbeats are lost or late.

use wingspar_ownership::Delivery;

use crate::assert_no_violation;
use crate::world::Options;

/// Returns options under which nodes learn late that their targets have started again.
fn with_late_heartbeats(delivery: Delivery) -> Options {
    Options {
        late_heartbeats: true,
        delivery,
        ..Options::default()
    }
}

/// Guards against keys that are given away while a target holds them in a life that its node didn't
/// know when it granted them.
#[test]
fn each_key_has_one_owner_while_heartbeats_of_restarted_targets_are_late() {
    assert_no_violation(&with_late_heartbeats(Delivery::Calls));
}

/// Guards against keys that stay unserved because a late heartbeat has displaced a target's life.
#[test]
fn each_key_has_one_owner_while_heartbeats_that_assign_keys_are_late() {
    assert_no_violation(&with_late_heartbeats(Delivery::HeartbeatAnswers));
}
