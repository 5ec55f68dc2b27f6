//! The requests that run at one target, and those that ended there without an answer.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Fingerprint;

/// A run that ended without an answer is a suspect if the target ended at most this much later. Connections of a process
/// that ends break within a millisecond of each other; a caller that leaves right before may leave work that goes on.
const ENDED_TOGETHER: Duration = Duration::from_secs(2);
/// Runs that ended without an answer are kept this long, since the end of a target may only show when its next life
/// reports.
const KEPT: Duration = Duration::from_secs(15);
/// Most runs that are kept; targets have some 20 slots.
const MOST_RUNS: usize = 512;

/// Names a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId(u64);

/// A request that was in flight when its target ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// What it is.
    pub fingerprint: Fingerprint,
    /// The caller's id of it.
    pub request: String,
    /// How long it had run.
    pub ran_for: Duration,
}

#[derive(Debug)]
struct Run {
    fingerprint: Fingerprint,
    request: String,
    began_at: Duration,
    /// When it ended without an answer.
    lost_at: Option<Duration>,
}

/// The requests in flight at one target.
#[derive(Debug, Default)]
pub struct InFlight {
    next: u64,
    runs: BTreeMap<RunId, Run>,
}

impl InFlight {
    /// A request goes out to the target.
    pub fn began(&mut self, now: Duration, fingerprint: Fingerprint, request: &str) -> RunId {
        self.forget_old(now);
        let id = RunId(self.next);
        self.next += 1;
        let run = Run {
            fingerprint,
            request: request.to_owned(),
            began_at: now,
            lost_at: None,
        };
        self.runs.insert(id, run);
        if self.runs.len() > MOST_RUNS {
            self.runs.pop_first();
        }
        id
    }

    /// The target answered it, or said that it didn't run it.
    pub fn answered(&mut self, id: RunId) {
        self.runs.remove(&id);
    }

    /// It ended without an answer: its connection broke, its time was over or its caller left.
    pub fn lost(&mut self, now: Duration, id: RunId) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.lost_at.get_or_insert(now);
        }
    }

    /// The target has ended: takes out what was in flight. `now` may be long after the end; then the last run that was
    /// lost tells when it was.
    pub fn target_ended(&mut self, now: Duration) -> Vec<Suspect> {
        let runs = std::mem::take(&mut self.runs);
        let lost_last = runs.values().filter_map(|run| run.lost_at).max();
        let ended_at = lost_last.unwrap_or(now);
        runs.into_values()
            .filter(|run| {
                run.lost_at
                    .is_none_or(|lost_at| ended_at.saturating_sub(lost_at) <= ENDED_TOGETHER)
            })
            .map(|run| Suspect {
                fingerprint: run.fingerprint,
                request: run.request,
                ran_for: run.lost_at.unwrap_or(now).saturating_sub(run.began_at),
            })
            .collect()
    }

    fn forget_old(&mut self, now: Duration) {
        self.runs.retain(|_, run| {
            run.lost_at
                .is_none_or(|lost_at| now.saturating_sub(lost_at) <= KEPT)
        });
    }
}
