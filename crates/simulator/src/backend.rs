//! Model of a back end: few slots, a fence check for each key, and a journal of what it ran.

use std::collections::BTreeMap;

use wingspar_world::{Fence, KeyHash, MonotonicTime, NodeId, SliceRange, TargetName};

/// Names one request of one caller; a caller's retry is another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Names one piece of work that must run at most once, over all its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkId(pub u64);

/// A request as it reaches a back end.
#[derive(Debug, Clone, PartialEq)]
pub struct Work {
    /// The request.
    pub request: RequestId,
    /// The caller's idempotency key.
    pub work: Option<WorkId>,
    /// The key, for keyed services.
    pub key: Option<KeyHash>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The agent that sent it.
    pub agent: NodeId,
    /// Fence, range and remaining time of the grant, for keyed services.
    pub grant: Option<WorkGrant>,
}

/// The grant under which keyed work comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkGrant {
    /// Fence token.
    pub fence: Fence,
    /// The granted slice.
    pub range: SliceRange,
    /// When the grant or the request is over, on the machine's clock, which agent and back end
    /// share. A back end that was frozen in between refuses what it reads too late.
    pub until: MonotonicTime,
}

/// One line of a back end's journal.
#[derive(Debug, Clone, PartialEq)]
pub struct JournalEntry {
    /// The back end.
    pub target: TargetName,
    /// What ran.
    pub work: Work,
    /// When it was started, in true time.
    pub started: MonotonicTime,
    /// When it ended, in true time.
    pub finished: Option<MonotonicTime>,
}

/// Position of an execution in its back end's journal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ExecutionId(pub usize);

/// Answer of a back end to offered work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Offer {
    /// It runs.
    Started(ExecutionId),
    /// A newer owner of the key was here before; not run.
    StaleFence,
    /// The grant is over or does not hold the key; not run.
    NoGrant,
    /// All slots are taken; not run.
    Full,
}

/// A back end. Its process is not wingspar's: it outlives its agent.
#[derive(Debug, Clone)]
pub struct BackEnd {
    target: TargetName,
    slots: usize,
    running: usize,
    fences: BTreeMap<KeyHash, Fence>,
    journal: Vec<JournalEntry>,
    frozen_until: MonotonicTime,
}

impl BackEnd {
    /// An idle back end.
    pub fn new(target: TargetName, slots: usize) -> Self {
        Self {
            target,
            slots,
            running: 0,
            fences: BTreeMap::new(),
            journal: Vec::new(),
            frozen_until: MonotonicTime::ZERO,
        }
    }

    /// Its name.
    pub fn target(&self) -> &TargetName {
        &self.target
    }

    /// Everything it ever ran, in order of start.
    pub fn journal(&self) -> &[JournalEntry] {
        &self.journal
    }

    /// Requests that run now.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Stops it until a time; whatever it runs or is offered waits.
    pub fn freeze(&mut self, until: MonotonicTime) {
        self.frozen_until = self.frozen_until.max(until);
    }

    /// When it goes on, if it is frozen.
    pub fn thaws_at(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        (now < self.frozen_until).then_some(self.frozen_until)
    }

    /// Starts work, or refuses it before anything happened. `now` is true time, `local` what the
    /// machine's clock shows.
    pub fn offer(&mut self, now: MonotonicTime, local: MonotonicTime, work: Work) -> Offer {
        if let Some(refusal) = self.refusal(local, &work) {
            return refusal;
        }
        if let (Some(key), Some(grant)) = (work.key, work.grant) {
            self.fences.insert(key, grant.fence);
        }
        self.running += 1;
        self.journal.push(JournalEntry {
            target: self.target.clone(),
            work,
            started: now,
            finished: None,
        });
        Offer::Started(ExecutionId(self.journal.len() - 1))
    }

    /// Ends an execution and tells the entry.
    pub fn finish(&mut self, now: MonotonicTime, execution: ExecutionId) -> &JournalEntry {
        self.running -= 1;
        let entry = &mut self.journal[execution.0];
        entry.finished = Some(now);
        entry
    }

    fn refusal(&self, local: MonotonicTime, work: &Work) -> Option<Offer> {
        if let (Some(key), Some(grant)) = (work.key, work.grant) {
            if local >= grant.until || !grant.range.contains(key) {
                return Some(Offer::NoGrant);
            }
            if self
                .fences
                .get(&key)
                .is_some_and(|seen| grant.fence < *seen)
            {
                return Some(Offer::StaleFence);
            }
        }
        (self.running >= self.slots).then_some(Offer::Full)
    }
}
