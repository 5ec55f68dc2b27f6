//! The leader lease, check-quorum, and the promise not to vote that both rest on.
//!
//! A follower that takes in a leader's message gives no vote for `election_timeout_min` after. Its
//! answer hands back the leader's own send time, which lies before that promise began. Once a
//! majority has answered, no majority can elect another leader before the send time of that round
//! plus `election_timeout_min`, less the drift between the clocks.

use wingspar_world::MonotonicTime;

use crate::StateMachine;
use crate::replica::{Phase, Replica};

impl<S: StateMachine> Replica<S> {
    /// Until when no other leader can exist, on the clock of `now`. `Some` only while leading and
    /// after an entry of the own term was committed. The caller must compare it with the time of
    /// its own clock at each use, for a paused process wakes up with the value it fell asleep with.
    pub fn leader_lease_until(&self) -> Option<MonotonicTime> {
        let leadership = self.leadership()?;
        if !leadership.committed_own_term {
            return None;
        }
        let duration = self
            .config
            .election_timeout_min
            .saturating_sub(self.config.drift_bound);
        self.quorum_contact().map(|contact| contact + duration)
    }

    /// Latest time at which the leader had sent something that a majority has acknowledged.
    pub(crate) fn quorum_contact(&self) -> Option<MonotonicTime> {
        let leadership = self.leadership()?;
        let membership = self.memberships.latest();
        let mut contacts: Vec<MonotonicTime> = membership
            .voters
            .iter()
            .filter_map(|voter| {
                if *voter == self.id {
                    return Some(self.now);
                }
                leadership.progress.get(voter)?.acknowledged
            })
            .collect();
        contacts.sort_unstable_by(|left, right| right.cmp(left));
        contacts.get(membership.majority() - 1).copied()
    }

    /// Whether the leader has heard from no majority for so long that it must step down.
    pub(crate) fn has_lost_quorum(&self) -> bool {
        let Some(leadership) = self.leadership() else {
            return false;
        };
        let contact = self.quorum_contact().unwrap_or(MonotonicTime::ZERO);
        let contact = contact.max(leadership.since);
        self.now.since(contact) >= self.config.election_timeout_max
    }

    /// Whether a leader was in touch so recently that no vote may be given.
    pub(crate) fn hears_leader(&self) -> bool {
        let contact = match &self.phase {
            Phase::Leader(leadership) => self.quorum_contact().max(Some(leadership.since)),
            _ => self.last_leader_contact,
        };
        contact.is_some_and(|contact| self.now.since(contact) < self.config.election_timeout_min)
    }
}
