//! How a leader assigns quota shards to owners.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use support::{address, name, shard_reply};
use wingspar_ownership::{
    Epoch, Incarnation, Leader, LeaderReference, Leadership, LeaseReply, RegisteredNodes,
    Registration, Renewal, ShardHolder, ShardReport, StoreEra, Table, Time, Timing,
};
use wingspar_quota::{SHARD_COUNT, Shard};

/// Time at which leaders are elected.
const ELECTED_AT: Time = Time(10_000);

/// Returns a leader of epoch 2 that was elected with the nodes registered for these services. Node
/// 9 led before.
fn leader(registered: &[(u8, &str)]) -> Leader {
    leader_after(&[9], registered)
}

/// Like [`leader`], with these previous leaders.
fn leader_after(earlier: &[u8], registered: &[(u8, &str)]) -> Leader {
    leader_with_shard_scope(false, earlier, registered)
}

/// Like [`leader_after`]. The leadership object says whether nodes of any service may own shards.
fn leader_with_shard_scope(
    shards_anywhere: bool,
    earlier: &[u8],
    registered: &[(u8, &str)],
) -> Leader {
    let leader = LeaderReference {
        epoch: Epoch(2),
        node: name(1),
        life: Incarnation(1),
        address: address(1),
    };
    let earlier = earlier.iter().copied().map(name).collect();
    let earlier = Some(earlier);
    let leadership = Leadership {
        leader,
        earlier,
        shards_anywhere,
        era: StoreEra::default(),
        restored_ms_ago: None,
        nodes: 0,
    };
    let registered = registered.iter().map(|(number, service)| {
        let registration = Registration {
            address: address(*number),
            service: Some((*service).to_owned()),
            life: Some(Incarnation(u64::from(*number))),
            era: Some(StoreEra::default()),
        };
        (name(*number), registration)
    });
    let registered = RegisteredNodes {
        self_registered: registered.collect(),
        ..RegisteredNodes::default()
    };
    let (timing, known) = (Timing::default(), Table::default());
    Leader::new(
        &leadership,
        timing,
        ELECTED_AT,
        ELECTED_AT,
        &registered,
        known,
    )
}

/// Nodes that renew their leases every 0.1 s, and their leader.
struct Fleet {
    now: u64,
    leader: Leader,
    holders: BTreeMap<u8, ShardHolder>,
    leaving: BTreeSet<u8>,
    links: BTreeMap<u8, f64>,
    /// Services that nodes are registered for, if other than `s`.
    services: BTreeMap<u8, &'static str>,
    /// For how long the processes had granted no leases when the leader was elected, in
    /// milliseconds.
    no_lease_given_ms: u64,
}

impl Fleet {
    /// Creates a leader of epoch 2, elected now, with the nodes from 1 to `nodes` registered. Node
    /// 9 led before.
    fn new(nodes: u8) -> Self {
        let registered = (1..=nodes).map(|number| (number, "s")).collect::<Vec<_>>();
        let mut leader = leader(&registered);
        leader.set_quota_shards();
        Self {
            now: ELECTED_AT.0,
            leader,
            services: BTreeMap::new(),
            holders: (1..=nodes)
                .map(|number| (number, ShardHolder::default()))
                .collect(),
            leaving: BTreeSet::new(),
            links: BTreeMap::new(),
            no_lease_given_ms: 0,
        }
    }

    fn renewal(&mut self, number: u8) -> Renewal {
        let now = Time(self.now);
        let holder = self.holders.get_mut(&number).expect("a node that renews");
        holder.promise(Epoch(2));
        Renewal {
            node: name(number),
            life: Incarnation(u64::from(number)),
            zone: "a".to_owned(),
            address: address(number),
            sent_at: now,
            no_lease_given_ms: self.no_lease_given_ms,
            epoch: Epoch(2),
            applied: 0,
            clean: true,
            held: Vec::new(),
            released: Vec::new(),
            target: None,
            leaving: self.leaving.contains(&number),
            service: None,
            registered_for: Some(self.services.get(&number).unwrap_or(&"s").to_string()),
            registered_in: StoreEra::default(),
            registered_revision: None,
            configuration_version: 1,
            store_reachable: true,
            link_mbps: self.links.get(&number).copied(),
            quarantine: None,
            quota_shards: Some(holder.report(now)),
        }
    }

