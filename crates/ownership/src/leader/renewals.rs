//! Handles nodes' renewals.

use super::registry::Registrar;
use super::*;

/// A renewal causes a pass over all members and ranges at most every (members / this number)
/// milliseconds. The work of a pass grows with the members, so its share of a core stays constant.
/// Longer gaps would delay changes that need a pass; shorter ones would occupy a core of the leader
/// when there are thousands of members.
const MEMBERS_PER_GAP_MILLISECOND: u64 = 4;

impl Leader {
    /// Answers a renewal; `None` if the leader may not give leases. A node counts only once it
    /// obeys this epoch: before that, an earlier leader may still assign keys to it.
    pub fn renewal(&mut self, now: Time, renewal: &Renewal) -> Option<LeaseReply> {
        if renewal.epoch != self.epoch {
            return None;
        }
        if let Some(member) = self.members.get(&renewal.node) {
            if member.is_overtaken(renewal) {
                return None;
            }
            if member.is_past(renewal) {
                let challenged = self.may_lease(now).then(|| self.challenge(renewal));
                return challenged.flatten();
            }
        }
        // A new process that hasn't cleared its target can't report what the target still holds or
        // works on.
        if renewal.clean && self.silent.remove(&renewal.node).is_some() {
            self.last_report_at = now;
        }
        let no_lease_given = Duration::from_millis(renewal.no_lease_given_ms);
        self.record_earlier_leader(now.before(no_lease_given), &renewal.node);
        if has_shards(renewal) {
            // An earlier leader had received the quotas, which this one hasn't yet.
            self.set_quota_shards();
        }
        self.add_reported_service(renewal);
        let mut changed = self.update_member(now, renewal);
        let is_reliable = self
            .members
            .get(&renewal.node)
            .is_some_and(|member| self.is_report_reliable(member));
        if is_reliable {
            changed |= self.apply_report(now, renewal);
        }
        // With many members, not every renewal may cost a pass over all of them. The next tick
        // handles whatever depends on time alone.
        let gap = Duration::from_millis(self.members.len() as u64 / MEMBERS_PER_GAP_MILLISECOND);
        if changed && now.since(self.ticked_at) >= gap {
            self.tick(now);
        }
        if self.may_lease(now) {
            self.grant_lease(now, renewal)
        } else {
            None
        }
    }

    /// Answers a process that counts as an earlier one, without a lease. If it is still running, its
    /// next renewal has applied the assignment in this answer.
    fn challenge(&mut self, renewal: &Renewal) -> Option<LeaseReply> {
        let first = self.next_assignment(&renewal.node);
        let clean_fence = (!renewal.clean).then(|| self.take_fence());
        let member = self.members.get_mut(&renewal.node)?;
        member.challenged = Some((renewal.life, first));
        Some(LeaseReply {
            target: renewal.target.as_ref().map(|target| target.id.clone()),
            clean_fence,
            ..self.reply_without_lease(renewal, first)
        })
    }

    /// An answer that assigns nothing.
    fn reply_without_lease(&self, renewal: &Renewal, assignment: u64) -> LeaseReply {
        LeaseReply {
            epoch: self.epoch,
            life: renewal.life,
            renewal_sent_at: renewal.sent_at,
            lease_ms: 0,
            assignment,
            wanted: Vec::new(),
            target: None,
            clean_fence: None,
            table_version: self.table.version,
            configuration_version: 0,
            configuration_checked_ms_ago: None,
            store_era: self.era,
            evacuations: None,
            quarantine: None,
            registers_itself: false,
            missing_registration: None,
            quota_shards: Vec::new(),
        }
    }

    /// Adds the service of reported keys. An earlier leader had received that it is keyed, which
    /// this one hasn't yet.
    fn add_reported_service(&mut self, renewal: &Renewal) {
        if let Some(target) = &renewal.target
            && !self.is_configured
            && !renewal.held.is_empty()
        {
            self.add_partition(&target.service);
        }
    }

