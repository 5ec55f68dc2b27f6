//! Targets that start again while heartbeats are lost or late.

use wingspar_ownership::Delivery;

use crate::world::Options;
use crate::{assert_no_violation, has_two_owners, play};

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

/// Guards against keys that are free at once when their target is known to have started again: the
/// new life had taken them under renewals that were sent before.
#[test]
fn regression_seeds_of_restarted_targets_pass() {
    for seed in [1, 12, 86, 105, 120, 139, 151, 191, 231, 258, 278] {
        play(seed, with_late_heartbeats(Delivery::Calls))
            .unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
    }
}

/// Guards against keys that are free while their target holds them: the process of its node has
/// started again, and takes late heartbeats from before that for reports that the target has
/// released everything.
#[test]
fn late_heartbeats_from_before_a_restart_of_the_node_show_no_release() {
    let options = |store_restores| Options {
        store_restores,
        ..with_late_heartbeats(Delivery::HeartbeatAnswers)
    };
    for (seed, store_restores) in [(100_785, false), (110_032, true)] {
        play(seed, options(store_restores))
            .unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
    }
}

#[test]
fn the_checker_detects_nodes_that_take_a_new_life_to_hold_nothing() {
    let broken = (1..=400).any(|seed| {
        let options = Options {
            new_lives_hold_nothing: true,
            ..with_late_heartbeats(Delivery::Calls)
        };
        has_two_owners(seed, options)
    });
    assert!(broken);
}

#[test]
fn the_checker_detects_heartbeats_of_unknown_lives_that_are_believed() {
    for delivery in [Delivery::Calls, Delivery::HeartbeatAnswers] {
        let broken = (1..=400).any(|seed| {
            let options = Options {
                believe_unknown_lives: true,
                ..with_late_heartbeats(delivery)
            };
            play(seed, options).is_err()
        });
        assert!(broken, "{delivery:?}");
    }
}
