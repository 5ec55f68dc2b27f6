//! The keys that a target holds, by calls to it or by the answers to its heartbeats.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::state::{Shared, lock};

/// A range of keys that a target may hold for a while.
#[derive(Debug, Clone, Copy)]
pub(super) struct Grant {
    from: u64,
    to: u64,
    fence: u64,
    until: Instant,
}

/// The keys of a target that takes them in the answers to its heartbeats.
#[derive(Debug, Clone)]
pub struct TargetKeys(pub(super) Arc<Shared>);

impl TargetKeys {
    /// Adds the keys that the target holds, or has let go, to a heartbeat.
    pub fn tell(&self, heartbeat: &mut Value) {
        let now = Instant::now();
        let grants = lock(&self.0.grants);
        let holds = grants.iter().filter(|grant| now < grant.until);
        heartbeat["holds"] = holds
            .map(|grant| json!([grant.from, grant.to, grant.fence]))
            .collect();
        heartbeat["released"] = lock(&self.0.let_go)
            .iter()
            .map(|(from, to)| json!([from, to, "token"]))
            .collect();
    }

    /// Takes the answer to a heartbeat sent at `sent_at`. Returns whether keys were let go, so that the next
    /// heartbeat follows soon.
    #[must_use]
    pub fn take(&self, sent_at: Instant, answer: &Value) -> bool {
        let (Some(rows), Some(hold)) = (answer["holds"].as_array(), answer["hold_s"].as_f64())
        else {
            return false;
        };
        let row = |row: &Value| {
            Some(Grant {
                from: row[0].as_u64()?,
                to: row[1].as_u64()?,
                fence: row[2].as_u64()?,
                until: sent_at + Duration::from_secs_f64(hold),
            })
        };
        let next = rows.iter().filter_map(row).collect::<Vec<_>>();
        let mut grants = lock(&self.0.grants);
        let mut left_out = grants.clone();
        for kept in &next {
            left_out = left_out
                .iter()
                .flat_map(|grant| grant.outside(kept.from, kept.to))
                .collect();
        }
        *grants = next;
        let mut let_go = lock(&self.0.let_go);
        *let_go = left_out
            .iter()
            .map(|grant| (grant.from, grant.to))
            .collect();
        !let_go.is_empty()
    }
}

impl Shared {
    pub(super) fn holds(&self, key: u16) -> bool {
        self.fence_of(key).is_some()
    }

    /// The fence of the grant that covers a key now.
    pub(super) fn fence_of(&self, key: u16) -> Option<u64> {
        let key = u64::from(key);
        let now = Instant::now();
        lock(&self.grants)
            .iter()
            .find(|grant| grant.from <= key && key <= grant.to && now < grant.until)
            .map(|grant| grant.fence)
    }

    pub(super) fn grant(&self, order: &Value) -> u16 {
        let (Some(from), Some(to), Some(fence), Some(hold)) = (
            order["from"].as_u64(),
            order["to_version"].as_u64(),
            order["fence"].as_u64(),
            order["hold_s"].as_f64(),
        ) else {
            return 400;
        };
        let mut grants = lock(&self.grants);
        if grants
            .iter()
            .any(|grant| grant.from <= to && from <= grant.to && grant.fence > fence)
        {
            return 409;
        }
        grants.retain(|grant| grant.from < from || grant.to > to);
        grants.push(Grant {
            from,
            to,
            fence,
            until: Instant::now() + Duration::from_secs_f64(hold),
        });
        200
    }

    pub(super) fn release(&self, order: &Value) {
        let (Some(from), Some(to)) = (order["from"].as_u64(), order["to_version"].as_u64()) else {
            return;
        };
        let mut grants = lock(&self.grants);
        let kept = grants
            .iter()
            .flat_map(|grant| grant.outside(from, to))
            .collect();
        *grants = kept;
    }
}

impl Grant {
    /// The parts of the grant before and behind a range.
    fn outside(&self, from: u64, to: u64) -> Vec<Self> {
        let before = (self.from, self.to.min(from.wrapping_sub(1)));
        let behind = (self.from.max(to + 1), self.to);
        let part = |(first, last): (u64, u64)| Self {
            from: first,
            to: last,
            ..*self
        };
        let mut parts = Vec::new();
        if self.from < from {
            parts.push(part(before));
        }
        if self.to > to {
            parts.push(part(behind));
        }
        parts
    }
}
