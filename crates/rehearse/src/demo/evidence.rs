//! What callers and targets have seen in a demonstration; times are microseconds from the start of the load.

use serde::{Deserialize, Serialize};

/// Everything by which a demonstration is judged.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Evidence {
    /// Requests as their callers saw them.
    pub answers: Vec<Answer>,
    /// Requests as targets ran them, in the order of time.
    pub runs: Vec<Run>,
    /// What had to be free of new work, and when.
    pub emptied: Vec<Emptied>,
    /// Quotas that held all the time.
    pub quotas: Vec<QuotaBound>,
    /// What was done.
    pub steps: Vec<Step>,
    /// What the last step waited for in vain, if it did.
    #[serde(default)]
    pub unfinished: Option<String>,
}

/// One request as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Its id.
    pub id: String,
    /// Its key, if it has one.
    pub key: Option<u16>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// When it was sent.
    pub sent_us: u64,
    /// When its end was known.
    pub end_us: u64,
    /// Status of the whole answer; nothing if none came.
    pub status: Option<u16>,
    /// Whether a complete answer of a target carried this request's id, the target's signature and its words.
    pub own: bool,
}

/// One request as a target ran it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Its id.
    pub id: String,
    /// When it began.
    pub at_us: u64,
    /// The target.
    pub target: String,
    /// The target's zone.
    pub zone: String,
    /// Its key.
    pub key: Option<u16>,
    /// Fence of the grant under which the target held the key.
    pub fence: Option<u64>,
    /// The tenants that the target was told.
    pub tenants: Vec<String>,
}

/// What must be free of new work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Place {
    /// All targets of a zone.
    Zone(String),
    /// One target.
    Target(String),
}

/// Something that had to be free of new work for a while.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Emptied {
    /// What.
    pub place: Place,
    /// From when on.
    pub from_us: u64,
    /// Until when.
    pub until_us: u64,
}

/// A tenant's quota, with what is tolerated beyond it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuotaBound {
    /// The tenant.
    pub tenant: String,
    /// Requests a second.
    pub rate_per_s: f64,
    /// Requests at once beyond that.
    pub burst: f64,
    /// The span over which they are counted, in seconds.
    pub window_s: f64,
    /// Tolerated beyond that, in parts of it.
    pub over: f64,
    /// Tolerated beyond that, in requests.
    pub slack: f64,
}

impl QuotaBound {
    /// Most requests that may begin within the window.
    #[must_use]
    pub fn most(&self) -> f64 {
        (self.burst + self.rate_per_s * self.window_s) * (1.0 + self.over) + self.slack
    }
}

/// One thing that was done, and the time until the next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// What was done.
    pub name: String,
    /// When it began.
    pub from_us: u64,
    /// When the next one began.
    pub until_us: u64,
}
