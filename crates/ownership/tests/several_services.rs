//! A new leader of several services whose keys have owners.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use support::{SERVICE, address, leadership, name, renewal};
use wingspar_ownership::{
    Epoch, Fence, Holding, Incarnation, KeyRange, Leader, RegisteredNodes, Registration, StoreEra,
    Table, Time, Timing,
};

const EPOCH: Epoch = Epoch(4);
const START: Time = Time(10_000);
const STEP: Duration = Duration::from_millis(50);
const OTHER_SERVICE: &str = "orders";
/// The services of the targets beside the nodes.
const SERVICES: [&str; 3] = [SERVICE, OTHER_SERVICE, OTHER_SERVICE];
/// Everything, under a fence of an earlier leader.
const ALL: Holding = Holding {
    range: KeyRange::ALL,
    fence: Fence(10),
};

/// A leader and nodes that renew with it.
struct Deployment {
    now: Time,
    leader: Leader,
    applied: [u64; 3],
    held: [Vec<Holding>; 3],
}

impl Deployment {
    fn elected() -> Self {
        let registered = [0, 1, 2].map(|number| {
            let registration = Registration {
                address: address(number),
                service: Some(SERVICES[usize::from(number)].to_owned()),
                life: Some(Incarnation(1)),
                era: Some(StoreEra::default()),
            };
            (name(number), registration)
        });
        let registered = RegisteredNodes {
            self_registered: BTreeMap::from(registered),
            ..RegisteredNodes::default()
        };
        let mut leader = Leader::new(
            &leadership(EPOCH.0),
            Timing::default(),
            START,
            START,
            &registered,
            Table::default(),
        );
        let keyed = BTreeSet::from([SERVICE, OTHER_SERVICE].map(str::to_owned));
        leader.set_keyed_services(&keyed);
        Self {
            now: START,
            leader,
            applied: [0; 3],
            held: Default::default(),
        }
    }

    /// Lets these nodes renew, in this order. Returns the number of keys that each is to hold.
    fn step(&mut self, nodes: &[u8]) -> [u32; 3] {
        self.now = self.now + STEP;
        self.leader.confirm(self.now);
        self.leader.tick(self.now);
        let mut wanted = [0; 3];
        for number in nodes {
            let index = usize::from(*number);
            let mut renewal = renewal(*number, 1, EPOCH, self.now);
            renewal.applied = self.applied[index];
            renewal.held.clone_from(&self.held[index]);
            renewal.registered_for = Some(SERVICES[index].to_owned());
            if let Some(target) = &mut renewal.target {
                SERVICES[index].clone_into(&mut target.service);
            }
            if let Some(reply) = self.leader.renewal(self.now, &renewal) {
                self.applied[index] = reply.assignment;
                wanted[index] = reply.wanted.iter().map(|want| want.range.count()).sum();
            }
        }
        wanted
    }
}

/// Guards against keys of a service that stay unserved because a target of another service holds
/// keys of the same numbers.
#[test]
fn keys_of_a_service_are_not_taken_for_those_of_another() {
    let mut deployment = Deployment::elected();
    deployment.held[0] = vec![ALL];
    let mut wanted = [0; 3];
    while wanted[1] + wanted[2] < KeyRange::ALL.count() {
        wanted = deployment.step(&[0, 1, 2]);
        let waited = deployment.now.since(START);
        assert!(waited < Duration::from_secs(20), "unserved: {wanted:?}");
    }
}

/// Guards against keys that are given away while a target holds them, because a target of another
/// service reported keys of the same numbers first, and has released them. The leader's replies to
/// the holder are lost.
#[test]
fn keys_reported_by_two_services_stay_with_their_holders() {
    let mut deployment = Deployment::elected();
    deployment.held = [vec![ALL], vec![ALL], Vec::new()];
    deployment.step(&[0, 1, 2]);
    deployment.held[0].clear();
    while deployment.now.since(START) < Timing::default().lease {
        deployment.applied[1] = 0;
        let wanted = deployment.step(&[0, 1, 2]);
        assert_eq!(wanted[2], 0, "held by node 1 at {:?}", deployment.now);
    }
}
