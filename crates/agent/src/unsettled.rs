//! Work whose end nobody knows: the back end may have been frozen before it started it.
//!
//! Such work can begin as long as the grant time sent along with it runs. A slice is not given up
//! before that is over, so that its next owner never works beside it.

use wingspar_world::{KeyHash, MonotonicTime, ServiceName, SliceRange};

/// Requests that may still begin at a back end after they ended here.
#[derive(Debug, Default)]
pub(crate) struct Unsettled {
    works: Vec<(ServiceName, KeyHash, MonotonicTime)>,
}

impl Unsettled {
    /// Notes a request that may begin until `until`.
    pub(crate) fn add(&mut self, service: ServiceName, key: KeyHash, until: MonotonicTime) {
        self.works.push((service, key, until));
    }

    /// Forgets what can't begin any more.
    pub(crate) fn settle(&mut self, now: MonotonicTime) {
        self.works.retain(|(_, _, until)| *until > now);
    }

    /// Whether a range has such requests.
    pub(crate) fn any_in(&self, service: &ServiceName, range: SliceRange) -> bool {
        let inside = |(name, key, _): &(ServiceName, KeyHash, MonotonicTime)| {
            name == service && range.contains(*key)
        };
        self.works.iter().any(inside)
    }

    /// When the next of them settles.
    pub(crate) fn next_wake(&self) -> MonotonicTime {
        let ends = self.works.iter().map(|(_, _, until)| *until);
        ends.min().unwrap_or(MonotonicTime::MAX)
    }
}