    /// Runs the fleet for some time, with the store confirming the leader throughout.
    fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 100;
            let now = Time(self.now);
            self.leader.confirm(now);
            self.leader.tick(now);
            for number in self.holders.keys().copied().collect::<Vec<_>>() {
                let renewal = self.renewal(number);
                if let Some(reply) = self.leader.renewal(now, &renewal)
                    && let Some(holder) = self.holders.get_mut(&number)
                {
                    holder.lease(now, &reply);
                }
            }
            self.check_single_owners();
        }
    }

    fn check_single_owners(&self) {
        for shard in Shard::all() {
            let owns = |holder: &&ShardHolder| holder.owned_since(Time(self.now), shard).is_some();
            assert!(self.holders.values().filter(owns).count() <= 1, "{shard:?}");
        }
    }

    fn owned(&self, number: u8) -> usize {
        let holder = self.holders.get(&number);
        holder.map_or(0, |holder| holder.owned(Time(self.now)).len())
    }

    fn owned_by_all(&self) -> usize {
        self.holders.keys().map(|number| self.owned(*number)).sum()
    }
}

#[test]
fn shards_are_spread_evenly_soon_after_all_have_reported() {
    let mut fleet = Fleet::new(8);
    fleet.run(1_000);
    for number in 1..=8 {
        assert_eq!(fleet.owned(number), usize::from(SHARD_COUNT) / 8);
    }
    let members = &fleet.leader.table().members;
    let told = members.iter().map(|member| member.quota_shards.len());
    assert_eq!(told.sum::<usize>(), usize::from(SHARD_COUNT));
}

#[test]
fn nodes_with_stronger_links_get_the_remaining_shards() {
    let mut fleet = Fleet::new(7);
    fleet.links = (1..=7).map(|number| (number, f64::from(number))).collect();
    fleet.run(1_000);
    // 256 shards are 36 for each of seven nodes, and four remain.
    assert_eq!((fleet.owned(3), fleet.owned(4)), (36, 37));
}

#[test]
fn a_stopping_node_hands_over_its_shards() {
    let mut fleet = Fleet::new(4);
    fleet.run(1_000);
    fleet.leaving.insert(2);
    fleet.run(500);
    assert_eq!(fleet.owned(2), 0);
    assert_eq!(fleet.owned_by_all(), usize::from(SHARD_COUNT));
}

#[test]
fn shards_of_a_lost_node_wait_for_the_end_of_its_lease() {
    let mut fleet = Fleet::new(4);
    fleet.run(1_000);
    let lost = fleet.owned(2);
    fleet.holders.remove(&2);
    fleet.run(2_400);
    assert_eq!(fleet.owned_by_all(), usize::from(SHARD_COUNT) - lost);
    fleet.run(600);
    assert_eq!(fleet.owned_by_all(), usize::from(SHARD_COUNT));
}

#[test]
fn unreported_shards_wait_for_a_silent_node() {
    let mut fleet = Fleet::new(4);
    fleet.holders.remove(&3);
    fleet.run(8_000);
    assert_eq!(
        fleet.owned_by_all(),
        0,
        "an earlier leader may have assigned them to node 3"
    );
    fleet.run(4_500);
    assert_eq!(fleet.owned_by_all(), usize::from(SHARD_COUNT));
}

#[test]
fn a_silent_node_of_an_unkeyed_service_is_not_waited_for_where_keys_have_owners() {
    let mut fleet = Fleet::new(4);
    fleet.holders.remove(&3);
    let keyed = BTreeSet::from(["keyed".to_owned()]);
    fleet.leader = leader(&[(1, "keyed"), (2, "keyed"), (3, "other"), (4, "other")]);
    fleet.leader.set_keyed_services(&keyed);
    fleet.leader.set_quota_shards();
    fleet.services = BTreeMap::from([(1, "keyed"), (2, "keyed"), (4, "other")]);
    fleet.run(1_000);
    assert_eq!(
        fleet.owned(4),
        0,
        "a later leader would not wait for node 4"
    );
    assert_eq!(fleet.owned_by_all(), usize::from(SHARD_COUNT));
}

