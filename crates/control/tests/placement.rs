//! Placement for load as the leader carries it out.

mod harness;

use std::time::Duration;

use harness::{World, address, target};
use wingspar_control::operator::{
    AssignmentReason, OperatorReply, OperatorRequest, PlacementReport,
};
use wingspar_wire::{HotKey, SliceLoad, TargetLoad};
use wingspar_world::{ConfigObject, KeyHash, ServiceName, SliceRange};

fn placement(world: &mut World) -> PlacementReport {
    let service = ServiceName::new("stoc").unwrap();
    match world.call(OperatorRequest::Placement { service, key: None }) {
        OperatorReply::Placement(report) => report,
        other => panic!("{other:?}"),
    }
}

/// Lets each agent report the load of what it holds, `weight` telling the load of a slice.
fn report_loads(
    world: &mut World,
    weight: impl Fn(&SliceRange) -> f32,
    hot: Option<(KeyHash, f32)>,
) {
    let now = world.now;
    for (at, host) in &mut world.hosts {
        let number = u16::from(match at.ip() {
            std::net::IpAddr::V4(ip) => ip.octets()[3],
            std::net::IpAddr::V6(_) => 0,
        });
        let held: Vec<SliceRange> = host.agent.held(now).map(|grant| grant.range).collect();
        let mut load = TargetLoad::idle(target(number).name);
        for range in &held {
            let requests_per_second = weight(range);
            load.requests_per_second += requests_per_second;
            load.slices.push(SliceLoad {
                range: *range,
                requests_per_second,
            });
        }
        if let Some((key, requests_per_second)) = hot
            && held.iter().any(|range| range.contains(key))
        {
            load.hot_keys.push(HotKey {
                key,
                requests_per_second,
            });
        }
        host.agent.target_loads = vec![load];
    }
}

#[test]
fn a_hot_key_becomes_a_slice_of_its_own_within_a_minute() {
    let mut world = World::with_service(5, &[3, 4, 5]);
    let key = KeyHash::of(b"rosa-canina");
    let weight = |range: &SliceRange| if range.contains(key) { 300.0 } else { 10.0 };
    let begin = world.now;
    loop {
        report_loads(&mut world, weight, Some((key, 290.0)));
        world.run(Duration::from_millis(500));
        let report = placement(&mut world);
        if report
            .slices
            .iter()
            .any(|slice| slice.range == SliceRange::single(key))
        {
            break;
        }
        assert!(
            world.now.since(begin) < Duration::from_secs(60),
            "not split in a minute"
        );
    }
}

#[test]
fn a_new_target_gets_its_share_for_balance() {
    let mut world = World::with_service(5, &[3, 4]);
    let reply = world.put("t5", ConfigObject::Target(target(5)));
    assert!(matches!(reply, OperatorReply::Written { .. }), "{reply:?}");
    let begin = world.now;
    loop {
        report_loads(&mut world, |_| 10.0, None);
        world.run(Duration::from_millis(500));
        let report = placement(&mut world);
        let joined = report
            .targets
            .iter()
            .find(|one| one.target == target(5).name)
            .unwrap();
        if joined.slices >= 4 {
            let moved = report
                .slices
                .iter()
                .filter(|it| it.reason == AssignmentReason::Balance);
            assert!(moved.count() >= 4);
            break;
        }
        assert!(
            world.now.since(begin) < Duration::from_secs(180),
            "{:?}",
            report.targets
        );
    }
    assert!(world.hosts.contains_key(&address(5)));
}
