//! Evidence against a request: target terminations at which it was in flight since its last
//! successful completion.

use std::time::Duration;

use crate::{Caller, Callers, TargetEnd};

/// Maximum number of terminations kept per request, counted for each of its callers; the oldest is dropped first.
const MAX_ENDS: usize = 16;
/// Maximum number of callers whose last successful completion is kept; the oldest is dropped first.
const MAX_SUCCESSES: usize = 16;

/// A termination at which a caller's request was in flight.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CountedEnd {
    /// The termination.
    pub end: TargetEnd,
    /// The caller whose request was in flight.
    pub caller: Caller,
    /// When the target terminated.
    pub at: Duration,
    /// Whether a request with the same content was lately served there, whoever sent it.
    pub is_content_served: bool,
}

/// Evidence against one request. A successful completion speaks for the requests of its caller only: another caller's may
/// be served where this one's terminate targets.
#[derive(Debug, Default)]
pub(crate) struct Suspicion {
    /// Terminations since the last successful completion.
    ends: Vec<CountedEnd>,
    /// The last successful completion of each caller.
    successes: Vec<(Caller, Duration)>,
    /// When the request was released for all callers.
    released_at: Option<Duration>,
    /// How often the request was refused for at least three terminations since its last successful
    /// completion.
    pub refusals: u32,
    /// Revision of the last verdict on the request.
    pub revision: u32,
    /// When this evidence may be dropped.
    pub keep_until: Duration,
}

impl Suspicion {
    /// Adds a termination at which a caller's request was in flight. Returns whether it is new and counts against the
    /// request.
    pub fn add(&mut self, new: CountedEnd) -> bool {
        let is_known = self.was_in_flight_at(new.end);
        if self.is_cleared(new.caller, new.at) || self.has(new.end, new.caller) {
            return false;
        }
        if self.ends.len() == MAX_ENDS {
            self.ends.remove(0);
        }
        self.ends.push(new);
        !is_known
    }

    fn has(&self, end: TargetEnd, caller: Caller) -> bool {
        let mut ends = self.ends.iter();
        ends.any(|known| known.end == end && known.caller == caller)
    }

    /// Returns whether a successful completion or a release has cleared what happened at this time.
    fn is_cleared(&self, caller: Caller, at: Duration) -> bool {
        let mut successes = self.successes.iter();
        self.released_at
            .is_some_and(|released_at| at <= released_at)
            || successes.any(|(known, succeeded_at)| {
                (*known == caller || caller == Caller::UNKNOWN) && at <= *succeeded_at
            })
    }

    /// Records a caller's successful completion, which clears the evidence against its requests up to that time.
    pub fn good_end(&mut self, caller: Caller, at: Duration) {
        match self
            .successes
            .iter_mut()
            .find(|(known, _)| *known == caller)
        {
            Some((_, succeeded_at)) if *succeeded_at >= at => return,
            Some((_, succeeded_at)) => *succeeded_at = at,
            None => {
                if self.successes.len() == MAX_SUCCESSES {
                    self.successes.remove(0);
                }
                self.successes.push((caller, at));
            }
        }
        self.ends.retain(|known| {
            let is_other = known.caller != caller && known.caller != Caller::UNKNOWN;
            is_other || known.at > at
        });
        if self.ends.is_empty() {
            self.refusals = 0;
        }
    }

    fn has_later_end(&self, caller: Caller, at: Duration) -> bool {
        let mut ends = self.ends.iter();
        ends.any(|known| known.caller == caller && known.at > at)
    }

    /// Clears the evidence up to this time, whoever the caller was.
    pub fn release(&mut self, at: Duration) {
        self.released_at = self.released_at.max(Some(at));
        self.ends.retain(|known| known.at > at);
        self.refusals = 0;
    }

    /// Returns the callers whose requests have completed successfully, with no termination that counts since.
    pub fn served(&self) -> Callers {
        let successes = self.successes.iter();
        let served = successes.filter(|(caller, at)| !self.has_later_end(*caller, *at));
        served.map(|(caller, _)| *caller).collect()
    }

    /// Returns whether a request with the same content was lately served where one of the terminations was seen.
    pub fn is_content_served(&self) -> bool {
        self.ends.iter().any(|known| known.is_content_served)
    }

    /// Returns the number of terminations that count against the request.
    pub fn ends(&self) -> usize {
        let is_first = |(number, end): &(usize, &CountedEnd)| {
            !self.ends[..*number]
                .iter()
                .any(|known| known.end == end.end)
        };
        self.ends.iter().enumerate().filter(is_first).count()
    }

    /// Returns whether the request was in flight at this termination.
    pub fn was_in_flight_at(&self, end: TargetEnd) -> bool {
        self.ends.iter().any(|known| known.end == end)
    }

    /// Returns the time of the first termination.
    pub fn first_end_at(&self) -> Option<Duration> {
        self.ends.iter().map(|known| known.at).min()
    }

    /// Returns the time of the last termination.
    pub fn last_end_at(&self) -> Option<Duration> {
        self.ends.iter().map(|known| known.at).max()
    }
}