    /// Whether a node can't hold any keys: it reports none, and has known no target for so long that
    /// every lease from before has expired. Such a node applies no assignment.
    fn is_without_keys(&self, now: Time, renewal: &Renewal) -> bool {
        let member = self.members.get(&renewal.node);
        let no_target_since = member.and_then(|member| member.no_target_since);
        let wait = self.timing.lease + self.timing.lease_margin;
        renewal.held.is_empty() && no_target_since.is_some_and(|since| now >= since + wait)
    }

    /// Applies a node's report of its keys and shards. Returns whether any became free.
    fn apply_report(&mut self, now: Time, renewal: &Renewal) -> bool {
        let mut freed = false;
        let is_without_keys = self.is_without_keys(now, renewal);
        for (service, partition) in &mut self.partitions {
            let target = renewal.target.as_ref();
            let scope = ReportScope {
                is_of_service: target.is_some_and(|target| target.service == *service),
                is_without_keys,
            };
            freed |= partition.report(renewal, scope);
        }
        if let Some(shards) = &mut self.shards {
            let report = renewal.quota_shards.clone().unwrap_or_default();
            freed |= shards.report(&renewal.node, &report);
        }
        if freed {
            // Replies in flight still list what is free now.
            self.next_assignment(&renewal.node);
        }
        freed
    }

    /// Gives a node a lease on its assignment. A node that hasn't cleared its target gets a lease
    /// of zero length and a fence to clear the target under. `None` if the node isn't known.
    fn grant_lease(&mut self, now: Time, renewal: &Renewal) -> Option<LeaseReply> {
        let lease = if renewal.clean {
            self.timing.lease
        } else {
            Duration::ZERO
        };
        let registers_itself = self.registrar(now) == Registrar::EachNode;
        let missing_registration = self.missing_registration(renewal);
        let member = self.members.get_mut(&renewal.node)?;
        if renewal.clean {
            member.lease_until = now + lease;
        }
        let assignment = member.assignment;
        member.told.0 = assignment;
        let target = member.view.target.as_ref().map(|target| target.id.clone());
        let clean_fence = (!renewal.clean).then(|| self.take_fence());
        Some(LeaseReply {
            lease_ms: u64::try_from(lease.as_millis()).unwrap_or(0),
            wanted: target
                .as_ref()
                .map_or_else(Vec::new, |target| self.wanted(&renewal.node, target)),
            target,
            clean_fence,
            registers_itself,
            missing_registration,
            quota_shards: self
                .shards
                .as_ref()
                .map_or_else(Vec::new, |shards| shards.owned_by(&renewal.node)),
            ..self.reply_without_lease(renewal, assignment)
        })
    }

    /// Updates the leader's view of a node. Returns whether anything changed that the plan or the
    /// table depends on.
    pub(super) fn update_member(&mut self, now: Time, renewal: &Renewal) -> bool {
        let lease_until = now + self.timing.lease;
        let registrar = self.registrar(now);
        let registered_for = self.registered_for(renewal);
        let is_listed = registered_for.is_some() && self.is_listed(renewal);
        let is_new = !self.members.contains_key(&renewal.node);
        if is_new {
            self.joined_at = now;
        }
        let member = self
            .members
            .entry(renewal.node.clone())
            .or_insert_with(|| Member {
                life: renewal.life,
                view: view_of(renewal),
                lease_until,
                clean: renewal.clean,
                assignment: 0,
                told: (0, Time::default()),
                registered_at: None,
                registered_for: None,
                store_reachable: true,
                link_mbps: renewal.link_mbps,
                configuration_version: 0,
                renewed_at: now,
                past_lives: Vec::new(),
                challenged: None,
                no_target_since: None,
                life_seen_at: now,
                newest_sent_at: renewal.sent_at,
            });
        let restarted = member.life != renewal.life;
        let view = view_of(renewal);
        let changed = is_new || restarted || member.view != view || member.clean != renewal.clean;
        let before = member.view.target.as_ref().map(|target| target.id.clone());
        let replaced = match (&before, &renewal.target) {
            (Some(before), Some(target)) => *before != target.id,
            _ => false,
        };
        if restarted {
            member.begin_life(now, renewal.life);
            // The previous process may have removed its registration before this one registered.
            member.registered_at = None;
        }
        member.newest_sent_at = renewal.sent_at;
        member.no_target_since = match renewal.target {
            Some(_) => None,
            None => member.no_target_since.or(Some(now)),
        };
        member.view = view;
        member.clean = renewal.clean;
        member.store_reachable = renewal.store_reachable;
        member.link_mbps = renewal.link_mbps;
        member.configuration_version = renewal.configuration_version;
        member.renewed_at = now;
        member.registered_at = match &registered_for {
            None => None,
            // Any later leader reads this registration too.
            Some(_) if is_listed => Some(Time::default()),
            Some(_) => member.registered_at.or(Some(now)),
        };
        member.registered_for = registered_for;
        if member.registered_for.is_none()
            && let Some(service) = &renewal.service
            && !renewal.leaving
        {
            if registrar == Registrar::Leader {
                self.registry.register(&member.view, service);
            }
            let entry = self.registry.entry(&renewal.node);
            member.registered_at = entry.map(|entry| entry.at);
            member.registered_for = entry.and_then(|entry| entry.service.clone());
        }
        self.end_earlier_process(&renewal.node, restarted, replaced);
        changed
    }

