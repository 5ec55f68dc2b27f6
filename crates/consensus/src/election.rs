//! Elections: pre-vote, vote, and the start of a leadership.

use std::collections::{BTreeMap, BTreeSet};

use wingspar_world::NodeId;

use crate::message::Body;
use crate::progress::Progress;
use crate::replica::{Campaign, Leadership, Phase, Replica};
use crate::{EntryId, Output, Payload, StateMachine};

impl<S: StateMachine> Replica<S> {
    pub(crate) fn tick_campaign(&mut self, out: &mut Vec<Output<S>>) {
        if !self.may_campaign() {
            return;
        }
        if self.now >= self.election_deadline {
            self.start_pre_vote(out);
            return;
        }
        let (Phase::PreCandidate(campaign) | Phase::Candidate(campaign)) = &mut self.phase else {
            return;
        };
        if self.now >= campaign.retry_at {
            campaign.retry_at = self.now + self.config.heartbeat_interval;
            self.request_votes(out);
        }
    }

    /// Voters stand for election; so does a voter whose removal is not committed, because its log
    /// may be the only one that can win and commit that removal.
    pub(crate) fn may_campaign(&self) -> bool {
        self.memberships.latest().voters.contains(&self.id)
            || self.memberships.at(self.commit).1.voters.contains(&self.id)
    }

    fn start_pre_vote(&mut self, out: &mut Vec<Output<S>>) {
        self.counters.pre_votes_started += 1;
        self.leader = None;
        self.reset_election_deadline();
        self.phase = Phase::PreCandidate(self.new_campaign(false));
        if self.has_won() {
            self.start_election(false, out);
        } else {
            self.request_votes(out);
        }
    }

    pub(crate) fn start_election(&mut self, transfer: bool, out: &mut Vec<Output<S>>) {
        self.counters.elections_started += 1;
        self.term += 1;
        self.voted_for = Some(self.id.clone());
        self.leader = None;
        self.reset_election_deadline();
        self.phase = Phase::Candidate(self.new_campaign(transfer));
        if self.has_won() {
            self.become_leader(out);
        } else {
            self.request_votes(out);
        }
    }

    fn new_campaign(&self, transfer: bool) -> Campaign {
        Campaign {
            granted: BTreeSet::from([self.id.clone()]),
            answered: BTreeSet::from([self.id.clone()]),
            retry_at: self.now + self.config.heartbeat_interval,
            transfer,
        }
    }

    /// Whether a majority of the membership in force has granted; votes of others don't count.
    fn has_won(&self) -> bool {
        let (Phase::PreCandidate(campaign) | Phase::Candidate(campaign)) = &self.phase else {
            return false;
        };
        let membership = self.memberships.latest();
        let votes = membership.voters.intersection(&campaign.granted).count();
        votes >= membership.majority()
    }

    fn request_votes(&mut self, out: &mut Vec<Output<S>>) {
        let last = self.log.last();
        let (campaign, pre_vote) = match &self.phase {
            Phase::PreCandidate(campaign) => (campaign, true),
            Phase::Candidate(campaign) => (campaign, false),
            _ => return,
        };
        for voter in &self.memberships.latest().voters {
            if campaign.answered.contains(voter) {
                continue;
            }
            let body = if pre_vote {
                Body::PreVote {
                    next_term: self.term + 1,
                    last,
                }
            } else {
                Body::Vote {
                    last,
                    transfer: campaign.transfer,
                }
            };
            self.send(voter, body, out);
        }
    }

    pub(crate) fn on_pre_vote(
        &mut self,
        from: &NodeId,
        next_term: u64,
        last: EntryId,
        out: &mut Vec<Output<S>>,
    ) {
        let lease_holds = self.hears_leader();
        if lease_holds {
            self.counters.refused_for_lease += 1;
        }
        let granted = !lease_holds
            && next_term > self.term
            && last >= self.log.last()
            && self.origin.is_some();
        self.send(from, Body::PreVoteResponse { next_term, granted }, out);
    }

