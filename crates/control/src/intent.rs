//! What an operator wants changed, made into a write on the present configuration.

use std::collections::BTreeMap;

use wingspar_world::{
    ConfigObject, ConfigVersion, Configuration, PolicyName, RegionName, TargetName,
};

use crate::objects::lookup;
use crate::operator::OperatorReply;
use crate::validate;

/// What an operator wants changed.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Intent {
    Put {
        object: ConfigObject,
        expect: Option<ConfigVersion>,
    },
    Delete {
        key: String,
        expect: Option<ConfigVersion>,
    },
    Draining {
        target: TargetName,
        draining: bool,
    },
    Weights {
        policy: PolicyName,
        region_weights: Option<BTreeMap<RegionName, f64>>,
        paused: Option<bool>,
    },
}

/// A write that can be sent to the store.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Prepared {
    Put { object: ConfigObject, expect: u64 },
    Delete { key: String, expect: u64 },
}

/// Why there is no write to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// One line for each mistake.
    Invalid(Vec<String>),
    NotFound,
}

impl From<Refusal> for OperatorReply {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Invalid(mistakes) => Self::Invalid(mistakes),
            Refusal::NotFound => Self::NotFound,
        }
    }
}

impl Intent {
    /// Store key of the object that is to change.
    pub(crate) fn key(&self) -> String {
        match self {
            Self::Put { object, .. } => object.store_key(),
            Self::Delete { key, .. } => key.clone(),
            Self::Draining { target, .. } => format!("targets/{target}"),
            Self::Weights { policy, .. } => format!("policies/{policy}"),
        }
    }

    /// Whether the operator named the version that the object must have.
    pub(crate) fn names_version(&self) -> bool {
        matches!(
            self,
            Self::Put {
                expect: Some(_),
                ..
            } | Self::Delete {
                expect: Some(_),
                ..
            }
        )
    }

    /// The write on top of a configuration, or the answer when there is none to make.
    pub(crate) fn prepare(&self, configuration: &Configuration) -> Result<Prepared, Refusal> {
        let current = lookup(configuration, &self.key());
        let version = current.as_ref().map_or(0, |(version, _)| version.0);
        match (self, current) {
            (Self::Put { object, expect }, _) => {
                let expect = expect.map_or(version, |expect| expect.0);
                check(configuration, object)?;
                let object = object.clone();
                Ok(Prepared::Put { object, expect })
            }
            (Self::Delete { key, expect }, current) => {
                let expect = expect.map_or(version, |expect| expect.0);
                if current.is_none() && expect == 0 {
                    return Err(Refusal::NotFound);
                }
                let dependents = validate::dependents(configuration, key);
                if !dependents.is_empty() {
                    return Err(Refusal::Invalid(dependents));
                }
                let key = key.clone();
                Ok(Prepared::Delete { key, expect })
            }
            (Self::Draining { draining, .. }, Some((_, ConfigObject::Target(mut target)))) => {
                target.draining = *draining;
                put(configuration, ConfigObject::Target(target), version)
            }
            (
                Self::Weights {
                    region_weights,
                    paused,
                    ..
                },
                Some((_, ConfigObject::Policy(mut policy))),
            ) => {
                if let Some(weights) = region_weights {
                    policy.region_weights = weights.clone();
                }
                policy.paused = paused.unwrap_or(policy.paused);
                put(configuration, ConfigObject::Policy(policy), version)
            }
            _ => Err(Refusal::NotFound),
        }
    }
}

fn put(
    configuration: &Configuration,
    object: ConfigObject,
    expect: u64,
) -> Result<Prepared, Refusal> {
    check(configuration, &object)?;
    Ok(Prepared::Put { object, expect })
}

fn check(configuration: &Configuration, object: &ConfigObject) -> Result<(), Refusal> {
    let mistakes = validate::mistakes(configuration, object);
    if mistakes.is_empty() {
        return Ok(());
    }
    Err(Refusal::Invalid(mistakes))
}
