//! The router as one state machine: what it knows, and the beginning and end of each request.
//!
//! `route.rs` decides where a request goes, `after.rs` what follows from the result.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wingspar_wire::{StateVersion, TableUpdate};
use wingspar_world::{ConfigVersion, Configuration, MonotonicTime, ServiceName, TargetName};

use crate::attempt::{Attempt, GiveUp};
use crate::counters::{Counter, Counters};
use crate::limits::ServiceLimits;
use crate::outcome::{Outcome, Proof};
use crate::reason::Reason;
use crate::resolver::{Rejection, RequestHead, Resolved, Resolver};
use crate::retry::RetryBudget;
use crate::settings::RouterSettings;
use crate::table::{Applied, SliceTable, TargetId};
use crate::targets::{Standing, Targets};

/// How long the router waits for the answer to a pull before it repeats it.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);
/// The same for a pull of the whole table, which may be large.
const FULL_PULL_TIMEOUT: Duration = Duration::from_secs(2);
/// `Retry-After` of a router that is at its own limit.
const ROUTER_LIMIT_PAUSE: Duration = Duration::from_millis(200);

/// What the router is told.
#[derive(Debug, Clone)]
pub enum Input {
    /// A table update arrived.
    Table(TableUpdate),
    /// A configuration is in force.
    Configuration(Arc<Configuration>),
    /// Time has passed.
    Tick,
}

/// What the router wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Ask the control group for the table, telling the version held (the default asks for all).
    Pull {
        /// Version held.
        have: StateVersion,
    },
    /// A change of state, for one log line.
    Event(RoutingEvent),
}

/// Changes of state that operators may want to read of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RoutingEvent {
    /// A target failed again and again and gets no unkeyed work for a while.
    TargetEjected {
        /// The target.
        target: TargetName,
    },
    /// A target that had been ejected answers again.
    TargetReturned {
        /// The target.
        target: TargetName,
    },
    /// The first whole table arrived.
    TableReady {
        /// Its version.
        version: StateVersion,
    },
}

/// Load and budget of one service at this router.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) limits: ServiceLimits,
    pub(crate) budget: RetryBudget,
}

/// Decides about requests; does no I/O and reads no clock.
#[derive(Debug)]
pub struct Router {
    pub(crate) settings: RouterSettings,
    pub(crate) random: ChaCha8Rng,
    pub(crate) resolver: Resolver,
    pub(crate) table: SliceTable,
    pub(crate) targets: Targets,
    pub(crate) services: HashMap<ServiceName, ServiceState>,
    pub(crate) in_flight: u32,
    pub(crate) waiting: u32,
    pub(crate) counters: Counters,
    configuration: Arc<Configuration>,
    pending: Vec<Output>,
    /// Targets named so far by the full table of this version, which arrives in parts.
    listed_targets: (StateVersion, BTreeSet<TargetId>),
    pulled_at: Option<MonotonicTime>,
    /// Version from which a pull is wanted and not answered yet.
    pull_wanted: Option<StateVersion>,
}

impl Router {
    /// A router that knows nothing yet.
    pub fn new(settings: RouterSettings, random_seed: u64) -> Self {
        Self {
            settings,
            random: ChaCha8Rng::seed_from_u64(random_seed),
            resolver: Resolver::default(),
            table: SliceTable::default(),
            targets: Targets::default(),
            services: HashMap::new(),
            in_flight: 0,
            waiting: 0,
            counters: Counters::default(),
            configuration: Arc::default(),
            pending: Vec::new(),
            listed_targets: Default::default(),
            pulled_at: None,
            pull_wanted: None,
        }
    }

