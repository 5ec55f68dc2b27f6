//! Planned stop of a member: leadership and vote move on first, within a bounded time.

use wingspar_consensus::{Output as ReplicaOutput, Replica, Role};
use wingspar_world::NodeId;

use crate::{Control, GroupState, Output};

impl Control {
    pub(crate) fn on_leave(&mut self) {
        if self.leaving_since.is_none() {
            self.leaving_since = Some(self.now);
            self.next_presence = self.now;
        }
    }

    /// Passes leadership on, then waits for the new leader to replace or remove this member.
    pub(crate) fn tend_leave(&mut self, out: &mut Vec<Output>) {
        let Some(since) = self.leaving_since else {
            return;
        };
        if self.stopped {
            return;
        }
        let late = self.now.since(since) >= self.settings.leave_deadline;
        if late || !self.is_needed() {
            self.stopped = true;
            out.push(Output::Stopped);
            return;
        }
        if self.leading.is_some() && self.now >= self.next_transfer {
            self.next_transfer = self.now + self.settings.consensus.election_timeout_max;
            self.transfer_leadership(out);
        }
    }

    /// Whether others rely on this process: it has a vote, and others could take its place.
    fn is_needed(&self) -> bool {
        let Some(replica) = &self.replica else {
            return false;
        };
        let votes = !matches!(replica.role(), Role::Learner | Role::Removed);
        let alone = replica.voters().len() == 1;
        let others = self.candidates.present(self.now).any(|(_, it)| !it.leaving);
        votes && (others || !alone)
    }

    fn transfer_leadership(&mut self, out: &mut Vec<Output>) {
        let to = self.best_successor();
        let Some(replica) = &mut self.replica else {
            return;
        };
        let mut outputs: Vec<ReplicaOutput<GroupState>> = Vec::new();
        replica.transfer_leadership(self.now, to, &mut outputs);
        self.carry_out(outputs, out);
    }

    /// A voter that stays and is furthest on; none leaves the choice to the replication.
    fn best_successor(&self) -> Option<NodeId> {
        let peers = self.replica.as_ref().map(Replica::peers)?;
        let stays = |node: &NodeId| self.candidates.get(node).is_some_and(|it| !it.leaving);
        let fit = peers.iter().filter(|peer| peer.voter && stays(&peer.id));
        let furthest = fit.max_by_key(|peer| (peer.acknowledged, peer.matched));
        furthest.map(|peer| peer.id.clone())
    }
}
