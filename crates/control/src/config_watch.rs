//! The leader reads the configuration from the store and replicates every change in order.

use wingspar_consensus::Replica;
use wingspar_store::Answer;
use wingspar_store::change::change_id_of;
use wingspar_store::object::{Event, Listing, Revision, WatchBatch};
use wingspar_store::operation::{Operation, Reply};
use wingspar_world::{ConfigChange, ConfigObject, ConfigVersion, Configuration, MonotonicTime};

use crate::command::{Command, ConfigureChange};
use crate::store_io::Purpose;
use crate::{Control, ControlEvent, Output};

/// Field of a stored value that holds the object.
pub(crate) const OBJECT_FIELD: &str = "object";
/// First parts of the keys that hold configuration.
const PREFIXES: [&str; 3] = ["policies/", "services/", "targets/"];

/// How far the leader has read.
#[derive(Debug, Default)]
pub(crate) struct ConfigWatch {
    /// Everything up to this revision was read and proposed; `None` before the first listing.
    pub(crate) position: Option<Revision>,
    /// When to ask again.
    next: MonotonicTime,
    /// An operator's write has taken effect that the watch has not seen.
    catch_up_to: Revision,
}

/// Whether a key holds configuration.
pub(crate) fn is_configuration(key: &str) -> bool {
    PREFIXES.iter().any(|prefix| key.starts_with(prefix))
}

/// Reads an object from its stored value.
pub(crate) fn parse_object(key: &str, value: &serde_json::Value) -> Result<ConfigObject, String> {
    let object = value.get(OBJECT_FIELD);
    let object = object.ok_or_else(|| format!("the value has no field {OBJECT_FIELD}"))?;
    let object: ConfigObject =
        serde_json::from_value(object.clone()).map_err(|error| error.to_string())?;
    if object.store_key() != key {
        return Err(format!("the object belongs at {}", object.store_key()));
    }
    Ok(object)
}

impl Control {
    /// Keeps one listing or watch under way.
    pub(crate) fn tend_configuration_watch(&mut self, out: &mut Vec<Output>) {
        let Some(leading) = &self.leading else {
            return;
        };
        let busy = self.store.is_pending(Purpose::ListConfiguration)
            || self.store.is_pending(Purpose::WatchConfiguration);
        if !busy && self.now >= leading.watch.next {
            match leading.watch.position {
                None => self.list_configuration(out),
                Some(after) => {
                    let operation = watch_all(after);
                    self.ask_store(Purpose::WatchConfiguration, operation, out);
                }
            }
        }
        self.catch_up(out);
    }

    fn list_configuration(&mut self, out: &mut Vec<Output>) {
        let prefix = String::new();
        let operation = Operation::List { prefix };
        self.ask_store(Purpose::ListConfiguration, operation, out);
    }

    /// Reads changes at once that are known to exist, without waiting for the long poll's turn.
    pub(crate) fn catch_up(&mut self, out: &mut Vec<Output>) {
        let Some(leading) = &self.leading else {
            return;
        };
        let Some(position) = leading.watch.position else {
            return;
        };
        let behind = position < leading.watch.catch_up_to;
        if behind && !self.store.is_pending(Purpose::CatchUp) && self.now >= leading.watch.next {
            let operation = watch_all(position);
            self.ask_store(Purpose::CatchUp, operation, out);
        }
    }

    /// Notes that the store has reached a revision.
    pub(crate) fn expect_revision(&mut self, revision: Revision) {
        if let Some(leading) = &mut self.leading {
            leading.watch.catch_up_to = leading.watch.catch_up_to.max(revision);
        }
    }

    pub(crate) fn on_listing(&mut self, answer: Answer, out: &mut Vec<Output>) {
        let Answer::Reply(Reply::Listing(listing)) = answer else {
            self.retry_watch_later();
            return;
        };
        let revision = listing.revision;
        let Some(command) = self.replacement(listing, out) else {
            self.advance_watch(revision);
            return;
        };
        if self.propose(command).is_some() {
            self.advance_watch(revision);
        } else {
            self.retry_watch_later();
        }
    }

