//! A sorted map from places on the ring to owners, compact and quick to change.
//!
//! The ring is cut at *boundaries*; each boundary's value holds up to the next one. Boundaries
//! lie in chunks of a few hundred, so a change moves one chunk's bytes instead of the table's.
//!
//! Keys are hashes, so boundaries are spread nearly evenly: both the chunk and the place in it are
//! guessed by interpolation and the guess is corrected by a galloping search. A lookup in a large
//! table then costs few cache misses; where hot slices were split it costs a few steps more.

/// Boundaries above which a chunk is split.
const MAX_CHUNK: usize = 512;
/// Boundaries left in each chunk after a bulk load, so that first changes need no split.
const LOADED_CHUNK: usize = 448;

/// Values of ranges of the ring.
#[derive(Debug, Clone)]
pub(crate) struct SliceMap<V> {
    /// First boundary of each chunk; the first one is zero.
    chunk_starts: Vec<u64>,
    chunks: Vec<Chunk<V>>,
}

#[derive(Debug, Clone)]
struct Chunk<V> {
    boundaries: Vec<Boundary<V>>,
}

/// A place on the ring and the value from there on. Kept together: a lookup needs both.
#[derive(Debug, Clone, Copy)]
struct Boundary<V> {
    start: u64,
    value: V,
}

impl<V: Copy> SliceMap<V> {
    /// A ring with one value all over.
    pub(crate) fn new(value: V) -> Self {
        let chunk = Chunk {
            boundaries: vec![Boundary { start: 0, value }],
        };
        Self {
            chunk_starts: vec![0],
            chunks: vec![chunk],
        }
    }

    /// Value at a place.
    pub(crate) fn get(&self, place: u64) -> V {
        let number = self.chunk_of(place);
        let boundaries = &self.chunks[number].boundaries;
        let first = self.chunk_starts[number];
        let end = self.chunk_starts.get(number + 1);
        let last = end.map_or(u64::MAX, |end| end - 1);
        let guess = interpolate(place, first, last, boundaries.len());
        boundaries[last_at_or_below(boundaries, |one| one.start, place, guess)].value
    }

    /// Gives all of `first..=last` one value.
    pub(crate) fn assign(&mut self, first: u64, last: u64, value: V) {
        if let Some(after) = last.checked_add(1) {
            let kept = self.get(after);
            self.set_boundary(after, kept);
        }
        self.set_boundary(first, value);
        self.remove_inside(first, last);
    }

    /// Number of boundaries.
    pub(crate) fn len(&self) -> usize {
        self.chunks.iter().map(|chunk| chunk.boundaries.len()).sum()
    }

    /// Bytes held on the heap.
    pub(crate) fn heap_bytes(&self) -> usize {
        let chunk_bytes = |chunk: &Chunk<V>| chunk.boundaries.capacity() * size_of::<Boundary<V>>();
        let content: usize = self.chunks.iter().map(chunk_bytes).sum();
        let index = self.chunk_starts.capacity() * size_of::<u64>();
        content + index + self.chunks.capacity() * size_of::<Chunk<V>>()
    }

    /// Packs all chunks evenly and gives unused memory back.
    pub(crate) fn compact(&mut self) {
        let chunks = std::mem::take(&mut self.chunks);
        let mut pending: Vec<Boundary<V>> = Vec::new();
        let mut packed = Vec::new();
        for chunk in chunks {
            pending.extend(chunk.boundaries);
            while pending.len() >= LOADED_CHUNK {
                let rest = pending.split_off(LOADED_CHUNK);
                packed.push(Chunk::packed(&pending));
                pending = rest;
            }
        }
        if !pending.is_empty() {
            packed.push(Chunk::packed(&pending));
        }
        packed.shrink_to_fit();
        self.chunk_starts = packed.iter().map(Chunk::first).collect();
        self.chunks = packed;
    }

