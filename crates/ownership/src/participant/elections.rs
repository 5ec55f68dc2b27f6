//! Elections, from the suspicion of a leader to a won claim.

use super::*;

impl Participant {
    pub(super) fn elect(&mut self, now: Time, context: &NodeContext, actions: &mut Vec<Action>) {
        if context.leaving && self.leader.is_none() {
            return;
        }
        let known = self.table.members.len();
        let fitness = Fitness::of(
            context.target.as_ref(),
            &context.keyed_services,
            context.link_mbps,
            Self::workload(context, known),
        );
        self.election
            .set_contention_delay(fitness.contention_delay());
        let peers = self.table.members.len().saturating_sub(1);
        match self.election.tick(now, peers) {
            Some(ElectionStep::QueryPeers) => self.ask_peers(actions),
            Some(ElectionStep::ReadCached) => actions.push(Action::ReadCachedLeadership),
            Some(ElectionStep::ReadObject) => actions.push(Action::ReadLeadership),
            Some(ElectionStep::Claim) | None => {}
        }
    }

    pub(super) fn ask_peers(&mut self, actions: &mut Vec<Action>) {
        let others = self
            .table
            .members
            .iter()
            .filter(|member| member.node != self.identity.node);
        let others = others.map(|member| member.address).collect::<Vec<_>>();
        if others.is_empty() {
            return;
        }
        // Starts at another peer each time, so that all are queried within a few rounds.
        self.rotation += 1;
        let start =
            (self.identity.life.0.wrapping_add(self.rotation * 7) % others.len() as u64) as usize;
        for offset in 0..others.len().min(PEERS_QUERIED) {
            let address = others[(start + offset) % others.len()];
            actions.push(Action::Send(address, Datagram::Ask));
        }
    }

    pub(super) fn is_this_process(&self, leader: &LeaderReference) -> bool {
        leader.node == self.identity.node && leader.life == self.identity.life
    }

    /// The read of the store's caches, which may be seconds behind, has ended: `named` is the
    /// leadership that they hold, if any. A leader that was replaced since then either follows its
    /// successor or will be suspected like any other silent leader.
    pub fn cached_leader_read(
        &mut self,
        now: Time,
        context: &NodeContext,
        named: Option<Leadership>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(leadership) = &named {
            self.election.set_node_count(leadership.nodes);
        }
        // A claim of this process that was executed counts only once the object itself shows it.
        let named = named.map(|leadership| leadership.leader);
        let other = named.filter(|leader| !self.is_this_process(leader));
        if other.is_some_and(|leader| self.follow(now, &leader, &mut actions)) {
            self.renew(now, context, &mut actions);
        } else if self.election.no_cached_leader(now) == Some(ElectionStep::ReadObject) {
            actions.push(Action::ReadLeadership);
        }
        actions
    }

    /// A read of the leader's object that was sent at `sent_at` has ended; `Err` if it failed.
    pub fn leadership_read(
        &mut self,
        now: Time,
        sent_at: Time,
        stored: Result<Stored, ()>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Ok(stored) = stored else {
            self.election.retry_later(now);
            return actions;
        };
        let others = stored
            .as_ref()
            .filter(|(_, leadership)| !self.is_this_process(&leadership.leader));
        let named = others.map(|(_, leadership)| leadership.leader.clone());
        if let Some((_, leadership)) = &stored {
            let is_this_process = named.is_none();
            if is_this_process && self.leader.is_none() && leadership.era == self.store_era {
                // An earlier claim was executed after all, and was valid when this read was sent.
                self.won_claim = Some((leadership.clone(), sent_at));
                return vec![Action::ListRegistered];
            }
        }
        if let Some(named) = &named {
            self.follow(now, named, &mut actions);
        }
        if self.election.object_read(now, named.as_ref()) == Some(ElectionStep::Claim) {
            let (revision, leadership) = self.next_leadership(now, stored);
            actions.push(Action::Claim(revision, leadership));
        }
        actions
    }

