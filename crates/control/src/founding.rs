//! The first start of a group, and the choice of a generation's founders.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wingspar_wire::PresenceRole;
use wingspar_world::{Machine, NodeId, ZoneName};

use crate::candidates::{Candidate, PRESENT_FOR};
use crate::group_object::{GroupObject, Member};
use crate::store_io::Purpose;
use crate::{Control, Output};

/// How long enough candidates wait for others in further zones.
const ZONES_PATIENCE: Duration = Duration::from_secs(1);

impl Control {
    /// Founds the group when the store has none and enough candidates are present. Any of them may
    /// try: only one creation succeeds.
    pub(crate) fn found_group(&mut self, out: &mut Vec<Output>) {
        let absent = self.group.absent_at;
        let absent = absent.is_some_and(|at| self.now.since(at) < PRESENT_FOR);
        if !absent || self.store.is_pending(Purpose::FoundGroup) {
            return;
        }
        let in_group = |(_, candidate): (&NodeId, &Candidate)| candidate.generation > 0;
        if self.candidates.present(self.now).any(in_group) {
            return;
        }
        let founders = self.choose_founders(false);
        if founders.len() < self.settings.replicas {
            self.group.enough_since = None;
            return;
        }
        if self.may_gain_zones(&founders) || self.lowest_present() != self.node {
            return;
        }
        let object = GroupObject {
            change_id: format!("found-{}-1", self.node),
            generation: 1,
            voters: founders.clone(),
            founders,
            change: None,
            origin: None,
        };
        self.put_group(Purpose::FoundGroup, &object, 0, out);
    }

    /// Whether founders share a zone and candidates of further zones may yet turn up.
    fn may_gain_zones(&mut self, founders: &[Member]) -> bool {
        let since = *self.group.enough_since.get_or_insert(self.now);
        let zones: BTreeSet<&ZoneName> = founders.iter().map(|it| &it.machine.zone).collect();
        zones.len() < founders.len() && self.now.since(since) < ZONES_PATIENCE
    }

    /// Whatever the answer, the object itself tells what happened.
    pub(crate) fn on_group_founded(&mut self) {
        self.group.next_read = self.now;
        self.group.absent_at = None;
        self.next_presence = self.now;
    }

    pub(crate) fn lowest_present(&self) -> NodeId {
        let present = self.candidates.present(self.now);
        let lowest = present
            .filter(|(_, it)| !it.leaving)
            .map(|(node, _)| node)
            .min();
        lowest.map_or(self.node.clone(), |lowest| lowest.min(&self.node).clone())
    }

    /// Present candidates, one of each zone in turn; voters of the lost generation only if asked.
    pub(crate) fn choose_founders(&self, also_voters: bool) -> Vec<Member> {
        let mut by_zone: BTreeMap<ZoneName, Vec<Member>> = BTreeMap::new();
        let mut add = |node: &NodeId, machine: &Machine| {
            let member = Member {
                node: node.clone(),
                machine: machine.clone(),
            };
            by_zone
                .entry(machine.zone.clone())
                .or_default()
                .push(member);
        };
        if self.leaving_since.is_none() {
            add(&self.node, &self.machine);
        }
        for (node, candidate) in self.candidates.present(self.now) {
            let spare = candidate.role == PresenceRole::Spare;
            if (spare || also_voters) && !candidate.leaving {
                add(node, &candidate.machine);
            }
        }
        let mut chosen = Vec::new();
        while chosen.len() < self.settings.replicas {
            let before = chosen.len();
            for members in by_zone.values_mut() {
                if chosen.len() < self.settings.replicas
                    && let Some(member) = members.pop()
                {
                    chosen.push(member);
                }
            }
            if chosen.len() == before {
                break;
            }
        }
        chosen
    }
}
