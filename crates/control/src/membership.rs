//! Replacement of voters that are lost or leave.
//!
//! The store's object of the group must never name fewer possible voter sets than there may be,
//! because the proof that a majority is dead rests on it (see `docs/design/generations.md`). So a
//! change of voters is recorded there before it is proposed, and cleared after it is committed.

use std::collections::{BTreeMap, BTreeSet};

use wingspar_consensus::{MembershipChange, Replica};
use wingspar_store::object::Version;
use wingspar_store::{Answer, WriteOutcome};
use wingspar_world::{Machine, MonotonicTime, NodeId};

use crate::candidates::PRESENT_FOR;
use crate::command::Command;
use crate::group_object::{GroupObject, Member, RecordedChange};
use crate::store_io::Purpose;
use crate::{Control, Output};

/// The leader's progress with a change of members.
#[derive(Debug, Default)]
pub(crate) struct MemberPlan {
    /// The spare whose id is being noted before it is added.
    pub(crate) invited: Option<NodeId>,
    /// The object being written.
    recording: Option<GroupObject>,
    /// Version that this leader itself wrote; another leader's late write makes it a conflict.
    recorded: Option<Version>,
    /// When each other member was first one under this leader.
    first_seen: BTreeMap<NodeId, MonotonicTime>,
    /// Since when the voters could be spread better over zones, with nothing else to change.
    pub(crate) uneven_since: Option<MonotonicTime>,
    /// When to look again.
    next: MonotonicTime,
    writes: u64,
}

impl Control {
    /// Takes the next step of a change of members, if one is due.
    pub(crate) fn tend_members(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let pause = self.settings.presence_interval;
        let Some(leading) = &mut self.leading else {
            return;
        };
        if now < leading.members.next || leading.members.recording.is_some() {
            return;
        }
        leading.members.next = now + pause;
        self.note_members();
        if !self.membership_is_committed() || self.remove_lost_learner() {
            return;
        }
        let Some((_, object)) = self.group.object.clone() else {
            self.read_group(out);
            return;
        };
        if object.generation != self.group.generation {
            self.read_group(out);
            return;
        }
        match &object.change {
            Some(change) if self.is_recorded() => self.carry_on(change, out),
            Some(_) => self.record(None, out),
            None => self.begin_change(&object, out),
        }
    }

    fn note_members(&mut self) {
        let (Some(replica), Some(leading)) = (&self.replica, &mut self.leading) else {
            return;
        };
        let members: BTreeSet<&NodeId> = replica.voters().union(replica.learners()).collect();
        let first_seen = &mut leading.members.first_seen;
        first_seen.retain(|node, _| members.contains(node));
        for node in members {
            first_seen.entry(node.clone()).or_insert(self.now);
        }
    }

    /// Whether the membership in force is committed, so that no other can be.
    fn membership_is_committed(&self) -> bool {
        let Some(replica) = &self.replica else {
            return false;
        };
        let committed = self.group.committed.as_ref();
        committed.is_some_and(|(voters, learners)| {
            voters == replica.voters() && learners == replica.learners()
        })
    }

    fn is_recorded(&self) -> bool {
        let recorded = self.leading.as_ref().and_then(|it| it.members.recorded);
        let current = self.group.object.as_ref().map(|(version, _)| *version);
        recorded.is_some() && recorded == current
    }

    /// Carries a recorded change out: a lost voter goes before the new one joins, because it only
    /// makes majorities larger; one that leaves in order goes after.
    fn carry_on(&mut self, change: &RecordedChange, out: &mut Vec<Output>) {
        let Some(replica) = &self.replica else {
            return;
        };
        let (voters, learners) = (replica.voters(), replica.learners());
        let removing = change
            .removing
            .as_ref()
            .filter(|node| voters.contains(*node));
        if let Some(node) = removing.filter(|node| self.silence(node) >= PRESENT_FOR)
            && self.can_lose(node)
        {
            self.change_members(MembershipChange::Remove(node.clone()));
            return;
        }
        let adding = change.adding.as_ref().map(|member| &member.node);
        let joins = adding.filter(|node| !voters.contains(*node));
        if let Some(node) = joins {
            if learners.contains(node) {
                self.change_members(MembershipChange::Promote(node.clone()));
            } else {
                self.record(None, out);
            }
            return;
        }
        match removing {
            Some(node) if self.can_lose(node) => {
                self.change_members(MembershipChange::Remove(node.clone()));
            }
            _ => self.record(None, out),
        }
    }

