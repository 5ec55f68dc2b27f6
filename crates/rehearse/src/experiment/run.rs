//! Runs an experiment against an embedded deployment.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;
use tokio::time::{Instant, sleep};
use wingspar_standins::backend::JournalEntry;
use wingspar_world::ServiceName;

use super::definition::Experiment;
use super::director::Director;
use super::measure::{self, Tally, milliseconds};
use super::results::{Results, ServiceResult, TimedNote};
use super::sampler::{self, Seen};
use super::unavailable::Unavailable;
use crate::audit::{Broken, Evidence, check};
use crate::cluster::{Cluster, ClusterError};
use crate::load::{
    Caller, CallerSettings, Driver, DriverSettings, Outcome, Record, Shared, TrafficMix,
};
use crate::panics;

/// Time after the last answer until journals are read, for work whose caller has gone.
const SETTLE: Duration = Duration::from_millis(500);
/// Time from the first request on that counts as calm when there is no event.
const FOREVER: f64 = 1.0e9;

/// Why a run did not take place.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The deployment failed.
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    /// The HTTP client can't be built.
    #[error("HTTP client: {0}")]
    Client(#[from] reqwest::Error),
}

/// What a run left behind.
struct Raw {
    start_up: Duration,
    /// When the load started, in microseconds since the Unix epoch.
    started_us: u64,
    notes: Vec<TimedNote>,
    records: Vec<Record>,
    journals: Vec<JournalEntry>,
    dropped: u64,
    seen: Seen,
}

/// Runs an experiment; `progress` is told what happens.
///
/// # Errors
/// When the deployment can't be started. Broken promises are results.
pub async fn run(
    experiment: &Experiment,
    progress: &dyn Fn(&TimedNote),
) -> Result<Results, RunError> {
    let panics_before = panics::count();
    let raw = run_raw(experiment, progress).await?;
    let mut broken = check(Evidence {
        records: &raw.records,
        journals: &raw.journals,
        complete: raw.dropped == 0,
    });
    if raw.dropped > 0 {
        let dropped = raw.dropped;
        broken.push(Broken::JournalsIncomplete { dropped });
    }
    let panicked = panics::count() - panics_before;
    if panicked > 0 {
        broken.push(Broken::Panicked { count: panicked });
    }
    Ok(summarise(experiment, raw, &broken))
}

async fn run_raw(experiment: &Experiment, progress: &dyn Fn(&TimedNote)) -> Result<Raw, RunError> {
    let begun = Instant::now();
    let mut cluster = Cluster::start(experiment.cluster.clone()).await?;
    let start_up = begun.elapsed();
    progress(&TimedNote {
        at_s: 0.0,
        text: format!("deployment serves after {:.1} s", start_up.as_secs_f64()),
    });
    let start = Instant::now();
    let started_us = unix_micros();
    let records = Arc::<Mutex<Vec<Record>>>::default();
    let changes = Arc::<Mutex<Shared>>::default();
    let seen = Seen::default();
    let driver = driver(experiment, &cluster, start, &records, &changes)?;
    let services = names(experiment);
    let sampler = sampler::watch(cluster.client(), services, start, Arc::clone(&seen));
    let sampler = tokio::spawn(sampler);
    let load = tokio::spawn(driver.run(start));
    let mut director = Director {
        cluster: &mut cluster,
        changes,
        start,
        progress,
        dead: BTreeSet::new(),
        notes: Vec::new(),
    };
    director.play(&experiment.events).await;
    let notes = std::mem::take(&mut director.notes);
    load.await.expect("the load never panics");
    sampler.abort();
    sleep(SETTLE).await;
    let (journals, dropped) = cluster.journals();
    let records = std::mem::take(&mut *records.lock().unwrap_or_else(PoisonError::into_inner));
    Ok(Raw {
        start_up,
        started_us,
        notes,
        records,
        journals,
        dropped,
        seen,
    })
}

