//! What the node does while it leads.

use super::*;
use crate::notice::notice_gap;

impl Participant {
    pub(super) fn lead(&mut self, now: Time, context: &NodeContext, actions: &mut Vec<Action>) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        if context.configuration_version > 0 {
            leader.set_keyed_services(&context.keyed_services);
            leader.set_owner_zones(&context.owner_zones);
        }
        if context.has_quotas {
            leader.set_quota_shards();
        }
        leader.tick(now);
        let freed = leader.take_freed().into_iter();
        actions.extend(freed.map(|freed| Action::Log(LeadershipEvent::KeysFreed(freed))));
        if let Some(page) = leader.registry_page(now) {
            actions.push(Action::WriteRegistry(page));
        }
        if let Some(name) = leader.obsolete_page() {
            actions.push(Action::RemoveRegistry(name));
        }
        let since = now.since(self.last_confirmation);
        let is_urgent = since >= URGENT_CONFIRMATION_GAP && leader.needs_confirmation(now);
        let timeout = if is_urgent {
            URGENT_CONFIRMATION_TIMEOUT
        } else {
            CALL_TIMEOUT
        };
        let confirming = self
            .confirming_since
            .is_some_and(|since| now.since(since) < timeout);
        let is_unconfirmed = now.since(leader.confirmed_at()) >= MAX_UNCONFIRMED_TIME;
        if (is_urgent || since >= self.timing.confirm_interval) && !confirming {
            self.last_confirmation = now;
            self.confirming_since = Some(now);
            actions.push(Action::Confirm);
        }
        let fitness = Fitness::of(
            context.target.as_ref(),
            &context.keyed_services,
            context.link_mbps,
            Self::workload(context, leader.members().len()),
        );
        let wants_successor = match fitness {
            Fitness::Preferred => false,
            Fitness::Deprioritized => leader.have_earlier_leases_expired(now),
            Fitness::WeakLink => true,
        };
        if (is_unconfirmed || wants_successor || context.leaving) && now >= self.next_take_over {
            self.next_take_over = now + TAKE_OVER_REQUEST_INTERVAL;
            let is_required = is_unconfirmed || context.leaving;
            self.request_take_over(now, context, fitness, is_required, actions);
        }
        self.remind_silent(now, context, actions);
        self.announce_changes(now, context, actions);
    }

    /// Reminds silent nodes of who leads, a limited number at a time: nodes that were known before
    /// the election, and nodes that have renewed since but not lately.
    fn remind_silent(&mut self, now: Time, context: &NodeContext, actions: &mut Vec<Action>) {
        if now < self.next_reminders {
            return;
        }
        self.next_reminders = now + REMINDER_INTERVAL;
        let (Some(leader), Some(reference)) = (&self.leader, self.election.leader().cloned())
        else {
            return;
        };
        let members = leader.members();
        let heard_once = members
            .values()
            .filter(|member| now.since(member.renewed_at) >= self.timing.suspect_after)
            .map(|member| (&member.view.node, member.view.address));
        let never_heard = self
            .expected_nodes
            .iter()
            .filter(|known| !members.contains_key(&known.node))
            .map(|known| (&known.node, known.address));
        let silent = heard_once
            .chain(never_heard)
            .filter(|(name, _)| **name != self.identity.node)
            .map(|(_, address)| address)
            .collect::<Vec<_>>();
        self.rotation += 1;
        let version = leader.table().version;
        let notice = Datagram::Notice(reference, version, context.configuration_version);
        let start = self.rotation as usize * MAX_REMINDERS_AT_ONCE;
        for offset in 0..silent.len().min(MAX_REMINDERS_AT_ONCE) {
            let address = silent[(start + offset) % silent.len()];
            actions.push(Action::Send(address, notice.clone()));
        }
    }

    /// A confirmation that was sent at `sent_at` has ended; `stored` is what the store holds,
    /// `None` if it didn't answer.
    pub fn confirmed(&mut self, now: Time, sent_at: Time, stored: Stored) -> Vec<Action> {
        self.confirming_since = None;
        let mut actions = Vec::new();
        let Some((revision, leadership)) = stored else {
            return actions;
        };
        if self.has_lost_claim(&leadership) {
            self.reclaim(now, (revision, leadership), &mut actions);
            return actions;
        }
        if !self.is_this_process(&leadership.leader) {
            self.follow(now, &leadership.leader, &mut actions);
            return actions;
        }
        let Some(leader) = &mut self.leader else {
            return actions;
        };
        if leader.epoch() != leadership.leader.epoch {
            return actions;
        }
        leader.confirm(sent_at);
        leader.shard_scope_read(revision, leadership.shards_anywhere);
        if let Some(shards_anywhere) = leader.desired_shard_scope(now) {
            leader.rewriting_shard_scope(revision, shards_anywhere);
            let rewritten = Leadership {
                shards_anywhere,
                ..leadership
            };
            actions.push(Action::Rewrite(revision, rewritten));
            return actions;
        }
        let is_only_leader = leadership.earlier.as_ref().is_some_and(Vec::is_empty)
            && leadership.restored_ms_ago.is_none();
        let is_counted = leadership.nodes > 0;
        if leader.have_earlier_leases_expired(now)
            && !(is_only_leader && is_counted)
            && self.rewritten_epoch != leader.epoch()
        {
            // Later leaders needn't wait for leaders before this one.
            self.rewritten_epoch = leader.epoch();
            let earlier = Some(Vec::new());
            let nodes = u32::try_from(leader.members().len()).unwrap_or(u32::MAX);
            actions.push(Action::Rewrite(
                revision,
                Leadership {
                    earlier,
                    nodes,
                    restored_ms_ago: None,
                    ..leadership
                },
            ));
        }
        actions
    }

    /// Whether the store was restored from a backup after this node's election and nobody has
    /// claimed the leadership in that era yet. Another node's claim may be among what was lost, so
    /// even an object that names this node is no longer valid. Also true if the object was replaced
    /// by one of an earlier epoch, as a call that is executed late may do.
    fn has_lost_claim(&self, stored: &Leadership) -> bool {
        let era = self.store_era;
        self.leader.as_ref().is_some_and(|leader| {
            let is_before = leader.era() != era && stored.era != era;
            is_before || stored.leader.epoch < leader.epoch()
        })
    }

    /// Stops leading and claims the leadership again.
    fn reclaim(&mut self, now: Time, stored: (u64, Leadership), actions: &mut Vec<Action>) {
        if let Some(leader) = self.leader.take() {
            actions.push(Action::Log(LeadershipEvent::LeadershipLost(leader.epoch())));
        }
        self.election.begin_claim(now);
        let (revision, leadership) = self.next_leadership(now, Some(stored));
        actions.push(Action::Claim(revision, leadership));
    }

    /// Requests that a node that reaches the store take over: a more suitable one, or any if this
    /// node has to stop leading.
    pub(super) fn request_take_over(
        &mut self,
        now: Time,
        context: &NodeContext,
        fitness: Fitness,
        is_required: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(leader) = &self.leader else {
            return;
        };
        let successors = leader
            .members()
            .iter()
            .filter(|(name, member)| {
                **name != self.identity.node && member.store_reachable && !member.view.leaving
            })
            .filter(|(_, member)| now.since(member.renewed_at) < self.timing.suspect_after)
            .map(|(_, member)| member)
            .collect::<Vec<_>>();
        let workload = Self::workload(context, leader.members().len());
        let fitness_of = |member: &Member| {
            let target = member.view.target.as_ref();
            Fitness::of(target, &context.keyed_services, member.link_mbps, workload)
        };
        let Some(best) = successors.iter().map(|member| fitness_of(member)).min() else {
            return;
        };
        if !is_required && best >= fitness {
            return;
        }
        let successors = successors
            .into_iter()
            .filter(|member| fitness_of(member) == best)
            .collect::<Vec<_>>();
        if successors.is_empty() {
            return;
        }
        self.rotation += 1;
        let chosen =
            (self.identity.life.0.wrapping_add(self.rotation) % successors.len() as u64) as usize;
        actions.push(Action::Send(
            successors[chosen].view.address,
            Datagram::TakeOver(leader.epoch()),
        ));
    }

    /// Announces changes of the table or the configuration to the members.
    pub(super) fn announce_changes(
        &mut self,
        now: Time,
        context: &NodeContext,
        actions: &mut Vec<Action>,
    ) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let epoch = leader.epoch();
        let calls = leader.due_calls(now).into_iter();
        actions.extend(calls.map(|address| Action::Send(address, Datagram::Call(epoch))));
        let version = (epoch, leader.table().version, context.configuration_version);
        if self.announced == version {
            return;
        }
        let gap = notice_gap(leader.members().len());
        let is_due_now = self.announced.0 != version.0 || self.announced.2 != version.2;
        if !is_due_now && now.since(self.announced_at) < gap {
            return;
        }
        self.announced = version;
        self.announced_at = now;
        if self.table != *leader.table() {
            self.table = leader.table().clone();
            actions.push(Action::TableChanged);
        }
        let Some(reference) = self.election.leader().cloned() else {
            return;
        };
        let notice = Datagram::Notice(reference, version.1, version.2);
        for (name, member) in leader.members() {
            if *name != self.identity.node && now.since(member.renewed_at) < self.timing.leadership
            {
                actions.push(Action::Send(member.view.address, notice.clone()));
            }
        }
    }
}
