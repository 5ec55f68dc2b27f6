//! Spread of the voters over zones, so that the loss of a zone leaves a majority.

use std::collections::BTreeMap;
use std::time::Duration;

use wingspar_consensus::Replica;
use wingspar_wire::PresenceRole;
use wingspar_world::{NodeId, ZoneName};

use crate::Control;

/// How long voters stay spread unevenly before one is replaced. It bounds the rate of such changes,
/// which are never urgent.
const EVEN_OUT_AFTER: Duration = Duration::from_secs(3);

impl Control {
    /// A voter to replace by a spare of a less crowded zone. None while a change is needed for
    /// another reason, while a voter is silent, the store is down or this process leaves, and for a
    /// while after.
    pub(crate) fn crowded_voter(&mut self, is_busy: bool) -> Option<NodeId> {
        let idle = !is_busy && self.store_reachable && self.leaving_since.is_none();
        let crowded = if idle && self.all_voters_in_touch() {
            self.most_crowded_voter()
        } else {
            None
        };
        let now = self.now;
        let members = &mut self.leading.as_mut()?.members;
        if crowded.is_none() {
            members.uneven_since = None;
            return None;
        }
        let since = *members.uneven_since.get_or_insert(now);
        crowded.filter(|_| now.since(since) >= EVEN_OUT_AFTER)
    }

    /// A voter other than this one whose zone has at least two more than that of a present spare
    /// or learner. Any smaller difference would only be turned round.
    fn most_crowded_voter(&self) -> Option<NodeId> {
        let voters = self.replica.as_ref()?.voters();
        let crowds = self.voters_of_zones(None);
        let crowd = |node: &NodeId| self.crowd_of(node, &crowds);
        let others = voters.iter().filter(|node| **node != self.node);
        let crowded = others.max_by_key(|node| crowd(node))?;
        let learner = self.learner();
        let spare = self.best_spare(None);
        let newcomers = learner.iter().chain(&spare);
        let least = newcomers.filter_map(crowd).min()?;
        (crowd(crowded)? >= least + 2).then(|| crowded.clone())
    }

    fn all_voters_in_touch(&self) -> bool {
        let mut voters = self.replica.iter().flat_map(Replica::voters);
        voters.all(|node| self.is_in_touch(node))
    }

    /// Drops a learner whose zone is no better than that of the voter to replace, so that a spare
    /// of a better zone is invited.
    pub(crate) fn drop_learner_of_no_use(&mut self, crowded: Option<&NodeId>) -> bool {
        let (Some(learner), Some(crowded)) = (self.learner(), crowded) else {
            return false;
        };
        let crowds = self.voters_of_zones(None);
        let helps =
            self.crowd_of(&learner, &crowds) < self.crowd_of(crowded, &crowds).map(|it| it - 1);
        !helps && self.drop_learner(learner)
    }

    fn learner(&self) -> Option<NodeId> {
        let learners = self.replica.as_ref()?.learners();
        learners.iter().next().cloned()
    }

    /// The present spare whose zone has the fewest voters, not counting one that goes.
    pub(crate) fn best_spare(&self, going: Option<&NodeId>) -> Option<NodeId> {
        let replica = self.replica.as_ref()?;
        let crowds = self.voters_of_zones(going);
        let leading = self.leading.as_ref();
        let invited = leading.and_then(|it| it.members.invited.as_ref());
        let is_new =
            |node: &NodeId| invited == Some(node) || !replica.state().members().contains(node);
        let present = self.candidates.present(self.now);
        let spares = present.filter(|(node, candidate)| {
            let ready = candidate.role == PresenceRole::Spare && !candidate.leaving;
            ready && !replica.voters().contains(*node) && is_new(node)
        });
        let crowd = |zone: &ZoneName| crowds.get(zone).copied().unwrap_or_default();
        let best = spares
            .min_by_key(|(node, candidate)| (crowd(&candidate.machine.zone), (*node).clone()));
        best.map(|(node, _)| node.clone())
    }

    /// How many voters each zone has, not counting one that goes.
    fn voters_of_zones(&self, going: Option<&NodeId>) -> BTreeMap<ZoneName, usize> {
        let mut crowds = BTreeMap::new();
        let voters = self.replica.iter().flat_map(Replica::voters);
        for zone in voters
            .filter(|node| Some(*node) != going)
            .filter_map(|node| self.zone_of(node))
        {
            *crowds.entry(zone).or_default() += 1;
        }
        crowds
    }

    fn crowd_of(&self, node: &NodeId, crowds: &BTreeMap<ZoneName, usize>) -> Option<usize> {
        let zone = self.zone_of(node)?;
        Some(crowds.get(&zone).copied().unwrap_or_default())
    }

    fn zone_of(&self, node: &NodeId) -> Option<ZoneName> {
        self.machine_of(node).map(|machine| machine.zone)
    }
}