    /// Takes in what happened and appends what to do, also about requests since the last step.
    pub fn step(&mut self, now: MonotonicTime, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::Table(update) => self.apply_table(now, &update),
            Input::Configuration(configuration) => self.apply_configuration(configuration),
            Input::Tick => {}
        }
        self.repeat_pull(now);
        outputs.append(&mut self.pending);
    }

    /// When to step at the latest.
    pub fn next_wake(&self) -> MonotonicTime {
        match (self.pull_wanted, self.pulled_at) {
            (Some(have), Some(at)) => at + pull_timeout(have),
            (Some(_), None) => MonotonicTime::ZERO,
            (None, _) => MonotonicTime::MAX,
        }
    }

    /// Whether a step would return outputs right away.
    pub fn has_pending_outputs(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Version of the slice table, for renewals.
    pub fn table_version(&self) -> StateVersion {
        self.table.version()
    }

    /// Configuration version that requests are resolved by.
    pub fn config_version(&self) -> ConfigVersion {
        self.resolver.version()
    }

    /// Whether it has a table and can route.
    pub fn is_ready(&self) -> bool {
        self.table.is_ready()
    }

    /// The slice table.
    pub fn table(&self) -> &SliceTable {
        &self.table
    }

    /// What was counted.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Requests admitted and not finished.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Requests that wait for a change of the table.
    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Resolves a request's head by the configuration in force.
    pub fn resolve(&mut self, head: &RequestHead<'_>) -> Result<Resolved, Rejection> {
        let resolved = self.resolver.resolve(head);
        if let Err(rejection) = &resolved {
            self.counters
                .add_for(Counter::Rejected, &rejection.reason());
        }
        resolved
    }

    /// Admits a request. What it returns must come back by [`Router::finish`].
    pub fn begin(&mut self, now: MonotonicTime, resolved: Resolved) -> Result<Attempt, GiveUp> {
        self.counters.add(Counter::Requests);
        let give_up = |reason: Reason, retry_after: Duration| GiveUp {
            outcome: Outcome::NotRun(Proof::refused_by_router()),
            reason,
            retry_after,
        };
        let admitted = if self.in_flight >= self.settings.max_in_flight {
            Err(give_up(Reason::ROUTER_LIMIT, ROUTER_LIMIT_PAUSE))
        } else {
            self.admit_class(&resolved)
                .map_err(|retry_after| give_up(Reason::CLASS_LIMIT, retry_after))
        };
        match admitted {
            Ok(()) => {
                self.in_flight += 1;
                Ok(Attempt::new(now, resolved))
            }
            Err(refusal) => {
                self.counters.add_outcome(refusal.outcome, &refusal.reason);
                Err(refusal)
            }
        }
    }

    /// Ends a request: its answer has been passed on whole, it was given up, or its caller is gone.
    pub fn finish(&mut self, now: MonotonicTime, mut attempt: Attempt) {
        self.stop_waiting(&mut attempt);
        if let Some(current) = attempt.current.take() {
            let class = attempt.resolved.class;
            self.targets.ended(current.target, class);
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(state) = self.services.get_mut(&attempt.resolved.service) {
            let held = now.since(attempt.started);
            state.limits.release(attempt.resolved.class, held);
        }
    }

    /// Ends a request whose caller went away.
    pub fn cancel(&mut self, now: MonotonicTime, attempt: Attempt) {
        self.counters.add(Counter::Cancelled);
        self.finish(now, attempt);
    }

    fn admit_class(&mut self, resolved: &Resolved) -> Result<(), Duration> {
        let slots = self.targets.slots(&resolved.service);
        let settings = &self.settings;
        if !self.services.contains_key(&resolved.service) {
            let state = ServiceState {
                limits: ServiceLimits::default(),
                budget: RetryBudget::new(&settings.retry),
            };
            self.services.insert(resolved.service.clone(), state);
        }
        let state = self.services.get_mut(&resolved.service);
        let state = state.expect("inserted above");
        state
            .limits
            .admit(resolved.class, slots, &settings.limits)?;
        state.budget.earn(&settings.retry);
        Ok(())
    }

    pub(crate) fn stop_waiting(&mut self, attempt: &mut Attempt) {
        if attempt.is_waiting {
            attempt.is_waiting = false;
            self.waiting = self.waiting.saturating_sub(1);
        }
    }

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

    pub(crate) fn note_standing(&mut self, id: TargetId, standing: Standing) {
        let target = || self.table.target_name(id).clone();
        let event = match standing {
            Standing::Unchanged => return,
            Standing::Ejected => RoutingEvent::TargetEjected { target: target() },
            Standing::Returned => RoutingEvent::TargetReturned { target: target() },
        };
        if standing == Standing::Ejected {
            self.counters.add(Counter::Ejections);
        }
        self.pending.push(Output::Event(event));
    }

    fn pull(&mut self, now: MonotonicTime, have: StateVersion) {
        self.pulled_at = Some(now);
        self.counters.add(Counter::Pulls);
        self.pending.push(Output::Pull { have });
    }

    fn repeat_pull(&mut self, now: MonotonicTime) {
        let Some(have) = self.pull_wanted else {
            return;
        };
        let timeout = pull_timeout(have);
        let is_due = |at: MonotonicTime| now.since(at) >= timeout;
        if self.pulled_at.is_none_or(is_due) {
            self.pull(now, have);
        }
    }

    fn apply_table(&mut self, now: MonotonicTime, update: &TableUpdate) {
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

    fn apply_configuration(&mut self, configuration: Arc<Configuration>) {
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

fn pull_timeout(have: StateVersion) -> Duration {
    if have == StateVersion::default() {
        FULL_PULL_TIMEOUT
    } else {
        PULL_TIMEOUT
    }
}