    pub(crate) fn on_pre_vote_response(
        &mut self,
        from: NodeId,
        next_term: u64,
        granted: bool,
        out: &mut Vec<Output<S>>,
    ) {
        let Phase::PreCandidate(campaign) = &mut self.phase else {
            return;
        };
        if next_term != self.term + 1 {
            return;
        }
        // A refusal isn't final: the voter's own patience may end, so it is asked again.
        if granted {
            campaign.answered.insert(from.clone());
            campaign.granted.insert(from);
        }
        if self.has_won() {
            self.start_election(false, out);
        }
    }

    /// Answers a vote request of the current term. A learner that the candidate's log made a voter
    /// answers, too, though its own log may not say so yet: the candidate alone decides whose
    /// votes count, and without this a group could wait for it forever.
    pub(crate) fn on_vote(
        &mut self,
        from: &NodeId,
        last: EntryId,
        transfer: bool,
        out: &mut Vec<Output<S>>,
    ) {
        let granted = self.would_vote(from, last, transfer);
        if granted {
            self.voted_for = Some(from.clone());
            self.reset_election_deadline();
        }
        self.send(from, Body::VoteResponse { granted }, out);
    }

    fn would_vote(&mut self, from: &NodeId, last: EntryId, transfer: bool) -> bool {
        if self.voted_for.is_some() {
            return self.voted_for.as_ref() == Some(from);
        }
        if !transfer && self.hears_leader() {
            self.counters.refused_for_lease += 1;
            return false;
        }
        self.leader.is_none() && last >= self.log.last() && self.origin.is_some()
    }

    pub(crate) fn on_vote_response(
        &mut self,
        from: NodeId,
        granted: bool,
        out: &mut Vec<Output<S>>,
    ) {
        let Phase::Candidate(campaign) = &mut self.phase else {
            return;
        };
        campaign.answered.insert(from.clone());
        if granted {
            campaign.granted.insert(from);
        }
        if self.has_won() {
            self.become_leader(out);
        }
    }

    fn become_leader(&mut self, out: &mut Vec<Output<S>>) {
        self.counters.elections_won += 1;
        self.leader = Some(self.id.clone());
        self.phase = Phase::Leader(Leadership {
            progress: BTreeMap::new(),
            since: self.now,
            next_heartbeat: self.now,
            committed_own_term: false,
            transfer: None,
        });
        self.update_progress_members();
        self.log.append(self.term, Payload::Noop);
        out.push(Output::BecameLeader { term: self.term });
        self.tick_leader(out);
    }

    /// Keeps a progress for exactly the members; one whose removal isn't committed still counts,
    /// so that it receives the entry that removes it.
    pub(crate) fn update_progress_members(&mut self) {
        let next = self.log.last().index + 1;
        let (now, id) = (self.now, &self.id);
        let latest = self.memberships.latest();
        let committed = &self.memberships.at(self.commit).1;
        let Phase::Leader(leadership) = &mut self.phase else {
            return;
        };
        let is_member = |peer: &NodeId| latest.contains(peer) || committed.contains(peer);
        leadership.progress.retain(|peer, _| is_member(peer));
        for peer in latest.members().chain(committed.members()) {
            if peer != id && !leadership.progress.contains_key(peer) {
                let progress = Progress::new(next, now);
                leadership.progress.insert(peer.clone(), progress);
            }
        }
    }

    /// Ends the membership of a replica that missed its removal.
    pub(crate) fn on_not_member(
        &mut self,
        _from: &NodeId,
        excluded_at: EntryId,
        out: &mut Vec<Output<S>>,
    ) {
        let campaigning = matches!(self.phase, Phase::PreCandidate(_) | Phase::Candidate(_));
        if campaigning && excluded_at > self.memberships.latest_at() {
            self.become_removed(out);
        }
    }
}
