//! Puts configurations in force, and encodes them for other nodes.

use std::collections::HashMap;
use std::rc::Rc;

use bytes::Bytes;
use wingspar_routes::{ChangeLog, Configuration, ConfigurationChanges, RouteTable};

use crate::compressed_cbor::{compress, compress_smaller};
use crate::logs::Event;
use crate::node::Node;

/// Estimated size of a route in the stored configuration, in bytes, including the names of its
/// fields.
const ROUTE_BYTES: usize = 150;
/// Estimated size of a tenant with its credentials in the stored configuration, in bytes.
const TENANT_BYTES: usize = 150;

/// The response to another node that reports its version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigurationAnswer {
    /// The changes since that version, as encoded by [`compress`].
    Changes(Bytes),
    /// The whole configuration, as encoded by [`compress_smaller`].
    Whole(Bytes),
    /// There is no later version.
    NoneLater,
}

/// The changes of the latest versions, and the encoded responses about the version in force. Each
/// response is encoded once, when it is first requested, since most versions of a quick succession
/// are never requested.
#[derive(Debug, Default)]
pub struct ConfigurationAnswers {
    log: ChangeLog,
    whole: Option<Bytes>,
    /// Encoded changes, by the version that they start from.
    changes: HashMap<u64, Bytes>,
}

impl ConfigurationAnswers {
    /// Records that `new` is in force, and the changes that led to it; `None` if they aren't known.
    fn advance(&mut self, changes: Option<Vec<ConfigurationChanges>>, new: &Configuration) {
        self.whole = None;
        self.changes.clear();
        match changes {
            Some(changes) => changes
                .into_iter()
                .for_each(|changes| self.log.append(changes, new)),
            None => self.log.forget(),
        }
    }

    /// The response to a node that has `version`; `current` is the configuration in force.
    pub fn since(&mut self, version: u64, current: &Configuration) -> ConfigurationAnswer {
        if version >= current.version {
            return ConfigurationAnswer::NoneLater;
        }
        if let Some(written) = self.changes.get(&version) {
            return ConfigurationAnswer::Changes(written.clone());
        }
        if let Some(changes) = self.log.since(version) {
            let written = compress(&changes);
            self.changes.insert(version, written.clone());
            return ConfigurationAnswer::Changes(written);
        }
        let whole = self.whole.get_or_insert_with(|| compress_smaller(current));
        ConfigurationAnswer::Whole(whole.clone())
    }
}

impl Node {
    /// Version of the configuration in force; 0 if there is none.
    pub fn configuration_version(&self) -> u64 {
        self.routes
            .borrow()
            .as_ref()
            .map_or(0, |routes| routes.configuration().version)
    }

    /// Estimated size in bytes of the configuration in force as it is stored; 0 if there is none.
    pub fn configuration_bytes(&self) -> usize {
        self.routes.borrow().as_ref().map_or(0, |routes| {
            let configuration = routes.configuration();
            configuration.routes.len() * ROUTE_BYTES + configuration.tenants.len() * TENANT_BYTES
        })
    }

    /// Puts a configuration in force unless it is no later than the one in force. Returns whether
    /// it did.
    pub fn apply_configuration(&self, configuration: Configuration, source: &'static str) -> bool {
        if configuration.version <= self.configuration_version() {
            return false;
        }
        let known = self.routes.borrow().clone();
        let changes = known
            .as_deref()
            .and_then(|known| ConfigurationChanges::between(known.configuration(), &configuration));
        let changed = known.as_deref().zip(changes.as_ref());
        let table = changed
            .and_then(|(known, changes)| known.changed(changes))
            .unwrap_or_else(|| RouteTable::new(configuration));
        self.put_in_force(table, changes.map(|changes| vec![changes]), source);
        true
    }

    /// Applies changes to the configuration in force. Returns `false` without an effect if the
    /// changes start from another version.
    pub fn apply_configuration_changes(
        &self,
        changes: Vec<ConfigurationChanges>,
        source: &'static str,
    ) -> bool {
        let Some(known) = self.routes.borrow().clone() else {
            return false;
        };
        let Some((first, rest)) = changes.split_first() else {
            return false;
        };
        let changed = known.changed(first).and_then(|table| {
            rest.iter()
                .try_fold(table, |table, next| table.changed(next))
        });
        let Some(table) = changed else {
            return false;
        };
        self.put_in_force(table, Some(changes), source);
        true
    }

    fn put_in_force(
        &self,
        table: RouteTable,
        changes: Option<Vec<ConfigurationChanges>>,
        source: &'static str,
    ) {
        let configuration = table.configuration();
        self.configuration_answers
            .borrow_mut()
            .advance(changes, configuration);
        self.log.write(Event::ConfigurationInForce {
            version: configuration.version,
            source,
            routes: configuration.routes.len(),
            tenants: configuration.tenants.len(),
        });
        self.metrics
            .configuration
            .set(i64::try_from(configuration.version).unwrap_or(i64::MAX));
        let unreadable = configuration.unreadable.total();
        self.metrics
            .unreadable_entries
            .set(i64::try_from(unreadable).unwrap_or(i64::MAX));
        self.quotas.configured(configuration);
        let table = Rc::new(table);
        let previous = self.routes.replace(Some(table.clone()));
        self.log_shared_credentials(previous.as_deref(), &table);
        self.configuration_doubts.configured();
        self.update_start_limit();
        self.control_wakeup.notify_one();
    }

    /// Logs the credentials that several tenants list, if they differ from those of the
    /// configuration before.
    fn log_shared_credentials(&self, previous: Option<&RouteTable>, table: &RouteTable) {
        let known = previous.map_or_else(Vec::new, RouteTable::shared_credentials);
        let shared = table.shared_credentials();
        if shared == known {
            return;
        }
        self.log.write(Event::CredentialsShared {
            version: table.configuration().version,
            count: shared.len(),
            tenant: shared.first().map_or("", |first| &first.tenant),
            other: shared.first().map_or("", |first| &first.other),
        });
    }
}
