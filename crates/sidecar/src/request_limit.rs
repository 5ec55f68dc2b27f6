//! The requests a second that the target beside the node takes from all nodes together, as its answers name them.
//!
//! An answer may lower the limit at any time. It raises or lifts it only if its request was sent after the answer that
//! set it had been read: answers overtake each other, and one that is older than the limit says nothing of it.
//!
//! Decisions only: no clock, no timers.

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
}

impl RequestLimit {
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
        let before = std::mem::replace(&mut self.requests_per_s, named);
        self.first_after = self.requests;
        match named {
            _ if before == named => LimitChange::None,
            Some(named) => LimitChange::Set(named),
            None => LimitChange::Lifted,
        }
    }

    /// Another life of the target has begun, which has named nothing.
    pub fn new_life(&mut self) {
        self.requests_per_s = None;
        self.first_after = self.requests;
    }
}
