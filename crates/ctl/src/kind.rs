//! Kinds of objects that operators create.

use wingspar_world::ConfigObject;

/// Kind of an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A service.
    Service,
    /// A target.
    Target,
    /// A placement policy.
    Policy,
}

impl Kind {
    /// Reads the noun of a command.
    pub(crate) fn from_noun(noun: &str) -> Option<Self> {
        match noun {
            "service" => Some(Self::Service),
            "target" => Some(Self::Target),
            "policy" => Some(Self::Policy),
            _ => None,
        }
    }

    /// The noun of its commands.
    pub(crate) fn noun(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Target => "target",
            Self::Policy => "policy",
        }
    }

    /// Kind of an object.
    pub fn of(object: &ConfigObject) -> Self {
        match object {
            ConfigObject::Service(_) => Self::Service,
            ConfigObject::Target(_) => Self::Target,
            ConfigObject::Policy(_) => Self::Policy,
        }
    }
}

/// Name of an object.
pub(crate) fn name_of(object: &ConfigObject) -> &str {
    match object {
        ConfigObject::Service(service) => service.name.as_str(),
        ConfigObject::Target(target) => target.name.as_str(),
        ConfigObject::Policy(policy) => policy.name.as_str(),
    }
}
