//! Single mechanisms, one situation each.

mod support;

use std::collections::BTreeSet;

use support::chaos::Scenario;
use support::cluster::{ALLOWED_DRIFT_PPM, Cluster, GENERATION, GROUP, config};
use support::ledger::{Ledger, node, nodes};
use support::network::Forgery;
use wingspar_consensus::{
    AppendOutcome, Body, Entry, EntryId, LogPosition, MembershipChange, MembershipError, Message,
    Output, Payload, ProposeError, Replica, Role,
};
use wingspar_world::{GroupId, MonotonicTime, NodeId};

const SECOND: u64 = 1_000_000;

fn settled(voters: u64) -> (Cluster, NodeId) {
    let mut cluster = Cluster::new(1, voters, Forgery::None, 0);
    cluster.run_until(3 * SECOND).expect("a sound run");
    let leader = cluster.leaders().pop().expect("a leader");
    assert!(cluster.nodes[&leader].holds_lease(cluster.now));
    (cluster, leader)
}

fn run(cluster: &mut Cluster, micros: u64) {
    let end = cluster.now + micros;
    cluster.run_until(end).expect("a sound run");
}

fn change(
    cluster: &mut Cluster,
    leader: &NodeId,
    change: MembershipChange,
) -> Result<LogPosition, ProposeError> {
    let mut result = None;
    let propose = |replica: &mut Replica<Ledger>, now, _: &mut _| {
        result = Some(replica.propose_membership(now, change));
    };
    cluster.step(leader, propose).expect("a sound step");
    result.expect("the step ran")
}

fn member(id: NodeId, voters: BTreeSet<NodeId>) -> Replica<Ledger> {
    let (state, now) = (Ledger::default(), MonotonicTime::ZERO);
    Replica::new_member(id, GROUP, GENERATION, voters, state, config(), 1, now)
}

fn message(to: NodeId, body: Body<u64, Ledger>) -> Message<u64, Ledger> {
    let origin = LogPosition {
        generation: GENERATION,
        ..LogPosition::default()
    };
    Message {
        group: GROUP,
        generation: GENERATION,
        origin: Some(origin),
        to,
        term: 1,
        membership_at: EntryId::default(),
        body,
    }
}

#[test]
fn a_killed_leader_is_replaced_in_time() {
    let mut gaps: Vec<u64> = (0..300).map(gap_after_kill).collect();
    gaps.sort_unstable();
    let (median, longest) = (gaps[gaps.len() / 2], gaps[gaps.len() - 1]);
    println!("from kill to the next lease: median {median} us, longest {longest} us");
    assert!(longest < 2 * SECOND);
}

fn gap_after_kill(seed: u64) -> u64 {
    let mut cluster = Cluster::new(seed, 3, Forgery::None, ALLOWED_DRIFT_PPM);
    run(&mut cluster, 4 * SECOND);
    let leader = cluster.leaders().pop().expect("a leader");
    let killed = cluster.now;
    cluster.nodes.get_mut(&leader).expect("known").alive = false;
    while cluster.now < killed + 20 * SECOND {
        run(&mut cluster, 1_000);
        let mut nodes = cluster.nodes.values();
        if nodes.any(|node| node.alive && node.holds_lease(cluster.now)) {
            return cluster.now - killed;
        }
    }
    panic!("seed {seed}: nobody took over");
}

#[test]
fn every_message_survives_cbor() {
    for seed in 0..20 {
        let scenario = Scenario {
            through_cbor: true,
            ..Scenario::sound(seed)
        };
        scenario.run().expect("a sound run");
    }
}

