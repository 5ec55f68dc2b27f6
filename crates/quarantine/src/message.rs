//! Messages between nodes, carried in lease renewals and their replies.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::{Caller, Callers, Fingerprint, Verdict};

/// Identifies a termination of a target, as its node has recorded it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetEnd(pub u64);

impl TargetEnd {
    /// Returns the termination that a node has recorded at this time, in an incarnation of this name. Incarnations may
    /// share a name.
    pub(crate) fn of(incarnation: &str, recorded_at: Duration) -> Self {
        let mut hash = Xxh3::new();
        hash.update(incarnation.as_bytes());
        hash.update(&recorded_at.as_nanos().to_le_bytes());
        Self(hash.digest())
    }
}

/// A request was in flight at a target that terminated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The termination of the target.
    pub end: TargetEnd,
    /// Time since the termination, in milliseconds.
    pub ms_ago: u64,
    /// Time since the request of this caller last completed successfully at the observing node, in milliseconds;
    /// `None` if it did not, as far as the node remembers.
    pub good_ms_ago: Option<u64>,
    /// The caller whose request was in flight; unknown if a node of an earlier version reports it.
    #[serde(default)]
    pub caller: Caller,
    /// Callers whose same request was lately served by the target of the observing node.
    #[serde(default, skip_serializing_if = "Callers::is_empty")]
    pub served: Callers,
    /// Whether a request of any tenant and caller with the same content was lately served there.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_content_served: bool,
}

/// Sent by a node to its leader.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Digest of the node's verdicts.
    pub digest: u64,
    /// Some of the node's verdicts, while its digest differs from the leader's; empty otherwise.
    pub verdicts: Vec<Verdict>,
    /// Observations of the node that the leader has not acknowledged; some of them, if there are
    /// many.
    pub observations: Vec<Observation>,
    /// Number of the last observation in `observations`, or of the last acknowledged one if there
    /// is none.
    pub newest: u64,
}

/// The leader's answer to a report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Digest of the leader's verdicts.
    pub digest: u64,
    /// Some of the leader's verdicts, while its digest differs from the node's; empty otherwise.
    pub verdicts: Vec<Verdict>,
    /// Number of the node's last observation that the leader has processed.
    pub acknowledged: u64,
}

/// State of a node's quarantine at one time, from which reports and replies are built.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QuarantineSnapshot {
    /// Digest of the node's verdicts.
    pub digest: u64,
    /// Some of the node's verdicts; a different subset each time, if they don't fit into one
    /// datagram.
    pub verdicts: Vec<Verdict>,
    /// Observations that the leader has not acknowledged; some of them, if there are many.
    pub observations: Vec<Observation>,
    /// Number of the last observation in `observations`, or of the last acknowledged one if there
    /// is none.
    pub newest: u64,
    /// Whether the last digest received from the leader differs from the node's own.
    pub leader_differs: bool,
}

impl QuarantineSnapshot {
    /// Returns the report to the leader, or `None` if there is nothing to report.
    pub fn report(&self) -> Option<Report> {
        let silent = self.digest == 0 && self.observations.is_empty();
        (!silent).then(|| Report {
            digest: self.digest,
            verdicts: if self.leader_differs {
                self.verdicts.clone()
            } else {
                Vec::new()
            },
            observations: self.observations.clone(),
            newest: self.newest,
        })
    }

    /// Returns the leader's reply to a report, or `None` if there is nothing to send.
    pub fn reply_to(&self, report: Option<&Report>) -> Option<Reply> {
        let theirs = report.map_or(0, |report| report.digest);
        let verdicts = if theirs == self.digest {
            Vec::new()
        } else {
            self.verdicts.clone()
        };
        (report.is_some() || self.digest != 0).then(|| Reply {
            digest: self.digest,
            verdicts,
            acknowledged: report.map_or(0, |report| report.newest),
        })
    }
}
