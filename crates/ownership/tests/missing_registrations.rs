//! Guards against a new leader that assigns the keys of a silent node because the store's list of
//! registered nodes lacks that node.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use support::{SERVICE, address, leadership, name, renewal, reply, target};
use wingspar_ownership::{
    Action, Datagram, Epoch, Incarnation, KeyRange, Leader, LeaseReply, MemberView, NodeContext,
    NodeIdentity, NodeName, Participant, RegisteredNodes, Registration, Renewal, ServiceTable,
    StoreEra, Table, Time, Timing,
};

const EPOCH: Epoch = Epoch(4);
const ELECTED_AT: Time = Time(10_000);
const STEP: Duration = Duration::from_millis(100);
/// Last key of the range that node 0 owns in the last table.
const FIRST_HALF: u16 = 32_767;
/// Last key of the range that node 1 owns; nobody owns the rest.
const THIRD_QUARTER: u16 = 49_151;

/// Returns the list of registrations by the first process of each of these nodes.
fn listed(numbers: &[u8]) -> RegisteredNodes {
    let registered = numbers.iter().map(|number| {
        let registration = Registration {
            address: address(*number),
            service: Some(SERVICE.to_owned()),
            life: Some(Incarnation(1)),
            era: Some(StoreEra::default()),
        };
        (name(*number), registration)
    });
    RegisteredNodes {
        self_registered: registered.collect(),
        ..RegisteredNodes::default()
    }
}

fn member(number: u8, leaving: bool) -> MemberView {
    MemberView {
        node: name(number),
        zone: "a".to_owned(),
        address: address(number),
        target: Some(target(number)),
        leaving,
        quota_shards: Vec::new(),
    }
}

/// Returns the last table, in which nodes 0 and 1 own keys if `owner` is node 1.
fn table(second: MemberView, owner: Option<NodeName>) -> Table {
    Table {
        epoch: Epoch(3),
        version: 7,
        members: vec![member(0, false), second],
        services: vec![ServiceTable {
            service: SERVICE.to_owned(),
            owners: vec![
                (FIRST_HALF, Some(name(0))),
                (THIRD_QUARTER, owner),
                (u16::MAX, None),
            ],
            plan: vec![(FIRST_HALF, name(0)), (u16::MAX, name(1))],
        }],
    }
}

fn elected(registered: &RegisteredNodes, table: Table) -> Leader {
    let leadership = leadership(EPOCH.0);
    let timing = Timing::default();
    let mut leader = Leader::new(
        &leadership,
        timing,
        ELECTED_AT,
        ELECTED_AT,
        registered,
        table,
    );
    leader.set_keyed_services(&BTreeSet::from([SERVICE.to_owned()]));
    leader
}

/// Lets these nodes renew until the leader assigns keys of the second half to node 0. Returns how
/// long after the election that was; `None` if it wasn't within 20 s.
fn second_half_assigned_after(leader: &mut Leader, renewing: &[u8]) -> Option<Duration> {
    let mut now = ELECTED_AT;
    while now.since(ELECTED_AT) < Duration::from_secs(20) {
        for number in renewing {
            let renewal = renewal(*number, 1, EPOCH, now);
            let reply = leader.renewal(now, &renewal).expect("a confirmed leader");
            let mut ranges = reply.wanted.iter().map(|wanted| wanted.range);
            if *number == 0 && ranges.any(|range: KeyRange| range.to > FIRST_HALF) {
                return Some(now.since(ELECTED_AT));
            }
        }
        now = now + STEP;
        leader.confirm(now);
        leader.tick(now);
    }
    None
}

/// When leases given by earlier leaders have expired.
fn leases_expired_after() -> Duration {
    let timing = Timing::default();
    timing.leadership + timing.lease + timing.lease_margin
}

#[test]
fn a_silent_owner_that_the_store_does_not_list_keeps_its_keys_until_its_lease_has_expired() {
    let table = table(member(1, false), Some(name(1)));
    let mut leader = elected(&listed(&[0]), table);
    let assigned_after = second_half_assigned_after(&mut leader, &[0]);
    let assigned_after = assigned_after.expect("assigned in the end");
    assert!(
        assigned_after >= leases_expired_after(),
        "after {assigned_after:?}"
    );
}

#[test]
fn a_silent_member_that_owned_nothing_yet_is_awaited_too() {
    let mut leader = elected(&listed(&[0]), table(member(1, false), None));
    let assigned_after = second_half_assigned_after(&mut leader, &[0]);
    assert!(assigned_after.is_some_and(|after| after >= leases_expired_after()));
}

#[test]
fn a_stopping_owner_is_awaited_although_the_store_does_not_list_it() {
    let table = table(member(1, true), Some(name(1)));
    let mut leader = elected(&listed(&[0]), table);
    let assigned_after = second_half_assigned_after(&mut leader, &[0]);
    assert!(assigned_after.is_some_and(|after| after >= leases_expired_after()));
}

