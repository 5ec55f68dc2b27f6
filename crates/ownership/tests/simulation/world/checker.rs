//! Invariants that must hold at all times, as observed at the targets.

use super::*;

/// Time within which a shard taken from a node has its next owner, in milliseconds: four datagrams,
/// some of them lost.
const MAX_SHARD_MOVE_MS: u64 = 1_000;

/// Time for which two targets may hold a key on which no requests are started, in milliseconds.
const MAX_SHARED_MS: u64 = 500;

impl World {
    pub(super) fn fail(&mut self, rule: Rule, detail: String) {
        if self.violation.is_none() {
            self.violation = Some(Violation {
                rule,
                at_ms: self.now,
                detail,
            });
        }
    }

    /// Records that a target has acquired a key, and checks that its fence is higher than every
    /// fence under which another target, or another life of this one, held the key. A renewal that
    /// was sent in the belief of an earlier life of this target has the fence of that life.
    pub(super) fn acquired(
        &mut self,
        index: usize,
        key: usize,
        fence: Fence,
        is_renewal_across_lives: bool,
    ) {
        let id = self.machines[index].target.id.clone();
        let is_renewed = |holder: &str, held: Fence| {
            is_renewal_across_lives && held == fence && is_life_of(index, holder)
        };
        let other = self.fences[key].iter().find(|(holder, held)| {
            **holder != id && **held >= fence && !is_renewed(holder, **held)
        });
        if let Some((holder, held)) = other {
            let detail = format!(
                "key {key} was acquired by {id} under {fence:?}, {holder} had it under {held:?}"
            );
            self.fail(Rule::OneOwner, detail);
        }
        let known = self.fences[key].entry(id).or_default();
        *known = (*known).max(fence);
    }

    pub(super) fn check(&mut self) {
        for index in 0..WATCHED_KEYS {
            let serving = (0..NODES)
                .filter(|node| self.serves(*node, index))
                .collect::<Vec<_>>();
            if serving.len() > 1 {
                let fences = serving
                    .iter()
                    .map(|node| self.machines[*node].target.fence(self.now, index))
                    .collect::<Vec<_>>();
                let detail = format!("key {index} is served by nodes {serving:?} under {fences:?}");
                self.fail(Rule::OneOwner, detail);
            }
            self.record_served(index, serving.first().copied());
            self.check_holders(index);
        }
        if self.options.has_quotas {
            self.check_shards();
        }
        self.check_registrations();
    }

    /// Checks that a key that several targets hold, whether or not requests arrive, soon has only
    /// one holder. Late grants don't count.
    fn check_holders(&mut self, index: usize) {
        let holders = (0..NODES)
            .filter(|node| self.machines[*node].target.holds_in_time(self.now, index))
            .collect::<Vec<_>>();
        if holders.len() < 2 {
            self.shared_since[index] = None;
            return;
        }
        let since = *self.shared_since[index].get_or_insert(self.now);
        if self.now > since + MAX_SHARED_MS {
            let detail = format!("key {index} is held by the targets of nodes {holders:?}");
            self.fail(Rule::OneOwner, detail);
        }
    }

    /// Checks that the store holds the registration of each process from its acknowledgement until
    /// the process begins to remove it.
    fn check_registrations(&mut self) {
        for index in 0..NODES {
            let machine = &self.machines[index];
            let is_acknowledged = machine.participant.is_some()
                && machine.registered_at.is_some_and(|at| at.era == self.era);
            if !is_acknowledged || machine.removes_registration {
                continue;
            }
            let own = self.own_registration(index);
            let stored = self.registered.get(&own.object_name(&machine.name));
            if stored.is_none_or(|(_, stored)| *stored != own) {
                let detail = format!("the store lacks the registration of node {index}");
                self.fail(Rule::Registered, detail);
            }
        }
    }

    /// Checks that each shard has at most one owner, and at the end that each has one.
    fn check_shards(&mut self) {
        for shard in Shard::all() {
            let owners = (0..NODES)
                .filter(|node| self.owns_shard(*node, shard))
                .collect::<Vec<_>>();
            if owners.len() > 1 {
                let detail = format!("{shard:?} is owned by nodes {owners:?}");
                self.fail(Rule::OneOwner, detail);
            }
            if !owners.is_empty() {
                self.shard_owned_at.insert(shard, self.now);
            }
            let owned_at = self.shard_owned_at.get(&shard).copied().unwrap_or_default();
            // Shards are still moving, one by one, to nodes that came back last. Each has no owner
            // for a moment.
            if self.now + TICK_INTERVAL_MS >= END_MS && self.now > owned_at + MAX_SHARD_MOVE_MS {
                let detail = format!("{shard:?} has no owner long after the faults");
                self.fail(Rule::ServedAgain, detail);
            }
        }
    }

    fn owns_shard(&self, node: usize, shard: Shard) -> bool {
        let machine = &self.machines[node];
        let now = if self.options.shards_ignore_leases {
            Time::default()
        } else {
            self.clock(node)
        };
        let owned = |participant: &Participant| participant.owns_shard_since(now, shard);
        self.now >= machine.frozen_until && machine.participant.as_ref().and_then(owned).is_some()
    }

    /// Returns whether a request for the key would be started at the node's target now.
    pub(super) fn serves(&self, node: usize, index: usize) -> bool {
        let machine = &self.machines[node];
        let Some(participant) = &machine.participant else {
            return false;
        };
        if self.now < machine.frozen_until || !machine.target.holds(self.now, index) {
            return false;
        }
        if self.options.late_heartbeats && !self.knows_target(node) {
            // Requests name the life that they are meant for, and another one rejects them.
            return false;
        }
        let admission = participant.admission(self.clock(node), key(index));
        if self.options.agents_ignore_leases {
            return true;
        }
        admission == Admission::Granted
    }

    pub(super) fn record_served(&mut self, index: usize, owner: Option<usize>) {
        if self.now < FAULT_PERIOD_MS.0 {
            if let Some(owner) = owner {
                self.last_owner[index] = Some(owner);
            }
            return;
        }
        if let Some(owner) = owner {
            self.served_at[index] = self.now;
            self.last_owner[index] = Some(owner);
            return;
        }
        let unserved = self.now - self.served_at[index];
        if unserved == 500 {
            self.trace(|| {
                format!(
                    "key {index} ({}) unserved for 500 ms, last at {:?}",
                    key(index),
                    self.last_owner[index]
                )
            });
        }
        self.summary.longest_unserved_ms = self.summary.longest_unserved_ms.max(unserved);
        if self.last_owner[index] != self.lost || self.lost.is_none() {
            let elsewhere = &mut self.summary.longest_unserved_elsewhere_ms;
            *elsewhere = (*elsewhere).max(unserved);
        }
        if self.now == END_MS - END_MS % CHECK_INTERVAL_MS && unserved > 2_000 {
            if std::env::var("DUMP").is_ok() {
                for (node, machine) in self.machines.iter().enumerate() {
                    eprintln!(
                        "{} {:?}\n{:#?}",
                        node,
                        self.clock(node),
                        machine.participant
                    );
                }
            }
            let detail = format!(
                "key {index} is not served by any node {RECOVERY_TIMEOUT_MS} ms after the last fault"
            );
            self.fail(Rule::ServedAgain, detail);
        }
    }
}

/// Whether the target with this id is a life of the machine's target.
fn is_life_of(index: usize, id: &str) -> bool {
    id.starts_with(&format!("t{index}-"))
}