fn driver(
    experiment: &Experiment,
    cluster: &Cluster,
    start: Instant,
    records: &Arc<Mutex<Vec<Record>>>,
    changes: &Arc<Mutex<Shared>>,
) -> Result<Driver, RunError> {
    let services = experiment.cluster.services.iter();
    let services = services.map(|service| (service.name.clone(), service.keyed));
    let services = services.collect::<Vec<_>>();
    let settings = CallerSettings {
        routers: cluster.routers().to_vec(),
        services: services.iter().map(|(name, _)| name.clone()).collect(),
        delay: Duration::from_secs_f64(experiment.client_delay_ms / 1_000.0),
        run: format!("{}-{}", experiment.name, experiment.seed),
    };
    let caller = Caller::new(settings, start)?;
    let random = ChaCha12Rng::seed_from_u64(experiment.seed);
    let mix = TrafficMix::new(&experiment.traffic, &services, random, Arc::clone(changes));
    let settings = DriverSettings {
        duration: Duration::from_secs_f64(experiment.duration_s),
        attempts: experiment.attempts,
    };
    Ok(Driver::new(caller, mix, settings, Arc::clone(records)))
}

fn names(experiment: &Experiment) -> Vec<ServiceName> {
    let services = experiment.cluster.services.iter();
    let keyed = services.filter(|service| service.keyed);
    keyed.map(|service| service.name.clone()).collect()
}

fn unix_micros() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = since_epoch.unwrap_or_default().as_micros();
    u64::try_from(micros).unwrap_or(u64::MAX)
}

fn summarise(experiment: &Experiment, raw: Raw, broken: &[Broken]) -> Results {
    let mut total = Tally::default();
    let mut kinds = BTreeMap::<_, Tally>::new();
    let mut reasons = BTreeMap::new();
    for record in &raw.records {
        total.add(record);
        kinds.entry(record.kind).or_default().add(record);
        if record.outcome != Outcome::Ran {
            *reasons.entry(record.reason.clone()).or_insert(0) += 1;
        }
    }
    let services = (0..experiment.cluster.services.len())
        .map(|place| service_result(experiment, &raw, place))
        .collect::<Vec<_>>();
    let effects = services.iter().map(|one| one.effects.values().sum::<u64>());
    Results {
        experiment: experiment.clone(),
        start_up_s: raw.start_up.as_secs_f64(),
        kinds: kinds
            .iter()
            .map(|(kind, tally)| (*kind, tally.kind()))
            .collect(),
        total: total.kind(),
        effects: effects.sum(),
        services,
        seconds: measure::by_second(&raw.records),
        reasons,
        broken: broken.iter().map(ToString::to_string).collect(),
        notes: raw.notes,
    }
}

fn service_result(experiment: &Experiment, raw: &Raw, place: usize) -> ServiceResult {
    let spec = &experiment.cluster.services[place];
    let first_event = experiment.events.iter().map(|event| event.at_s);
    let first_event = first_event.fold(FOREVER, f64::min);
    let calm_until = raw.started_us + (first_event * 1.0e6) as u64;
    let calm = measure::effects(&raw.journals, spec.name.as_str(), calm_until);
    let mine = raw.records.iter().filter(|record| record.service == place);
    let unavailable = Unavailable::measure(mine);
    let seen = raw.seen.lock().unwrap_or_else(PoisonError::into_inner);
    let ownership = seen.get(&spec.name).cloned().unwrap_or_default();
    ServiceResult {
        service: spec.name.clone(),
        keyed: spec.keyed,
        effects: measure::effects(&raw.journals, spec.name.as_str(), u64::MAX),
        imbalance: measure::imbalance(&calm, spec.targets),
        churn: ownership.churn(),
        unavailable_max_ms: milliseconds(unavailable.longest_us()),
        unavailable_p99_ms: milliseconds(unavailable.p99_us()),
        unavailable_mean_ms: milliseconds(unavailable.mean_us()),
        owners: ownership.timeline,
    }
}
