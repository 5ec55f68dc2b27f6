//! Request counts by bucket of keys, which an owner reports to its leader.

use std::collections::BTreeMap;

use wingspar_ownership::{LoadReport, Time, bucket_of};

use crate::node::Node;

/// Request counts by bucket of keys since the last report.
#[derive(Debug)]
pub struct KeyLoad {
    since: Time,
    arrivals: BTreeMap<u16, u32>,
    totals: (u64, u64),
}

impl KeyLoad {
    /// Creates the counts at the time `now`, with no requests counted yet.
    pub fn new(now: Time) -> Self {
        Self {
            since: now,
            arrivals: BTreeMap::new(),
            totals: (0, 0),
        }
    }

    /// Counts a request for `key` in the bucket of that key.
    pub fn record_arrival(&mut self, key: u16) {
        let bucket = u16::try_from(bucket_of(key)).unwrap_or(0);
        *self.arrivals.entry(bucket).or_default() += 1;
    }

    /// Returns the report since the last one and resets the counts. `totals` are the requests finished and the slot
    /// time, in milliseconds, since the start.
    pub fn take_report(
        &mut self,
        now: Time,
        node: &Node,
        service: &str,
        totals: (u64, u64),
    ) -> LoadReport {
        let before = std::mem::replace(&mut self.totals, totals);
        let report = LoadReport {
            node: node.name.clone(),
            service: service.to_owned(),
            span_ms: now.0 - self.since.0,
            arrivals: std::mem::take(&mut self.arrivals).into_iter().collect(),
            finished: u32::try_from(totals.0 - before.0).unwrap_or(u32::MAX),
            busy_ms: totals.1 - before.1,
        };
        self.since = now;
        report
    }
}