    /// Values in order of place, each with its first and last place.
    pub(crate) fn ranges(&self) -> impl Iterator<Item = (u64, u64, V)> + '_ {
        let boundaries = self.chunks.iter().flat_map(|chunk| &chunk.boundaries);
        let mut boundaries = boundaries.peekable();
        std::iter::from_fn(move || {
            let boundary = boundaries.next()?;
            let last = boundaries.peek().map_or(u64::MAX, |next| next.start - 1);
            Some((boundary.start, last, boundary.value))
        })
    }

    fn chunk_of(&self, place: u64) -> usize {
        let guess = interpolate(place, 0, u64::MAX, self.chunk_starts.len());
        last_at_or_below(&self.chunk_starts, |start| *start, place, guess)
    }

    fn set_boundary(&mut self, start: u64, value: V) {
        let number = self.chunk_of(start);
        let boundaries = &mut self.chunks[number].boundaries;
        match boundaries.binary_search_by_key(&start, |one| one.start) {
            Ok(index) => boundaries[index].value = value,
            Err(index) => {
                boundaries.insert(index, Boundary { start, value });
                if boundaries.len() > MAX_CHUNK {
                    self.split(number);
                }
            }
        }
    }

    fn split(&mut self, number: usize) {
        let boundaries = &mut self.chunks[number].boundaries;
        let upper = Chunk {
            boundaries: boundaries.split_off(boundaries.len() / 2),
        };
        self.chunk_starts.insert(number + 1, upper.first());
        self.chunks.insert(number + 1, upper);
    }

    /// Removes the boundaries above `first` up to and including `last`.
    fn remove_inside(&mut self, first: u64, last: u64) {
        let from = self.chunk_of(first);
        let to = self.chunk_of(last);
        for number in (from..=to).rev() {
            let boundaries = &mut self.chunks[number].boundaries;
            let begin = boundaries.partition_point(|one| one.start <= first);
            let end = boundaries.partition_point(|one| one.start <= last);
            boundaries.drain(begin..end);
            if boundaries.is_empty() {
                self.chunks.remove(number);
                self.chunk_starts.remove(number);
            } else {
                self.chunk_starts[number] = boundaries[0].start;
            }
        }
    }
}

impl<V: Copy> Chunk<V> {
    fn packed(boundaries: &[Boundary<V>]) -> Self {
        Self {
            boundaries: boundaries.to_vec(),
        }
    }

    /// Its first boundary; chunks are never empty.
    fn first(&self) -> u64 {
        self.boundaries[0].start
    }
}

/// Index at which `place` lies if `count` items are spread evenly over `first..=last`.
fn interpolate(place: u64, first: u64, last: u64, count: usize) -> usize {
    let offset = u128::from(place - first);
    let span = u128::from(last - first) + 1;
    // Both factors are below 2^64, and the result is below `count`.
    if span > u128::from(u64::MAX) {
        return ((offset * count as u128) >> 64) as usize;
    }
    let (offset, span) = (offset as u64, span as u64);
    (offset as f64 / span as f64 * count as f64) as usize
}

/// Index of the last item whose start is at or below `place`, searched from a guess outwards. The
/// first item's start must be at or below it.
fn last_at_or_below<T>(
    items: &[T],
    start_of: impl Fn(&T) -> u64,
    place: u64,
    guess: usize,
) -> usize {
    let guess = guess.min(items.len() - 1);
    let mut step = 1;
    let (mut low, mut high) = if start_of(&items[guess]) <= place {
        let mut low = guess;
        while low + step < items.len() && start_of(&items[low + step]) <= place {
            low += step;
            step *= 2;
        }
        (low, (low + step).min(items.len()))
    } else {
        let mut high = guess;
        while high > step && start_of(&items[high - step]) > place {
            high -= step;
            step *= 2;
        }
        (high.saturating_sub(step), high)
    };
    // The answer lies in low..high.
    while high - low > 1 {
        let middle = low + (high - low) / 2;
        if start_of(&items[middle]) <= place {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}
