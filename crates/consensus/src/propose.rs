//! Proposals of commands and membership changes.

use wingspar_world::{MonotonicTime, NodeId};

use crate::replica::{Leadership, Replica};
use crate::{LogPosition, Membership, MembershipChange, Payload, ProposeError, StateMachine};

impl<S: StateMachine> Replica<S> {
    /// Appends a command to the leader's log. It is sent by the next [`tick`](Self::tick) and done
    /// once reported as applied at the position returned; until then it may be lost with the
    /// leader. Another command applied at that index or a later term means it was lost.
    pub fn propose(
        &mut self,
        now: MonotonicTime,
        command: S::Command,
    ) -> Result<LogPosition, ProposeError> {
        self.observe(now);
        self.check_proposal()?;
        Ok(self.append(Payload::Command(command)))
    }

    /// Appends a membership change to the leader's log; one at a time.
    pub fn propose_membership(
        &mut self,
        now: MonotonicTime,
        change: MembershipChange,
    ) -> Result<LogPosition, ProposeError> {
        self.observe(now);
        let ready = self.check_proposal()?.committed_own_term;
        // Without an entry of the own term, two leaders' changes could have disjoint majorities
        // (Ongaro, raft-dev, 2015).
        if !ready {
            return Err(ProposeError::NotReady);
        }
        if self.memberships.latest_at().index > self.commit {
            return Err(ProposeError::ChangingMembership);
        }
        let membership = self.memberships.latest().changed(&change)?;
        if let MembershipChange::Promote(learner) = &change {
            self.check_caught_up(learner)?;
        }
        Ok(self.append_membership(membership))
    }

    fn check_proposal(&self) -> Result<&Leadership, ProposeError> {
        let Some(leadership) = self.leadership() else {
            let hint = self.leader.clone();
            return Err(ProposeError::NotLeader { hint });
        };
        if let Some(transfer) = &leadership.transfer {
            let to = transfer.to.clone();
            return Err(ProposeError::Transferring { to });
        }
        let uncommitted = self.log.last().index - self.commit;
        if uncommitted >= self.config.max_uncommitted_entries {
            return Err(ProposeError::Overloaded(uncommitted));
        }
        Ok(leadership)
    }

    fn check_caught_up(&self, learner: &NodeId) -> Result<(), ProposeError> {
        let last = self.log.last().index;
        let progress = self.leadership().and_then(|it| it.progress.get(learner));
        let matched = progress.map_or(0, |progress| progress.matched);
        let in_touch = progress.is_some_and(|progress| self.answered_lately(progress));
        let near = matched > 0 && last - matched <= self.config.promotion_lag_entries;
        if in_touch && near {
            return Ok(());
        }
        Err(ProposeError::LearnerBehind {
            learner: learner.clone(),
            matched,
            last,
        })
    }

    fn append(&mut self, payload: Payload<S::Command>) -> LogPosition {
        let id = self.log.append(self.term, payload);
        id.in_generation(self.generation)
    }

    fn append_membership(&mut self, membership: Membership) -> LogPosition {
        let payload = Payload::Membership(membership.clone());
        let id = self.log.append(self.term, payload);
        self.memberships.push(id, membership);
        self.update_progress_members();
        id.in_generation(self.generation)
    }
}