    /// The command that brings the state to a listing, if the listing is newer.
    fn replacement(&self, listing: Listing, out: &mut Vec<Output>) -> Option<Command> {
        let current = self.replica.as_ref()?.state().configuration();
        let revision = ConfigVersion(listing.revision);
        if revision <= current.version {
            return None;
        }
        let mut objects = Vec::new();
        let mut change_ids = Vec::new();
        for item in listing.items {
            if !is_configuration(&item.key) {
                continue;
            }
            let version = ConfigVersion(item.version);
            match parse_object(&item.key, &item.value) {
                Ok(object) => objects.push((version, object)),
                Err(reason) => out.push(unreadable(item.key, reason)),
            }
            if let Some(id) = change_id_of(&item.value) {
                change_ids.push((id.to_owned(), version));
            }
        }
        objects.sort_by_key(|(version, _)| *version);
        let mut configuration = Configuration::default();
        for (version, object) in objects {
            configuration.apply(&ConfigChange {
                version,
                key: object.store_key(),
                object: Some(object),
            });
        }
        if has_deletions(current, &configuration) {
            // The deletions happened at some revision after the state's and up to the listing's.
            configuration.version = revision;
        }
        (configuration.version > current.version).then(|| Command::ReplaceConfiguration {
            configuration: Box::new(configuration),
            change_ids,
        })
    }

    pub(crate) fn on_watch(&mut self, purpose: Purpose, answer: Answer, out: &mut Vec<Output>) {
        match answer {
            Answer::Reply(Reply::Changes(batch)) => self.on_changes(batch, out),
            Answer::Reply(Reply::HistoryLost { .. }) => {
                if let Some(leading) = &mut self.leading {
                    leading.watch.position = None;
                }
            }
            _ if purpose == Purpose::WatchConfiguration => self.retry_watch_later(),
            _ => {}
        }
    }

    fn on_changes(&mut self, batch: WatchBatch, out: &mut Vec<Output>) {
        let position = self
            .leading
            .as_ref()
            .and_then(|leading| leading.watch.position);
        let Some(position) = position else {
            return;
        };
        let events = batch
            .events
            .into_iter()
            .filter(|event| event.version > position);
        let events: Vec<Event> = events
            .filter(|event| is_configuration(&event.key))
            .collect();
        let mut changes = Vec::new();
        for event in events {
            match configure_change(&event) {
                Ok(change) => changes.push(change),
                Err(reason) => out.push(unreadable(event.key, reason)),
            }
        }
        let taken = changes.is_empty() || self.propose(Command::Configure(changes)).is_some();
        if taken {
            self.advance_watch(batch.revision);
        }
        self.retry_watch_soon();
    }

    fn advance_watch(&mut self, revision: Revision) {
        if let Some(leading) = &mut self.leading {
            let position = leading.watch.position.unwrap_or(0);
            leading.watch.position = Some(position.max(revision));
        }
    }

    /// The watch goes on at the next tick.
    fn retry_watch_soon(&mut self) {
        if let Some(leading) = &mut self.leading {
            leading.watch.next = self.now + self.settings.tick_interval;
        }
    }

    fn retry_watch_later(&mut self) {
        if let Some(leading) = &mut self.leading {
            leading.watch.next = self.now + self.settings.store_retry;
        }
    }

    /// Whether the leader has read the store's configuration at least once.
    pub(crate) fn has_read_configuration(&self) -> bool {
        let leading = self.leading.as_ref();
        leading.is_some_and(|leading| leading.watch.position.is_some())
    }

    /// Configuration of the own replica.
    pub(crate) fn configuration(&self) -> Option<&Configuration> {
        let state = self.replica.as_ref().map(Replica::state);
        state.map(|state| state.configuration().as_ref())
    }
}

/// One prefix covers all kinds of objects, so that their changes come in one order.
fn watch_all(after: Revision) -> Operation {
    Operation::Watch {
        prefix: String::new(),
        after,
    }
}

fn configure_change(event: &Event) -> Result<ConfigureChange, String> {
    let object = event.value.as_ref();
    let object = object
        .map(|value| parse_object(&event.key, value))
        .transpose()?;
    let change_id = event.value.as_ref().and_then(change_id_of);
    Ok(ConfigureChange {
        change: ConfigChange {
            version: ConfigVersion(event.version),
            key: event.key.clone(),
            object,
        },
        change_id: change_id.map(str::to_owned),
    })
}

fn has_deletions(before: &Configuration, after: &Configuration) -> bool {
    let services = before
        .services
        .keys()
        .any(|name| !after.services.contains_key(name));
    let targets = before
        .targets
        .keys()
        .any(|name| !after.targets.contains_key(name));
    let policies = before
        .policies
        .keys()
        .any(|name| !after.policies.contains_key(name));
    services || targets || policies
}

fn unreadable(key: String, reason: String) -> Output {
    Output::Event(ControlEvent::UnreadableObject { key, reason })
}
