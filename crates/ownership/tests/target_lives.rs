//! Keys that a target took in a life that its node didn't know yet.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use support::{LEASE_MS, SERVICE, leadership, renewal, target};
use wingspar_ownership::{
    Epoch, Fence, GrantResult, Holder, KeyRange, Leader, Order, RegisteredNodes, Table,
    TargetState, Time, Timing,
};

const EPOCH: Epoch = Epoch(4);
const START: Time = Time(10_000);
const STEP: Duration = Duration::from_millis(50);
const RANGE: KeyRange = KeyRange { from: 100, to: 200 };

/// What the target at an address holds: ranges with their fences and when the holds end.
#[derive(Default)]
struct Address {
    life: u32,
    holds: Vec<(KeyRange, Fence, Time)>,
}

impl Address {
    fn restart(&mut self) {
        self.life += 1;
        self.holds.clear();
    }

    /// Executes an order, whatever life it was meant for.
    fn execute(&mut self, now: Time, holder: &mut Holder, order: Order) {
        match order {
            Order::Grant {
                range, fence, hold, ..
            } => {
                self.take_back(range);
                self.holds.push((range, fence, now + hold));
                holder.granted(now, range, fence, now, hold, GrantResult::Granted);
            }
            Order::Release { range, fence } => {
                self.take_back(range);
                holder.release_ended(now, range, fence, true, None);
            }
            Order::Clear { .. } => {
                self.holds.clear();
                holder.clear_ended(now, true, None);
            }
        }
    }

    fn take_back(&mut self, range: KeyRange) {
        let holds = std::mem::take(&mut self.holds).into_iter();
        self.holds = holds
            .flat_map(|(held, fence, until)| {
                let rest = held.without(range).into_iter();
                rest.map(move |part| (part, fence, until))
            })
            .collect();
    }

    fn holds(&self, now: Time) -> impl Iterator<Item = KeyRange> {
        let held = self.holds.iter().filter(move |(_, _, until)| now < *until);
        held.map(|(range, _, _)| *range)
    }
}

struct Node {
    holder: Holder,
    target: TargetState,
    address: Address,
}

/// A leader with two nodes, whose messages and orders take no time.
struct World {
    now: Time,
    leader: Leader,
    nodes: [Node; 2],
}

impl World {
    /// Returns a world in which all keys are held.
    fn started() -> Self {
        let mut leader = Leader::new(
            &leadership(EPOCH.0),
            Timing::default(),
            START,
            START,
            &RegisteredNodes::default(),
            Table::default(),
        );
        leader.set_keyed_services(&BTreeSet::from([SERVICE.to_owned()]));
        let nodes = [0, 1].map(|number| {
            let target = target(number);
            let mut holder = Holder::new(Timing::default(), true);
            holder.promise(EPOCH);
            holder.observe_target(START, &target.id);
            Node {
                holder,
                target,
                address: Address::default(),
            }
        });
        let mut world = Self {
            now: START,
            leader,
            nodes,
        };
        while world.keys_held() < KeyRange::ALL.count() {
            world.step();
            assert!(world.now.since(START) < Duration::from_secs(20), "unserved");
        }
        world
    }

    fn keys_held(&self) -> u32 {
        self.keys_held_by(0) + self.keys_held_by(1)
    }

    fn keys_held_by(&self, number: usize) -> u32 {
        let held = self.nodes[number].address.holds(self.now);
        held.map(KeyRange::count).sum()
    }

    /// Lets both nodes renew and execute their orders, and checks that no key has two holders.
    fn step(&mut self) {
        self.now = self.now + STEP;
        self.leader.confirm(self.now);
        self.leader.tick(self.now);
        for number in [0, 1] {
            self.renew(number);
            self.execute_orders(number);
        }
    }

    fn renew(&mut self, number: u8) {
        let node = &mut self.nodes[usize::from(number)];
        let mut renewal = renewal(number, 1, EPOCH, self.now);
        renewal.held = node.holder.held(self.now);
        renewal.released = node.holder.released();
        renewal.applied = node.holder.applied();
        renewal.clean = node.holder.is_clean();
        renewal.target = Some(node.target.clone());
        if let Some(reply) = self.leader.renewal(self.now, &renewal) {
            node.holder.lease(self.now, &reply);
        }
    }

    fn execute_orders(&mut self, number: u8) {
        let node = &mut self.nodes[usize::from(number)];
        for order in node.holder.orders(self.now) {
            node.address.execute(self.now, &mut node.holder, order);
        }
        self.check_holders();
    }

    fn check_holders(&self) {
        for one in self.nodes[0].address.holds(self.now) {
            let other = self.nodes[1].address.holds(self.now);
            let shared = other.filter_map(|other| one.intersection(other)).next();
            assert_eq!(shared, None, "held by both targets at {:?}", self.now);
        }
    }

