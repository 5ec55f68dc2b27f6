//! A back end's state, shared by its request handlers and its owner.

use std::collections::{BTreeMap, HashMap};
use std::future::Future;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::Instant;
use wingspar_world::{Fence, SliceRange};

use crate::net::Gate;

use super::fencing::FenceFloors;
use super::journal::Journal;
use super::refusal::RefusalReason;
use super::report::{LoadReport, ReportHistory};
use super::settings::{BackendSettings, Behaviour, ServiceTime};
use super::terms::RequestTerms;

/// Counts of how requests ended.
#[derive(Debug, Default)]
pub(super) struct Counts {
    pub(super) queued: AtomicU64,
    pub(super) completed: AtomicU64,
    pub(super) cancelled: AtomicU64,
    pub(super) answers: AtomicU64,
}

#[derive(Debug)]
struct Changing {
    behaviour: Behaviour,
    cold_until: Instant,
    /// Counts changes of behaviour, so that an old timer doesn't end a new freeze.
    behaviour_changes: u64,
    floors: HashMap<String, FenceFloors>,
    refusals: BTreeMap<RefusalReason, u64>,
    reports: ReportHistory,
    random: ChaCha8Rng,
}

/// Everything that a running back end knows.
#[derive(Debug)]
pub struct Backend {
    pub(super) settings: BackendSettings,
    pub(super) gate: Gate,
    pub(super) slots: Arc<Semaphore>,
    pub(super) counts: Counts,
    changing: Mutex<Changing>,
    journal: Mutex<Journal>,
    tasks: Mutex<JoinSet<()>>,
}

impl Backend {
    pub(super) fn new(settings: BackendSettings, gate: Gate) -> Self {
        let changing = Changing {
            behaviour: Behaviour::default(),
            cold_until: Instant::now(),
            behaviour_changes: 0,
            floors: HashMap::new(),
            refusals: BTreeMap::new(),
            reports: ReportHistory::default(),
            random: ChaCha8Rng::seed_from_u64(settings.seed),
        };
        let backend = Self {
            gate,
            slots: Arc::new(Semaphore::new(settings.slots)),
            counts: Counts::default(),
            changing: Mutex::new(changing),
            journal: Mutex::new(Journal::new(&settings.name, settings.journal_limit)),
            tasks: Mutex::default(),
            settings,
        };
        backend.sample_load();
        backend
    }

    /// How the server behaves now.
    #[must_use]
    pub fn behaviour(&self) -> Behaviour {
        self.changing().behaviour
    }

    /// Changes how the server behaves.
    pub fn set_behaviour(self: &Arc<Self>, behaviour: Behaviour) {
        let change = self.note_behaviour(behaviour);
        if !behaviour.frozen {
            return self.gate.thaw();
        }
        self.gate.freeze();
        if behaviour.freeze_ms > 0 {
            let after = Duration::from_millis(behaviour.freeze_ms);
            tokio::spawn(thaw_later(Arc::clone(self), change, after));
        }
    }

    /// Drains or takes new work again, and tells the load.
    pub fn drain(self: &Arc<Self>, draining: bool) -> LoadReport {
        self.changing().behaviour.draining = draining;
        self.load()
    }

    /// Takes note of a grant ahead of its first request. Returns whether its fence is the highest
    /// seen in the range, and the highest fence there.
    pub fn offer_fence(&self, service: &str, range: SliceRange, fence: Fence) -> (bool, Fence) {
        let mut changing = self.changing();
        let floors = changing.floors.entry(service.to_owned()).or_default();
        let accepted = fence >= floors.highest(range);
        if accepted {
            floors.raise(range, fence);
        }
        (accepted, floors.highest(range))
    }

