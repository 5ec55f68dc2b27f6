//! Keys of a target that has ended while its node doesn't know the target's service any more.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use support::{SERVICE, leadership, renewal, target};
use wingspar_ownership::{
    Epoch, GrantResult, Holder, KeyRange, Leader, Order, RegisteredNodes, Table, TargetState, Time,
    Timing,
};

const EPOCH: Epoch = Epoch(4);
const START: Time = Time(10_000);
const STEP: Duration = Duration::from_millis(50);

struct Node {
    holder: Holder,
    target: Option<TargetState>,
    is_up: bool,
}

/// A leader with two nodes, whose messages and orders take no time.
struct World {
    now: Time,
    leader: Leader,
    nodes: [Node; 2],
}

impl World {
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
                target: Some(target),
                is_up: true,
            }
        });
        let mut world = Self {
            now: START,
            leader,
            nodes,
        };
        world.run_until("all keys are held", |world| {
            world.keys_held(0) + world.keys_held(1) == KeyRange::ALL.count()
        });
        world
    }

    fn keys_held(&mut self, number: usize) -> u32 {
        let held = self.nodes[number].holder.held(self.now);
        held.iter().map(|holding| holding.range.count()).sum()
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.leader.confirm(self.now);
        self.leader.tick(self.now);
        for number in [0, 1] {
            let node = &mut self.nodes[usize::from(number)];
            let mut renewal = renewal(number, 1, EPOCH, self.now);
            renewal.held = node.holder.held(self.now);
            renewal.released = node.holder.released();
            renewal.applied = node.holder.applied();
            renewal.clean = node.holder.is_clean();
            renewal.target = node.target.clone();
            if let Some(reply) = self.leader.renewal(self.now, &renewal) {
                node.holder.lease(self.now, &reply);
            }
            for order in node.holder.orders(self.now) {
                node.execute(self.now, order);
            }
        }
    }

    fn run_until(&mut self, what: &str, mut is_reached: impl FnMut(&mut Self) -> bool) {
        let from = self.now;
        while !is_reached(self) {
            self.step();
            assert!(self.now.since(from) < Duration::from_secs(20), "{what}");
        }
    }
}

impl Node {
    fn execute(&mut self, now: Time, order: Order) {
        match order {
            Order::Grant {
                range, fence, hold, ..
            } => {
                let result = match self.is_up {
                    true => GrantResult::Granted,
                    false => GrantResult::Failed,
                };
                self.holder.granted(now, range, fence, now, hold, result);
            }
            Order::Release { range, fence } => {
                self.holder
                    .release_ended(now, range, fence, self.is_up, None);
            }
            Order::Clear { .. } => self.holder.clear_ended(now, self.is_up, None),
        }
    }
}

/// Guards against keys that stay unserved for good: another target has answered at the address, and
/// has ended before a heartbeat of it arrived, so the node renews without a target and applies no
/// assignment any more.
#[test]
fn keys_move_from_a_node_whose_new_target_never_reports() {
    let mut world = World::started();
    assert!(world.keys_held(0) > 0);
    let now = world.now;
    world.nodes[0].holder.observe_target(now, "target-0-1");
    world.nodes[0].target = None;
    world.nodes[0].is_up = false;
    world.run_until("the keys are served by the other target", |world| {
        world.keys_held(1) == KeyRange::ALL.count()
    });
}

/// The same move while the ended target is still the known one.
#[test]
fn keys_move_from_a_node_whose_target_is_unreachable() {
    let mut world = World::started();
    world.nodes[0].target.as_mut().expect("a target").accepting = false;
    world.nodes[0].is_up = false;
    world.run_until("the keys are served by the other target", |world| {
        world.keys_held(1) == KeyRange::ALL.count()
    });
}
