//! Handles datagrams from other nodes.

use super::*;

impl Participant {
    /// Handles a datagram that has arrived.
    pub fn receive(
        &mut self,
        now: Time,
        context: &NodeContext,
        from: SocketAddr,
        datagram: Datagram,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        match datagram {
            Datagram::Renew(renewal) => {
                self.answer_renewal(now, context, &renewal, from, &mut actions)
            }
            Datagram::Lease(leader, reply) => {
                self.apply_lease_reply(now, context, &leader, &reply, &mut actions)
            }
            Datagram::NotLeading(life, leader) => {
                let known = leader.as_ref();
                self.not_leading(now, context, (life, from), known, &mut actions)
            }
            Datagram::Ask => {
                let leading = self
                    .leader
                    .as_ref()
                    .is_some_and(|leader| leader.may_lease(now));
                let ago = if leading {
                    Duration::ZERO
                } else {
                    now.since(self.election.leader_contact_at())
                };
                let ago = u64::try_from(ago.as_millis()).unwrap_or(u64::MAX);
                actions.push(Action::Send(
                    from,
                    Datagram::Tell(self.followed_leader().cloned(), ago),
                ));
            }
            Datagram::Tell(leader, ago) => {
                if let Some(leader) = &leader {
                    self.follow(now, leader, &mut actions);
                }
                let contact_ago = Duration::from_millis(ago);
                self.election.peer_answered(
                    now,
                    &PeerView {
                        leader,
                        contact_ago,
                    },
                );
            }
            Datagram::TakeOver(epoch) => {
                if self
                    .followed_leader()
                    .is_some_and(|known| known.epoch == epoch)
                    && !context.leaving
                {
                    self.election.begin_contention(now, true);
                    self.elect(now, context, &mut actions);
                }
            }
            Datagram::Call(epoch) => {
                if self
                    .followed_leader()
                    .is_some_and(|known| known.epoch == epoch)
                {
                    self.renew(now, context, &mut actions);
                }
            }
            Datagram::Notice(leader, table, configuration) => {
                let is_new = self.follow(now, &leader, &mut actions);
                if self
                    .followed_leader()
                    .is_some_and(|known| known.epoch == leader.epoch)
                {
                    self.catch_up(now, context, &leader, table, configuration, &mut actions);
                }
                // A new leader refuses renewals until it has noticed its election.
                if is_new || (from == leader.address && self.answered_by < leader.epoch) {
                    self.renew(now, context, &mut actions);
                }
            }
            // Quota messages have nothing to do with leases.
            Datagram::Quota(_) => {}
        }
        actions
    }

    pub(super) fn answer_renewal(
        &mut self,
        now: Time,
        context: &NodeContext,
        renewal: &Renewal,
        from: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        let own = self.followed_leader().cloned();
        if self.leader.is_none() {
            let answer = Datagram::NotLeading(self.identity.life, own);
            actions.push(Action::Send(from, answer));
            return;
        }
        if let Some(report) = &renewal.quarantine {
            actions.push(Action::QuarantineReported(report.clone()));
        }
        if renewal.configuration_version > context.configuration_version {
            actions.push(Action::FetchConfiguration(
                renewal.address,
                renewal.configuration_version,
            ));
        }
        if let Some(own) = &own
            && renewal.epoch < own.epoch
        {
            // The node hasn't observed this epoch yet.
            let notice = Datagram::Notice(own.clone(), 0, context.configuration_version);
            actions.push(Action::Send(from, notice));
            return;
        }
        let reply = self.lease(now, context, renewal);
        self.announce_changes(now, context, actions);
        if let (Some(leader), Some(reply)) = (own, reply) {
            actions.push(Action::Send(from, Datagram::Lease(leader, Box::new(reply))));
        }
    }

    /// The node that was taken for the leader isn't, or no longer is.
    pub(super) fn not_leading(
        &mut self,
        now: Time,
        context: &NodeContext,
        (life, from): (Incarnation, SocketAddr),
        known: Option<&LeaderReference>,
        actions: &mut Vec<Action>,
    ) {
        if let Some(known) = known
            && self.follow(now, known, actions)
        {
            self.renew(now, context, actions);
            return;
        }
        let Some(leader) = self
            .followed_leader()
            .filter(|leader| leader.address == from)
        else {
            return;
        };
        if leader.life == life {
            self.election.leader_denied(now);
        } else {
            // Another process answers at the leader's address.
            self.election.begin_contention(now, false);
        }
    }

    /// Follows a leader if its epoch is later than the known one. Returns whether it is.
    pub(super) fn follow(
        &mut self,
        now: Time,
        leader: &LeaderReference,
        actions: &mut Vec<Action>,
    ) -> bool {
        if !self.election.observe_leader(now, leader) {
            return false;
        }
        actions.push(Action::Log(LeadershipEvent::LeaderKnown(leader.clone())));
        self.holder.promise(leader.epoch);
        self.shards.promise(leader.epoch);
        if let Some(leading) = &self.leader
            && leading.epoch() < leader.epoch
        {
            actions.push(Action::Log(LeadershipEvent::LeadershipLost(
                leading.epoch(),
            )));
            self.leader = None;
        }
        self.next_renewal = now;
        // Renewals that the previous leader left unanswered don't count against this one.
        self.unanswered = 0;
        true
    }
}
