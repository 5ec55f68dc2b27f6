//! Requests between admission and end.

use std::collections::BTreeMap;

use wingspar_world::{KeyHash, MonotonicTime, ServiceName, SliceRange};

use crate::{Admission, Ticket};

/// How far a request got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It waits for a slot.
    Queued,
    /// It has a slot and was not sent.
    Admitted,
    /// It was cleared to be sent.
    Started {
        /// When.
        at: MonotonicTime,
        /// When the right to begin it ends.
        right_until: MonotonicTime,
    },
}

#[derive(Debug)]
pub(crate) struct Work {
    pub(crate) admission: Admission,
    pub(crate) phase: Phase,
    /// Its end must be remembered, under this id.
    pub(crate) remember: Option<(KeyHash, [u64; 2])>,
}

impl Work {
    fn is_started(&self) -> bool {
        matches!(self.phase, Phase::Started { .. })
    }
}

/// All requests that have a ticket.
#[derive(Debug, Default)]
pub(crate) struct WorkTable {
    works: BTreeMap<Ticket, Work>,
    last_ticket: u64,
}

impl WorkTable {
    /// The ticket that the next insertion gets.
    pub(crate) fn next_ticket(&self) -> Ticket {
        Ticket(self.last_ticket + 1)
    }

    pub(crate) fn insert(&mut self, work: Work) -> Ticket {
        let ticket = self.next_ticket();
        self.last_ticket = ticket.0;
        self.works.insert(ticket, work);
        ticket
    }

    pub(crate) fn get(&self, ticket: Ticket) -> Option<&Work> {
        self.works.get(&ticket)
    }

    pub(crate) fn set_phase(&mut self, ticket: Ticket, phase: Phase) {
        if let Some(work) = self.works.get_mut(&ticket) {
            work.phase = phase;
        }
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<Work> {
        self.works.remove(&ticket)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.works.is_empty()
    }

    /// Started requests.
    pub(crate) fn started(&self) -> usize {
        let started = self.works.values().filter(|work| work.is_started());
        started.count()
    }

    /// Started requests that ran by virtue of a grant.
    pub(crate) fn started_keyed(&self) -> Vec<Ticket> {
        self.works
            .iter()
            .filter(|(_, work)| work.is_started() && work.admission.key.is_some())
            .map(|(ticket, _)| *ticket)
            .collect()
    }

    /// Requests that wait for a slot.
    pub(crate) fn queued(&self) -> Vec<(Ticket, Admission)> {
        self.works
            .iter()
            .filter(|(_, work)| work.phase == Phase::Queued)
            .map(|(ticket, work)| (*ticket, work.admission.clone()))
            .collect()
    }

    /// Started requests of a range.
    pub(crate) fn started_in<'a>(
        &'a self,
        service: &'a ServiceName,
        range: SliceRange,
    ) -> impl Iterator<Item = &'a Work> {
        self.works.values().filter(move |work| {
            work.is_started()
                && work.admission.service == *service
                && work.admission.key.is_some_and(|key| range.contains(key))
        })
    }
}