#[test]
fn a_silent_node_of_a_keyed_service_is_waited_for() {
    let mut fleet = Fleet::new(4);
    fleet.holders.remove(&3);
    fleet.leader = leader(&[(1, "keyed"), (2, "keyed"), (3, "keyed"), (4, "other")]);
    fleet
        .leader
        .set_keyed_services(&BTreeSet::from(["keyed".to_owned()]));
    fleet.leader.set_quota_shards();
    fleet.services = BTreeMap::from([(1, "keyed"), (2, "keyed"), (4, "other")]);
    fleet.run(8_000);
    assert_eq!(fleet.owned_by_all(), 0);
}

/// Returns how many shards have owners one second after the election, while node 3 is silent and
/// the previous leader, node 9, is back.
fn owned_after_a_second(no_lease_given_ms: u64) -> usize {
    let mut fleet = Fleet::new(4);
    fleet.holders.remove(&3);
    fleet.holders.insert(9, ShardHolder::default());
    fleet.no_lease_given_ms = no_lease_given_ms;
    fleet.run(1_000);
    fleet.owned_by_all()
}

#[test]
fn shards_wait_for_the_last_lease_that_an_earlier_leader_may_have_granted() {
    assert_eq!(owned_after_a_second(0), 0);
    assert_eq!(owned_after_a_second(1_000), 0);
    assert_eq!(owned_after_a_second(2_000), usize::from(SHARD_COUNT));
}

#[test]
fn a_new_leader_leaves_shards_with_the_nodes_that_report_them() {
    let mut fleet = Fleet::new(4);
    for (shard, number) in (0..SHARD_COUNT).zip([1, 2, 3, 4].into_iter().cycle()) {
        let holder = fleet.holders.get_mut(&number).expect("a node");
        let before = holder.report(Time(9_900)).owned;
        let shards = before.into_iter().chain([Shard(shard)]);
        let told = LeaseReply {
            quota_shards: shards.collect(),
            ..shard_reply(1, 9_800, 1, &[])
        };
        holder.lease(Time(9_900), &told);
    }
    fleet.run(1_500);
    assert_eq!(fleet.owned_by_all(), usize::from(SHARD_COUNT));
    let since = |number: u8| {
        fleet.holders[&number].owned_since(Time(fleet.now), Shard(u16::from(number) - 1))
    };
    for number in 1..=4 {
        assert_eq!(since(number), Some(Time(9_900)));
    }
}

#[test]
fn a_new_node_gets_a_share_of_the_shards() {
    let mut fleet = Fleet::new(4);
    fleet.run(1_000);
    fleet.holders.insert(5, ShardHolder::default());
    fleet.run(12_000);
    assert!(
        fleet.owned(5) >= usize::from(SHARD_COUNT) / 10,
        "{}",
        fleet.owned(5)
    );
    assert_eq!(fleet.owned_by_all(), usize::from(SHARD_COUNT));
}

#[test]
fn a_restarted_process_owns_no_shards_until_they_are_assigned_again() {
    let mut fleet = Fleet::new(4);
    fleet.run(1_000);
    fleet.holders.insert(2, ShardHolder::default());
    assert_eq!(fleet.renewal(2).quota_shards, Some(ShardReport::default()));
    fleet.run(1_000);
    assert_eq!(fleet.owned_by_all(), usize::from(SHARD_COUNT));
}

#[test]
fn a_leader_unaware_of_quotas_remembers_shard_owners() {
    let mut fleet = Fleet::new(2);
    fleet.leader = leader(&[(1, "s"), (2, "s")]);
    let owner = fleet.holders.get_mut(&1).expect("a node");
    owner.lease(Time(9_900), &shard_reply(1, 9_800, 1, &[3]));
    for number in [1, 2] {
        let renewal = fleet.renewal(number);
        // The reply is lost.
        fleet.leader.renewal(Time(fleet.now), &renewal);
    }
    fleet.leader.set_quota_shards();
    fleet.holders.remove(&1);
    fleet.run(1_000);
    let other = fleet.holders[&2].owned(Time(fleet.now));
    assert_eq!(other.len(), usize::from(SHARD_COUNT) / 2);
    assert!(!other.contains(&Shard(3)));
}

