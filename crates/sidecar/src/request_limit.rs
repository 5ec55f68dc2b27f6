//! Rate limit that the target beside the node announces in its answers: requests per second that it takes from all
//! nodes together.
//!
//! An answer may lower the limit at any time. It raises or lifts the limit only if its request was sent after the
//! answer that set the limit had been read: answers can overtake each other, and one that is older than the limit has
//! no information about it.
//!
//! This module only decides: it reads no clock and sets no timers.

/// Sequence number of a request to the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestNumber(u64);

/// Change of the limit by an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// No change.
    None,
    /// This many requests per second may be sent from now on.
    Set(f64),
    /// There is no longer a limit.
    Lifted,
}

/// The limit that the present life of the target announced last.
#[derive(Debug, Default)]
pub struct RequestLimit {
    /// `None` while there is no limit.
    requests_per_s: Option<f64>,
    /// Number of requests sent so far, and the number of the next one.
    requests: u64,
    /// The first request sent after the answer that set the limit.
    first_after: u64,
    /// An earlier process of the node may have known a limit, and the target hasn't answered this process yet.
    is_unknown: bool,
}

impl RequestLimit {
    /// No limit is known yet; `after_restart` is whether an earlier process of the node may have sent requests right
    /// before.
    pub fn new(after_restart: bool) -> Self {
        Self {
            is_unknown: after_restart,
            ..Self::default()
        }
    }

    /// The limit, in requests per second; `None` while there is none.
    pub fn requests_per_s(&self) -> Option<f64> {
        self.requests_per_s
    }

    /// Numbers a request that is sent to the target.
    pub fn sent(&mut self) -> RequestNumber {
        let number = RequestNumber(self.requests);
        self.requests += 1;
        number
    }

    /// Records that an answer announces a limit, or none. `request` is the request that it answers, if answers to this
    /// kind of request always announce the limit: answers to the node's own calls may lack it.
    pub fn observe(&mut self, request: Option<RequestNumber>, named: Option<f64>) -> LimitChange {
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

    /// Applies a limit that the target announced earlier and that a router sent along. It is used until the target has
    /// answered this process, and only if it is lower than the known one.
    pub fn apply_router_hint(&mut self, requests_per_s: f64) -> LimitChange {
        let lowers = self.requests_per_s.is_none_or(|now| requests_per_s < now);
        if !self.is_unknown || !lowers {
            return LimitChange::None;
        }
        self.requests_per_s = Some(requests_per_s);
        LimitChange::Set(requests_per_s)
    }

    /// Resets the limit, since a new life of the target has begun, which has announced none. To a process that has just
    /// started, every life is new, so an unknown limit stays unknown.
    pub fn new_life(&mut self) {
        self.requests_per_s = None;
        self.first_after = self.requests;
    }
}
