//! The shards of tenants' quotas that this process owns.

use std::collections::BTreeMap;
use std::time::Duration;

use wingspar_quota::Shard;

use crate::{Epoch, LeaseReply, ShardReport, Time};

/// What a process may own until its lease ends. Unlike keys, shards need nothing of the target: a process that ends
/// takes its ownership with it.
#[derive(Debug, Default)]
pub struct ShardHolder {
    epoch: Epoch,
    lease_until: Time,
    /// When the newest renewal was sent that has been answered.
    answered: Time,
    /// The last assignment taken on.
    applied: u64,
    /// The shards, and since when they are this process's.
    owned: BTreeMap<Shard, Time>,
}

impl ShardHolder {
    /// Obeys an epoch from now on; lower ones are refused.
    pub fn promise(&mut self, epoch: Epoch) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.applied = 0;
        }
    }

    /// Takes in a leader's answer. Returns whether it took any shards back, which the leader waits to hear.
    pub fn lease(&mut self, now: Time, reply: &LeaseReply) -> bool {
        if reply.epoch < self.epoch {
            return false;
        }
        self.drop_expired(now);
        self.promise(reply.epoch);
        // What an overtaken answer names may be another's by now.
        if reply.renewal_sent_at < self.answered || reply.assignment < self.applied {
            return false;
        }
        self.answered = reply.renewal_sent_at;
        self.applied = reply.assignment;
        let lease = Duration::from_millis(reply.lease_ms);
        self.lease_until = self.lease_until.max(reply.renewal_sent_at + lease);
        let owned_before = self.owned.len();
        self.owned
            .retain(|shard, _| reply.quota_shards.contains(shard));
        let gives_back = self.owned.len() < owned_before;
        for shard in &reply.quota_shards {
            self.owned.entry(*shard).or_insert(now);
        }
        gives_back
    }

    /// What the leader is told.
    pub fn report(&mut self, now: Time) -> ShardReport {
        self.drop_expired(now);
        ShardReport {
            applied: self.applied,
            owned: self.owned.keys().copied().collect(),
        }
    }

    /// Since when this process owns a shard; nothing if it doesn't.
    pub fn owned_since(&self, now: Time, shard: Shard) -> Option<Time> {
        if now >= self.lease_until {
            return None;
        }
        self.owned.get(&shard).copied()
    }

    /// The shards that this process owns.
    pub fn owned(&self, now: Time) -> Vec<Shard> {
        let is_leased = now < self.lease_until;
        let owned = self.owned.keys().filter(|_| is_leased);
        owned.copied().collect()
    }

    /// Forgets the shards when the lease has ended: they may be another's by now. So may those that an answer names
    /// whose renewal still told of them.
    fn drop_expired(&mut self, now: Time) {
        if now >= self.lease_until && !self.owned.is_empty() {
            self.owned.clear();
            self.answered = self.answered.max(now);
        }
    }
}
