//! Handing leadership over on purpose.
//!
//! The target's election passes over the promise not to vote, so the old leader must not hold a
//! lease any more, and never again in its term: a message that tells the target to stand may be
//! delayed for long. It therefore steps down right before it sends that message.

use wingspar_world::{MonotonicTime, NodeId};

use crate::message::Body;
use crate::progress::Progress;
use crate::replica::{Phase, Replica, Transfer};
use crate::{Output, StateMachine};

impl<S: StateMachine> Replica<S> {
    /// Hands leadership to a voter, or to the voter furthest on. Proposals are refused until the
    /// target has caught up and the leader steps down, or until the longest election timeout is
    /// over, after which the leader stays. Does nothing on other roles or without a fit voter.
    pub fn transfer_leadership(
        &mut self,
        now: MonotonicTime,
        to: Option<NodeId>,
        out: &mut Vec<Output<S>>,
    ) {
        self.observe(now);
        let deadline = self.now + self.config.election_timeout_max;
        let Some(to) = self.transfer_target(to) else {
            return;
        };
        if let Some(leadership) = self.leadership_mut() {
            leadership.transfer = Some(Transfer { to, deadline });
        }
        self.try_finish_transfer(out);
    }

    fn transfer_target(&self, wanted: Option<NodeId>) -> Option<NodeId> {
        let leadership = self.leadership()?;
        let voters = &self.memberships.latest().voters;
        let is_fit = |(peer, progress): &(&NodeId, &Progress)| {
            voters.contains(*peer) && self.answered_lately(progress)
        };
        if let Some(wanted) = wanted {
            let known = leadership.progress.contains_key(&wanted);
            return (known && voters.contains(&wanted)).then_some(wanted);
        }
        let fit = leadership.progress.iter().filter(is_fit);
        let furthest = fit.max_by_key(|(_, progress)| progress.matched);
        furthest.map(|(peer, _)| peer.clone())
    }

    /// Whether a follower acknowledged something sent within the shortest election timeout.
    pub(crate) fn answered_lately(&self, progress: &Progress) -> bool {
        let limit = self.config.election_timeout_min;
        progress
            .acknowledged
            .is_some_and(|acknowledged| self.now.since(acknowledged) < limit)
    }

    pub(crate) fn expire_transfer(&mut self) {
        let now = self.now;
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        leadership
            .transfer
            .take_if(|transfer| now >= transfer.deadline);
    }

    pub(crate) fn try_finish_transfer(&mut self, out: &mut Vec<Output<S>>) {
        let Some(to) = self.transfer_ready() else {
            return;
        };
        self.counters.transfers += 1;
        self.step_down(out);
        self.send(&to, Body::TimeoutNow, out);
    }

    fn transfer_ready(&self) -> Option<NodeId> {
        let leadership = self.leadership()?;
        let to = &leadership.transfer.as_ref()?.to;
        let progress = leadership.progress.get(to)?;
        let caught_up = progress.matched == self.log.last().index;
        (caught_up && self.answered_lately(progress)).then(|| to.clone())
    }

    /// Stands for election at the leader's bidding.
    pub(crate) fn on_timeout_now(&mut self, from: &NodeId, out: &mut Vec<Output<S>>) {
        let other_leader = self.leader.as_ref().is_some_and(|leader| leader != from);
        let idle = matches!(self.phase, Phase::Follower | Phase::PreCandidate(_));
        let is_voter = self.memberships.latest().voters.contains(&self.id);
        if other_leader || !idle || !is_voter {
            self.counters.malformed += 1;
            return;
        }
        self.start_election(true, out);
    }
}
