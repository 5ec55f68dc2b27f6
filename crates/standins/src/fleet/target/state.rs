//! What a target does wrong, what it has run and what it works on.

use std::sync::atomic::AtomicBool;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use salvo::Response;
use tokio::sync::Notify;

use super::call::TargetCall;
use super::grants::{Grant, SeenFences};
use super::record::Record;

/// What the target does wrong.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetFaults {
    /// Runs requests and answers with the id of another.
    pub wrong_id: bool,
    /// Runs requests and answers without its signature.
    pub unsigned: bool,
    /// Rejects requests and says so.
    pub sheds: bool,
    /// Runs requests and never answers.
    pub silent: bool,
    /// Works this long on each request.
    pub work: Duration,
    /// Answers with so many bytes.
    pub answer_bytes: usize,
    /// Says that it is slow from its start for this much longer.
    pub warmup: Duration,
    /// Has room for so many requests at once, those of callers that have left included; never answers one that comes
    /// beyond, nor anything behind it on its connection. Nothing: it has room for all.
    pub room: Option<usize>,
    /// Ends under each request of such a path, some time after it began to run it.
    pub crashes_on: Option<&'static str>,
    /// Ends under such a request only if this tenant sends it.
    pub crashes_for: Option<&'static str>,
    /// Ends under such a request only if this service sends it.
    pub crashes_for_service: Option<&'static str>,
    /// It starts again under the id that it had.
    pub keeps_id: bool,
    /// Names this many requests a second, in this text, as the most that it takes from all nodes together, in all its
    /// answers.
    pub names_limit: Option<&'static str>,
    /// Says in all its answers that it leaves.
    pub says_leaving: bool,
    /// Leaves out of its answers to health checks and orders what it names and says in the others.
    pub tells_callers_only: bool,
}

/// Path of its health check.
pub(super) const HEALTH_PATH: &str = "/healthz";
/// Paths of orders about keys.
pub(super) const GRANT_PATH: &str = "/grant";
pub(super) const RELEASE_PATH: &str = "/release";
/// Paths that only the node beside it calls.
const OWN_PATHS: [&str; 3] = [HEALTH_PATH, GRANT_PATH, RELEASE_PATH];
/// Requests that it says it works on at once.
const SLOTS: usize = 8;

/// A request that the target has run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// Its id.
    pub id: String,
    /// The id of the target's life that ran it.
    pub target: String,
    /// Number of that life, from zero; two lives may have the same id.
    pub life: u32,
    /// Its key.
    pub key: Option<u16>,
    /// Who called.
    pub caller: String,
    /// The tenants that it was told, each that stands in a header.
    pub tenants: Vec<String>,
    /// Whether it was shown a credential.
    pub credential: bool,
    /// How long its caller waits, in milliseconds.
    pub deadline_ms: u64,
    /// Its body.
    pub body: String,
    /// When it began.
    pub at: Instant,
    /// Fence of the grant under which the target held its key.
    pub fence: Option<u64>,
}

/// What the parts of a running target share.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) first_id: String,
    pub(super) keyed: bool,
    /// Id of the present life.
    pub(super) id: Mutex<String>,
    /// Lives before this one.
    pub(super) past_lives: Mutex<u32>,
    pub(super) crash: Notify,
    pub(super) grants: Mutex<Vec<Grant>>,
    pub(super) seen_fences: Mutex<SeenFences>,
    pub(super) record: Mutex<Record>,
    /// Ranges let go since the last acknowledged heartbeat.
    pub(super) let_go: Mutex<Vec<(u64, u64)>>,
    /// Whether it takes no grant that names another life than the present one.
    pub(super) checks_grants: AtomicBool,
    pub(super) seen: Mutex<Vec<Seen>>,
    pub(super) faults: Mutex<TargetFaults>,
    /// Requests that it works on, while its room is bounded.
    pub(super) at_work: Mutex<usize>,
    pub(super) without_room: Mutex<usize>,
    pub(super) call: Mutex<Option<TargetCall>>,
    /// The first lines of the answers to its calls.
    pub(super) calls_answered: Mutex<Vec<String>>,
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    pub(super) fn id(&self) -> String {
        lock(&self.id).clone()
    }

    /// Names the life that begins.
    pub(super) fn name_life(&self, keeps_id: bool) {
        if !keeps_id {
            let past = *lock(&self.past_lives);
            *lock(&self.id) = format!("{}-{past}", self.first_id);
        }
    }

    /// Adds the headers that stand in all its answers.
    pub(super) fn announce(&self, path: &str, response: &mut Response) {
        let faults = *lock(&self.faults);
        if OWN_PATHS.contains(&path) && faults.tells_callers_only {
            return;
        }
        if let Some(limit) = faults.names_limit {
            let _limit = response.add_header("server-limit", limit, true);
        }
        if faults.says_leaving {
            let _leaving = response.add_header("server-leaving", "1", true);
        }
    }

    pub(super) fn has_room(&self) -> bool {
        let room = lock(&self.faults).room;
        room.is_none_or(|room| *lock(&self.at_work) < room)
    }

    /// Its load: requests running, requests waiting, slots and how long work takes in parts of a hundred.
    pub(super) fn load(&self) -> String {
        let at_work = *lock(&self.at_work);
        format!(
            "{},{},{SLOTS},100",
            at_work.min(SLOTS),
            at_work.saturating_sub(SLOTS)
        )
    }
}
