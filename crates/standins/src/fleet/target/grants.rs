//! The keys that a target holds, by calls to it or by the answers to its heartbeats.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::record::KeySpan;
use super::state::{Shared, lock};

/// A range of keys that a target may hold for a while.
#[derive(Debug, Clone, Copy)]
pub(super) struct Grant {
    pub(super) span: KeySpan,
    pub(super) until: Instant,
}

/// The highest fence that a life of the target has been granted each key under.
#[derive(Debug)]
pub(super) struct SeenFences(Vec<u64>);

impl Default for SeenFences {
    fn default() -> Self {
        Self(vec![0; usize::from(u16::MAX) + 1])
    }
}

impl SeenFences {
    /// Takes a fence for its keys; `false` if a higher one was seen on one of them.
    fn take(&mut self, span: KeySpan) -> bool {
        let last = self.0.len() - 1;
        let index = |key: u64| usize::try_from(key).unwrap_or(last).min(last);
        let Some(keys) = self.0.get_mut(index(span.from)..=index(span.to)) else {
            return false;
        };
        if keys.iter().any(|seen| *seen > span.fence) {
            return false;
        }
        keys.fill(span.fence);
        true
    }
}

/// The keys of a target, for whoever sends its heartbeats.
#[derive(Debug, Clone)]
pub struct TargetKeys(pub(super) Arc<Shared>);

impl TargetKeys {
    /// Notes that a heartbeat of a life was acknowledged; lives are counted from zero.
    pub fn note_acknowledged(&self, life: u32) {
        lock(&self.0.record).acknowledged(life);
    }

    /// Adds the keys that the target holds, or has let go, to a heartbeat.
    pub fn tell(&self, heartbeat: &mut Value) {
        let now = Instant::now();
        let grants = lock(&self.0.grants);
        let holds = grants.iter().filter(|grant| now < grant.until);
        heartbeat["holds"] = holds
            .map(|grant| json!([grant.span.from, grant.span.to, grant.span.fence]))
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
        let until = sent_at + Duration::from_secs_f64(hold);
        let row = |row: &Value| {
            let span = KeySpan {
                from: row[0].as_u64()?,
                to: row[1].as_u64()?,
                fence: row[2].as_u64()?,
            };
            Some(Grant { span, until })
        };
        let mut seen = lock(&self.0.seen_fences);
        let next = rows.iter().filter_map(row);
        let next = next
            .filter(|grant| seen.take(grant.span))
            .collect::<Vec<_>>();
        let mut grants = lock(&self.0.grants);
        let mut left_out = grants.clone();
        for kept in &next {
            left_out = outside(&left_out, kept.span.from, kept.span.to);
        }
        let left_out = left_out
            .iter()
            .map(|grant| (grant.span.from, grant.span.to));
        let left_out = left_out.collect::<Vec<_>>();
        let mut record = lock(&self.0.record);
        next.iter().for_each(|grant| record.granted(grant));
        for (from, to) in &left_out {
            record.released(*from, *to);
        }
        *grants = next;
        let lets_go = !left_out.is_empty();
        *lock(&self.0.let_go) = left_out;
        lets_go
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
            .find(|grant| grant.span.from <= key && key <= grant.span.to && now < grant.until)
            .map(|grant| grant.span.fence)
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
        let span = KeySpan { from, to, fence };
        if !lock(&self.seen_fences).take(span) {
            return 409;
        }
        let grant = Grant {
            span,
            until: Instant::now() + Duration::from_secs_f64(hold),
        };
        let mut grants = lock(&self.grants);
        *grants = outside(&grants, from, to);
        grants.push(grant);
        lock(&self.record).granted(&grant);
        200
    }

    pub(super) fn release(&self, order: &Value) {
        let (Some(from), Some(to)) = (order["from"].as_u64(), order["to_version"].as_u64()) else {
            return;
        };
        let mut grants = lock(&self.grants);
        *grants = outside(&grants, from, to);
        lock(&self.record).released(from, to);
    }

    /// Forgets all keys: a life that begins holds nothing and has seen no fence.
    pub(super) fn forget_keys(&self) {
        lock(&self.record).ended();
        lock(&self.grants).clear();
        lock(&self.let_go).clear();
        *lock(&self.seen_fences) = SeenFences::default();
    }
}

/// What is left of grants outside a range.
fn outside(grants: &[Grant], from: u64, to: u64) -> Vec<Grant> {
    let parts = grants.iter().flat_map(|grant| {
        let spans = grant.span.outside(from, to).into_iter();
        spans.map(|span| Grant { span, ..*grant })
    });
    parts.collect()
}
