//! What goes wrong, drawn from a seed; an operator who mends the membership; and the proof of
//! progress after everything is healed.

use rand::RngExt;
use rand::seq::IndexedRandom;
use wingspar_consensus::{Counters, MembershipChange, Replica, Role};
use wingspar_world::NodeId;

use super::checker::Verdict;
use super::cluster::{ALLOWED_DRIFT_PPM, Cluster};
use super::ledger::{Ledger, node};
use super::network::Forgery;

const MILLISECOND: u64 = 1_000;
const MAX_KILLS: u64 = 6;

/// One run, wholly decided by its values.
#[derive(Clone)]
pub struct Scenario {
    pub seed: u64,
    pub voters: u64,
    /// Length of the troubles in milliseconds.
    pub trouble_ms: u64,
    pub forgery: Forgery,
    pub drift_ppm: i64,
    /// Killed nodes come back at once under their old id without their memory.
    pub amnesia: bool,
    /// Whether every message is encoded and decoded on its way.
    pub through_cbor: bool,
}

impl Scenario {
    pub fn sound(seed: u64) -> Self {
        Self {
            seed,
            voters: if seed.is_multiple_of(3) { 5 } else { 3 },
            trouble_ms: 20_000,
            forgery: Forgery::None,
            drift_ppm: ALLOWED_DRIFT_PPM,
            amnesia: false,
            through_cbor: false,
        }
    }

    /// Runs the troubles, heals, and demands progress.
    pub fn run(&self) -> Result<Counters, String> {
        let mut cluster = Cluster::new(self.seed, self.voters, self.forgery, self.drift_ppm);
        cluster.network.through_cbor = self.through_cbor;
        let mut run = Run {
            cluster,
            scenario: self.clone(),
            incarnations: 0,
            busy: 0.0,
            kills: 0,
        };
        run.troubles()
            .and_then(|()| run.recovery())
            .map_err(|error| format!("seed {}: {error}", self.seed))?;
        Ok(run.totals())
    }
}

struct Run {
    cluster: Cluster,
    scenario: Scenario,
    incarnations: u64,
    /// Chance that a leader is given commands at a step of the troubles.
    busy: f64,
    kills: u64,
}

impl Run {
    fn troubles(&mut self) -> Verdict {
        let random = &mut self.cluster.random;
        self.cluster.network.loss = *[0.0, 0.02, 0.1, 0.3].choose(random).expect("not empty");
        self.cluster.network.duplication = *[0.0, 0.1].choose(random).expect("not empty");
        self.cluster.network.slow = *[0.0, 0.01, 0.1, 0.3].choose(random).expect("not empty");
        self.busy = *[0.01, 0.1, 0.9].choose(random).expect("not empty");
        let end = self.scenario.trouble_ms * MILLISECOND;
        while self.cluster.now < end {
            let pause = self.cluster.random.random_range(1..60) * MILLISECOND;
            self.cluster.run_until(self.cluster.now + pause)?;
            if self.cluster.random.random_bool(self.busy) {
                self.propose()?;
            }
            match self.cluster.random.random_range(0..250) {
                0..4 => self.cut(false),
                4..8 => self.cut(true),
                8..10 => self.isolate(),
                10..24 => self.cluster.network.cuts.clear(),
                24..27 => self.pause(),
                27..29 => self.kill(),
                29..32 => self.transfer()?,
                32..80 => self.operate(true)?,
                _ => {}
            }
        }
        Ok(())
    }

    /// Everything works again: within 12 s one leader holds a lease, the membership is mended, and
    /// a new command reaches every member.
    fn recovery(&mut self) -> Verdict {
        self.cluster.network.heal();
        for node in self.cluster.nodes.values_mut() {
            node.paused_until = node.paused_until.min(self.cluster.now);
        }
        for _ in 0..100 {
            self.cluster
                .run_until(self.cluster.now + 100 * MILLISECOND)?;
            self.operate(false)?;
        }
        let leaders = self.cluster.leaders();
        let [leader] = leaders.as_slice() else {
            return Err(format!("no progress: leaders {leaders:?}"));
        };
        let mut proposed = None;
        self.cluster.step(leader, |replica, now, _| {
            proposed = replica.propose(now, u64::MAX).ok();
        })?;
        let position = proposed.ok_or("no progress: the command is refused")?;
        self.cluster
            .run_until(self.cluster.now + 2_000 * MILLISECOND)?;
        self.check_settled(leader, position.index)
    }

    fn check_settled(&self, leader: &NodeId, index: u64) -> Verdict {
        let replica = self.cluster.replica(leader);
        if !self.cluster.nodes[leader].holds_lease(self.cluster.now) {
            return Err(format!("no progress: {leader} holds no lease"));
        }
        if replica.voters().len() as u64 != self.scenario.voters {
            return Err(format!("no progress: voters {:?}", replica.voters()));
        }
        for voter in replica.voters() {
            let member = self.cluster.replica(voter);
            if !self.cluster.nodes[voter].alive || member.applied_index() < index {
                return Err(format!("no progress: {voter} lacks entry {index}"));
            }
        }
        Ok(())
    }

    fn totals(&self) -> Counters {
        let mut totals = Counters::default();
        for node in self.cluster.nodes.values() {
            let counters = node.replica.counters();
            totals.elections_won += counters.elections_won;
            totals.quorum_losses += counters.quorum_losses;
            totals.transfers += counters.transfers;
            totals.snapshots_installed += counters.snapshots_installed;
            totals.entries_truncated += counters.entries_truncated;
            totals.refused_for_lease += counters.refused_for_lease;
            totals.excluded_sender += counters.excluded_sender;
            totals.malformed += counters.malformed;
        }
        totals
    }