    /// The true load.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        let changing = self.changing();
        self.load_of(&changing)
    }

    /// The load as told to others: late, or untrue.
    #[must_use]
    pub fn reported_load(&self) -> LoadReport {
        let now = Instant::now();
        let mut changing = self.changing();
        let load = self.load_of(&changing);
        changing.reports.add(now, load);
        let lag = Duration::from_millis(changing.behaviour.report_lag_ms);
        let late = if lag.is_zero() {
            None
        } else {
            changing.reports.as_of(now, lag)
        };
        late.unwrap_or(load).scaled(changing.behaviour.load_percent)
    }

    /// Requests refused or given up so far, by reason.
    #[must_use]
    pub fn refusals(&self) -> BTreeMap<RefusalReason, u64> {
        self.changing().refusals.clone()
    }

    /// What was run.
    pub fn journal(&self) -> MutexGuard<'_, Journal> {
        self.journal.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a request that just arrived may be taken in.
    pub(super) fn check_arrival(&self, terms: &RequestTerms) -> Result<(), RefusalReason> {
        self.check_right(terms)?;
        let changing = self.changing();
        if changing.behaviour.draining {
            return Err(RefusalReason::Draining);
        }
        if Instant::now() < changing.cold_until {
            return Err(RefusalReason::ColdStart);
        }
        if changing.behaviour.shed {
            return Err(RefusalReason::Shed);
        }
        Ok(())
    }

    /// Whether a request may start, or take effect, at this moment.
    pub(super) fn check_right(&self, terms: &RequestTerms) -> Result<(), RefusalReason> {
        if let Some(keyed) = &terms.keyed {
            if !keyed.grant.range.contains(keyed.key) {
                return Err(RefusalReason::NotGranted);
            }
            let mut changing = self.changing();
            let floors = changing.floors.entry(terms.service.clone()).or_default();
            if keyed.grant.fence < floors.floor(keyed.key) {
                return Err(RefusalReason::StaleFence);
            }
            floors.raise(keyed.grant.range, keyed.grant.fence);
            if keyed.grant.is_over() {
                return Err(RefusalReason::GrantExpired);
            }
        }
        if terms.deadline_is_over() {
            return Err(RefusalReason::Deadline);
        }
        Ok(())
    }

    /// How long the work of a request takes.
    pub(super) fn work_time(&self, terms: &RequestTerms) -> Duration {
        let mut changing = self.changing();
        let ordinary = match (terms.work, self.settings.service_time) {
            (Some(work), _) | (None, ServiceTime::Fixed(work)) => work,
            (None, ServiceTime::Exponential { mean }) => {
                let uniform: f64 = changing.random.random();
                mean.mul_f64(-(1.0 - uniform).ln())
            }
        };
        ordinary * changing.behaviour.work_percent / 100
    }

    /// Whether the next answer breaks off.
    pub(super) fn truncates_next_answer(&self) -> bool {
        let count = self.counts.answers.fetch_add(1, Ordering::Relaxed) + 1;
        let every = self.changing().behaviour.truncate_every;
        every > 0 && count.is_multiple_of(every)
    }

    pub(super) fn count_refusal(&self, reason: RefusalReason) {
        *self.changing().refusals.entry(reason).or_default() += 1;
    }

    pub(super) fn sample_load(&self) {
        let mut changing = self.changing();
        let load = self.load_of(&changing);
        changing.reports.add(Instant::now(), load);
    }

    /// Runs a task that ends with the server.
    pub(super) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        while tasks.try_join_next().is_some() {}
        tasks.spawn(task);
    }

    pub(super) fn abort_tasks(&self) {
        self.tasks
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .abort_all();
    }

    fn note_behaviour(&self, behaviour: Behaviour) -> u64 {
        let mut changing = self.changing();
        changing.behaviour = behaviour;
        changing.cold_until = Instant::now() + Duration::from_millis(behaviour.cold_start_ms);
        changing.behaviour_changes += 1;
        changing.behaviour_changes
    }

    fn end_freeze(&self, change: u64) {
        let mut changing = self.changing();
        if changing.behaviour_changes == change {
            changing.behaviour.frozen = false;
            self.gate.thaw();
        }
    }

    fn load_of(&self, changing: &Changing) -> LoadReport {
        let free = self.slots.available_permits();
        LoadReport {
            slots: self.settings.slots as u64,
            in_flight: self.settings.slots.saturating_sub(free) as u64,
            queued: self.counts.queued.load(Ordering::Relaxed),
            completed: self.counts.completed.load(Ordering::Relaxed),
            cancelled: self.counts.cancelled.load(Ordering::Relaxed),
            refused: changing.refusals.values().sum(),
            draining: changing.behaviour.draining,
            cold: Instant::now() < changing.cold_until,
        }
    }

    fn changing(&self) -> MutexGuard<'_, Changing> {
        self.changing.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn thaw_later(backend: Arc<Backend>, change: u64, after: Duration) {
    tokio::time::sleep(after).await;
    backend.end_freeze(change);
}
