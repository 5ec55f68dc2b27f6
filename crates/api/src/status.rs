//! Replies that are no success as gRPC statuses, and back.
//!
//! Codes: conflict ABORTED, invalid INVALID_ARGUMENT, not found NOT_FOUND, not leader
//! FAILED_PRECONDITION, unavailable UNAVAILABLE, unknown UNKNOWN. Every status made here carries
//! [`OUTCOME`]; one without it was made by the transport and proves nothing.

use tonic::metadata::MetadataMap;
use tonic::{Code, Status};
use wingspar_control::operator::OperatorReply;
use wingspar_world::ConfigVersion;

/// Metadata that tells whether a refused change may have taken effect.
pub const OUTCOME: &str = "wingspar-outcome";
/// Value of [`OUTCOME`]: nothing was changed.
pub const NOT_RUN: &str = "not-run";
/// Value of [`OUTCOME`]: the change may have taken effect.
pub const UNKNOWN: &str = "unknown";
/// Metadata of a conflict: the object's version now, 0 when it does not exist.
pub const CURRENT_VERSION: &str = "wingspar-current-version";
/// Metadata of a reply from a replica that does not lead: the leader, when known.
pub const LEADER: &str = "wingspar-leader";

/// Why a call was no success.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The request is wrong; one line for each mistake. Nothing was changed.
    Invalid(Vec<String>),
    /// There is no such thing.
    NotFound,
    /// The object has another version than expected; nothing was changed.
    Conflict {
        /// Its version; `None` when it does not exist.
        current: Option<ConfigVersion>,
    },
    /// Another replica leads; nothing was changed.
    NotLeader {
        /// The leader, when known.
        leader: Option<String>,
    },
    /// Nothing was changed, since something needed is out of reach.
    Unavailable {
        /// What is out of reach.
        reason: String,
    },
    /// The change may or may not have taken effect; repeat it with the same change id.
    Unknown {
        /// Why it can't be told.
        reason: String,
    },
}

impl Failure {
    /// The status that carries it.
    pub fn into_status(self) -> Status {
        match self {
            Self::Invalid(mistakes) => not_run(Code::InvalidArgument, mistakes.join("\n")),
            Self::NotFound => not_run(Code::NotFound, "there is no such thing".to_owned()),
            Self::Conflict { current } => conflict(current),
            Self::NotLeader { leader } => not_leader(leader),
            Self::Unavailable { reason } => not_run(Code::Unavailable, reason),
            Self::Unknown { reason } => with_outcome(Code::Unknown, reason, UNKNOWN),
        }
    }

    /// Reads a status. One that this API did not make counts as unknown.
    pub fn from_status(status: &Status) -> Self {
        let reason = status.message().to_owned();
        if text(status.metadata(), OUTCOME) != Some(NOT_RUN) {
            return Self::Unknown { reason };
        }
        match status.code() {
            Code::InvalidArgument => {
                Self::Invalid(status.message().lines().map(str::to_owned).collect())
            }
            Code::NotFound => Self::NotFound,
            Code::Aborted => Self::Conflict {
                current: current(status.metadata()),
            },
            Code::FailedPrecondition => Self::NotLeader {
                leader: text(status.metadata(), LEADER).map(str::to_owned),
            },
            _ => Self::Unavailable { reason },
        }
    }
}

/// The status for a reply that is not the expected success.
pub(crate) fn refusal(reply: OperatorReply) -> Status {
    let failure = match reply {
        OperatorReply::Invalid(mistakes) => Failure::Invalid(mistakes),
        OperatorReply::NotFound => Failure::NotFound,
        OperatorReply::Conflict { current } => Failure::Conflict {
            current: current.map(|(version, _)| version),
        },
        OperatorReply::NotLeader { leader } => Failure::NotLeader {
            leader: leader.map(|node| node.to_string()),
        },
        OperatorReply::Unavailable { reason } => Failure::Unavailable { reason },
        OperatorReply::Unknown { reason } => Failure::Unknown { reason },
        other => Failure::Unknown {
            reason: format!("answer of an unexpected kind: {}", kind(&other)),
        },
    };
    failure.into_status()
}

/// The status for a wrong request.
pub(crate) fn invalid(mistakes: Vec<String>) -> Status {
    Failure::Invalid(mistakes).into_status()
}

fn kind(reply: &OperatorReply) -> &'static str {
    match reply {
        OperatorReply::Written { .. } => "written",
        OperatorReply::Objects { .. } => "objects",
        OperatorReply::MoveAccepted { .. } => "move accepted",
        OperatorReply::Placement(_) => "placement",
        OperatorReply::Rollout(_) => "rollout",
        OperatorReply::Group(_) => "group",
        _ => "refusal",
    }
}

fn not_run(code: Code, message: String) -> Status {
    with_outcome(code, message, NOT_RUN)
}

fn with_outcome(code: Code, message: String, outcome: &'static str) -> Status {
    let mut status = Status::new(code, message);
    insert(&mut status, OUTCOME, outcome);
    status
}

fn conflict(current: Option<ConfigVersion>) -> Status {
    let version = current.unwrap_or_default().0;
    let message = match current {
        Some(version) => format!("conflict: the current version is {}", version.0),
        None => "conflict: the object does not exist".to_owned(),
    };
    let mut status = not_run(Code::Aborted, message);
    insert(&mut status, CURRENT_VERSION, &version.to_string());
    status
}

fn not_leader(leader: Option<String>) -> Status {
    let message = match &leader {
        Some(leader) => format!("not the leader; {leader} leads"),
        None => "not the leader; none is known".to_owned(),
    };
    let mut status = not_run(Code::FailedPrecondition, message);
    if let Some(leader) = leader {
        insert(&mut status, LEADER, &leader);
    }
    status
}

fn insert(status: &mut Status, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        status.metadata_mut().insert(name, value);
    }
}

fn text<'a>(metadata: &'a MetadataMap, name: &str) -> Option<&'a str> {
    metadata.get(name)?.to_str().ok()
}

fn current(metadata: &MetadataMap) -> Option<ConfigVersion> {
    let version = text(metadata, CURRENT_VERSION)?.parse().ok()?;
    (version != 0).then_some(ConfigVersion(version))
}
