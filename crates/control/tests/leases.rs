//! Moments at which a lease given wrongly would make a second owner. The harness checks after every
//! step that no key has two.

mod harness;

use std::time::Duration;

use harness::{World, address};
use wingspar_control::ControlSettings;
use wingspar_control::operator::{Durability, OperatorReply, OperatorRequest};
use wingspar_world::{GroupId, ServiceName, SliceRange};

const SOON: Duration = Duration::from_secs(10);

fn voters(world: &mut World) -> Vec<u16> {
    let reply = world.call(OperatorRequest::Group);
    let OperatorReply::Group(report) = reply else {
        panic!("{reply:?}")
    };
    let number = |name: &str| name[1..].parse().unwrap();
    report
        .voters
        .iter()
        .map(|node| number(node.machine.as_str()))
        .collect()
}

#[test]
fn a_leader_cut_off_with_an_owner_does_not_prolong_its_lease() {
    // A leader steps down late here, so that only its leader lease keeps it from renewing.
    let mut settings = ControlSettings::new(GroupId(0));
    settings.consensus.election_timeout_max = Duration::from_secs(3);
    for offset in (0..400).step_by(40) {
        let mut world = World::with_settings(settings.clone(), 5, &[1, 2, 3, 4, 5]);
        world.run(Duration::from_millis(1_000 + offset));
        let leader = world.leader().unwrap();
        let members = voters(&mut world);
        let spare = (1..=5).find(|number| !members.contains(number)).unwrap();
        let others: Vec<u16> = (1..=5).filter(|it| ![leader, spare].contains(it)).collect();
        world.cut_between(&[leader, spare], &others);
        world.run(Duration::from_secs(8));
        world.cut.clear();
        world.run_until("served", SOON, |world| world.all_served("stoc"));
    }
}

#[test]
fn a_session_whose_end_is_proposed_is_not_renewed_while_the_commit_waits() {
    for wait in (1_300..1_800).step_by(25) {
        let mut world = World::with_service(5, &[1, 2, 3, 4, 5]);
        world.run(Duration::from_millis(1_000));
        let leader = world.leader().unwrap();
        let members = voters(&mut world);
        let owner = (1..=5).find(|number| !members.contains(number)).unwrap();
        world.hosts.get_mut(&address(owner)).unwrap().frozen = true;
        world.run(Duration::from_millis(wait));
        let others: Vec<u16> = members.into_iter().filter(|it| *it != leader).collect();
        world.cut_between(&[leader], &others);
        world.run(Duration::from_millis(100));
        world.hosts.get_mut(&address(owner)).unwrap().frozen = false;
        world.run(Duration::from_millis(20));
        world.cut.clear();
        world.run(Duration::from_secs(2));
        world.run_until("served", SOON, |world| world.all_served("stoc"));
    }
}

#[test]
fn a_new_generation_waits_for_leases_that_its_founder_could_not_see() {
    let mut settings = ControlSettings::new(GroupId(0));
    settings.lease = Duration::from_secs(6);
    let mut world = World::with_settings(settings, 5, &[1, 2]);
    let members = voters(&mut world);
    assert_eq!(members, [3, 4, 5], "the founder must have the lowest id");
    // Host 1 has not heard of a leader for long when all members are lost, and acts at once.
    world.cut_between(&[1], &members);
    world.run(Duration::from_secs(12));
    world.run_until("served", SOON, |world| world.all_served("stoc"));
    world.cut.clear();
    members.iter().for_each(|number| world.start(*number));
    world.isolate(2);
    world.run(Duration::from_secs(4));
    let is_new = |number: &u16| {
        let replica = world.host(*number).control.replica();
        replica.is_some_and(|replica| replica.generation() == 2)
    };
    assert!(
        members.iter().any(is_new),
        "the new generation began while the lease still ran"
    );
    world.run(Duration::from_secs(10));
    world.cut.clear();
    world.run_until("served", SOON, |world| world.all_served("stoc"));
}

#[test]
fn a_move_newer_than_the_stored_snapshot_leaves_no_second_owner() {
    let mut world = World::with_service(5, &[1, 2]);
    let members = voters(&mut world);
    assert_eq!(members, [3, 4, 5], "the owners must outlive the members");
    world.run(Duration::from_secs(2));
    world.store_down = true;
    let order = OperatorRequest::Move {
        change_id: "move".to_owned(),
        service: ServiceName::new("stoc").unwrap(),
        range: SliceRange::FULL,
        to: harness::target(2).name,
        durability: Durability::Quorum,
    };
    let reply = world.call(order);
    assert!(
        matches!(reply, OperatorReply::MoveAccepted { .. }),
        "{reply:?}"
    );
    world.run(Duration::from_secs(2));
    assert_eq!(world.host(1).agent.held(world.now).count(), 0);
    members.iter().for_each(|number| world.start(*number));
    world.store_down = false;
    world.run(Duration::from_secs(15));
    assert!(world.all_served("stoc"));
}
