//! What callers are told against what back ends ran.

use std::collections::{BTreeMap, BTreeSet};

use wingspar_world::TargetName;

use super::Violation;
use crate::backend::{JournalEntry, RequestId, WorkId};

/// Body of a back end's answer: it names the request that it answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerBody {
    /// The request that ran.
    pub request: RequestId,
    /// Nothing of the body is missing.
    pub whole: bool,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerOutcome {
    /// It ran, and this is the answer.
    Ran(AnswerBody),
    /// It did not run and never will.
    NotRun,
    /// Nobody can tell.
    Unknown,
}

#[derive(Debug, Clone)]
struct Run {
    request: RequestId,
    work: Option<WorkId>,
    target: TargetName,
}

/// Runs and outcomes of all requests.
#[derive(Debug, Clone, Default)]
pub struct Outcomes {
    runs: BTreeMap<RequestId, Run>,
    works: BTreeMap<WorkId, RequestId>,
    not_run: BTreeSet<RequestId>,
}

impl Outcomes {
    /// Takes in the start of work at a back end.
    ///
    /// # Errors
    /// When it was declared not run, or must not be repeated and is.
    pub fn started(&mut self, entry: &JournalEntry) -> Result<(), Violation> {
        let request = entry.work.request;
        if self.not_run.contains(&request) {
            return Err(Violation::NotRunButRan {
                request,
                target: entry.target.clone(),
            });
        }
        if !entry.work.repeatable && self.has_run(entry) {
            return Err(Violation::Repeated {
                request,
                work: entry.work.work,
                target: entry.target.clone(),
            });
        }
        self.record(entry);
        Ok(())
    }

    /// Takes in the outcome that a caller was told.
    ///
    /// # Errors
    /// When it does not agree with what ran.
    pub fn answered(
        &mut self,
        request: RequestId,
        work: Option<WorkId>,
        outcome: CallerOutcome,
    ) -> Result<(), Violation> {
        match outcome {
            CallerOutcome::Unknown => Ok(()),
            CallerOutcome::NotRun => self.declared_not_run(request),
            CallerOutcome::Ran(body) => self.declared_run(request, work, body),
        }
    }

    fn declared_not_run(&mut self, request: RequestId) -> Result<(), Violation> {
        self.not_run.insert(request);
        match self.runs.get(&request) {
            None => Ok(()),
            Some(run) => Err(Violation::NotRunButRan {
                request,
                target: run.target.clone(),
            }),
        }
    }

    fn declared_run(
        &self,
        request: RequestId,
        work: Option<WorkId>,
        body: AnswerBody,
    ) -> Result<(), Violation> {
        let Some(run) = self.runs.get(&body.request) else {
            return Err(Violation::RanWithoutRun { request });
        };
        let same_work = work.is_some() && run.work == work;
        if body.whole && (run.request == request || same_work) {
            return Ok(());
        }
        Err(Violation::WrongAnswer {
            request,
            answered: body.request,
            whole: body.whole,
        })
    }

    fn has_run(&self, entry: &JournalEntry) -> bool {
        let same_work = |work| self.works.contains_key(&work);
        self.runs.contains_key(&entry.work.request) || entry.work.work.is_some_and(same_work)
    }

    fn record(&mut self, entry: &JournalEntry) {
        let request = entry.work.request;
        if let Some(work) = entry.work.work {
            self.works.insert(work, request);
        }
        let run = Run {
            request,
            work: entry.work.work,
            target: entry.target.clone(),
        };
        self.runs.insert(request, run);
    }
}
