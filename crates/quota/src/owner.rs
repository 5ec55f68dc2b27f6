//! The node that owns a shard: it keeps a bucket a tenant and answers routers.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::bucket::Bucket;
use crate::{Ask, Decision, TenureId, Tolerance};

/// How long an answer is remembered. A router that got none has asked for the last time long before that.
const REMEMBERED: Duration = Duration::from_secs(1);
/// Most answers that are remembered, to bound memory under a flood; the oldest go first.
const MOST_REMEMBERED: usize = 4_096;
/// How often full buckets are looked for, to forget them: they are as those of tenants that never asked.
const SWEEP_EVERY: Duration = Duration::from_secs(1);

/// The time for which a process owns a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tenure {
    /// Its name.
    pub id: TenureId,
    /// When it began.
    pub since: Duration,
}

/// How a tenant stands with its quota.
#[derive(Debug, Clone, PartialEq)]
pub struct Usage {
    /// The tenant.
    pub tenant: String,
    /// Requests a second that its quota allows.
    pub rate_per_s: f64,
    /// Tokens left.
    pub tokens: f64,
    /// Version of the configuration that set the quota.
    pub version: u64,
}

/// The buckets of a node's shards.
#[derive(Debug)]
pub struct Owner {
    tolerance: Tolerance,
    buckets: HashMap<String, (TenureId, Bucket)>,
    answers: HashMap<u64, Decision>,
    answered: VecDeque<(Duration, u64)>,
    next_sweep: Duration,
}

impl Owner {
    /// An owner that has granted nothing.
    pub fn new(tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            buckets: HashMap::new(),
            answers: HashMap::new(),
            answered: VecDeque::new(),
            next_sweep: Duration::ZERO,
        }
    }

    /// Decides on an ask, in a tenure that holds now. An ask that is sent again gets the same answer.
    pub fn decide(&mut self, now: Duration, tenure: Tenure, ask: &Ask) -> Decision {
        self.forget(now);
        if let Some(known) = self.answers.get(&ask.number)
            && known.tenure == tenure.id
        {
            return *known;
        }
        let bucket = self.bucket(now, tenure, ask);
        bucket.set_limit(now, ask.limit);
        for returned in &ask.returned {
            if returned.tenure == tenure.id {
                let granted_at = Duration::from_millis(returned.granted_at_ms);
                bucket.give_back(now, granted_at, returned.tokens);
            }
        }
        let taken = bucket.take(now, ask.wanted);
        let decision = Decision {
            granted: taken.granted,
            retry_after_ms: u32::try_from(taken.retry_after.as_millis()).unwrap_or(u32::MAX),
            tenure: tenure.id,
            decided_at_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
            scarce: bucket.is_scarce(),
        };
        self.remember(now, ask.number, decision);
        decision
    }

    /// How the tenants stand that have used any of their quota lately, in order.
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

    /// The tenant's bucket in this tenure; an empty one if another node may have granted its tokens in between.
    fn bucket(&mut self, now: Duration, tenure: Tenure, ask: &Ask) -> &mut Bucket {
        let tolerance = self.tolerance;
        let fresh = || Bucket::new(now, tenure.since, ask.limit, tolerance);
        let held = self.buckets.entry(ask.tenant.clone());
        let (held_in, bucket) = held.or_insert_with(|| (tenure.id, fresh()));
        if *held_in != tenure.id {
            (*held_in, *bucket) = (tenure.id, fresh());
        }
        bucket
    }

    fn remember(&mut self, now: Duration, number: u64, decision: Decision) {
        self.answers.insert(number, decision);
        self.answered.push_back((now, number));
    }

    fn forget(&mut self, now: Duration) {
        while let Some((at, number)) = self.answered.front().copied() {
            let is_kept = now.saturating_sub(at) < REMEMBERED;
            if is_kept && self.answered.len() <= MOST_REMEMBERED {
                break;
            }
            self.answered.pop_front();
            self.answers.remove(&number);
        }
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_EVERY;
            self.buckets.retain(|_, (_, bucket)| !bucket.is_full(now));
        }
    }
}
