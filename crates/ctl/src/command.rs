//! Commands as typed values.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::Value;
use wingspar_control::operator::Durability;
use wingspar_world::{ConfigVersion, NodeId, PolicyName, RegionName, ServiceName, TargetName};

use crate::client::Moved;
use crate::kind::Kind;

/// A command with what all commands share.
#[derive(Debug)]
pub(crate) struct Invocation {
    /// Operator addresses to try in turn.
    pub(crate) endpoints: Vec<SocketAddr>,
    /// Whether output is JSON.
    pub(crate) json: bool,
    /// Change id to use instead of a new one.
    pub(crate) change_id: Option<String>,
    /// Longest time the command takes.
    pub(crate) limit: Duration,
    /// The command.
    pub(crate) command: Command,
}

/// What is to be done.
#[derive(Debug)]
pub(crate) enum Command {
    /// Shows a page of help.
    Help(String),
    /// Creates an object.
    Create { kind: Kind, source: Source },
    /// Replaces an object, or some of its fields; without a version the one it has now is expected.
    Update {
        kind: Kind,
        source: Source,
        expect: Option<ConfigVersion>,
    },
    /// Deletes an object; without a version the one it has now is expected.
    Delete {
        kind: Kind,
        name: String,
        expect: Option<ConfigVersion>,
    },
    /// Reads an object.
    Get { kind: Kind, name: String },
    /// Reads all objects of a kind; targets may be limited to one service.
    List {
        kind: Kind,
        service: Option<ServiceName>,
    },
    /// Follows all objects of a kind.
    Watch { kind: Kind },
    /// Shows who owns what.
    Placement {
        service: ServiceName,
        key: Option<String>,
    },
    /// Moves a key or range.
    Move {
        service: ServiceName,
        moved: Moved,
        to: TargetName,
        durability: Durability,
    },
    /// Drains a target or takes the drain back.
    SetDraining { target: TargetName, draining: bool },
    /// Shifts region weights, pauses or resumes.
    Weights {
        policy: PolicyName,
        weights: Option<BTreeMap<RegionName, f64>>,
        paused: Option<bool>,
    },
    /// Shows how far a configuration is in force.
    Rollout {
        version: Option<ConfigVersion>,
        wait: bool,
    },
    /// Shows the group.
    Group,
    /// Orders a new generation.
    ForceGeneration { generation: u32, dead: Vec<NodeId> },
}

/// Where an object comes from.
#[derive(Debug)]
pub(crate) enum Source {
    /// A TOML or JSON file; `-` for standard input.
    File(PathBuf),
    /// A name and fields given by flags.
    Fields { name: String, fields: Vec<Field> },
}

/// One field given by a flag.
#[derive(Debug)]
pub(crate) struct Field {
    /// Names of the field and the tables around it.
    pub(crate) path: &'static [&'static str],
    /// Its value.
    pub(crate) value: Value,
}