    /// The first heartbeat of a target's current life arrives.
    fn heartbeat_arrives(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        node.target.id = format!("target-{number}-{}", node.address.life);
        let id = node.target.id.clone();
        node.holder.observe_target(self.now, &id);
    }
}

/// Guards against keys that are given away while a restarted target holds them, because it took a
/// grant that was sent before its first heartbeat.
#[test]
fn keys_granted_before_the_first_heartbeat_of_a_life_are_released_before_they_move() {
    let mut world = World::started();
    assert!(world.keys_held_by(0) > 0);
    world.nodes[0].address.restart();
    for _ in 0..Timing::default().lease.as_millis() / STEP.as_millis() / 2 {
        world.step();
    }
    assert!(
        world.keys_held_by(0) > 0,
        "the new life has taken renewed grants"
    );
    world.heartbeat_arrives(0);
    // All keys are planned for the other node now.
    world.nodes[0].target.accepting = false;
    let restarted_at = world.now;
    while world.keys_held_by(1) < KeyRange::ALL.count() {
        world.step();
        assert!(
            world.now.since(restarted_at) < Duration::from_secs(1),
            "the keys are served again without waiting for the lease"
        );
    }
}

/// Returns a holder whose grant of the range to life `t` is in flight.
fn granting() -> (Holder, Duration) {
    let mut holder = Holder::new(Timing::default(), true);
    holder.observe_target(START, "t");
    let reply = support::reply(1, START.0, 1, &[(RANGE, 10)], None);
    assert!(holder.lease(START, &reply));
    let orders = holder.orders(START);
    let [Order::Grant { hold, .. }] = orders.as_slice() else {
        panic!("expected a grant, got {orders:?}");
    };
    (holder, *hold)
}

/// Guards against a release that is overtaken by a grant of the earlier life.
#[test]
fn keys_of_an_earlier_life_are_released_after_its_grants_have_ended() {
    let (mut holder, hold) = granting();
    let observed_at = START + STEP;
    holder.observe_target(observed_at, "t2");
    assert!(holder.orders(observed_at).is_empty());
    assert_eq!(
        holder.held(observed_at).len(),
        1,
        "the new life may hold it"
    );
    holder.granted(
        observed_at,
        RANGE,
        Fence(10),
        START,
        hold,
        GrantResult::Granted,
    );
    let release = Order::Release {
        range: RANGE,
        fence: Fence(11),
    };
    assert_eq!(holder.orders(observed_at), [release]);
    holder.release_ended(observed_at, RANGE, Fence(11), true, None);
    assert!(holder.held(observed_at).is_empty());
}

/// Guards against keys that stay unserved because a restarted target doesn't answer a release.
#[test]
fn keys_of_an_earlier_life_are_free_once_their_hold_has_run_out() {
    let (mut holder, _) = granting();
    holder.observe_target(START + STEP, "t2");
    let expired_at = START + Duration::from_millis(LEASE_MS);
    assert!(holder.held(expired_at).is_empty());
}

/// Guards against grants from a leader's reply to a renewal that was sent before the target's life
/// was taken for another one.
#[test]
fn replies_from_before_a_change_of_life_grant_nothing() {
    let mut holder = Holder::new(Timing::default(), true);
    holder.observe_target(START, "t");
    let renewed_at = START + STEP;
    holder.observe_target(renewed_at + STEP, "t2");
    holder.observe_target(renewed_at + STEP, "t");
    let reply = support::reply(1, renewed_at.0, 1, &[(RANGE, 10)], None);
    holder.lease(renewed_at + 2 * STEP, &reply);
    assert!(holder.orders(renewed_at + 2 * STEP).is_empty());
}

/// Guards against grants of an earlier process of the node that a restarted target holds.
#[test]
fn a_change_of_life_does_not_show_that_the_target_was_cleared() {
    let mut holder = Holder::new(Timing::default(), false);
    holder.observe_target(START, "t");
    holder.observe_target(START + STEP, "t2");
    assert!(!holder.is_clean());
}

/// Guards against a grant to a restarted target under the fence of its earlier life, by a new
/// leader that the node has reported the keys to before their hold ran out.
#[test]
fn a_life_is_granted_no_keys_under_the_fences_of_an_earlier_one() {
    let (mut holder, _) = granting();
    holder.observe_target(START + STEP, "t2");
    let expired_at = START + Duration::from_millis(LEASE_MS);
    assert!(holder.held(expired_at).is_empty());
    let mut reply = support::reply(2, expired_at.0, 1, &[(RANGE, 10)], None);
    reply.target = Some("t2".to_owned());
    holder.lease(expired_at, &reply);
    assert!(holder.orders(expired_at).is_empty());
    let renewed_at = expired_at + STEP;
    let mut reply = support::reply(2, renewed_at.0, 2, &[(RANGE, 20)], None);
    reply.target = Some("t2".to_owned());
    holder.lease(renewed_at, &reply);
    assert_eq!(holder.orders(renewed_at).len(), 1);
}
