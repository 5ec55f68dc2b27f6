//! The requests a second that the target beside the node takes from all nodes together, as its answers name them.
//!
//! An answer may lower the limit at any time. It raises or lifts it only if its request was sent after the answer that
//! set it had been read: answers overtake each other, and one that is older than the limit says nothing of it.
//!
//! Decisions only: no clock, no timers.

/// Requests that a process sends before the target has answered the first: one may fail without an answer, and the other
/// still tells within the time of a request.
const FIRST_REQUESTS: usize = 2;

/// Number of a request to the target; later ones are larger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestNumber(u64);

/// What an answer changed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// Nothing.
    None,
    /// So many requests a second may be sent from now on.
    Set(f64),
    /// There is no limit any more.
    Lifted,
}

/// What one life of the target has named last.
#[derive(Debug, Default)]
pub struct RequestLimit {
    requests_per_s: Option<f64>,
    /// Requests sent so far.
    requests: u64,
    /// The first request after the answer that set the limit.
    first_after: u64,
    /// An earlier process of the node may have known of a limit, and the target hasn't answered this one yet.
    is_unknown: bool,
}

impl RequestLimit {
    /// Nothing is known yet; `after_another` says that an earlier process may have sent requests right before.
    pub fn new(after_another: bool) -> Self {
        Self {
            is_unknown: after_another,
            ..Self::default()
        }
    }

    /// Most requests that may be at the target at once; nothing if that isn't limited. Before it is known whether there
    /// is a limit, few go out: their answers tell.
    pub fn most_at_once(&self) -> Option<usize> {
        self.is_unknown.then_some(FIRST_REQUESTS)
    }

    /// Requests a second; nothing while there is no limit.
    pub fn requests_per_s(&self) -> Option<f64> {
        self.requests_per_s
    }

    /// A request goes out to the target.
    pub fn sent(&mut self) -> RequestNumber {
        let number = RequestNumber(self.requests);
        self.requests += 1;
        number
    }

    /// An answer names a limit, or none. `request` is what it answers, if that is a request whose answer shows a limit
    /// for certain: the answers to the node's own calls may lack it.
    pub fn named(&mut self, request: Option<RequestNumber>, named: Option<f64>) -> LimitChange {
        let lowers = named.is_some_and(|named| self.requests_per_s.is_none_or(|now| named <= now));
        let is_later = request.is_some_and(|RequestNumber(number)| number >= self.first_after);
        if !lowers && !is_later {
            return LimitChange::None;
        }
        self.is_unknown = false;
        let before = std::mem::replace(&mut self.requests_per_s, named);
        self.first_after = self.requests;
        match named {
            _ if before == named => LimitChange::None,
            Some(named) => LimitChange::Set(named),
            None => LimitChange::Lifted,
        }
    }

    /// Another life of the target has begun, which has named nothing. A process that has just started takes every life
    /// for a new one: what it doesn't know yet stays unknown.
    pub fn new_life(&mut self) {
        self.requests_per_s = None;
        self.first_after = self.requests;
    }
}
