//! Requests in flight at one target, and recent ones that got no answer; and which terminations of the target they show.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{CallerRequest, TargetEnd};

/// A run that got no answer is a suspect if the target terminated at most this long afterwards: the
/// target may continue working for a moment after the caller has left. The connections of a
/// terminating process break within a millisecond of each other.
const MAX_LOST_BEFORE_END: Duration = Duration::from_millis(300);
/// How long runs without an answer are kept. The termination of a target may go unnoticed until its
/// next incarnation reports, some seconds later.
const LOST_RUN_RETENTION: Duration = Duration::from_secs(15);
/// Maximum number of runs kept; a target has about 20 slots.
const MAX_RUNS: usize = 512;

/// Identifies a run of a request at the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId(u64);

/// A request that was in flight when its target terminated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// The request.
    pub request: CallerRequest,
    /// Request id given by the caller; empty if there was none.
    pub request_id: String,
    /// How long the request had run.
    pub ran_for: Duration,
}

/// What has shown that the target terminated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndEvidence {
    /// A connection broke, and the target's address refuses new ones.
    RefusesConnections,
    /// Another incarnation of the target has reported.
    NextIncarnation,
}

/// A termination of the target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Termination {
    /// Identifies the termination.
    pub end: TargetEnd,
    /// The requests that were in flight.
    pub suspects: Vec<Suspect>,
}

/// The last termination that was recorded.
#[derive(Debug)]
struct RecordedEnd {
    /// The incarnation that was known when it was recorded.
    incarnation: String,
    at: Duration,
}

/// How and when a run ended without an answer.
#[derive(Debug, Clone, Copy)]
enum Lost {
    /// The deadline passed or the caller left; the target may still be working on the request.
    Abandoned(Duration),
    /// The connection broke.
    ConnectionBroke(Duration),
}

impl Lost {
    fn at(self) -> Duration {
        match self {
            Self::Abandoned(at) | Self::ConnectionBroke(at) => at,
        }
    }
}

#[derive(Debug, Clone)]
struct Run {
    request: CallerRequest,
    request_id: String,
    started_at: Duration,
    lost: Option<Lost>,
}

impl Run {
    /// Returns when the connection broke, if it did.
    fn connection_broke_at(&self) -> Option<Duration> {
        match self.lost {
            Some(Lost::ConnectionBroke(at)) => Some(at),
            _ => None,
        }
    }

    /// Returns whether the run was in flight when the target terminated.
    fn was_in_flight(&self, ended_at: Duration) -> bool {
        let lost_long_before = self
            .lost
            .is_some_and(|lost| ended_at.saturating_sub(lost.at()) > MAX_LOST_BEFORE_END);
        self.started_at <= ended_at && !lost_long_before
    }
}

/// Tracks the requests in flight at one target.
#[derive(Debug, Default)]
pub struct InFlight {
    next: u64,
    runs: BTreeMap<RunId, Run>,
    /// When the last part of an answer arrived; the target had not terminated before.
    answered_at: Option<Duration>,
    recorded_end: Option<RecordedEnd>,
}

impl InFlight {
    /// Records that a request is sent to the target. `request_id` is the caller's id of it.
    pub fn start(&mut self, now: Duration, request: CallerRequest, request_id: &str) -> RunId {
        self.remove_expired(now);
        let id = RunId(self.next);
        self.next += 1;
        let run = Run {
            request,
            request_id: request_id.to_owned(),
            started_at: now,
            lost: None,
        };
        self.runs.insert(id, run);
        if self.runs.len() > MAX_RUNS {
            self.runs.pop_first();
        }
        id
    }

    /// Records that a part of the request's answer has arrived.
    pub fn responding(&mut self, now: Duration, id: RunId) {
        if self.runs.get(&id).is_some_and(|run| run.lost.is_none()) {
            self.answered_at = Some(now);
        }
    }

    /// Records that the target answered the request or reported that it did not run it.
    pub fn answered(&mut self, now: Duration, id: RunId) {
        self.runs.remove(&id);
        self.answered_at = Some(now);
    }