#[test]
fn a_promoted_learner_votes_before_it_knows_of_its_promotion() {
    let (mut cluster, leader) = settled(2);
    let learner = node(2, 1);
    cluster.start_learner(learner.clone());
    let promote = MembershipChange::Promote(learner.clone());
    let refused = change(&mut cluster, &leader, promote.clone());
    let not_learner = MembershipError::NotLearner(learner.clone());
    assert_eq!(refused, Err(ProposeError::Membership(not_learner)));
    let add = MembershipChange::AddLearner(learner.clone());
    change(&mut cluster, &leader, add).expect("accepted");
    run(&mut cluster, SECOND);
    cluster
        .network
        .cuts
        .insert((leader.clone(), learner.clone()));
    change(&mut cluster, &leader, promote).expect("accepted");
    run(&mut cluster, SECOND / 5);
    assert!(
        cluster
            .replica(&leader)
            .export_snapshot()
            .1
            .contains(&learner)
    );
    assert_eq!(cluster.replica(&learner).role(), Role::Learner);
    cluster.nodes.get_mut(&leader).expect("known").alive = false;
    run(&mut cluster, 3 * SECOND);
    let next = cluster
        .leaders()
        .pop()
        .expect("a leader with the learner's vote");
    assert_ne!(next, learner);
    assert!(cluster.nodes[&next].holds_lease(cluster.now));
    assert_eq!(cluster.replica(&learner).role(), Role::Follower);
}

#[test]
fn a_lagging_learner_is_not_promoted_and_changes_go_one_at_a_time() {
    let (mut cluster, leader) = settled(3);
    let learner = node(3, 1);
    let add = MembershipChange::AddLearner(learner.clone());
    change(&mut cluster, &leader, add.clone()).expect("accepted");
    let second = change(
        &mut cluster,
        &leader,
        MembershipChange::Remove(leader.clone()),
    );
    assert_eq!(second, Err(ProposeError::ChangingMembership));
    run(&mut cluster, SECOND);
    let early = change(&mut cluster, &leader, MembershipChange::Promote(learner));
    assert!(matches!(
        early,
        Err(ProposeError::LearnerBehind { matched: 0, .. })
    ));
    let follower = nodes(3)
        .into_iter()
        .find(|id| *id != leader)
        .expect("a follower");
    let elsewhere = change(&mut cluster, &follower, add);
    assert_eq!(
        elsewhere,
        Err(ProposeError::NotLeader { hint: Some(leader) })
    );
}

#[test]
fn a_removed_leader_says_so_and_is_succeeded() {
    let (mut cluster, leader) = settled(3);
    change(
        &mut cluster,
        &leader,
        MembershipChange::Remove(leader.clone()),
    )
    .expect("accepted");
    run(&mut cluster, 3 * SECOND);
    assert_eq!(cluster.replica(&leader).role(), Role::Removed);
    assert_eq!(cluster.replica(&leader).next_wake(), MonotonicTime::MAX);
    let next = cluster.leaders().pop().expect("a successor");
    assert!(!cluster.replica(&next).voters().contains(&leader));
}

#[test]
fn a_transfer_gives_the_lease_up_first_and_a_late_order_to_stand_does_no_harm() {
    let (mut cluster, leader) = settled(3);
    let mut order = None;
    cluster.network.loss = 1.0;
    cluster
        .step(&leader, |replica, now, out| {
            replica.transfer_leadership(now, None, out);
            assert_eq!(replica.leader_lease_until(), None);
            assert!(matches!(out[0], Output::SteppedDown { .. }));
            let Output::Send { to, message } = &out[1] else {
                panic!("no order sent: {out:?}");
            };
            assert_eq!(message.body, Body::TimeoutNow);
            order = Some((to.clone(), message.clone()));
        })
        .expect("a sound step");
    cluster.network.loss = 0.0;
    run(&mut cluster, 3 * SECOND);
    let next = cluster.leaders();
    let (target, order) = order.expect("an order");
    cluster
        .network
        .deliver_at(cluster.now, (leader, target, order));
    run(&mut cluster, 2 * SECOND);
    assert_eq!(cluster.leaders(), next);
}

#[test]
fn a_leader_that_slept_holds_no_lease_and_steps_down() {
    let (mut cluster, leader) = settled(3);
    let wake = cluster.now + SECOND;
    cluster.nodes.get_mut(&leader).expect("known").paused_until = wake;
    cluster.run_until(wake - 1).expect("a sound run");
    assert_eq!(cluster.replica(&leader).role(), Role::Leader);
    assert!(!cluster.nodes[&leader].holds_lease(wake));
    cluster.step(&leader, Replica::tick).expect("a sound step");
    assert_eq!(cluster.replica(&leader).role(), Role::Follower);
}

