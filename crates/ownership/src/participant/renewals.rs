//! Both sides of lease renewals, and how a node handles the leader's reply.

use super::*;

impl Participant {
    pub(super) fn renewal(&mut self, now: Time, context: &NodeContext) -> Renewal {
        let shards = self.shards.report(now);
        // A leader may have assigned shards to this node before the node received the quotas, and
        // waits for a report of which ones it has released.
        let reports_shards = context.has_quotas || shards != ShardReport::default();
        // Each new leader checks the registration once.
        let epoch = self.followed_leader().map(|leader| leader.epoch);
        let is_checked = epoch == Some(self.answered_by) && !self.registration_missing;
        let registered = context.registered_for.as_ref().filter(|_| !is_checked);
        Renewal {
            node: self.identity.node.clone(),
            life: self.identity.life,
            zone: self.identity.zone.clone(),
            address: self.identity.address,
            sent_at: now,
            no_lease_given_ms: now.0.saturating_sub(self.gave_lease_at.0),
            held: self.holder.held(now),
            epoch: self.holder.epoch(),
            applied: self.holder.applied(),
            clean: self.holder.is_clean(),
            released: self.holder.released(),
            target: context.target.clone(),
            leaving: context.leaving,
            service: context.service.clone(),
            registered_for: context.registered_for.clone(),
            registered_in: context.registered_in,
            registered_revision: registered.map(|_| context.registered_revision),
            configuration_version: context.configuration_version,
            store_reachable: context.store_reachable,
            link_mbps: context.link_mbps,
            quarantine: context.quarantine.report(),
            quota_shards: reports_shards.then_some(shards),
        }
    }

    pub(super) fn renew(&mut self, now: Time, context: &NodeContext, actions: &mut Vec<Action>) {
        let expects_answer =
            now.since(self.election.leader_contact_at()) < self.timing.suspect_after;
        let again = if expects_answer {
            let doubled = RENEWAL_TIMEOUT * 2_u32.pow(self.unanswered.min(4));
            doubled.min(self.timing.renew_interval)
        } else {
            self.timing.renew_interval
        };
        self.next_renewal = now + again;
        self.last_renewal = now;
        self.unanswered += 1;
        let Some(leader) = self.election.leader().cloned() else {
            return;
        };
        let renewal = self.renewal(now, context);
        if self.leader.is_none() {
            actions.push(Action::Send(
                leader.address,
                Datagram::Renew(Box::new(renewal)),
            ));
            return;
        }
        if let Some(reply) = self.lease(now, context, &renewal) {
            self.apply_lease_reply(now, context, &leader, &reply, actions);
        }
    }

    /// The leader's side of a renewal.
    pub(super) fn lease(
        &mut self,
        now: Time,
        context: &NodeContext,
        renewal: &Renewal,
    ) -> Option<LeaseReply> {
        let mut reply = self.leader.as_mut()?.renewal(now, renewal)?;
        self.gave_lease_at = now;
        // A newer table is announced to all nodes at a limited rate.
        reply.table_version = if self.announced.0 == reply.epoch {
            self.announced.1
        } else {
            0
        };
        reply.configuration_version = context.configuration_version;
        let checked_ago = context.configuration_checked_ago;
        reply.configuration_checked_ms_ago =
            checked_ago.and_then(|ago| u64::try_from(ago.as_millis()).ok());
        reply.store_era = self.store_era;
        reply.evacuations.clone_from(&context.evacuations);
        reply.quarantine = context.quarantine.reply_to(renewal.quarantine.as_ref());
        Some(reply)
    }

    /// The node's side of the leader's reply.
    pub(super) fn apply_lease_reply(
        &mut self,
        now: Time,
        context: &NodeContext,
        leader: &LeaderReference,
        reply: &LeaseReply,
        actions: &mut Vec<Action>,
    ) {
        if reply.life != self.identity.life {
            return;
        }
        self.follow(now, leader, actions);
        if self
            .followed_leader()
            .is_none_or(|known| known.epoch != leader.epoch)
        {
            return;
        }
        self.election.leader_answered(now);
        self.unanswered = 0;
        self.answered_by = leader.epoch;
        if reply.registers_itself && !self.registers_itself {
            self.registers_itself = true;
            actions.push(Action::RegisterSelf);
        }
        self.registration_missing = reply.missing_registration.is_some();
        if let Some(revision) = reply.missing_registration {
            actions.push(Action::RegistrationMissing(revision));
        }
        if reply.renewal_sent_at >= self.last_renewal {
            self.next_renewal = self.last_renewal + self.timing.renew_interval;
        }
        self.holder.lease(now, reply);
        if self.shards.lease(now, reply) {
            // The tenants of the revoked shards have no owner to request tokens from until the
            // leader has received the release.
            self.next_renewal = (self.last_renewal + MIN_RENEWAL_GAP).max(now);
        }
        self.orders(now, actions);
        if let Some(ago) = reply.configuration_checked_ms_ago
            && reply.configuration_version <= context.configuration_version
        {
            // The leader answered after this renewal was sent, so it checked no earlier than this.
            let checked_at = reply.renewal_sent_at.before(Duration::from_millis(ago));
            actions.push(Action::ConfigurationChecked(checked_at));
        }
        if reply.store_era > self.store_era {
            actions.push(Action::StoreEra(reply.store_era));
        }
        if let Some(report) = &reply.evacuations {
            let ago = Duration::from_millis(report.checked_ms_ago);
            let checked_at = reply.renewal_sent_at.before(ago);
            actions.push(Action::EvacuationsReceived(
                report.evacuated.clone(),
                checked_at,
            ));
        }
        if let Some(told) = &reply.quarantine {
            actions.push(Action::QuarantineAnswered(told.clone()));
        }
        self.catch_up(
            now,
            context,
            leader,
            reply.table_version,
            reply.configuration_version,
            actions,
        );
    }

    /// Fetches what the leader has and this node lacks.
    pub(super) fn catch_up(
        &mut self,
        now: Time,
        context: &NodeContext,
        leader: &LeaderReference,
        table: u64,
        configuration: u64,
        actions: &mut Vec<Action>,
    ) {
        let behind = (self.table.epoch, self.table.version) < (leader.epoch, table);
        let fetching = self
            .fetching_table_since
            .is_some_and(|since| now.since(since) < CALL_TIMEOUT);
        if behind && self.leader.is_none() && !fetching {
            self.fetching_table_since = Some(now);
            actions.push(Action::FetchTable(leader.address));
        }
        if configuration > context.configuration_version {
            actions.push(Action::FetchConfiguration(leader.address, configuration));
        }
    }

    /// The answer to a node that has a version of an epoch's table.
    pub fn table_since(&self, epoch: Epoch, version: u64) -> TableAnswer {
        match &self.leader {
            Some(leader) => leader.table_since(epoch, version),
            None => TableAnswer::Whole(self.table.clone()),
        }
    }

    /// A table, or the changes in it, has been fetched; `None` if that failed.
    pub fn table_fetched(&mut self, answer: Option<TableAnswer>) -> Vec<Action> {
        self.fetching_table_since = None;
        let Some(next) = answer.and_then(|answer| self.table.advanced(answer)) else {
            return Vec::new();
        };
        self.table = next;
        vec![Action::TableChanged]
    }
}