#[test]
fn a_leader_waits_for_leases_granted_by_the_previous_process_on_its_node() {
    let mut fleet = Fleet::new(4);
    fleet.holders.remove(&3);
    fleet.holders.insert(9, ShardHolder::default());
    fleet.leader = leader_after(&[9, 1], &[(1, "s"), (2, "s"), (3, "s"), (4, "s")]);
    fleet.leader.set_quota_shards();
    for (number, no_lease_given_ms) in [(9, 5_000), (1, 100)] {
        fleet.no_lease_given_ms = no_lease_given_ms;
        let renewal = fleet.renewal(number);
        fleet.leader.renewal(Time(fleet.now), &renewal);
    }
    fleet.run(2_000);
    assert_eq!(fleet.owned_by_all(), 0);
    fleet.run(1_500);
    assert_eq!(fleet.owned_by_all(), usize::from(SHARD_COUNT));
}

/// Returns a fleet in which nodes 1 and 2 run beside key owners, and nodes 3 and 4 beside another
/// service. The leadership object has this value of `shards_anywhere`.
fn fleet_with_keyed_service(shards_anywhere: bool) -> Fleet {
    let mut fleet = Fleet::new(4);
    let registered = [(1, "keyed"), (2, "keyed"), (3, "other"), (4, "other")];
    fleet.leader = leader_with_shard_scope(shards_anywhere, &[9], &registered);
    fleet
        .leader
        .set_keyed_services(&BTreeSet::from(["keyed".to_owned()]));
    fleet.leader.set_quota_shards();
    fleet.services = BTreeMap::from(registered);
    fleet
}

#[test]
fn nodes_of_other_services_own_shards_once_the_store_allows_it_and_no_keyed_node_is_left() {
    let mut fleet = fleet_with_keyed_service(false);
    fleet.run(1_000);
    assert_eq!(fleet.leader.desired_shard_scope(Time(fleet.now)), None);
    for lost in [1, 2] {
        fleet.holders.remove(&lost);
    }
    fleet.run(11_000);
    assert_eq!(
        fleet.owned_by_all(),
        0,
        "later leaders would not wait for the other nodes"
    );
    assert_eq!(
        fleet.leader.desired_shard_scope(Time(fleet.now)),
        Some(true)
    );
    fleet.leader.rewriting_shard_scope(7, true);
    fleet.leader.shard_scope_read(7, true);
    fleet.run(500);
    assert_eq!(
        fleet.owned_by_all(),
        0,
        "a narrowing of the scope may be in progress"
    );
    fleet.leader.shard_scope_read(8, true);
    fleet.run(500);
    assert_eq!(fleet.owned_by_all(), usize::from(SHARD_COUNT));
    assert_eq!(fleet.leader.desired_shard_scope(Time(fleet.now)), None);
}

#[test]
fn nodes_of_other_services_release_shards_before_the_store_is_updated() {
    let mut fleet = fleet_with_keyed_service(true);
    for lost in [1, 2] {
        fleet.holders.remove(&lost);
    }
    fleet.run(12_000);
    assert_eq!(fleet.owned_by_all(), usize::from(SHARD_COUNT));
    fleet.holders.insert(1, ShardHolder::default());
    fleet.run(100);
    assert_eq!(fleet.leader.desired_shard_scope(Time(fleet.now)), None);
    fleet.run(1_000);
    assert_eq!(fleet.owned(1), usize::from(SHARD_COUNT));
    assert_eq!(
        fleet.leader.desired_shard_scope(Time(fleet.now)),
        Some(false)
    );
}

#[test]
fn a_leader_waits_for_silent_nodes_of_all_services_that_may_own_shards() {
    let mut fleet = fleet_with_keyed_service(true);
    fleet.holders.remove(&3);
    fleet.run(1_000);
    assert_eq!(fleet.owned_by_all(), 0);
    let mut fleet = fleet_with_keyed_service(false);
    fleet.holders.remove(&3);
    fleet.run(1_000);
    assert_eq!(fleet.owned_by_all(), usize::from(SHARD_COUNT));
}
