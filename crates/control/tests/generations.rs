//! A majority lost for good: what starts a new generation, what must not, and what it begins with.

mod harness;

use std::time::Duration;

use harness::{World, address, machine_name};
use wingspar_control::ControlEvent;
use wingspar_control::operator::{OperatorReply, OperatorRequest};
use wingspar_store::object::{Machine, MachineState};
use wingspar_world::{KeyHash, NodeId};

const RECOVERED: Duration = Duration::from_secs(30);

fn generation(world: &mut World) -> u32 {
    match world.call(OperatorRequest::Group) {
        OperatorReply::Group(report) => report.generation,
        other => panic!("{other:?}"),
    }
}

fn members(world: &mut World) -> Vec<NodeId> {
    match world.call(OperatorRequest::Group) {
        OperatorReply::Group(report) => report.voters,
        other => panic!("{other:?}"),
    }
}

fn number(node: &NodeId) -> u16 {
    node.machine.as_str()[1..].parse().unwrap()
}

/// Five hosts with three voters, and the numbers of the voters.
fn five() -> (World, Vec<u16>) {
    let mut world = World::with_service(5, &[4, 5]);
    let voters = members(&mut world).iter().map(number).collect();
    world.run(Duration::from_secs(2));
    (world, voters)
}

fn recovered(world: &World) -> bool {
    world.leader().is_some() && world.all_served("stoc")
}

#[test]
fn all_members_restarted_at_once_form_a_new_generation() {
    let mut world = World::with_service(3, &[1, 2, 3]);
    world.run(Duration::from_secs(2));
    let key = KeyHash::of(b"rosa-canina");
    let owner = world.owner("stoc", key);
    let version = world.hosts[&address(1)].agent.config;
    (1..=3).for_each(|number| world.start(number));
    world.run_until("recovered", RECOVERED, recovered);
    assert_eq!(generation(&mut world), 2);
    assert_eq!(
        world.owner("stoc", key),
        owner,
        "the target before is preferred"
    );
    assert!(
        world
            .hosts
            .values()
            .all(|host| host.agent.config >= version)
    );
}

#[test]
fn two_restarted_members_and_a_survivor_form_a_new_generation() {
    let (mut world, voters) = five();
    world.start(voters[0]);
    world.start(voters[1]);
    world.run_until("recovered", RECOVERED, recovered);
    assert_eq!(generation(&mut world), 2);
    world.run(Duration::from_secs(5));
    assert_eq!(members(&mut world).len(), 3);
}

#[test]
fn silence_alone_starts_no_generation_and_its_end_restores_the_old_one() {
    let (mut world, voters) = five();
    world.isolate(voters[0]);
    world.isolate(voters[1]);
    world.run(Duration::from_secs(30));
    assert!(world.leader().is_none());
    let blocked = |event: &ControlEvent| matches!(event, ControlEvent::RecoveryBlocked { .. });
    assert!(world.events.iter().any(|(_, _, event)| blocked(event)));
    world.cut.clear();
    world.run_until("recovered", RECOVERED, recovered);
    assert_eq!(generation(&mut world), 1);
}

#[test]
fn frozen_members_behind_restarted_machines_names_are_no_proof_elsewhere() {
    let (mut world, voters) = five();
    for number in &voters[..2] {
        world.hosts.get_mut(&address(*number)).unwrap().frozen = true;
    }
    world.run(Duration::from_secs(20));
    assert!(world.leader().is_none());
    for number in &voters[..2] {
        world.hosts.get_mut(&address(*number)).unwrap().frozen = false;
    }
    world.run_until("recovered", RECOVERED, recovered);
    assert_eq!(generation(&mut world), 1);
}

#[test]
fn destroyed_machines_are_proof() {
    let (mut world, voters) = five();
    for number in &voters[..2] {
        world.kill(*number);
        let machine = Machine {
            name: machine_name(*number).to_string(),
            zone: "z".to_owned(),
            address: "10.0.0.1".to_owned(),
            state: MachineState::Destroyed,
        };
        let now = Duration::from_micros(world.now.as_micros());
        world.store.set_machine(now, machine);
    }
    // A survivor that led steps down first, once its majority is silent.
    world.run(Duration::from_secs(2));
    assert!(world.leader().is_none());
    world.run_until("a leader", RECOVERED, |world| world.leader().is_some());
    assert_eq!(generation(&mut world), 2);
}

#[test]
fn an_operator_can_vouch_for_members_and_only_without_a_leader() {
    let (mut world, voters) = five();
    let dead: Vec<NodeId> = voters[..2]
        .iter()
        .map(|number| world.host(*number).control.id().clone())
        .collect();
    let force = || OperatorRequest::ForceGeneration {
        change_id: "force".to_owned(),
        generation: 1,
        dead: dead.clone(),
    };
    let reply = world.call(force());
    assert!(matches!(reply, OperatorReply::Invalid(_)), "{reply:?}");
    voters[..2].iter().for_each(|number| world.kill(*number));
    world.run(Duration::from_secs(10));
    assert!(world.leader().is_none());
    let id = world.ask(voters[2], force());
    world.run_until("a leader", RECOVERED, |world| world.leader().is_some());
    world.run(Duration::from_secs(2));
    assert!(matches!(world.replies[&id], OperatorReply::Written { .. }));
    assert_eq!(generation(&mut world), 2);
}

#[test]
fn a_voter_cut_off_during_a_new_generation_stops_when_it_learns_of_it() {
    let (mut world, voters) = five();
    world.isolate(voters[2]);
    world.start(voters[0]);
    world.start(voters[1]);
    world.run(Duration::from_secs(2));
    world.run_until("a leader", RECOVERED, |world| world.leader().is_some());
    world.cut.clear();
    world.run(Duration::from_secs(5));
    assert!(world.hosts.values().all(|host| {
        host.control
            .replica()
            .is_none_or(|replica| replica.generation() == 2)
    }));
    world.run_until("served", RECOVERED, recovered);
}

#[test]
fn a_generation_grants_nothing_before_the_old_leases_are_over() {
    let (mut world, voters) = five();
    // The owners live on; the checker in the harness would see a second owner under their leases.
    for number in &voters {
        world.start(*number);
    }
    world.run_until("recovered", RECOVERED, recovered);
    assert_eq!(generation(&mut world), 2);
}