#[test]
fn a_stopped_node_that_owned_nothing_is_not_awaited() {
    let mut leader = elected(&listed(&[0]), table(member(1, true), None));
    let assigned_after = second_half_assigned_after(&mut leader, &[0]);
    let bound = Timing::default().settle_delay + 3 * STEP;
    assert!(assigned_after.is_some_and(|after| after <= bound));
}

/// Renews with these nodes once, then ticks. Returns how many ranges node 1 is assigned.
fn ranges_of_second(leader: &mut Leader, now: Time, renewal: &Renewal) -> usize {
    leader.renewal(now, renewal);
    leader.tick(now);
    let reply = leader.renewal(now, renewal);
    reply.expect("a confirmed leader").wanted.len()
}

/// The previous process may have removed its registration after the leader had listed it, and a
/// later leader may have listed the nodes before the new process registered.
#[test]
fn a_restarted_process_gets_keys_only_after_a_confirmation() {
    let mut leader = elected(&listed(&[1]), Table::default());
    let settled = ELECTED_AT + Timing::default().settle_delay;
    leader.confirm(settled);
    let first = renewal(1, 1, EPOCH, settled);
    assert_eq!(ranges_of_second(&mut leader, settled, &first), 1);
    let stopped_at = settled + STEP;
    let stopping = Renewal {
        applied: u64::MAX,
        leaving: true,
        ..renewal(1, 1, EPOCH, stopped_at)
    };
    assert_eq!(ranges_of_second(&mut leader, stopped_at, &stopping), 0);
    let restarted_at = stopped_at + STEP;
    let next = renewal(1, 2, EPOCH, restarted_at);
    assert_eq!(ranges_of_second(&mut leader, restarted_at, &next), 0);
    assert!(leader.needs_confirmation(restarted_at));
    let confirmed_at = restarted_at + STEP;
    leader.confirm(confirmed_at);
    let next = renewal(1, 2, EPOCH, confirmed_at);
    assert_eq!(ranges_of_second(&mut leader, confirmed_at, &next), 1);
}

/// Another writer has removed the registration before the leader listed the nodes.
#[test]
fn a_node_whose_registration_is_missing_gets_keys_only_after_it_has_registered_again() {
    const LISTED_AT: u64 = 50;
    let registered = RegisteredNodes {
        self_registered_revision: LISTED_AT,
        ..listed(&[0])
    };
    let mut leader = elected(&registered, Table::default());
    let claim = |revision, now| Renewal {
        registered_revision: Some(revision),
        ..renewal(1, 1, EPOCH, now)
    };
    let mut now = ELECTED_AT;
    let mut assigned = |revision| {
        let until = now + Duration::from_secs(15);
        while now < until {
            let claim = claim(revision, now);
            let reply = leader.renewal(now, &claim).expect("a confirmed leader");
            if !reply.wanted.is_empty() {
                return true;
            }
            let missing = (revision <= LISTED_AT).then_some(revision);
            assert_eq!(reply.missing_registration, missing);
            now = now + STEP;
            leader.confirm(now);
            leader.tick(now);
        }
        false
    };
    assert!(!assigned(LISTED_AT));
    assert!(assigned(LISTED_AT + 1));
}

/// Returns the revisions that a node reports in its renewals.
fn reported(actions: &[Action]) -> Vec<Option<u64>> {
    let renewals = actions.iter().filter_map(|action| match action {
        Action::Send(_, Datagram::Renew(renewal)) => Some(renewal.registered_revision),
        _ => None,
    });
    renewals.collect()
}

#[test]
fn a_node_reports_its_registration_until_the_leader_has_found_it() {
    const REVISION: u64 = 40;
    let now = ELECTED_AT;
    let identity = NodeIdentity {
        node: name(1),
        life: Incarnation(1),
        zone: "a".to_owned(),
        address: address(1),
    };
    let mut node = Participant::new(identity, Timing::default(), true, now);
    let context = NodeContext {
        registered_for: Some(SERVICE.to_owned()),
        registered_revision: REVISION,
        ..NodeContext::default()
    };
    let leader = leadership(EPOCH.0).leader;
    let notice = Datagram::Notice(leader.clone(), 0, 0);
    let sent = node.receive(now, &context, leader.address, notice);
    assert_eq!(reported(&sent), [Some(REVISION)]);
    let mut answer = |missing_registration, at: Time| {
        let reply = LeaseReply {
            missing_registration,
            ..reply(EPOCH.0, at.0, 0, &[], None)
        };
        let lease = Datagram::Lease(leader.clone(), Box::new(reply));
        let mut actions = node.receive(at, &context, leader.address, lease);
        let next = at + Timing::default().renew_interval;
        actions.extend(node.tick(next, &context));
        (actions, next)
    };
    let (actions, now) = answer(Some(REVISION), now);
    assert!(actions.contains(&Action::RegistrationMissing(REVISION)));
    assert_eq!(reported(&actions), [Some(REVISION)]);
    let (actions, _) = answer(None, now);
    assert_eq!(reported(&actions), [None]);
}