    /// A running voter, every other time a leader if there is one.
    fn any_running(&mut self) -> Option<NodeId> {
        let leader = self.cluster.leaders().pop();
        if leader.is_some() && self.cluster.random.random() {
            return leader;
        }
        let running = self.cluster.nodes.iter();
        let running = running.filter(|(_, node)| node.runs(self.cluster.now));
        let idle = [Role::Learner, Role::Removed];
        let running = running.filter(|(_, node)| !idle.contains(&node.replica.role()));
        let ids: Vec<NodeId> = running.map(|(id, _)| id.clone()).collect();
        ids.choose(&mut self.cluster.random).cloned()
    }

    fn propose(&mut self) -> Verdict {
        for leader in self.cluster.leaders() {
            let count = self.cluster.random.random_range(0..4);
            let command = self.cluster.random.random();
            self.cluster.step(&leader, |replica, now, _| {
                for _ in 0..count {
                    let _ = replica.propose(now, command);
                }
            })?;
        }
        Ok(())
    }

    fn cut(&mut self, both_ways: bool) {
        let (Some(from), Some(to)) = (self.any_running(), self.any_running()) else {
            return;
        };
        let cuts = &mut self.cluster.network.cuts;
        if both_ways {
            cuts.insert((to.clone(), from.clone()));
        }
        cuts.insert((from, to));
    }

    fn isolate(&mut self) {
        let Some(lonely) = self.any_running() else {
            return;
        };
        let others: Vec<NodeId> = self.cluster.nodes.keys().cloned().collect();
        for other in others {
            let cuts = &mut self.cluster.network.cuts;
            cuts.insert((lonely.clone(), other.clone()));
            cuts.insert((other, lonely.clone()));
        }
    }

    fn pause(&mut self) {
        let length = self.cluster.random.random_range(50..3_000) * MILLISECOND;
        let until = self.cluster.now + length;
        if let Some(id) = self.any_running() {
            let node = self.cluster.nodes.get_mut(&id).expect("a known node");
            node.paused_until = until;
        }
    }

    fn kill(&mut self) {
        let Some(victim) = self.any_running() else {
            return;
        };
        if self.scenario.amnesia {
            if self.cluster.replica(&victim).voters().contains(&victim) {
                self.cluster.start_member(victim, self.scenario.voters);
            }
            return;
        }
        if self.kills >= MAX_KILLS || !self.survives_without(&victim) {
            return;
        }
        self.kills += 1;
        self.cluster
            .nodes
            .get_mut(&victim)
            .expect("a known node")
            .alive = false;
    }

    /// Whether every membership anyone goes by keeps a living majority.
    fn survives_without(&self, victim: &NodeId) -> bool {
        let is_left = |id: &&NodeId| *id != victim && self.cluster.nodes[*id].alive;
        let mut nodes = self.cluster.nodes.values().filter(|node| node.alive);
        nodes.all(|node| {
            let (_, committed, _) = node.replica.export_snapshot();
            let memberships = [node.replica.voters(), &committed];
            let mut memberships = memberships.into_iter().filter(|voters| !voters.is_empty());
            memberships.all(|voters| voters.iter().filter(is_left).count() > voters.len() / 2)
        })
    }

    fn transfer(&mut self) -> Verdict {
        let wanted = self.any_running();
        let wanted = wanted.filter(|_| self.cluster.random.random());
        for leader in self.cluster.leaders() {
            let wanted = wanted.clone();
            self.cluster.step(&leader, |replica, now, out| {
                replica.transfer_leadership(now, wanted, out);
            })?;
        }
        Ok(())
    }

    /// Proposes at every leader the next change towards a full set of living voters.
    fn operate(&mut self, restless: bool) -> Verdict {
        for leader in self.cluster.leaders() {
            let spare = self.spare();
            let restless = restless && self.cluster.random.random_bool(0.1);
            let replica = self.cluster.replica(&leader);
            let Some(change) = self.next_change(replica, spare, restless) else {
                continue;
            };
            self.cluster.step(&leader, |replica, now, _| {
                let _ = replica.propose_membership(now, change);
            })?;
        }
        Ok(())
    }

    /// A living learner that was never added, started if there is none.
    fn spare(&mut self) -> NodeId {
        let mut nodes = self.cluster.nodes.values();
        let idle = nodes.find(|node| {
            let replica = &node.replica;
            node.alive && replica.role() == Role::Learner && replica.commit_index() == 0
        });
        if let Some(node) = idle {
            return node.replica.id().clone();
        }
        self.incarnations += 1;
        let id = node(self.incarnations % self.scenario.voters, self.incarnations);
        self.cluster.start_learner(id.clone());
        id
    }

    fn next_change(
        &self,
        replica: &Replica<Ledger>,
        spare: NodeId,
        restless: bool,
    ) -> Option<MembershipChange> {
        let is_dead = |id: &&NodeId| !self.cluster.nodes[*id].alive;
        let (voters, learners) = (replica.voters(), replica.learners());
        let wanted = self.scenario.voters as usize;
        if let Some(learner) = learners.iter().next() {
            let dead = is_dead(&learner);
            let learner = learner.clone();
            return Some(match dead {
                true => MembershipChange::Remove(learner),
                false => MembershipChange::Promote(learner),
            });
        }
        let dead = voters.iter().find(is_dead);
        let surplus = (voters.len() > wanted)
            .then(|| voters.iter().next())
            .flatten();
        let removed = if voters.len() > wanted || restless {
            dead.or(surplus)
        } else {
            None
        };
        if let Some(removed) = removed {
            return Some(MembershipChange::Remove(removed.clone()));
        }
        let short = voters.len() < wanted || dead.is_some() || restless;
        short.then_some(MembershipChange::AddLearner(spare))
    }
}