    /// Decides on a change, or brings the record in line with what is committed.
    fn begin_change(&mut self, object: &GroupObject, out: &mut Vec<Output>) {
        let Some(replica) = &self.replica else {
            return;
        };
        let voters = replica.voters().clone();
        let learner = replica.learners().iter().next().cloned();
        let short = voters.len() < self.settings.replicas;
        let needed = self.voter_to_remove(&voters);
        let crowded = self.crowded_voter(needed.is_some() || short);
        if crowded.is_some() && self.drop_learner_of_no_use(crowded.as_ref()) {
            return;
        }
        let removing = needed.or(crowded);
        if removing.is_some() || short {
            let Some(learner) = learner else {
                self.invite_spare_or_shrink(removing, out);
                return;
            };
            if self.is_caught_up(&learner) {
                self.record_change(Some(&learner), removing, out);
            }
            return;
        }
        // A learner that is not needed any more stays: it is at hand for the next loss.
        if object.voter_ids() != voters {
            self.record(None, out);
        }
    }

    /// Without a spare, a voter that leaves goes if the others can do without it.
    fn invite_spare_or_shrink(&mut self, removing: Option<NodeId>, out: &mut Vec<Output>) {
        if let Some(spare) = self.best_spare(removing.as_ref()) {
            self.invite(spare);
            return;
        }
        let leaving = removing.filter(|node| self.is_leaving(node) && self.can_lose(node));
        if leaving.is_some() {
            self.record_change(None, leaving, out);
        }
    }

