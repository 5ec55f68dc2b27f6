//! Store requests under way and what each is for.

use std::collections::BTreeMap;
use std::time::Duration;

use wingspar_store::Answer;
use wingspar_store::operation::Operation;
use wingspar_world::MonotonicTime;

use crate::{Output, StoreRequest};

/// What a store request is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Purpose {
    /// Reading the group's object.
    ReadGroup,
    /// Creating the group's object, or a new generation of it.
    FoundGroup,
    /// Recording a change of members.
    RecordMembers,
    /// Reading the snapshot to found a new generation.
    ReadOrigin,
    /// Reading the snapshot's version before the first write.
    ReadSnapshot,
    /// Writing the snapshot.
    WriteSnapshot,
    /// Listing the configuration.
    ListConfiguration,
    /// Waiting for changes of the configuration.
    WatchConfiguration,
    /// Reading changes at once, because there are some.
    CatchUp,
    /// An operator's write, by its token.
    Write(u64),
    /// Reading the list of machines.
    ReadMachines,
}

#[derive(Debug)]
struct Pending {
    purpose: Purpose,
    expires_at: MonotonicTime,
}

/// Requests that are not answered yet.
#[derive(Debug, Default)]
pub(crate) struct StoreRequests {
    last_id: u64,
    pending: BTreeMap<u64, Pending>,
}

impl StoreRequests {
    /// Sends a request; without an answer in time it counts as unknown.
    pub(crate) fn send(
        &mut self,
        purpose: Purpose,
        operation: Operation,
        expires_at: MonotonicTime,
        out: &mut Vec<Output>,
    ) {
        self.last_id += 1;
        let id = self.last_id;
        self.pending.insert(
            id,
            Pending {
                purpose,
                expires_at,
            },
        );
        out.push(Output::Store(StoreRequest { id, operation }));
    }

    /// Whether a request for the purpose is under way.
    pub(crate) fn is_pending(&self, purpose: Purpose) -> bool {
        self.pending.values().any(|one| one.purpose == purpose)
    }

    /// Takes the purpose of an answered request; `None` when it was given up before.
    pub(crate) fn take(&mut self, id: u64) -> Option<Purpose> {
        self.pending.remove(&id).map(|one| one.purpose)
    }

    /// Takes the purposes of requests that ran out of time.
    pub(crate) fn take_expired(&mut self, now: MonotonicTime) -> Vec<Purpose> {
        let expired = |_: &u64, one: &mut Pending| one.expires_at <= now;
        let expired = self.pending.extract_if(.., expired);
        expired.map(|(_, one)| one.purpose).collect()
    }

    /// Forgets requests that only a leader waits for; their answers will be ignored.
    pub(crate) fn forget_leaders(&mut self) {
        self.pending.retain(|_, one| {
            matches!(
                one.purpose,
                Purpose::ReadGroup
                    | Purpose::FoundGroup
                    | Purpose::ReadOrigin
                    | Purpose::ReadMachines
            )
        });
    }

    /// When the next request runs out of time.
    pub(crate) fn next_expiry(&self) -> MonotonicTime {
        let expiries = self.pending.values().map(|one| one.expires_at);
        expiries.min().unwrap_or(MonotonicTime::MAX)
    }
}

/// The answer that stands for a lost one.
pub(crate) fn lost_answer(after: Duration) -> Answer {
    Answer::Unknown {
        cause: format!("no answer from the store within {} ms", after.as_millis()),
    }
}

/// Whether the store gave a usable reply.
pub(crate) fn is_reply(answer: &Answer) -> bool {
    matches!(answer, Answer::Reply(_))
}
