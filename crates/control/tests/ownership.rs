//! First start, leases, losses: every key has at most one owner, and soon has one again.

mod harness;

use std::time::Duration;

use harness::World;

const KEY_SERVED_AGAIN: Duration = Duration::from_secs(4);

#[test]
fn three_candidates_found_a_group_and_serve_all_keys() {
    let world = World::with_service(3, &[1, 2, 3]);
    let owners: Vec<usize> = (1..=3)
        .map(|number| world.host(number).agent.held(world.now).count())
        .collect();
    assert_eq!(owners.iter().sum::<usize>(), 24);
    assert!(owners.iter().all(|count| *count == 8), "{owners:?}");
}

#[test]
fn keys_of_a_lost_owner_are_served_again_in_time() {
    let mut world = World::with_service(5, &[4, 5]);
    world.run(Duration::from_secs(2));
    world.kill(5);
    let gap = world.run_until("served again", KEY_SERVED_AGAIN, |world| {
        world.all_served("stoc")
    });
    assert!(
        gap > Duration::from_secs(1),
        "the old lease must run out first: {gap:?}"
    );
}

#[test]
fn leader_and_owner_lost_together_are_replaced_in_time() {
    for delay in [0, 130, 270, 390] {
        let mut world = World::with_service(5, &[1, 2, 3, 4, 5]);
        world.run(Duration::from_millis(2_000 + delay));
        let leader = world.leader().expect("a leader");
        world.kill(leader);
        world.run_until("served again", KEY_SERVED_AGAIN, |world| {
            world.all_served("stoc")
        });
    }
}

#[test]
fn a_frozen_owner_comes_back_without_its_grants() {
    let mut world = World::with_service(5, &[4, 5]);
    world.hosts.get_mut(&harness::address(5)).unwrap().frozen = true;
    world.run_until("served again", KEY_SERVED_AGAIN, |world| {
        world.all_served("stoc")
    });
    let session = world.host(5).agent.session;
    world.hosts.get_mut(&harness::address(5)).unwrap().frozen = false;
    world.run(Duration::from_secs(3));
    let now = world.host(5).agent.session;
    assert!(
        now.is_some() && now != session,
        "an expired session must not resume"
    );
}

#[test]
fn an_isolated_leader_gives_no_lease_and_its_nodes_move_on() {
    let mut world = World::with_service(5, &[4, 5]);
    let leader = world.leader().expect("a leader");
    world.isolate(leader);
    world.run_until("another leader", KEY_SERVED_AGAIN, |world| {
        world.leader().is_some_and(|other| other != leader)
    });
    world.run(Duration::from_secs(5));
    assert!(world.all_served("stoc"));
}

#[test]
fn a_restarted_process_waits_for_the_lease_of_the_one_before() {
    let mut world = World::with_service(4, &[4]);
    world.run(Duration::from_secs(1));
    world.start(4);
    world.run(Duration::from_millis(900));
    assert!(
        !world.all_served("stoc"),
        "the old process may still hold its lease"
    );
    world.run_until("served again", KEY_SERVED_AGAIN, |world| {
        world.all_served("stoc")
    });
}
