//! Announcements among candidates.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rand::RngExt;
use wingspar_consensus::{Replica, Role};
use wingspar_wire::{Message, Presence, PresenceRole};
use wingspar_world::NodeId;

use crate::{Control, Output};

/// Of how many turns one tells also those who need it less often.
const SLOW_ANNOUNCEMENT: u64 = 4;

impl Control {
    /// Announces this process. While a leader is known only those who need it are told, so that a
    /// group with many spares stays quiet; otherwise everybody is.
    pub(crate) fn announce(&mut self, out: &mut Vec<Output>) {
        let members = self.member_ids();
        self.candidates.forget_silent(self.now, &members);
        self.announcements += 1;
        let presence = self.presence();
        for to in self.announcement_destinations() {
            let there = self.candidates.at_address(to);
            let mut presence = presence.clone();
            presence.echo = there.map_or(0, |(_, candidate)| candidate.nonce);
            Self::send(to, Message::Presence(presence), out);
        }
    }

    /// Members tell each other at every turn, and the leader tells spares and is told by them at
    /// every fourth.
    fn announcement_destinations(&self) -> BTreeSet<SocketAddr> {
        let slow_turn = self.announcements.is_multiple_of(SLOW_ANNOUNCEMENT);
        let leader = self.known_leader();
        let calm = leader.is_some() && !self.is_leaderless() && self.leaving_since.is_none();
        let is_leader = leader.as_ref() == Some(&self.node);
        let is_member = self.presence_role() != PresenceRole::Spare;
        let mut destinations = BTreeSet::new();
        if !calm || is_leader && slow_turn {
            destinations = self.candidates.destinations();
        }
        if !calm || is_member || slow_turn {
            destinations.extend(self.group.member_addresses());
            let members = self.member_ids();
            let known = members.iter().chain(&leader);
            destinations.extend(known.filter_map(|node| self.address_of(node)));
        }
        destinations.remove(&self.machine.control_address);
        destinations
    }

    fn presence(&self) -> Presence {
        let removed = self.role() == Some(Role::Removed);
        Presence {
            group: self.settings.group,
            node: self.node.clone(),
            machine: self.machine.clone(),
            role: self.presence_role(),
            generation: self.group.generation,
            leader: self.own_leader(),
            leaving: self.leaving_since.is_some() || removed,
            nonce: self.group.nonce,
            echo: 0,
        }
    }

    pub(crate) fn presence_role(&self) -> PresenceRole {
        match self.role() {
            None | Some(Role::Removed) => PresenceRole::Spare,
            Some(Role::Learner) => PresenceRole::Learner,
            Some(_) => PresenceRole::Voter,
        }
    }

    /// The leader as a voter knows it; it forgets one that falls silent, which a learner doesn't.
    fn own_leader(&self) -> Option<NodeId> {
        let voter = self.presence_role() == PresenceRole::Voter;
        let replica = self.replica.as_ref().filter(|_| voter);
        replica.and_then(Replica::leader)
    }

    /// The leader as far as known here or told by voters.
    pub(crate) fn known_leader(&self) -> Option<NodeId> {
        let own = self.own_leader();
        own.or_else(|| self.group.hinted_leader(self.now))
    }

    pub(crate) fn on_presence(&mut self, presence: &Presence, out: &mut Vec<Output>) {
        if presence.group != self.settings.group {
            self.counters.malformed += 1;
            return;
        }
        let first = self.candidates.get(&presence.node).is_none();
        self.candidates.hear(self.now, presence);
        if presence.echo == self.group.nonce {
            let machine = presence.machine.clone();
            self.group.note_echo(self.now, &presence.node, machine);
        }
        if presence.role != PresenceRole::Spare {
            self.learn_generation(presence.generation, out);
            let voter = presence.role == PresenceRole::Voter;
            if voter && presence.generation == self.group.generation {
                self.group.hint_leader(self.now, presence.leader.clone());
            }
        }
        if first {
            self.next_presence = self
                .next_presence
                .min(self.now + self.settings.presence_interval / 8);
        }
    }

    pub(crate) fn draw_seed(&mut self) -> u64 {
        self.random.random_range(0..u64::MAX)
    }
}