#[test]
fn foreign_messages_are_refused_and_counted() {
    let (me, peer, stranger) = (node(0, 0), node(1, 0), node(9, 0));
    let mut replica = member(me.clone(), nodes(3));
    let last = EntryId { term: 9, index: 9 };
    let good = message(
        me,
        Body::Vote {
            last,
            transfer: true,
        },
    );
    let mut group = good.clone();
    group.group = GroupId(8);
    let mut generation = good.clone();
    generation.generation -= 1;
    let mut recipient = good.clone();
    recipient.to = node(0, 1);
    let mut origin = good.clone();
    origin.origin = Some(LogPosition::default());
    let mut term = good.clone();
    term.term = u64::MAX;
    let mut answer = good.clone();
    answer.body = Body::VoteResponse { granted: true };
    answer.membership_at.index = 1;
    let mut out = Vec::new();
    for foreign in [group, generation, recipient, origin, term] {
        replica.receive(MonotonicTime::ZERO, peer.clone(), foreign, &mut out);
    }
    replica.receive(MonotonicTime::ZERO, stranger.clone(), answer, &mut out);
    assert!(out.is_empty(), "{out:?}");
    replica.receive(MonotonicTime::ZERO, stranger, good.clone(), &mut out);
    assert_eq!(replica.term(), 0);
    let counters = *replica.counters();
    let counts = [
        counters.wrong_group,
        counters.wrong_generation,
        counters.wrong_recipient,
        counters.wrong_origin,
        counters.malformed,
        counters.unknown_sender,
        counters.excluded_sender,
    ];
    assert_eq!(counts, [1; 7]);
    replica.receive(MonotonicTime::ZERO, peer, good, &mut out);
    assert_eq!(replica.term(), 1);
}

#[test]
fn absurd_content_breaks_nothing() {
    let (huge, now) = (u64::MAX, MonotonicTime::MAX);
    let last = EntryId {
        term: huge,
        index: huge,
    };
    let (mut cluster, leader) = settled(3);
    let term = cluster.replica(&leader).term();
    let bodies = [
        Body::PreVote {
            next_term: huge,
            last,
        },
        Body::PreVoteResponse {
            next_term: huge,
            granted: true,
        },
        Body::Append {
            previous: last,
            entries: Vec::new(),
            commit: huge,
            sent_at: now,
        },
        Body::AppendResponse {
            outcome: AppendOutcome::Accepted { matched: 0 },
            echo: now,
        },
        Body::AppendResponse {
            outcome: AppendOutcome::Rejected {
                previous_index: huge,
                hint: huge,
            },
            echo: now,
        },
        Body::Heartbeat {
            commit: huge,
            sent_at: now,
        },
        Body::HeartbeatResponse { echo: now },
        Body::NotMember { excluded_at: last },
        Body::TimeoutNow,
    ];
    for receiver in nodes(3) {
        for sender in nodes(3) {
            for body in bodies.clone() {
                let mut message = message(receiver.clone(), body);
                message.term = term;
                let sender = sender.clone();
                cluster
                    .step(&receiver, |it, now, out| {
                        it.receive(now, sender, message, out)
                    })
                    .expect("a sound step");
            }
        }
    }
}

#[test]
fn a_generation_goes_on_from_a_stored_snapshot() {
    let (mut cluster, leader) = settled(1);
    let propose = |replica: &mut Replica<Ledger>, now, _: &mut _| {
        replica.propose(now, 5).expect("accepted");
    };
    cluster.step(&leader, propose).expect("a sound step");
    run(&mut cluster, 1);
    let (position, voters, snapshot) = cluster.replica(&leader).export_snapshot();
    assert_eq!((position.index, snapshot.count), (2, 1));
    let start = |position, id: NodeId| {
        let (state, now, voters) = (Ledger::default(), MonotonicTime::ZERO, voters.clone());
        let (next, snapshot) = (GENERATION + 1, snapshot.clone());
        Replica::new_from_snapshot(
            id,
            GROUP,
            next,
            voters,
            position,
            snapshot,
            state,
            config(),
            1,
            now,
        )
    };
    let mut out = Vec::new();
    let mut replica = start(position, leader.clone());
    replica.tick(MonotonicTime::from_millis(1_000), &mut out);
    assert_eq!((replica.role(), replica.commit_index()), (Role::Leader, 3));
    assert_eq!(replica.state(), &snapshot);
    assert!(replica.applied_position() > position);
    assert_eq!(
        replica.log().get(3).map(|it| &it.payload),
        Some(&Payload::Noop)
    );
}

