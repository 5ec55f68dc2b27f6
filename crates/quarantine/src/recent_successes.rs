//! Recent successful completions at one node.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::{Caller, CallerRequest, Callers, Fingerprint};

/// Maximum number of completions remembered, about 1 MB. At a node that serves 130 requests per
/// second these are the completions of one minute, at 2,000 requests per second of four seconds.
const MAX_COMPLETIONS: usize = 8_192;

/// Time of the last successful completion of each recent request, for each of its callers.
#[derive(Debug, Default)]
pub(crate) struct RecentSuccesses {
    at: HashMap<Fingerprint, Vec<(Caller, Duration)>>,
    /// The same for requests with the same content, whoever sent them.
    content_at: HashMap<Fingerprint, Duration>,
    order: VecDeque<(Duration, CallerRequest)>,
}

impl RecentSuccesses {
    /// Records a successful completion.
    pub fn add(&mut self, now: Duration, request: CallerRequest) {
        let callers = self.at.entry(request.fingerprint).or_default();
        match callers
            .iter_mut()
            .find(|(caller, _)| *caller == request.caller)
        {
            Some((_, at)) => *at = now,
            None => callers.push((request.caller, now)),
        }
        self.content_at.insert(request.content, now);
        self.order.push_back((now, request));
        while self.order.len() > MAX_COMPLETIONS {
            let Some((at, oldest)) = self.order.pop_front() else {
                return;
            };
            self.remove(at, oldest);
        }
    }

    fn remove(&mut self, at: Duration, request: CallerRequest) {
        if self.content_at.get(&request.content) == Some(&at) {
            self.content_at.remove(&request.content);
        }
        let Some(callers) = self.at.get_mut(&request.fingerprint) else {
            return;
        };
        callers.retain(|known| *known != (request.caller, at));
        if callers.is_empty() {
            self.at.remove(&request.fingerprint);
        }
    }

    /// Returns when a caller's request last completed successfully, if it is remembered.
    pub fn last(&self, request: CallerRequest) -> Option<Duration> {
        let callers = self.at.get(&request.fingerprint)?;
        let found = callers.iter().find(|(caller, _)| *caller == request.caller);
        found.map(|(_, at)| *at)
    }

    /// Returns whether a request with this content has completed successfully after this time, whoever sent it.
    pub fn is_content_served(&self, since: Duration, content: Fingerprint) -> bool {
        self.content_at.get(&content).is_some_and(|at| *at > since)
    }

    /// Returns the callers whose request has completed successfully after this time.
    pub fn callers_since(&self, since: Duration, fingerprint: Fingerprint) -> Callers {
        let callers = self.at.get(&fingerprint).into_iter().flatten();
        let recent = callers.filter(|(_, at)| *at > since);
        recent.map(|(caller, _)| *caller).collect()
    }
}
