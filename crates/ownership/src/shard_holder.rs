//! The shards of tenants' quotas that this process owns.

use std::collections::BTreeMap;
use std::time::Duration;

use wingspar_quota::Shard;

use crate::{Epoch, LeaseReply, ShardReport, Time};

/// What a process owns until its lease ends. Unlike keys, shards involve no target: when the
/// process ends, so does its ownership.
#[derive(Debug, Default)]
pub struct ShardHolder {
    epoch: Epoch,
    lease_until: Time,
    /// When the latest answered renewal was sent.
    answered: Time,
    /// Number of the last assignment that was applied.
    applied: u64,
    /// The owned shards, and since when this process has owned each.
    owned: BTreeMap<Shard, Time>,
}

impl ShardHolder {
    /// Obeys an epoch from now on; lower epochs are refused.
    pub fn promise(&mut self, epoch: Epoch) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.applied = 0;
        }
    }

    /// Handles a leader's reply. Returns whether it revoked any shards; the leader waits for a
    /// renewal that reports it.
    pub fn lease(&mut self, now: Time, reply: &LeaseReply) -> bool {
        if reply.epoch < self.epoch {
            return false;
        }
        self.drop_expired(now);
        self.promise(reply.epoch);
        // Shards in an overtaken reply may have another owner by now.
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

    /// The report for the leader.
    pub fn report(&mut self, now: Time) -> ShardReport {
        self.drop_expired(now);
        ShardReport {
            applied: self.applied,
            owned: self.owned.keys().copied().collect(),
        }
    }

    /// Since when this process has owned a shard; `None` if it doesn't own it.
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

    /// Drops the shards when the lease has expired: they may have other owners by now. Replies to
    /// renewals that were sent before are ignored, since they may still list these shards.
    fn drop_expired(&mut self, now: Time) {
        if now >= self.lease_until && !self.owned.is_empty() {
            self.owned.clear();
            self.answered = self.answered.max(now);
        }
    }
}
