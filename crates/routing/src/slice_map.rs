//! A sorted map from places on the ring to owners, compact and quick to change.
//!
//! The ring is cut at *boundaries*; each boundary's value holds up to the next one. Boundaries
//! lie in chunks of a few hundred, so a lookup is two short binary searches and a change moves
//! one chunk's bytes instead of the table's.

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
    starts: Vec<u64>,
    values: Vec<V>,
}

impl<V: Copy> SliceMap<V> {
    /// A ring with one value all over.
    pub(crate) fn new(value: V) -> Self {
        let chunk = Chunk {
            starts: vec![0],
            values: vec![value],
        };
        Self {
            chunk_starts: vec![0],
            chunks: vec![chunk],
        }
    }

    /// Value at a place.
    pub(crate) fn get(&self, place: u64) -> V {
        let chunk = &self.chunks[self.chunk_of(place)];
        chunk.values[chunk.index_of(place)]
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
        self.chunks.iter().map(|chunk| chunk.starts.len()).sum()
    }

    /// Bytes held on the heap.
    pub(crate) fn heap_bytes(&self) -> usize {
        let chunk_bytes = |chunk: &Chunk<V>| {
            chunk.starts.capacity() * size_of::<u64>() + chunk.values.capacity() * size_of::<V>()
        };
        let content: usize = self.chunks.iter().map(chunk_bytes).sum();
        let index = self.chunk_starts.capacity() * size_of::<u64>();
        content + index + self.chunks.capacity() * size_of::<Chunk<V>>()
    }

    /// Packs all chunks evenly and gives unused memory back.
    pub(crate) fn compact(&mut self) {
        let chunks = std::mem::take(&mut self.chunks);
        let (mut starts, mut values) = (Vec::new(), Vec::new());
        let mut packed = Vec::new();
        for chunk in chunks {
            starts.extend(chunk.starts);
            values.extend(chunk.values);
            while starts.len() >= LOADED_CHUNK {
                let rest = (
                    starts.split_off(LOADED_CHUNK),
                    values.split_off(LOADED_CHUNK),
                );
                packed.push(Chunk::packed(&starts, &values));
                (starts, values) = rest;
            }
        }
        if !starts.is_empty() {
            packed.push(Chunk::packed(&starts, &values));
        }
        packed.shrink_to_fit();
        self.chunk_starts = packed.iter().map(|chunk| chunk.starts[0]).collect();
        self.chunks = packed;
    }

    /// Values in order of place, each with its first and last place.
    pub(crate) fn ranges(&self) -> impl Iterator<Item = (u64, u64, V)> + '_ {
        let boundaries = self.chunks.iter().flat_map(|chunk| {
            let starts = chunk.starts.iter().copied();
            starts.zip(chunk.values.iter().copied())
        });
        let mut boundaries = boundaries.peekable();
        std::iter::from_fn(move || {
            let (start, value) = boundaries.next()?;
            let last = boundaries.peek().map_or(u64::MAX, |(next, _)| next - 1);
            Some((start, last, value))
        })
    }

    fn chunk_of(&self, place: u64) -> usize {
        self.chunk_starts.partition_point(|&start| start <= place) - 1
    }

    fn set_boundary(&mut self, start: u64, value: V) {
        let number = self.chunk_of(start);
        let chunk = &mut self.chunks[number];
        match chunk.starts.binary_search(&start) {
            Ok(index) => chunk.values[index] = value,
            Err(index) => {
                chunk.starts.insert(index, start);
                chunk.values.insert(index, value);
                if chunk.starts.len() > MAX_CHUNK {
                    self.split(number);
                }
            }
        }
    }

    fn split(&mut self, number: usize) {
        let chunk = &mut self.chunks[number];
        let middle = chunk.starts.len() / 2;
        let upper = Chunk {
            starts: chunk.starts.split_off(middle),
            values: chunk.values.split_off(middle),
        };
        self.chunk_starts.insert(number + 1, upper.starts[0]);
        self.chunks.insert(number + 1, upper);
    }

    /// Removes the boundaries above `first` up to and including `last`.
    fn remove_inside(&mut self, first: u64, last: u64) {
        let from = self.chunk_of(first);
        let to = self.chunk_of(last);
        for number in (from..=to).rev() {
            let chunk = &mut self.chunks[number];
            let begin = chunk.starts.partition_point(|&start| start <= first);
            let end = chunk.starts.partition_point(|&start| start <= last);
            chunk.starts.drain(begin..end);
            chunk.values.drain(begin..end);
            if chunk.starts.is_empty() {
                self.chunks.remove(number);
                self.chunk_starts.remove(number);
            } else {
                self.chunk_starts[number] = chunk.starts[0];
            }
        }
    }
}

impl<V: Copy> Chunk<V> {
    fn packed(starts: &[u64], values: &[V]) -> Self {
        Self {
            starts: starts.to_vec(),
            values: values.to_vec(),
        }
    }

    /// Index of the last boundary at or below `place`; the chunk must begin at or below it.
    fn index_of(&self, place: u64) -> usize {
        self.starts.partition_point(|&start| start <= place) - 1
    }
}
