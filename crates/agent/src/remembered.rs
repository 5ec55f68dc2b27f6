//! Remembered requests: what must not run again, for one window after it ended.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use wingspar_wire::{RememberedOutcome, RememberedRequest};
use wingspar_world::{KeyHash, MonotonicTime, ServiceName, SliceRange};

use crate::Ticket;

/// Lowest and highest request id, for range queries by key.
const LOWEST: [u64; 2] = [0; 2];
const HIGHEST: [u64; 2] = [u64::MAX; 2];

type Id = (KeyHash, [u64; 2]);

#[derive(Debug)]
enum Entry {
    /// It was admitted here and has not ended.
    Running(Ticket),
    /// It ended.
    Ended {
        outcome: RememberedOutcome,
        ended_at: MonotonicTime,
        expires_at: MonotonicTime,
    },
}

/// What is known of a request.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Recall {
    Nothing,
    Running(Ticket),
    Ended(RememberedOutcome),
}

/// Bounded memory of requests, by service, key and id.
#[derive(Debug)]
pub(crate) struct Remembered {
    services: BTreeMap<ServiceName, BTreeMap<Id, Entry>>,
    expiries: BTreeSet<(MonotonicTime, ServiceName, Id)>,
    count: usize,
    body_bytes: usize,
    max_count: usize,
    max_body_bytes: usize,
}

fn body_length(outcome: &RememberedOutcome) -> usize {
    match outcome {
        RememberedOutcome::Ran { body, .. } => body.as_ref().map_or(0, Bytes::len),
        RememberedOutcome::Unknown => 0,
    }
}

impl Remembered {
    pub(crate) fn new(max_count: usize, max_body_bytes: usize) -> Self {
        Self {
            services: BTreeMap::new(),
            expiries: BTreeSet::new(),
            count: 0,
            body_bytes: 0,
            max_count,
            max_body_bytes,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.count
    }

    /// When the oldest entry may be forgotten.
    pub(crate) fn first_expiry(&self) -> Option<MonotonicTime> {
        self.expiries.first().map(|(at, _, _)| *at)
    }

    pub(crate) fn recall(&self, service: &ServiceName, id: Id) -> Recall {
        let entry = self.services.get(service).and_then(|ids| ids.get(&id));
        match entry {
            None => Recall::Nothing,
            Some(Entry::Running(ticket)) => Recall::Running(*ticket),
            Some(Entry::Ended { outcome, .. }) => Recall::Ended(outcome.clone()),
        }
    }

    /// Notes an admitted request. False, changing nothing, when the memory is full.
    pub(crate) fn begin(&mut self, service: &ServiceName, id: Id, ticket: Ticket) -> bool {
        if self.count >= self.max_count {
            return false;
        }
        let ids = self.services.entry(service.clone()).or_default();
        if ids.insert(id, Entry::Running(ticket)).is_none() {
            self.count += 1;
        }
        true
    }

    /// Forgets a request that was proved not to have run.
    pub(crate) fn forget_running(&mut self, service: &ServiceName, id: Id, ticket: Ticket) {
        let Some(ids) = self.services.get_mut(service) else {
            return;
        };
        if matches!(ids.get(&id), Some(Entry::Running(one)) if *one == ticket) {
            ids.remove(&id);
            self.count -= 1;
        }
    }

    /// Notes how a request ended at `ended_at`, to be kept for `window`. Knowing that it ran
    /// outranks not knowing. False when a new entry finds no room.
    pub(crate) fn end(
        &mut self,
        service: &ServiceName,
        id: Id,
        outcome: RememberedOutcome,
        ended_at: MonotonicTime,
        window: Duration,
    ) -> bool {
        match self.recall(service, id) {
            Recall::Nothing if self.count >= self.max_count => return false,
            Recall::Ended(RememberedOutcome::Ran { .. }) => return true,
            Recall::Ended(RememberedOutcome::Unknown) => self.remove(service, id),
            Recall::Nothing | Recall::Running(_) => {}
        }
        let outcome = self.within_budget(outcome);
        let expires_at = ended_at + window;
        self.body_bytes += body_length(&outcome);
        self.expiries.insert((expires_at, service.clone(), id));
        let entry = Entry::Ended {
            outcome,
            ended_at,
            expires_at,
        };
        let ids = self.services.entry(service.clone()).or_default();
        if ids.insert(id, entry).is_none() {
            self.count += 1;
        }
        true
    }

    /// Drops the body when the budget for bodies is spent.
    fn within_budget(&self, outcome: RememberedOutcome) -> RememberedOutcome {
        if self.body_bytes + body_length(&outcome) <= self.max_body_bytes {
            return outcome;
        }
        match outcome {
            RememberedOutcome::Ran {
                status,
                content_type,
                ..
            } => RememberedOutcome::Ran {
                status,
                content_type,
                body: None,
            },
            RememberedOutcome::Unknown => RememberedOutcome::Unknown,
        }
    }

    fn remove(&mut self, service: &ServiceName, id: Id) {
        let Some(ids) = self.services.get_mut(service) else {
            return;
        };
        let Some(entry) = ids.remove(&id) else {
            return;
        };
        self.count -= 1;
        if let Entry::Ended {
            outcome,
            expires_at,
            ..
        } = entry
        {
            self.body_bytes -= body_length(&outcome);
            self.expiries.remove(&(expires_at, service.clone(), id));
        }
    }

    /// Forgets entries whose window is over.
    pub(crate) fn expire(&mut self, now: MonotonicTime) {
        while let Some((at, service, id)) = self.expiries.first().cloned() {
            if at > now {
                return;
            }
            self.remove(&service, id);
        }
    }

    /// Ended requests of a range, for its next owner. Those that never started are left out.
    pub(crate) fn export(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
        range: SliceRange,
    ) -> Vec<RememberedRequest> {
        let Some(ids) = self.services.get(service) else {
            return Vec::new();
        };
        ids.range((range.first, LOWEST)..=(range.last, HIGHEST))
            .filter_map(|((key, id), entry)| match entry {
                Entry::Running(_) => None,
                Entry::Ended {
                    outcome, ended_at, ..
                } => Some(RememberedRequest {
                    id: *id,
                    key: *key,
                    age_ms: now.since(*ended_at).as_millis() as u64,
                    outcome: outcome.clone(),
                }),
            })
            .collect()
    }

    /// Forgets the ended requests of a range that went to another owner.
    pub(crate) fn forget_range(&mut self, service: &ServiceName, range: SliceRange) {
        let Some(ids) = self.services.get(service) else {
            return;
        };
        let ended: Vec<Id> = ids
            .range((range.first, LOWEST)..=(range.last, HIGHEST))
            .filter(|(_, entry)| matches!(entry, Entry::Ended { .. }))
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.remove(service, id);
        }
    }
}