    /// Records that the request never reached the target.
    pub fn not_sent(&mut self, id: RunId) {
        self.runs.remove(&id);
    }

    /// Records that the connection broke before the request was answered.
    pub fn connection_broke(&mut self, now: Duration, id: RunId) {
        self.mark_lost(id, Lost::ConnectionBroke(now));
    }

    /// Records that the run was abandoned: its deadline passed or its caller left.
    pub fn given_up(&mut self, now: Duration, id: RunId) {
        self.mark_lost(id, Lost::Abandoned(now));
    }

    fn mark_lost(&mut self, id: RunId, lost: Lost) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.lost.get_or_insert(lost);
        }
    }

    /// Records that the target has terminated. `incarnation` names the one that is known to have run, which has ended if
    /// `evidence` is that the next one reported. `now` may be long after the termination.
    ///
    /// Returns `None` if this termination has been recorded before. An incarnation may terminate before anything has
    /// told its name, and incarnations may share a name, so two terminations of one name can be different ones.
    pub fn target_ended(
        &mut self,
        now: Duration,
        incarnation: &str,
        evidence: EndEvidence,
    ) -> Option<Termination> {
        if self.is_recorded(incarnation, evidence) {
            return None;
        }
        let suspects = self.take_suspects(now, evidence);
        self.recorded_end = Some(RecordedEnd {
            incarnation: incarnation.to_owned(),
            at: now,
        });
        Some(Termination {
            end: TargetEnd::of(incarnation, now),
            suspects,
        })
    }

    /// Returns whether the evidence shows no termination after the last recorded one.
    fn is_recorded(&self, incarnation: &str, evidence: EndEvidence) -> bool {
        let Some(recorded) = &self.recorded_end else {
            return false;
        };
        match evidence {
            // A request that reached the target since then met a later incarnation.
            EndEvidence::RefusesConnections => !self.runs.values().any(|run| {
                run.connection_broke_at()
                    .is_some_and(|connection_broke_at| connection_broke_at > recorded.at)
            }),
            EndEvidence::NextIncarnation => recorded.incarnation == incarnation,
        }
    }

    /// Returns the requests that were in flight when the target terminated, and removes the runs of that incarnation.
    fn take_suspects(&mut self, now: Duration, evidence: EndEvidence) -> Vec<Suspect> {
        let ended_at = self.ended_at(now);
        let runs = std::mem::take(&mut self.runs);
        if evidence == EndEvidence::NextIncarnation {
            // Some of the pending ones may be in flight at the next incarnation.
            let pending = runs.iter().filter(|(_, run)| run.lost.is_none());
            self.runs = pending.map(|(id, run)| (*id, run.clone())).collect();
        }
        runs.into_values()
            .filter(|run| run.was_in_flight(ended_at))
            .map(|run| Suspect {
                request: run.request,
                request_id: run.request_id,
                ran_for: run
                    .lost
                    .map_or(now, Lost::at)
                    .saturating_sub(run.started_at),
            })
            .collect()
    }

    /// Returns when the target terminated: at the first connection break after its last answer and the termination
    /// before. Runs started later found no target.
    fn ended_at(&self, now: Duration) -> Duration {
        let recorded_at = self.recorded_end.as_ref().map(|recorded| recorded.at);
        let was_up_at = self.answered_at.max(recorded_at).unwrap_or_default();
        let connection_breaks = self.runs.values().filter_map(Run::connection_broke_at);
        let first = connection_breaks
            .filter(|connection_broke_at| *connection_broke_at > was_up_at)
            .min();
        let lost_last = self.runs.values().filter_map(|run| run.lost.map(Lost::at));
        first.or(lost_last.max()).unwrap_or(now)
    }

    fn remove_expired(&mut self, now: Duration) {
        self.runs.retain(|_, run| {
            run.lost
                .is_none_or(|lost| now.saturating_sub(lost.at()) <= LOST_RUN_RETENTION)
        });
    }
}
