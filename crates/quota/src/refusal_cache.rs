//! Router-side cache of refusals, so that requests over the quota cost no message.

use std::collections::HashMap;
use std::time::Duration;

use crate::Limit;

/// Maximum time for which a refusal is cached, even if the owner gave a longer retry delay: callers
/// may have backed off meanwhile, and then the tenant is served again after this time.
const MAX_CACHE_TIME: Duration = Duration::from_millis(250);
/// Number of tenants from which expired refusals are removed.
const PRUNE_THRESHOLD: usize = 256;

#[derive(Debug)]
struct Refusal {
    /// Requests are refused without a message to the owner until this time.
    cached_until: Duration,
    /// Retry time to give to the next refused caller.
    next_retry_at: Duration,
}

/// Recent refusals by tenant.
#[derive(Debug, Default)]
pub struct RefusalCache {
    refused: HashMap<String, Refusal>,
}

impl RefusalCache {
    /// Records that the owner has refused `callers` requests of a tenant and that the first of them
    /// may retry after `retry_after`. Returns the retry delay of each request; they are spaced by
    /// the refill time of one token.
    pub fn refused(
        &mut self,
        now: Duration,
        tenant: &str,
        limit: &Limit,
        retry_after: Duration,
        callers: u16,
    ) -> Vec<Duration> {
        if self.refused.len() >= PRUNE_THRESHOLD {
            self.refused.retain(|_, refusal| now < refusal.cached_until);
        }
        let behind = |number: u16| retry_after.saturating_add(limit.refill_time(f64::from(number)));
        let refusal = Refusal {
            cached_until: now + retry_after.min(MAX_CACHE_TIME),
            next_retry_at: now.saturating_add(behind(callers)),
        };
        self.refused.insert(tenant.to_owned(), refusal);
        (0..callers).map(behind).collect()
    }

    /// Returns the retry delay of a request that is refused from the cache, at most `window`, or
    /// `None` if the owner must decide.
    pub fn refuses(
        &mut self,
        now: Duration,
        tenant: &str,
        limit: &Limit,
        window: Duration,
    ) -> Option<Duration> {
        let refusal = self.refused.get_mut(tenant)?;
        if now >= refusal.cached_until {
            return None;
        }
        let told = refusal.next_retry_at.saturating_sub(now).min(window);
        refusal.next_retry_at = refusal.next_retry_at.saturating_add(limit.refill_time(1.0));
        Some(told)
    }
}