    /// The leadership to replace the stored one with, and the revision to replace; `None` to create
    /// the object.
    pub(super) fn next_leadership(&self, now: Time, stored: Stored) -> (Option<u64>, Leadership) {
        let leader = |epoch| LeaderReference {
            epoch,
            node: self.identity.node.clone(),
            life: self.identity.life,
            address: self.identity.address,
        };
        let known = self
            .followed_leader()
            .map_or(Epoch::default(), |known| known.epoch);
        let era = self.store_era;
        match stored {
            Some((revision, before)) => {
                // Claims that others have made since may be among what the store has lost; this
                // epoch must differ from theirs.
                let lost = era.0.saturating_sub(before.era.0);
                let epoch = before.leader.epoch.next_after_restores(lost);
                let next = leader(epoch.max(known.next_after_restores(0)));
                let began_ago = u64::try_from(now.since(self.era_seen_at).as_millis());
                let began_ms_ago = began_ago.unwrap_or(u64::MAX);
                (Some(revision), before.succeeded_by(next, era, began_ms_ago))
            }
            // A store that was restored from a backup may have lost a first leader, even before
            // this process first contacted it.
            None if known == Epoch::default()
                && era == StoreEra::default()
                && self.is_first_start =>
            {
                let first = Leadership {
                    leader: leader(Epoch(1)),
                    earlier: Some(Vec::new()),
                    shards_anywhere: false,
                    era,
                    restored_ms_ago: None,
                    nodes: 0,
                };
                (None, first)
            }
            // The store has lost the object.
            None => {
                let epoch = known
                    .next_after_restores(1)
                    .max(Epoch::default().next_after_restores(era.0));
                let next = Leadership {
                    leader: leader(epoch),
                    earlier: None,
                    shards_anywhere: true,
                    era,
                    restored_ms_ago: Some(0),
                    nodes: 0,
                };
                (None, next)
            }
        }
    }

    /// A claim that was sent at `sent_at` has ended.
    pub fn claim_ended(
        &mut self,
        now: Time,
        context: &NodeContext,
        sent_at: Time,
        leadership: Leadership,
        result: ClaimResult,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        match result {
            ClaimResult::Won => {
                self.won_claim = Some((leadership, sent_at));
                return vec![Action::ListRegistered];
            }
            ClaimResult::Conflict(Some((_, named))) => {
                if self.follow(now, &named.leader, &mut actions) {
                    self.renew(now, context, &mut actions);
                    return actions;
                }
            }
            ClaimResult::Conflict(None) | ClaimResult::Failed => {}
        }
        self.election.retry_later(now);
        actions
    }

    /// The list of registered nodes after a won claim has been read; `None` if that failed.
    pub fn registered_listed(
        &mut self,
        now: Time,
        context: &NodeContext,
        registered: Option<RegisteredNodes>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some((leadership, claimed_at)) = self.won_claim.take() else {
            return actions;
        };
        let leader = leadership.leader.clone();
        // A claim made in an earlier era is lost, and registrations may be.
        let Some(registered) = registered.filter(|_| leadership.era == self.store_era) else {
            self.election.retry_later(now);
            return actions;
        };
        let known = self
            .followed_leader()
            .map(|known| known.epoch)
            .unwrap_or_default();
        if known > leader.epoch || self.leader.is_some() {
            return actions;
        }
        self.follow(now, &leader, &mut actions);
        self.election.leader_answered(now);
        let mut nodes = registered.all();
        let known = self.table.clone();
        let unlisted = registered.unlisted(&known);
        actions.push(Action::Log(LeadershipEvent::LeadershipTaken {
            epoch: leader.epoch,
            registered: nodes.len(),
            unlisted: unlisted.len(),
        }));
        nodes.extend(unlisted);
        self.leader = Some(Leader::new(
            &leadership,
            self.timing,
            claimed_at,
            now,
            &registered,
            known,
        ));
        self.last_confirmation = claimed_at;
        let notice = Datagram::Notice(leader, 0, context.configuration_version);
        for known in &nodes {
            if known.node != self.identity.node {
                actions.push(Action::Send(known.address, notice.clone()));
            }
        }
        self.expected_nodes = nodes;
        self.next_reminders = now + REMINDER_INTERVAL;
        self.next_renewal = now;
        actions.extend(self.tick(now, context));
        actions
    }

    /// The store has acknowledged a page of the registry.
    pub fn registry_written(
        &mut self,
        now: Time,
        context: &NodeContext,
        page: &RegistryPage,
    ) -> Vec<Action> {
        let leader = self.leader.as_mut();
        if let Some(leader) = leader.filter(|leader| leader.epoch() == page.epoch)
            && leader.registry_written(now, page.number)
        {
            // The first keys wait for this confirmation, so it is due at once although the claim
            // was recent.
            self.last_confirmation = self.last_confirmation.before(URGENT_CONFIRMATION_GAP);
        }
        self.tick(now, context)
    }
}
