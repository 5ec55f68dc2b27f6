//! Small points of the ramp: what is counted repeats exactly, and adds up.

use wingspar_hollow::{ClusterSettings, PointReport, Role, run_point};
use wingspar_wire::MAX_DATAGRAM_BYTES;

fn small(agents: usize) -> ClusterSettings {
    ClusterSettings {
        slices_per_target: 8,
        ..ClusterSettings::new(agents, 2)
    }
}

fn messages(point: &PointReport, phase: &str, role: Role, name: &str) -> u64 {
    let phase = point.phase(phase).expect("the phase was run");
    let account = phase
        .ledger
        .roles
        .get(&role)
        .expect("the role did something");
    let sent = account.sent.get(name).map_or(0, |it| it.messages);
    sent + account.received.get(name).map_or(0, |it| it.messages)
}

#[test]
fn counts_are_the_same_in_two_runs() {
    let first = run_point(small(6)).without_cpu();
    let second = run_point(small(6)).without_cpu();
    assert_eq!(first, second);
}

#[test]
fn every_phase_comes_to_its_end() {
    let point = run_point(small(5));
    assert_eq!(point.slices, 5 * 8);
    for phase in &point.phases {
        assert!(phase.done_after.is_some(), "{} did not end", phase.name);
    }
    assert_eq!(point.leases_lost_with_leader, 0);
}

#[test]
fn what_agents_renew_is_what_the_leader_hears() {
    let point = run_point(small(4));
    // 10 s at one renewal in 400 ms; one more or less may lie at the phase's ends.
    let renewals = messages(&point, "steady", Role::Leader, "renewal");
    assert!(renewals.abs_diff(4 * 25) <= 4, "{renewals} renewals");
    let sent = messages(&point, "steady", Role::Agent, "renewal");
    assert!(sent.abs_diff(renewals) <= 4);
}

#[test]
fn a_renewal_fits_a_datagram() {
    let point = run_point(small(4));
    let steady = point.phase("steady").expect("the phase was run");
    let renewal = steady.ledger.roles[&Role::Agent].sent["renewal"];
    assert!(renewal.largest <= MAX_DATAGRAM_BYTES as u64);
    // It carries loads of slices, not only an empty report.
    assert!(renewal.largest > 600, "{} bytes", renewal.largest);
}
