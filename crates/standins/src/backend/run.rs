//! Runs one request: waits for a slot, works, and takes effect, or gives up without effect.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use tokio::sync::{OwnedSemaphorePermit, oneshot};
use tokio::time::{Instant, sleep, sleep_until};

use super::journal::JournalOutcome;
use super::refusal::RefusalReason;
use super::state::Backend;
use super::terms::RequestTerms;

/// How a request ended.
#[derive(Debug)]
pub(super) enum RunEnd {
    /// It took effect. The slot is kept for the answer.
    Committed(OwnedSemaphorePermit),
    /// It had no effect and never will.
    Refused(RefusalReason),
    /// The caller went away; no effect.
    Cancelled,
}

/// What ended the work.
enum WorkEnd {
    Done,
    Deadline,
    CallerGone,
}

/// Runs a request that was taken in. `caller_gone` resolves when nobody waits for the answer.
pub(super) async fn run(
    backend: Arc<Backend>,
    terms: Arc<RequestTerms>,
    mut caller_gone: oneshot::Receiver<()>,
) -> RunEnd {
    let slot = tokio::select! {
        biased;
        slot = take_slot(&backend, &terms) => slot,
        _ = &mut caller_gone => return cancelled(&backend),
    };
    let slot = match slot {
        Ok(slot) => slot,
        Err(reason) => return RunEnd::Refused(reason),
    };
    backend.gate.pass().await;
    if let Err(reason) = backend.check_right(&terms) {
        return RunEnd::Refused(reason);
    }
    let entry = backend.journal().start(&terms);
    backend.sample_load();
    let end = match work(&backend, &terms, caller_gone).await {
        WorkEnd::CallerGone => cancelled(&backend),
        WorkEnd::Deadline => RunEnd::Refused(RefusalReason::Deadline),
        WorkEnd::Done => commit(&backend, &terms, slot),
    };
    note_end(&backend, entry, &end);
    end
}

async fn take_slot(
    backend: &Arc<Backend>,
    terms: &RequestTerms,
) -> Result<OwnedSemaphorePermit, RefusalReason> {
    if let Ok(slot) = Arc::clone(&backend.slots).try_acquire_owned() {
        return Ok(slot);
    }
    let _waiting = QueuePlace::take(backend).ok_or(RefusalReason::Shed)?;
    let slot = Arc::clone(&backend.slots).acquire_owned();
    let slot = match terms.give_up_at() {
        Some(give_up_at) => tokio::time::timeout_at(give_up_at, slot).await,
        None => Ok(slot.await),
    };
    match slot {
        Ok(slot) => Ok(slot.expect("the slots are never closed")),
        Err(_) => Err(backend
            .check_right(terms)
            .err()
            .unwrap_or(RefusalReason::Deadline)),
    }
}

/// Works until done. While the server is frozen, nothing ends; after a thaw, work whose time has
/// passed counts as done, whatever else has happened.
async fn work(
    backend: &Arc<Backend>,
    terms: &RequestTerms,
    caller_gone: oneshot::Receiver<()>,
) -> WorkEnd {
    let done = async {
        let time = backend.work_time(terms);
        // Even a sleep of nothing would wait for the timer's next tick.
        if !time.is_zero() {
            sleep(time).await;
        }
        backend.gate.pass().await;
    };
    let deadline = async {
        wait_until(terms.deadline).await;
        backend.gate.pass().await;
    };
    tokio::select! {
        biased;
        () = done => WorkEnd::Done,
        () = deadline => WorkEnd::Deadline,
        _ = caller_gone => WorkEnd::CallerGone,
    }
}

async fn wait_until(moment: Option<Instant>) {
    match moment {
        Some(moment) => sleep_until(moment).await,
        None => std::future::pending().await,
    }
}

fn commit(backend: &Backend, terms: &RequestTerms, slot: OwnedSemaphorePermit) -> RunEnd {
    if backend.settings.check_before_commit
        && let Err(reason) = backend.check_right(terms)
    {
        return RunEnd::Refused(reason);
    }
    backend.counts.completed.fetch_add(1, Ordering::Relaxed);
    RunEnd::Committed(slot)
}

fn cancelled(backend: &Backend) -> RunEnd {
    backend.counts.cancelled.fetch_add(1, Ordering::Relaxed);
    RunEnd::Cancelled
}

fn note_end(backend: &Backend, entry: u64, end: &RunEnd) {
    let (outcome, reason) = match end {
        RunEnd::Committed(_) => (JournalOutcome::Completed, None),
        RunEnd::Refused(reason) => (JournalOutcome::Abandoned, Some(*reason)),
        RunEnd::Cancelled => (JournalOutcome::Cancelled, None),
    };
    backend.journal().finish(entry, outcome, reason);
    backend.sample_load();
}

/// A place in the bounded queue for slots.
struct QueuePlace(Arc<Backend>);

impl QueuePlace {
    fn take(backend: &Arc<Backend>) -> Option<Self> {
        let queue = backend.settings.queue as u64;
        let taken = backend.counts.queued.fetch_add(1, Ordering::Relaxed);
        let place = Self(Arc::clone(backend));
        (taken < queue).then_some(place)
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        self.0.counts.queued.fetch_sub(1, Ordering::Relaxed);
    }
}
