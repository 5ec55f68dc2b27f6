//! Voters are spread over zones: at the founding, at a replacement, and later on.

mod harness;

use std::collections::BTreeSet;
use std::time::Duration;

use harness::{World, address};
use wingspar_control::operator::{OperatorReply, OperatorRequest};

const SOON: Duration = Duration::from_secs(5);

/// Numbers of the voters' hosts; host `n` stands in zone `n % 3`.
fn voters(world: &mut World) -> BTreeSet<u16> {
    world.run_until("a leader", SOON, |world| world.leader().is_some());
    let OperatorReply::Group(report) = world.call(OperatorRequest::Group) else {
        panic!()
    };
    let number = |name: &str| name[1..].parse().unwrap();
    let names = report.voters.iter().map(|node| node.machine.as_str());
    names.map(number).collect()
}

fn zones(voters: &BTreeSet<u16>) -> BTreeSet<u16> {
    voters.iter().map(|number| number % 3).collect()
}

/// A group with two voters in one zone, as no other candidate came while the founding waited.
fn uneven_world() -> World {
    let mut world = World::new(0);
    for number in [1, 4, 2] {
        world.start(number);
    }
    world.run(SOON);
    assert_eq!(voters(&mut world), [1, 2, 4].into());
    world
}

fn wait_for_three_zones(world: &mut World) {
    let deadline = world.now + SOON * 4;
    loop {
        let voters = voters(world);
        if voters.len() == 3 && zones(&voters).len() == 3 {
            return;
        }
        assert!(world.now < deadline, "{voters:?}");
        world.run(Duration::from_millis(200));
    }
}

#[test]
fn the_founding_waits_a_moment_for_candidates_of_other_zones() {
    let mut world = World::new(0);
    for number in [1, 4, 2] {
        world.start(number);
    }
    world.run(Duration::from_millis(500));
    world.start(3);
    let voters = voters(&mut world);
    assert_eq!(zones(&voters).len(), 3, "{voters:?}");
}

#[test]
fn a_lost_voter_is_replaced_from_its_own_zone_if_the_others_are_held() {
    let mut world = World::new(6);
    let before = voters(&mut world);
    assert_eq!(zones(&before).len(), 3, "{before:?}");
    let leader = world.leader().unwrap();
    let spares: Vec<u16> = (1..=6).filter(|it| !before.contains(it)).collect();
    // Not the zone of the spare with the lowest id, which would be taken anyway.
    let lost = *before
        .iter()
        .find(|it| **it != leader && **it % 3 != spares[0] % 3)
        .unwrap();
    world.kill(lost);
    let gone = |world: &mut World| !voters(world).contains(&lost);
    let deadline = world.now + SOON * 4;
    while !gone(&mut world) || voters(&mut world).len() < 3 {
        assert!(world.now < deadline, "the voter was not replaced");
        world.run(Duration::from_millis(100));
    }
    let after = voters(&mut world);
    assert_eq!(zones(&after).len(), 3, "{after:?}");
}

#[test]
fn a_zone_with_two_voters_gives_one_up_for_a_spare_elsewhere() {
    let mut world = uneven_world();
    world.start(3);
    wait_for_three_zones(&mut world);
    world.run(SOON);
    let settled = voters(&mut world);
    world.run(SOON * 4);
    assert_eq!(voters(&mut world), settled);
}

#[test]
fn a_learner_of_a_crowded_zone_does_not_keep_the_voters_uneven() {
    let mut world = uneven_world();
    world.start(7);
    let leader = world.leader().unwrap();
    let silent = *voters(&mut world).iter().find(|it| **it != leader).unwrap();
    world.isolate(silent);
    // Long enough for the spare to become a learner or, with a voter gone, a voter.
    world.run(SOON * 4);
    world.cut.clear();
    world.start(3);
    wait_for_three_zones(&mut world);
}

#[test]
fn without_the_store_zones_stay_uneven() {
    let mut world = uneven_world();
    world.store_down = true;
    world.start(3);
    world.run(SOON * 4);
    assert_eq!(voters(&mut world), [1, 2, 4].into());
    world.store_down = false;
    wait_for_three_zones(&mut world);
    let running = |number: u16| world.hosts.contains_key(&address(number));
    assert!([1, 2, 3, 4].into_iter().all(running));
}
