//! How the router follows the control group: table updates, pulls of what it lacks, configuration.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use wingspar_wire::{StateVersion, TableUpdate};
use wingspar_world::{Configuration, MonotonicTime};

use crate::counters::Counter;
use crate::resolver::Resolver;
use crate::router::{Output, Router, RoutingEvent};
use crate::table::Applied;

/// How long the router waits for the answer to a pull before it repeats it.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);
/// The same for a pull of the whole table, which may be large.
const FULL_PULL_TIMEOUT: Duration = Duration::from_secs(2);

impl Router {
    /// Asks for the table from `have` on, unless that was done just now.
    pub(crate) fn want_pull(&mut self, now: MonotonicTime, have: StateVersion) {
        let wanted = self.pull_wanted.map_or(have, |wanted| wanted.min(have));
        self.pull_wanted = Some(wanted);
        let interval = if wanted == StateVersion::default() {
            self.settings.full_pull_interval
        } else {
            self.settings.pull_interval
        };
        let recently = self.pulled_at.is_some_and(|at| now.since(at) < interval);
        if !recently {
            self.pull(now, wanted);
        }
    }

    fn pull(&mut self, now: MonotonicTime, have: StateVersion) {
        self.pulled_at = Some(now);
        self.counters.add(Counter::Pulls);
        self.pending.push(Output::Pull { have });
    }

    pub(crate) fn repeat_pull(&mut self, now: MonotonicTime) {
        let Some(have) = self.pull_wanted else {
            return;
        };
        let timeout = pull_timeout(have);
        let is_due = |at: MonotonicTime| now.since(at) >= timeout;
        if self.pulled_at.is_none_or(is_due) {
            self.pull(now, have);
        }
    }

    pub(crate) fn apply_table(&mut self, now: MonotonicTime, update: &TableUpdate) {
        let was_ready = self.table.is_ready();
        let applied = self.table.apply(now, update);
        match applied {
            Applied::Gap { have } => {
                self.counters.add(Counter::TableGaps);
                let same_line = update.version.generation == have.generation && was_ready;
                let from = if same_line {
                    have
                } else {
                    StateVersion::default()
                };
                self.want_pull(now, from);
                return;
            }
            Applied::Stale => {
                self.pull_wanted = None;
                return;
            }
            Applied::Partial => {}
            Applied::Complete(version) => {
                self.counters.add(Counter::TableUpdates);
                self.pull_wanted = None;
                if !was_ready {
                    let event = RoutingEvent::TableReady { version };
                    self.pending.push(Output::Event(event));
                }
            }
        }
        self.apply_targets(update, applied);
    }

    /// A full table names every target that there is, spread over its parts.
    fn apply_targets(&mut self, update: &TableUpdate, applied: Applied) {
        let mut entries = Vec::with_capacity(update.targets.len());
        for entry in &update.targets {
            entries.push((self.table.target_id(&entry.target), entry.clone()));
        }
        self.targets.update(&entries);
        if update.since.is_none() {
            if self.listed_targets.0 != update.version {
                self.listed_targets = (update.version, BTreeSet::new());
            }
            let listed = &mut self.listed_targets.1;
            listed.extend(entries.iter().map(|(id, _)| *id));
            if matches!(applied, Applied::Complete(_)) {
                self.targets.retain(&std::mem::take(listed));
            }
        }
        self.targets.configure(&self.configuration);
    }

    pub(crate) fn apply_configuration(&mut self, configuration: Arc<Configuration>) {
        // An accepted configuration never goes back.
        if configuration.version < self.resolver.version() {
            return;
        }
        self.resolver = Resolver::new(&configuration);
        self.targets.configure(&configuration);
        self.services
            .retain(|name, _| configuration.services.contains_key(name));
        self.configuration = configuration;
    }
}

/// How long to wait for the answer to a pull from this version.
pub(crate) fn pull_timeout(have: StateVersion) -> Duration {
    if have == StateVersion::default() {
        FULL_PULL_TIMEOUT
    } else {
        PULL_TIMEOUT
    }
}
