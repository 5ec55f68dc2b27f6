//! The callers of a request: the services that send it.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::Fingerprint;

/// Identifies the service that sends a request. A request that is sent again may come from another one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Caller(pub u32);

impl Caller {
    /// A caller that isn't known, as nodes of earlier versions don't report it.
    pub const UNKNOWN: Self = Self(0);

    /// Returns the caller with this service name.
    pub fn of(service: &[u8]) -> Self {
        let [first, second, third, fourth, ..] = xxh3_64(service).to_le_bytes();
        Self(u32::from_le_bytes([first, second, third, fourth]))
    }
}

/// A request as one caller sends it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerRequest {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Fingerprint of its content alone, which requests of other tenants may share.
    pub content: Fingerprint,
    /// The service that sends it.
    pub caller: Caller,
}

/// Maximum number of callers in [`Callers`].
const MAX_CALLERS: usize = 6;

/// A set of a few callers. Further ones aren't added to a full set.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<Caller>", into = "Vec<Caller>")]
pub struct Callers {
    /// In ascending order; the rest is unknown callers.
    sorted: [Caller; MAX_CALLERS],
    count: usize,
}

impl Callers {
    /// Adds a caller. Returns whether the set has changed.
    pub fn insert(&mut self, caller: Caller) -> bool {
        if caller == Caller::UNKNOWN || self.contains(caller) || self.count == MAX_CALLERS {
            return false;
        }
        self.sorted[self.count] = caller;
        self.count += 1;
        self.sorted[..self.count].sort_unstable();
        true
    }

    /// Adds all callers of another set. Returns whether this set has changed.
    pub fn insert_all(&mut self, others: Self) -> bool {
        let before = *self;
        for caller in others.iter() {
            self.insert(caller);
        }
        *self != before
    }

    /// Returns whether a caller is in the set.
    pub fn contains(&self, caller: Caller) -> bool {
        self.as_slice().contains(&caller)
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns the number of callers.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns the callers in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = Caller> + use<> {
        self.sorted.into_iter().take(self.count)
    }

    fn as_slice(&self) -> &[Caller] {
        &self.sorted[..self.count]
    }
}

impl FromIterator<Caller> for Callers {
    fn from_iter<Source: IntoIterator<Item = Caller>>(source: Source) -> Self {
        let mut callers = Self::default();
        for caller in source {
            callers.insert(caller);
        }
        callers
    }
}

impl From<Vec<Caller>> for Callers {
    fn from(callers: Vec<Caller>) -> Self {
        callers.into_iter().collect()
    }
}

impl From<Callers> for Vec<Caller> {
    fn from(callers: Callers) -> Self {
        callers.as_slice().to_vec()
    }
}
