//! The platform's store for one control member: the pure model, with long polls and sizes.

use std::time::Duration;

use wingspar_control::{StoreReply, StoreRequest};
use wingspar_store::Answer;
use wingspar_store::model::ObjectStore;
use wingspar_store::operation::{Operation, Reply};
use wingspar_world::MonotonicTime;

use crate::configuration::{objects, stored_value};

/// How long a watch waits for changes.
const WATCH_HOLD: Duration = Duration::from_secs(2);

/// The store with watches that wait.
#[derive(Debug)]
pub(crate) struct Platform {
    store: ObjectStore,
    watches: Vec<(MonotonicTime, usize, StoreRequest)>,
}

fn elapsed(now: MonotonicTime) -> Duration {
    now.since(MonotonicTime::ZERO)
}

impl Platform {
    /// A store that holds the configuration of so many agents.
    pub(crate) fn new(agents: usize, slices_per_target: u32) -> Self {
        let mut store = ObjectStore::default();
        for object in objects(agents, slices_per_target) {
            let key = object.store_key();
            let value = stored_value(&object, &format!("first-{key}"));
            let expect = 0;
            store.apply(Duration::ZERO, Operation::Put { key, value, expect });
        }
        Self {
            store,
            watches: Vec::new(),
        }
    }

    /// Carries out a request; a watch without changes is answered later.
    pub(crate) fn ask(
        &mut self,
        now: MonotonicTime,
        host: usize,
        request: StoreRequest,
    ) -> Option<StoreReply> {
        let is_watch = matches!(request.operation, Operation::Watch { .. });
        if is_watch {
            self.watches.push((now + WATCH_HOLD, host, request));
            return None;
        }
        let reply = self.store.apply(elapsed(now), request.operation);
        Some(answer(request.id, reply))
    }

    /// One member's watches that have changes or have waited long enough.
    pub(crate) fn answer_watches_of(&mut self, now: MonotonicTime, host: usize) -> Vec<StoreReply> {
        let others = self.watches.extract_if(.., |(_, at, _)| *at != host);
        let others: Vec<_> = others.collect();
        let answers = self.answer_watches(now);
        self.watches.extend(others);
        answers.into_iter().map(|(_, reply)| reply).collect()
    }

    /// Watches that have changes or have waited long enough.
    pub(crate) fn answer_watches(&mut self, now: MonotonicTime) -> Vec<(usize, StoreReply)> {
        let mut answers = Vec::new();
        for (until, host, request) in std::mem::take(&mut self.watches) {
            let reply = self.store.apply(elapsed(now), request.operation.clone());
            let empty = matches!(&reply, Reply::Changes(batch) if batch.events.is_empty());
            if empty && now < until {
                self.watches.push((until, host, request));
            } else {
                answers.push((host, answer(request.id, reply)));
            }
        }
        answers
    }
}

fn answer(id: u64, reply: Reply) -> StoreReply {
    let answer = Answer::Reply(reply);
    StoreReply { id, answer }
}

/// Bytes that a request carries to the store, without its head.
pub(crate) fn request_bytes(operation: &Operation) -> Vec<u8> {
    match operation {
        Operation::Put { value, .. } => serde_json::to_vec(value).unwrap_or_default(),
        _ => Vec::new(),
    }
}

/// Bytes that a reply carries, without its head.
pub(crate) fn reply_bytes(answer: &Answer) -> Vec<u8> {
    let encoded = match answer {
        Answer::Reply(Reply::Listing(listing)) => serde_json::to_vec(listing),
        Answer::Reply(Reply::Changes(batch)) => serde_json::to_vec(batch),
        Answer::Reply(Reply::Object(object)) => serde_json::to_vec(object),
        Answer::Reply(Reply::Machines(machines)) => serde_json::to_vec(machines),
        _ => Ok(Vec::new()),
    };
    encoded.unwrap_or_default()
}
