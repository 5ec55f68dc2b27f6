//! The owner of shards: keeps a token bucket per tenant and decides on the asks of routers.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::bucket::Bucket;
use crate::{Ask, Decision, OwnershipId, Tolerance};

/// How long decisions are kept to answer retries. A router that got no answer sends its last retry
/// long before that.
const ANSWER_RETENTION: Duration = Duration::from_secs(1);
/// Maximum number of decisions kept, to bound memory under a flood of asks; the oldest are evicted
/// first.
const MAX_REMEMBERED_ANSWERS: usize = 4_096;
/// Interval at which full buckets are removed. A full bucket equals that of a tenant that has never
/// requested a token.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// An uninterrupted period in which a process owns a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ownership {
    /// Identifies the period; differs for each.
    pub id: OwnershipId,
    /// Start of the period.
    pub since: Duration,
}

/// A tenant's use of its quota.
#[derive(Debug, Clone, PartialEq)]
pub struct Usage {
    /// Name of the tenant.
    pub tenant: String,
    /// Requests per second allowed by the quota.
    pub rate_per_s: f64,
    /// Number of tokens available.
    pub tokens: f64,
    /// Version of the configuration that set the quota.
    pub version: u64,
}

/// Token buckets of all tenants whose shards this node owns.
#[derive(Debug)]
pub struct Owner {
    tolerance: Tolerance,
    buckets: HashMap<String, (OwnershipId, Bucket)>,
    answers: HashMap<u64, Decision>,
    answered: VecDeque<(Duration, u64)>,
    next_sweep: Duration,
}

impl Owner {
    /// Creates an owner without any buckets.
    pub fn new(tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            buckets: HashMap::new(),
            answers: HashMap::new(),
            answered: VecDeque::new(),
            next_sweep: Duration::ZERO,
        }
    }

    /// Decides on an ask during an ownership that is valid now. A retried ask gets the same
    /// decision and takes no tokens.
    pub fn decide(&mut self, now: Duration, ownership: Ownership, ask: &Ask) -> Decision {
        self.evict(now);
        if let Some(known) = self.answers.get(&ask.number)
            && known.ownership_id == ownership.id
        {
            return *known;
        }
        let bucket = self.bucket(now, ownership, ask);
        bucket.set_limit(now, ask.limit);
        for returned in &ask.returned {
            if returned.ownership_id == ownership.id {
                let granted_at = Duration::from_millis(returned.granted_at_ms);
                bucket.return_tokens(now, granted_at, returned.tokens);
            }
        }
        let result = bucket.take(now, ask.wanted);
        let decision = Decision {
            granted: result.granted,
            retry_after_ms: u32::try_from(result.retry_after.as_millis()).unwrap_or(u32::MAX),
            ownership_id: ownership.id,
            decided_at_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
            scarce: bucket.is_scarce(),
        };
        self.remember(now, ask.number, decision);
        decision
    }

    /// Returns the usage of all tenants that have used some of their quota recently, ordered by
    /// name.
    pub fn usage(&mut self, now: Duration) -> Vec<Usage> {
        let mut usage = self
            .buckets
            .iter_mut()
            .map(|(tenant, (_, bucket))| Usage {
                tenant: tenant.clone(),
                rate_per_s: bucket.limit().rate_per_s,
                tokens: bucket.tokens(now),
                version: bucket.limit().version,
            })
            .collect::<Vec<_>>();
        usage.sort_by(|left, right| left.tenant.cmp(&right.tenant));
        usage
    }

    /// Returns the tenant's bucket in this ownership. It is replaced by an empty one if its
    /// ownership is another, because another node may have granted the tenant's tokens in between.
    fn bucket(&mut self, now: Duration, ownership: Ownership, ask: &Ask) -> &mut Bucket {
        let tolerance = self.tolerance;
        let new_bucket = || Bucket::new(now, ownership.since, ask.limit, tolerance);
        let held = self.buckets.entry(ask.tenant.clone());
        let (bucket_ownership, bucket) = held.or_insert_with(|| (ownership.id, new_bucket()));
        if *bucket_ownership != ownership.id {
            (*bucket_ownership, *bucket) = (ownership.id, new_bucket());
        }
        bucket
    }

    fn remember(&mut self, now: Duration, number: u64, decision: Decision) {
        self.answers.insert(number, decision);
        self.answered.push_back((now, number));
    }

    fn evict(&mut self, now: Duration) {
        while let Some((at, number)) = self.answered.front().copied() {
            let is_recent = now.saturating_sub(at) < ANSWER_RETENTION;
            if is_recent && self.answered.len() <= MAX_REMEMBERED_ANSWERS {
                break;
            }
            self.answered.pop_front();
            self.answers.remove(&number);
        }
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.buckets.retain(|_, (_, bucket)| !bucket.is_full(now));
        }
    }
}