    /// The service for which the store has a process registered, as the process reports it; `None`
    /// if the registration is missing, or may be because it was acknowledged in an earlier era.
    fn registered_for(&self, renewal: &Renewal) -> Option<String> {
        let is_current = renewal.registered_in >= self.era;
        let is_stored = is_current && self.missing_registration(renewal).is_none();
        renewal.registered_for.clone().filter(|_| is_stored)
    }

    /// The revision of a process's registration if that was written before this leader listed the
    /// registrations, and the list lacked it.
    fn missing_registration(&self, renewal: &Renewal) -> Option<u64> {
        let is_comparable = renewal.registered_in == self.era;
        let is_earlier = |revision: &u64| *revision <= self.self_registered_revision;
        let earlier = renewal.registered_revision.filter(is_earlier);
        earlier.filter(|_| is_comparable && !self.is_listed(renewal))
    }

    /// Whether the list that this leader read contains a process's registration. That of another
    /// process of the node proves nothing: it may have been removed since.
    fn is_listed(&self, renewal: &Renewal) -> bool {
        let listed = self.self_registered.get(&renewal.node);
        listed.is_some_and(|listed| {
            listed.life == Some(renewal.life)
                && listed.era == Some(renewal.registered_in)
                && listed.service == renewal.registered_for
        })
    }

    /// Revokes the shards of a node if its process has restarted, and its keys also if its target
    /// was replaced: the new process of the target may hold keys under grants that were sent before
    /// the node knew it. They are free once the node no longer reports them.
    fn end_earlier_process(&mut self, node: &NodeName, restarted: bool, replaced: bool) {
        if let Some(shards) = &mut self.shards
            && restarted
        {
            shards.revoke_all_of(node);
        }
        for partition in self.partitions.values_mut() {
            if restarted || replaced {
                partition.revoke_all_of(node);
            }
            if replaced {
                partition.load.forget_service_time(node);
            }
        }
    }

    /// Records the load that an owner reports.
    pub fn load(&mut self, report: &LoadReport) {
        if let Some(partition) = self.partitions.get_mut(&report.service) {
            let ranges = partition.owned_by(&report.node);
            partition.load.record(report, &ranges);
        }
    }
}

fn has_shards(renewal: &Renewal) -> bool {
    let report = renewal.quota_shards.as_ref();
    report.is_some_and(|report| !report.owned.is_empty())
}

fn view_of(renewal: &Renewal) -> MemberView {
    MemberView {
        node: renewal.node.clone(),
        zone: renewal.zone.clone(),
        address: renewal.address,
        target: renewal.target.clone(),
        leaving: renewal.leaving,
        quota_shards: Vec::new(),
    }
}
