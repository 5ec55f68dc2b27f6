//! Observed load of a target: rates with exponential decay, the busiest slices, and hot keys by
//! the space-saving sketch (Metwally et al., 2005) with decayed counts.

use std::collections::BTreeMap;
use std::time::Duration;

use wingspar_wire::{HotKey, SliceLoad};
use wingspar_world::{KeyHash, MonotonicTime, SliceRange};

/// Time constant of the decay; a rate is a decayed count divided by it.
const TIME_CONSTANT: Duration = Duration::from_secs(3);
/// Keys followed at once by the sketch.
const SKETCH_KEYS: usize = 64;
/// Counts below this are forgotten.
const NEGLIGIBLE: f64 = 0.01;
/// Share of the target's load from which a key counts as hot.
const HOT_SHARE: f64 = 0.02;

#[derive(Debug, Clone, Copy, Default)]
struct SketchCount {
    count: f64,
    error: f64,
}

/// Load of one target.
#[derive(Debug, Default)]
pub(crate) struct LoadMeter {
    total: f64,
    slices: BTreeMap<SliceRange, f64>,
    keys: BTreeMap<KeyHash, SketchCount>,
    decayed_at: MonotonicTime,
}

fn rate(count: f64) -> f32 {
    (count / TIME_CONSTANT.as_secs_f64()) as f32
}

impl LoadMeter {
    /// Counts one started request.
    pub(crate) fn count(&mut self, slice: Option<(SliceRange, KeyHash)>) {
        self.total += 1.0;
        let Some((range, key)) = slice else {
            return;
        };
        *self.slices.entry(range).or_default() += 1.0;
        self.count_key(key);
    }

    fn count_key(&mut self, key: KeyHash) {
        if let Some(known) = self.keys.get_mut(&key) {
            known.count += 1.0;
            return;
        }
        let mut error = 0.0;
        if self.keys.len() >= SKETCH_KEYS {
            let least = self
                .keys
                .iter()
                .min_by(|one, other| one.1.count.total_cmp(&other.1.count));
            if let Some((least_key, least_count)) = least.map(|(key, count)| (*key, *count)) {
                error = least_count.count;
                self.keys.remove(&least_key);
            }
        }
        let count = error + 1.0;
        self.keys.insert(key, SketchCount { count, error });
    }

    /// Lets all counts decay up to `now`.
    pub(crate) fn decay(&mut self, now: MonotonicTime) {
        let elapsed = now.since(self.decayed_at).as_secs_f64();
        self.decayed_at = now;
        let factor = (-elapsed / TIME_CONSTANT.as_secs_f64()).exp();
        self.total *= factor;
        self.slices.retain(|_, count| {
            *count *= factor;
            *count > NEGLIGIBLE
        });
        self.keys.retain(|_, sketch| {
            sketch.count *= factor;
            sketch.error *= factor;
            sketch.count > NEGLIGIBLE
        });
    }

    /// Requests a second.
    pub(crate) fn requests_per_second(&self) -> f32 {
        rate(self.total)
    }

    /// The busiest slices, busiest first.
    pub(crate) fn busiest_slices(&self, limit: usize) -> Vec<SliceLoad> {
        let mut slices: Vec<SliceLoad> = self
            .slices
            .iter()
            .map(|(range, count)| SliceLoad {
                range: *range,
                requests_per_second: rate(*count),
            })
            .collect();
        slices.sort_by(|one, other| {
            other
                .requests_per_second
                .total_cmp(&one.requests_per_second)
        });
        slices.truncate(limit);
        slices
    }

    /// Keys whose guaranteed count is a notable share of the load, hottest first.
    pub(crate) fn hot_keys(&self, limit: usize) -> Vec<HotKey> {
        let threshold = (self.total * HOT_SHARE).max(1.0);
        let mut keys: Vec<HotKey> = self
            .keys
            .iter()
            .map(|(key, sketch)| (*key, sketch.count - sketch.error))
            .filter(|(_, count)| *count >= threshold)
            .map(|(key, count)| HotKey {
                key,
                requests_per_second: rate(count),
            })
            .collect();
        keys.sort_by(|one, other| {
            other
                .requests_per_second
                .total_cmp(&one.requests_per_second)
        });
        keys.truncate(limit);
        keys
    }
}
