//! What an experiment measured.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wingspar_world::{ServiceName, TargetName};

use super::definition::Experiment;
use crate::load::RequestKind;

/// Results of one run; the JSON form of a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Results {
    /// What was run.
    pub experiment: Experiment,
    /// Time until the deployment served, in seconds.
    pub start_up_s: f64,
    /// What happened.
    pub notes: Vec<TimedNote>,
    /// All requests by kind.
    pub kinds: BTreeMap<RequestKind, KindResult>,
    /// All requests.
    pub total: KindResult,
    /// Per service.
    pub services: Vec<ServiceResult>,
    /// Per second.
    pub seconds: Vec<SecondResult>,
    /// Reasons of answers that are not "ran", with their number.
    pub reasons: BTreeMap<String, u64>,
    /// Entries of the back ends' journals that had an effect.
    pub effects: u64,
    /// Broken promises, as text; empty when all held.
    pub broken: Vec<String>,
}

/// Something that happened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TimedNote {
    /// Seconds from the start of the load.
    pub at_s: f64,
    /// What.
    pub text: String,
}

/// Requests of one kind.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct KindResult {
    /// Attempts.
    pub requests: u64,
    /// Answered whole.
    pub ran: u64,
    /// Told "not run".
    pub not_run: u64,
    /// Told "unknown", or not told.
    pub unknown: u64,
    /// Median latency of answered requests, in milliseconds, from when they were due.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Longest.
    pub max_ms: f64,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceResult {
    /// Its name.
    pub service: ServiceName,
    /// Whether each key has one owner.
    pub keyed: bool,
    /// Effects by target.
    pub effects: BTreeMap<TargetName, u64>,
    /// Highest over mean number of effects of its targets before the first event.
    pub imbalance: f64,
    /// Share of the ring that changed its owner, each change counted.
    pub churn: f64,
    /// Longest time during which a key could not be served, in milliseconds.
    pub unavailable_max_ms: f64,
    /// 99th percentile of such times.
    pub unavailable_p99_ms: f64,
    /// Such time of a key in the whole run, on average.
    pub unavailable_mean_ms: f64,
    /// Shares of the ring over time.
    pub owners: Vec<OwnerChange>,
}

/// Shares of the ring from a time on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OwnerChange {
    /// Seconds from the start of the load.
    pub at_s: f64,
    /// Share of each owner; what is missing to 1 was not served.
    pub shares: BTreeMap<TargetName, f64>,
}

/// Requests that were due in one second.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct SecondResult {
    /// Answered whole.
    pub ran: u64,
    /// Told "not run".
    pub not_run: u64,
    /// Told "unknown", or not told.
    pub unknown: u64,
    /// Median latency of answered requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}
