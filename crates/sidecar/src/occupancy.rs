//! Load of a node's target, as the node reports it to routers with each answer.

use std::time::Duration;

use crate::leaving_targets::LifeDigest;

/// Number of figures that are sent even if they are 0: the presence of the last one shows a reader that the sender's
/// version reads compact headers.
const MIN_ENCODED_FIGURES: usize = 4;

/// Index of the first figure that identifies the life of a leaving target.
const LEAVING_LIFE_INDEX: usize = 7;

/// The load of a node's target and link, and what follows from it for routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Occupancy {
    /// Requests in slots of the target.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// How long a further large answer would wait for the machine's link, in milliseconds.
    pub link_ms: u32,
    /// How long the node held the request, in milliseconds; `None` if it didn't report that.
    pub held_ms: Option<u32>,
    /// Retry-After for a caller that is refused now, in milliseconds; 0 if the node has no estimate.
    pub retry_after_ms: u32,
    /// For how long routers should eject the target, since it rejects requests, in milliseconds; 0 if it doesn't.
    pub ejected_ms: u32,
    /// The rate limit that the target announces, in requests per thousand seconds; 0 if it announces none.
    pub limit_per_1000_s: u32,
    /// The life of the target, if it is leaving.
    pub leaving: Option<LifeDigest>,
}

impl Occupancy {
    /// Retry-After for a caller that is refused now; `None` if the node has no estimate.
    pub fn retry_after(&self) -> Option<Duration> {
        let told = self.retry_after_ms > 0;
        told.then(|| Duration::from_millis(self.retry_after_ms.into()))
    }

    /// This occupancy with the rate limit that the target announces, in requests per second.
    pub fn with_limit(self, requests_per_s: Option<f64>) -> Self {
        let limit = requests_per_s.map_or(0, |limit| (limit * 1000.0).round().max(1.0) as u32);
        Self {
            limit_per_1000_s: limit,
            ..self
        }
    }

    /// The rate limit that the target announces, in requests per second; `None` if it announces none.
    pub fn limit(&self) -> Option<f64> {
        let is_named = self.limit_per_1000_s > 0;
        is_named.then(|| f64::from(self.limit_per_1000_s) / 1000.0)
    }

    /// Encodes the figures for a header, separated by commas. Trailing zeros are omitted, as the later figures are
    /// mostly 0.
    pub fn figures(&self) -> String {
        let life = self.leaving;
        let mut figures = vec![
            u64::from(self.running),
            u64::from(self.waiting),
            u64::from(self.link_ms),
            u64::from(self.held_ms.unwrap_or_default()),
            u64::from(self.retry_after_ms),
            u64::from(self.ejected_ms),
            u64::from(self.limit_per_1000_s),
            life.map_or(0, |life| life.id),
            life.and_then(|life| life.born).unwrap_or_default(),
        ];
        while figures.len() > MIN_ENCODED_FIGURES && figures.last() == Some(&0) {
            figures.pop();
        }
        let figures = figures.iter().map(u64::to_string).collect::<Vec<_>>();
        figures.join(",")
    }

    /// Decodes the figures; `None` if the first two of them aren't numbers.
    pub fn read(figures: &str) -> Option<Self> {
        let mut numbers = figures.split(',').map(|number| number.parse().ok());
        Some(Self {
            running: numbers.next()??,
            waiting: numbers.next()??,
            link_ms: numbers.next().flatten().unwrap_or(0),
            held_ms: numbers.next().flatten(),
            retry_after_ms: numbers.next().flatten().unwrap_or(0),
            ejected_ms: numbers.next().flatten().unwrap_or(0),
            limit_per_1000_s: numbers.next().flatten().unwrap_or(0),
            leaving: read_leaving(figures),
        })
    }
}

/// Decodes the life of a leaving target from the last two figures; `None` if they are 0 or missing.
fn read_leaving(figures: &str) -> Option<LifeDigest> {
    let figures = figures.split(',').skip(LEAVING_LIFE_INDEX);
    let mut figures = figures.map(|figure| figure.parse::<u64>().ok().filter(|told| *told != 0));
    Some(LifeDigest {
        id: figures.next()??,
        born: figures.next().flatten(),
    })
}