    /// Adds a spare as a learner, once it is noted that its id is used up: a process that was ever
    /// removed finds that in the log and would stay silent under the same id.
    fn invite(&mut self, spare: NodeId) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let members = self
            .replica
            .as_ref()
            .map(|replica| replica.state().members());
        let noted = members.is_some_and(|members| members.contains(&spare));
        if leading.members.invited.as_ref() == Some(&spare) && noted {
            self.change_members(MembershipChange::AddLearner(spare));
        } else if !noted {
            leading.members.invited = Some(spare.clone());
            self.propose(Command::RecordMember { node: spare });
        }
    }

    fn voter_to_remove(&self, voters: &BTreeSet<NodeId>) -> Option<NodeId> {
        let others = voters.iter().filter(|node| **node != self.node);
        let gone = |node: &&NodeId| self.is_lost(node) || self.is_leaving(node);
        others.into_iter().find(gone).cloned()
    }

    fn is_leaving(&self, node: &NodeId) -> bool {
        self.candidates
            .get(node)
            .is_some_and(|candidate| candidate.leaving)
    }

    /// Whether a member has been silent for long, or for a moment while its machine runs another
    /// process or is gone. A wrong guess costs a replacement, never safety.
    fn is_lost(&self, node: &NodeId) -> bool {
        let silence = self.silence(node);
        let successor = self.address_of(node).and_then(|address| {
            let (other, candidate) = self.candidates.at_address(address)?;
            let lately = self.now.since(candidate.heard_at) < PRESENT_FOR;
            (lately && other != node && other.machine == node.machine).then_some(())
        });
        let destroyed = self.recovery.destroyed.contains(node.machine.as_str());
        let proved = successor.is_some() || destroyed;
        silence >= self.settings.replace_after || proved && silence >= PRESENT_FOR / 2
    }

    /// Time since a member acknowledged anything.
    fn silence(&self, node: &NodeId) -> std::time::Duration {
        let first_seen = self.leading.as_ref().map(|it| &it.members.first_seen);
        let since = first_seen
            .and_then(|it| it.get(node))
            .copied()
            .unwrap_or(self.now);
        let peers = self
            .replica
            .as_ref()
            .map(Replica::peers)
            .unwrap_or_default();
        let peer = peers.iter().find(|peer| peer.id == *node);
        let acknowledged = peer.and_then(|peer| peer.acknowledged);
        self.now.since(acknowledged.unwrap_or(since).max(since))
    }

    /// Whether the voters without this one have a majority in touch.
    fn can_lose(&self, node: &NodeId) -> bool {
        let Some(replica) = &self.replica else {
            return false;
        };
        let rest: Vec<&NodeId> = replica.voters().iter().filter(|it| *it != node).collect();
        let live = rest.iter().filter(|it| self.is_in_touch(it)).count();
        live > rest.len() / 2
    }

    pub(crate) fn is_in_touch(&self, node: &NodeId) -> bool {
        *node == self.node || self.silence(node) < PRESENT_FOR / 2
    }

    fn is_caught_up(&self, learner: &NodeId) -> bool {
        let Some(replica) = &self.replica else {
            return false;
        };
        let lag = replica.config().promotion_lag_entries;
        let last = replica.log().last().index;
        let peers = replica.peers();
        let peer = peers.iter().find(|peer| peer.id == *learner);
        peer.is_some_and(|peer| peer.matched > 0 && last - peer.matched <= lag)
    }

    /// A learner that went away is dropped; another is invited.
    fn remove_lost_learner(&mut self) -> bool {
        let learners = self.replica.as_ref().map(|it| it.learners().clone());
        let lost = learners
            .unwrap_or_default()
            .into_iter()
            .find(|node| self.is_leaving(node) || self.is_lost(node));
        let Some(node) = lost else {
            return false;
        };
        self.drop_learner(node)
    }

    pub(crate) fn drop_learner(&mut self, node: NodeId) -> bool {
        if let Some(leading) = &mut self.leading {
            leading.members.invited = None;
        }
        self.change_members(MembershipChange::Remove(node))
    }

    /// Where a member or candidate stands.
    pub(crate) fn machine_of(&self, node: &NodeId) -> Option<Machine> {
        if *node == self.node {
            return Some(self.machine.clone());
        }
        let listed = self.group.member(node).map(|member| member.machine.clone());
        listed.or_else(|| self.candidates.get(node).map(|it| it.machine.clone()))
    }

    fn change_members(&mut self, change: MembershipChange) -> bool {
        let Some(replica) = &mut self.replica else {
            return false;
        };
        let proposed = replica.propose_membership(self.now, change);
        self.proposed |= proposed.is_ok();
        proposed.is_ok()
    }

    fn record_change(
        &mut self,
        adding: Option<&NodeId>,
        removing: Option<NodeId>,
        out: &mut Vec<Output>,
    ) {
        let member = adding.map(|node| self.member_record(node));
        if let Some(None) = member {
            return;
        }
        let adding = member.flatten();
        self.record(Some(RecordedChange { adding, removing }), out);
    }

    fn member_record(&self, node: &NodeId) -> Option<Member> {
        let machine = self.machine_of(node)?;
        let node = node.clone();
        Some(Member { node, machine })
    }

    /// Writes the committed voters and an intended change to the store.
    fn record(&mut self, change: Option<RecordedChange>, out: &mut Vec<Output>) {
        let (Some(replica), Some((version, before))) = (&self.replica, &self.group.object) else {
            return;
        };
        let voters: Vec<Option<Member>> = replica
            .voters()
            .iter()
            .map(|node| self.member_record(node))
            .collect();
        let Some(voters) = voters.into_iter().collect::<Option<Vec<Member>>>() else {
            return;
        };
        let (version, generation, term) = (*version, replica.generation(), replica.term());
        let (founders, origin) = (before.founders.clone(), before.origin.clone());
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.members.writes += 1;
        let object = GroupObject {
            change_id: format!("members-{}-{term}-{}", self.node, leading.members.writes),
            generation,
            founders,
            voters,
            change,
            origin,
        };
        leading.members.recording = Some(object.clone());
        self.put_group(Purpose::RecordMembers, &object, version, out);
    }

    pub(crate) fn on_members_recorded(&mut self, answer: Answer, out: &mut Vec<Output>) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let Some(object) = leading.members.recording.take() else {
            return;
        };
        leading.members.next = self.now;
        if let WriteOutcome::Written { version } = answer.into_write_outcome() {
            leading.members.recorded = Some(version);
            self.group.object = Some((version, object));
        } else {
            // Whether or not it happened, the next record builds on what is read now.
            leading.members.next = self.now + self.settings.store_retry;
            self.group.read_again(self.now);
            self.read_group(out);
        }
    }
}
