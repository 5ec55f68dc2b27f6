//! The highest fence that a server has seen, for each part of the ring.

use std::collections::BTreeMap;

use wingspar_world::{Fence, KeyHash, SliceRange};

/// Fence floors over the whole ring. The ring is cut into stretches; each begins at its map key and
/// ends before the next one. Neighbours with the same floor are one stretch.
#[derive(Debug, Clone, Default)]
pub struct FenceFloors {
    /// Floor from each stretch's first hash on. What lies before the first one has no floor yet.
    stretches: BTreeMap<u64, Fence>,
}

impl FenceFloors {
    /// The highest fence seen for a key.
    #[must_use]
    pub fn floor(&self, key: KeyHash) -> Fence {
        self.floor_at(key.0)
    }

    /// The highest fence seen anywhere in a range.
    #[must_use]
    pub fn highest(&self, range: SliceRange) -> Fence {
        let inside = self
            .stretches
            .range(range.first.0..=range.last.0)
            .map(|(_, fence)| *fence);
        inside.fold(self.floor(range.first), Fence::max)
    }

    /// Takes note of a fence for a range. Floors never sink.
    pub fn raise(&mut self, range: SliceRange, fence: Fence) {
        if self.lowest(range) >= fence {
            return;
        }
        self.cut_at(range.first.0);
        if let Some(after) = range.last.0.checked_add(1) {
            self.cut_at(after);
        }
        for (_, floor) in self.stretches.range_mut(range.first.0..=range.last.0) {
            *floor = fence.max(*floor);
        }
        self.join_neighbours(range);
    }

    /// Number of stretches that are kept.
    #[must_use]
    pub fn stretches(&self) -> usize {
        self.stretches.len()
    }

    fn lowest(&self, range: SliceRange) -> Fence {
        let inside = self
            .stretches
            .range(range.first.0..=range.last.0)
            .map(|(_, fence)| *fence);
        inside.fold(self.floor(range.first), Fence::min)
    }

    fn floor_at(&self, hash: u64) -> Fence {
        self.stretches
            .range(..=hash)
            .next_back()
            .map_or(Fence::default(), |(_, fence)| *fence)
    }

    fn cut_at(&mut self, hash: u64) {
        let floor = self.floor_at(hash);
        self.stretches.entry(hash).or_insert(floor);
    }

    fn join_neighbours(&mut self, range: SliceRange) {
        let end = range.last.0.saturating_add(1);
        let starts: Vec<u64> = self
            .stretches
            .range(range.first.0..=end)
            .map(|(start, _)| *start)
            .collect();
        for start in starts {
            let before = match start.checked_sub(1) {
                Some(hash) => self.floor_at(hash),
                None => Fence::default(),
            };
            if self.stretches.get(&start) == Some(&before) {
                self.stretches.remove(&start);
            }
        }
    }
}
