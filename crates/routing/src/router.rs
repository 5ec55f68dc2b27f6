//! The router as one state machine: what it knows, and the beginning and end of each request.
//!
//! `route.rs` decides where a request goes, `after.rs` what follows from the result, `follow.rs`
//! keeps table and configuration up to date.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wingspar_wire::{StateVersion, TableUpdate};
use wingspar_world::{ConfigVersion, Configuration, MonotonicTime, ServiceName, TargetName};

use crate::attempt::{Attempt, GiveUp};
use crate::counters::{Counter, Counters};
use crate::follow::pull_timeout;
use crate::limits::ServiceLimits;
use crate::outcome::{Outcome, Proof};
use crate::reason::Reason;
use crate::resolver::{Rejection, RequestHead, Resolved, Resolver};
use crate::retry::RetryBudget;
use crate::settings::RouterSettings;
use crate::table::{SliceTable, TargetId};
use crate::targets::{Standing, Targets};

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
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) pending: Vec<Output>,
    /// Targets named so far by the full table of this version, which arrives in parts.
    pub(crate) listed_targets: (StateVersion, BTreeSet<TargetId>),
    pub(crate) pulled_at: Option<MonotonicTime>,
    /// Version from which a pull is wanted and not answered yet.
    pub(crate) pull_wanted: Option<StateVersion>,
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
}