#[test]
fn a_new_leader_waits_for_an_entry_of_its_own_term() {
    let (me, peer) = (node(0, 0), node(1, 0));
    let mut replica = member(me.clone(), nodes(3));
    let mut out = Vec::new();
    let mut hear = |replica: &mut Replica<Ledger>, term, millis, body| {
        let mut message = message(me.clone(), body);
        message.term = term;
        let now = MonotonicTime::from_millis(millis);
        replica.receive(now, peer.clone(), message, &mut out);
    };
    replica.tick(MonotonicTime::from_millis(1_000), &mut Vec::new());
    let (next_term, granted) = (1, true);
    hear(
        &mut replica,
        0,
        1_001,
        Body::PreVoteResponse { next_term, granted },
    );
    hear(&mut replica, 1, 1_002, Body::VoteResponse { granted });
    assert_eq!(replica.role(), Role::Leader);
    let echo = MonotonicTime::from_millis(1_002);
    hear(&mut replica, 1, 1_010, Body::HeartbeatResponse { echo });
    assert_eq!(replica.leader_lease_until(), None);
    let now = MonotonicTime::from_millis(1_011);
    let add = MembershipChange::AddLearner(node(5, 0));
    let early = replica.propose_membership(now, add.clone());
    assert_eq!(early, Err(ProposeError::NotReady));
    let outcome = AppendOutcome::Accepted { matched: 1 };
    hear(
        &mut replica,
        1,
        1_020,
        Body::AppendResponse { outcome, echo },
    );
    // Send time of the round acknowledged, plus 600 ms, less 100 ms of drift.
    let lease = MonotonicTime::from_millis(1_502);
    assert_eq!(replica.leader_lease_until(), Some(lease));
    assert!(replica.propose_membership(now, add).is_ok());
}

#[test]
fn a_follower_commits_no_further_than_its_log_is_known_to_be_equal() {
    let (me, leader) = (node(0, 0), node(1, 0));
    let mut replica = member(me.clone(), nodes(3));
    let mut append = |term, sender: &NodeId, entries, commit| {
        let (previous, sent_at) = (EntryId::default(), MonotonicTime::ZERO);
        let body = Body::Append {
            previous,
            entries,
            commit,
            sent_at,
        };
        let mut message = message(me.clone(), body);
        message.term = term;
        replica.receive(
            MonotonicTime::ZERO,
            sender.clone(),
            message,
            &mut Vec::new(),
        );
        replica.commit_index()
    };
    let entry = |index| Entry {
        id: EntryId { term: 1, index },
        payload: Payload::Command(index),
    };
    assert_eq!(append(1, &leader, vec![entry(1), entry(2)], 0), 0);
    assert_eq!(append(2, &node(2, 0), vec![entry(1)], 2), 1);
}

#[test]
fn a_replica_that_missed_its_removal_learns_of_it_and_disturbs_nobody() {
    let (mut cluster, leader) = settled(3);
    let (term, lost) = (cluster.replica(&leader).term(), node(0, 0));
    let lost = if lost == leader { node(1, 0) } else { lost };
    for other in nodes(3) {
        cluster.network.cuts.insert((other, lost.clone()));
    }
    change(
        &mut cluster,
        &leader,
        MembershipChange::Remove(lost.clone()),
    )
    .expect("accepted");
    run(&mut cluster, 3 * SECOND);
    assert_eq!(cluster.replica(&lost).role(), Role::PreCandidate);
    cluster.network.heal();
    run(&mut cluster, 3 * SECOND);
    assert_eq!(cluster.replica(&lost).role(), Role::Removed);
    assert_eq!(
        (cluster.leaders(), cluster.replica(&leader).term()),
        (vec![leader], term)
    );
}
