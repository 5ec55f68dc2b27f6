//! The file format of experiments; see `docs/experiments.md`.

use std::fs;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use wingspar_world::{ServiceName, TargetName};

use crate::cluster::ClusterSpec;
use crate::load::Traffic;

/// An experiment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// Seed of arrivals, keys and kinds.
    #[serde(default = "seed")]
    pub seed: u64,
    /// How long requests arrive, in seconds.
    pub duration_s: f64,
    /// Time that a message takes between caller and router, each way, in milliseconds.
    #[serde(default)]
    pub client_delay_ms: f64,
    /// Attempts that a caller makes of one deposit while it doesn't know that it ran.
    #[serde(default = "attempts")]
    pub attempts: u32,
    /// The deployment.
    pub cluster: ClusterSpec,
    /// Streams of requests.
    pub traffic: Vec<Traffic>,
    /// What happens meanwhile.
    #[serde(default)]
    pub events: Vec<Event>,
}

fn seed() -> u64 {
    1
}

fn attempts() -> u32 {
    3
}

/// Something that happens at a time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Seconds from the start of the load.
    pub at_s: f64,
    /// What happens.
    #[serde(flatten)]
    pub action: Action,
}

/// Something that happens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Action {
    /// An operator moves the key of a rank to another target than its owner.
    MoveKey {
        /// The service.
        service: ServiceName,
        /// Rank of the key, from 0.
        #[serde(default)]
        rank: usize,
    },
    /// An operator drains a target.
    Drain {
        /// The target.
        target: TargetName,
    },
    /// An operator takes a drain back.
    Undrain {
        /// The target.
        target: TargetName,
    },
    /// The machine that owns the key of a rank dies with its agent and back end.
    KillOwner {
        /// The service.
        service: ServiceName,
        /// Rank of the key, from 0.
        #[serde(default)]
        rank: usize,
    },
    /// The machine of the control group's leader dies.
    KillLeader,
    /// A machine dies.
    Kill {
        /// The machine.
        machine: String,
    },
    /// Every machine that has died starts again.
    RestartAll,
    /// A machine is asked for a planned stop.
    Stop {
        /// The machine.
        machine: String,
    },
    /// The machine that owns the key of a rank stops and later goes on.
    FreezeOwner {
        /// The service.
        service: ServiceName,
        /// Rank of the key, from 0.
        #[serde(default)]
        rank: usize,
        /// For how long, in seconds.
        for_s: f64,
    },
    /// The machine of the control group's leader stops and later goes on.
    FreezeLeader {
        /// For how long, in seconds.
        for_s: f64,
    },
    /// The platform's store is down.
    StoreDown {
        /// For how long, in seconds.
        for_s: f64,
    },
    /// The platform's store is slow.
    StoreSlow {
        /// Delay of each request, in milliseconds.
        delay_ms: u64,
        /// For how long, in seconds.
        for_s: f64,
    },
    /// The platform's store loses the answers of writes.
    StoreLosesAnswers {
        /// Every n-th answer is lost.
        every: u64,
        /// For how long, in seconds.
        for_s: f64,
    },
    /// A key gets a share of its service's requests besides its own.
    HotKey {
        /// The service.
        service: ServiceName,
        /// Rank of the key, from 0.
        rank: usize,
        /// Share of the service's requests, 0 to 1.
        share: f64,
        /// For how long, in seconds.
        for_s: f64,
    },
    /// Checks take long.
    SlowChecks {
        /// Work of each, in milliseconds.
        work_ms: u64,
        /// For how long, in seconds.
        for_s: f64,
    },
}

/// Why an experiment's file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum DefinitionError {
    /// It can't be read.
    #[error("{path}: {error}")]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// It is no experiment.
    #[error("{path}: {error}")]
    Parse {
        /// The file.
        path: PathBuf,
        /// Line and reason.
        error: Box<toml::de::Error>,
    },
    /// It makes no sense.
    #[error("{path}: {}", mistakes.join("; "))]
    Wrong {
        /// The file.
        path: PathBuf,
        /// Every mistake.
        mistakes: Vec<String>,
    },
}

impl Experiment {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn load(path: &Path) -> Result<Self, DefinitionError> {
        let text = fs::read_to_string(path).map_err(|error| DefinitionError::Read {
            path: path.to_owned(),
            error,
        })?;
        let experiment = Self::parse(&text).map_err(|error| DefinitionError::Parse {
            path: path.to_owned(),
            error: Box::new(error),
        })?;
        let mistakes = experiment.mistakes();
        match mistakes.is_empty() {
            true => Ok(experiment),
            false => Err(DefinitionError::Wrong {
                path: path.to_owned(),
                mistakes,
            }),
        }
    }

    /// Reads an experiment without checking its sense.
    ///
    /// # Errors
    /// Line and reason.
    pub fn parse(text: &str) -> Result<Self, toml::de::Error> {
        toml::from_str(text)
    }

    /// Everything in it that makes no sense.
    #[must_use]
    pub fn mistakes(&self) -> Vec<String> {
        let mut mistakes = Vec::new();
        let cluster = &self.cluster;
        let mut expect = |holds: bool, mistake: String| {
            if !holds {
                mistakes.push(mistake);
            }
        };
        expect(
            self.duration_s > 0.0 && self.duration_s <= 3_600.0,
            "duration_s must be above 0 and at most 3600".to_owned(),
        );
        expect(
            !cluster.zones.is_empty() && cluster.controls > 0 && cluster.routers > 0,
            "cluster needs at least one zone, one of controls and one of routers".to_owned(),
        );
        expect(!self.traffic.is_empty(), "traffic is missing".to_owned());
        for traffic in &self.traffic {
            let service = &traffic.service;
            let keyed = cluster.service(service).map(|service| service.keyed);
            expect(keyed.is_some(), format!("traffic: no service {service}"));
            expect(
                keyed != Some(true) || traffic.keys > 0,
                format!("traffic: {service} is keyed and needs keys"),
            );
            expect(
                traffic.rate > 0.0 && traffic.rate <= 100_000.0,
                format!("traffic of {service}: rate must be above 0 and at most 100000"),
            );
        }
        for event in &self.events {
            let at = event.at_s;
            expect(
                (0.0..self.duration_s).contains(&at),
                format!("event at {at} s is outside the duration"),
            );
            if let Action::Drain { target } | Action::Undrain { target } = &event.action {
                expect(
                    cluster.has_target(target),
                    format!("event at {at} s: no target {target}"),
                );
            }
        }
        mistakes
    }
}
