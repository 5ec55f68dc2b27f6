//! Keys that nodes hold when a leader first learns that a service is keyed.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use support::{SERVICE, address, leadership, name, renewal};
use wingspar_ownership::{
    Epoch, Fence, Holding, Incarnation, KeyRange, Leader, RegisteredNodes, Registration, StoreEra,
    Table, Time, Timing, Wanted,
};

const EPOCH: Epoch = Epoch(4);
const START: Time = Time(10_000);
const STEP: Duration = Duration::from_millis(50);
/// A fence of an earlier leader.
const FENCE: Fence = Fence(10);

/// What each of two nodes holds.
const HELD: [KeyRange; 2] = [
    KeyRange {
        from: 0,
        to: 40_000,
    },
    KeyRange {
        from: 40_001,
        to: u16::MAX,
    },
];

/// A leader and two nodes that renew with it.
struct Deployment {
    leader: Leader,
    /// The last assignment that each node has applied.
    applied: [u64; 2],
}

impl Deployment {
    /// Returns a leader that knows no configuration and waits for both nodes.
    fn elected() -> Self {
        let registered = [0, 1].map(|number| {
            let registration = Registration {
                address: address(number),
                service: Some(SERVICE.to_owned()),
                life: Some(Incarnation(1)),
                era: Some(StoreEra::default()),
            };
            (name(number), registration)
        });
        let registered = RegisteredNodes {
            self_registered: BTreeMap::from(registered),
            ..RegisteredNodes::default()
        };
        let leader = Leader::new(
            &leadership(EPOCH.0),
            Timing::default(),
            START,
            START,
            &registered,
            Table::default(),
        );
        Self {
            leader,
            applied: [0, 0],
        }
    }

    /// Returns a leader whose nodes have reported their keys before a configuration in which the
    /// service is unkeyed, followed by one in which it is keyed.
    fn keyed_again() -> Self {
        let mut deployment = Self::elected();
        deployment.set_keyed(true);
        deployment.renew_both(START);
        deployment.tick(START);
        deployment.set_keyed(false);
        deployment.tick(START);
        deployment.set_keyed(true);
        deployment
    }

    fn set_keyed(&mut self, is_keyed: bool) {
        let services = is_keyed.then(|| SERVICE.to_owned());
        let services = services.into_iter().collect::<BTreeSet<_>>();
        self.leader.set_keyed_services(&services);
    }

    fn tick(&mut self, now: Time) {
        self.leader.confirm(now);
        self.leader.tick(now);
    }

    /// Renews for a node that holds these keys.
    fn renew_with(&mut self, now: Time, number: u8, held: &[KeyRange]) -> Vec<Wanted> {
        let applied = &mut self.applied[usize::from(number)];
        let mut renewal = renewal(number, 1, EPOCH, now);
        renewal.applied = *applied;
        renewal.held = held
            .iter()
            .map(|range| Holding {
                range: *range,
                fence: FENCE,
            })
            .collect();
        let reply = self.leader.renewal(now, &renewal).expect("a lease");
        *applied = reply.assignment;
        reply.wanted
    }

    /// Renews for a node that holds its range.
    fn renew(&mut self, now: Time, number: u8) -> Vec<Wanted> {
        self.renew_with(now, number, &[HELD[usize::from(number)]])
    }

    fn renew_both(&mut self, now: Time) -> [Vec<Wanted>; 2] {
        [0, 1].map(|number| self.renew(now, number))
    }

    /// Checks for some time that both nodes keep their keys.
    fn check_owners(&mut self, from: Time) {
        for step in 0..100 {
            let now = from + STEP * step;
            self.tick(now);
            assert_eq!(self.leader.take_freed(), [], "freed while they are held");
            let wanted = self.renew_both(now);
            let expected = HELD.map(|range| {
                vec![Wanted {
                    range,
                    fence: FENCE,
                    handover: None,
                }]
            });
            assert_eq!(wanted, expected);
        }
    }
}

/// Guards against keys that are taken from their holders, or count as free, because all nodes had
/// renewed before the leader received its first configuration.
#[test]
fn keys_reported_before_the_first_configuration_stay_with_their_holders() {
    let mut deployment = Deployment::elected();
    deployment.check_owners(START);
    deployment.set_keyed(true);
    deployment.check_owners(START + STEP * 100);
}

/// Guards against keys that count as free although their holders haven't reported them since a
/// configuration in which their service was unkeyed.
#[test]
fn keys_of_a_service_that_is_keyed_again_stay_with_their_holders() {
    let mut deployment = Deployment::keyed_again();
    deployment.check_owners(START + STEP);
}

/// Guards against a report that was sent before the node received its last keys.
#[test]
fn an_overtaken_report_does_not_show_that_a_node_holds_nothing() {
    let mut deployment = Deployment::keyed_again();
    deployment.renew_with(START + STEP, 0, &[]);
    deployment.renew_with(START + STEP, 1, &[]);
    deployment.tick(START + STEP);
    assert_eq!(deployment.leader.take_freed(), []);
    deployment.check_owners(START + STEP * 2);
}

/// Guards against keys that stay unserved because a node has ended before it reported them again.
#[test]
fn keys_of_a_node_that_has_ended_are_free_once_its_lease_has_expired() {
    let mut deployment = Deployment::keyed_again();
    let timing = Timing::default();
    let expires_at = START + timing.lease + timing.lease_margin;
    let mut freed_keys = 0;
    let mut now = START;
    while freed_keys == 0 {
        now = now + STEP;
        deployment.tick(now);
        deployment.renew(now, 0);
        let freed = deployment.leader.take_freed();
        freed_keys = freed.iter().map(|freed| freed.keys).sum::<u32>();
        assert!(
            freed_keys == 0 || now >= expires_at,
            "the node's target may hold them"
        );
        assert!(now < expires_at + timing.lease, "they stay unserved");
    }
    assert_eq!(freed_keys, HELD[1].count());
}

/// Guards against keys that stay unserved because a node that renewed before the configuration knows
/// no target, so that it never applies an assignment.
#[test]
fn keys_are_free_although_a_node_without_a_target_renews() {
    let mut deployment = Deployment::elected();
    let renew_without_target = |deployment: &mut Deployment, now| {
        let mut renewal = renewal(1, 1, EPOCH, now);
        renewal.target = None;
        deployment.leader.renewal(now, &renewal);
    };
    deployment.renew_with(START, 0, &[]);
    renew_without_target(&mut deployment, START);
    deployment.set_keyed(true);
    let timing = Timing::default();
    let leases_until = START + timing.lease + timing.lease_margin;
    let mut now = START;
    let mut freed = Vec::new();
    while freed.is_empty() {
        now = now + STEP;
        deployment.renew(now, 0);
        renew_without_target(&mut deployment, now);
        deployment.tick(now);
        freed = deployment.leader.take_freed();
        assert!(now <= leases_until + 2 * STEP, "they stay unserved");
    }
    assert_eq!(freed[0].keys, HELD[1].count());
}
