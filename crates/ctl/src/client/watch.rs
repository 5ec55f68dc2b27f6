//! Watches that outlive the replica they began at.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use tonic::{Status, Streaming};
use wingspar_api::status::Failure;
use wingspar_api::v1;
use wingspar_world::ConfigVersion;

use super::Versioned;
use super::attempts::{Client, Effect};
use super::calls::{policies, send, services, targets};
use super::objects::{read_policy, read_service, read_target, unreadable};
use crate::Kind;
use crate::kind::name_of;

/// What a watch tells.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchEvent {
    /// Created or changed.
    Changed(Versioned),
    /// Name of a deleted object.
    Deleted(String),
    /// All that existed when the watch began has been told.
    Synced,
}

/// A running watch. When its replica goes away it goes on at another, without telling anything twice.
#[derive(Debug)]
pub struct Watch {
    client: Client,
    kind: Kind,
    stream: Option<Events>,
    /// Versions told so far.
    known: BTreeMap<String, ConfigVersion>,
    /// Names seen since the last connection, until it is synced.
    resync: Option<BTreeSet<String>>,
    synced: bool,
    pending: VecDeque<WatchEvent>,
}

#[derive(Debug)]
enum Events {
    Services(Streaming<v1::ServiceEvent>),
    Targets(Streaming<v1::TargetEvent>),
    Policies(Streaming<v1::PolicyEvent>),
}

impl Client {
    /// Watches all objects of a kind.
    pub fn watch(self, kind: Kind) -> Watch {
        Watch {
            client: self,
            kind,
            stream: None,
            known: BTreeMap::new(),
            resync: None,
            synced: false,
            pending: VecDeque::new(),
        }
    }
}

impl Watch {
    /// The next event. Fails when no endpoint serves the watch within the client's time limit.
    pub async fn next(&mut self) -> Result<WatchEvent, Failure> {
        loop {
            if let Some(event) = self.pending.pop_front() {
                return Ok(event);
            }
            if self.stream.is_none() {
                self.stream = Some(open(&mut self.client, self.kind).await?);
                self.resync = Some(BTreeSet::new());
            }
            let stream = self.stream.as_mut().expect("a stream was opened above");
            match stream.next().await {
                Ok(Some(event)) => self.take_in(event.map_err(unreadable)?),
                Ok(None) | Err(_) => self.stream = None,
            }
        }
    }

    fn take_in(&mut self, event: WatchEvent) {
        match event {
            WatchEvent::Changed(object) => self.changed(object),
            WatchEvent::Deleted(name) => self.deleted(name),
            WatchEvent::Synced => self.reconcile(),
        }
    }

    fn changed(&mut self, object: Versioned) {
        let name = name_of(&object.object).to_owned();
        if let Some(seen) = &mut self.resync {
            seen.insert(name.clone());
        }
        let known = self.known.get(&name);
        if known.is_some_and(|known| *known >= object.version) {
            return;
        }
        self.known.insert(name, object.version);
        self.pending.push_back(WatchEvent::Changed(object));
    }

    fn deleted(&mut self, name: String) {
        if self.known.remove(&name).is_some() {
            self.pending.push_back(WatchEvent::Deleted(name));
        }
    }

    /// Tells what was deleted between two connections.
    fn reconcile(&mut self) {
        let seen = self.resync.take().unwrap_or_default();
        let gone = self.known.keys().filter(|name| !seen.contains(*name));
        for name in gone.cloned().collect::<Vec<_>>() {
            self.deleted(name);
        }
        if !self.synced {
            self.synced = true;
            self.pending.push_back(WatchEvent::Synced);
        }
    }
}

async fn open(client: &mut Client, kind: Kind) -> Result<Events, Failure> {
    let request = v1::WatchRequest {};
    Ok(match kind {
        Kind::Service => Events::Services(send!(client, Effect::Reads, services, watch, request)?),
        Kind::Target => Events::Targets(send!(client, Effect::Reads, targets, watch, request)?),
        Kind::Policy => Events::Policies(send!(client, Effect::Reads, policies, watch, request)?),
    })
}

type Read = Result<WatchEvent, Vec<String>>;

impl Events {
    async fn next(&mut self) -> Result<Option<Read>, Status> {
        Ok(match self {
            Self::Services(stream) => stream.message().await?.map(read_service_event),
            Self::Targets(stream) => stream.message().await?.map(read_target_event),
            Self::Policies(stream) => stream.message().await?.map(read_policy_event),
        })
    }
}

fn read_service_event(event: v1::ServiceEvent) -> Read {
    use v1::service_event::Change;
    Ok(match event.change {
        Some(Change::Changed(object)) => WatchEvent::Changed(read_service(object)?),
        Some(Change::Deleted(name)) => WatchEvent::Deleted(name),
        Some(Change::Synced(_)) => WatchEvent::Synced,
        None => return Err(vec!["an event without a change".to_owned()]),
    })
}

fn read_target_event(event: v1::TargetEvent) -> Read {
    use v1::target_event::Change;
    Ok(match event.change {
        Some(Change::Changed(object)) => WatchEvent::Changed(read_target(object)?),
        Some(Change::Deleted(name)) => WatchEvent::Deleted(name),
        Some(Change::Synced(_)) => WatchEvent::Synced,
        None => return Err(vec!["an event without a change".to_owned()]),
    })
}

fn read_policy_event(event: v1::PolicyEvent) -> Read {
    use v1::policy_event::Change;
    Ok(match event.change {
        Some(Change::Changed(object)) => WatchEvent::Changed(read_policy(object)?),
        Some(Change::Deleted(name)) => WatchEvent::Deleted(name),
        Some(Change::Synced(_)) => WatchEvent::Synced,
        None => return Err(vec!["an event without a change".to_owned()]),
    })
}
