//! How full a bucket was lately.

use std::time::Duration;

/// Span of a cell. A token that comes back is often granted and refused within one or two of them.
const CELL: Duration = Duration::from_millis(125);
/// Cells. Tokens come back within the time that a request waits at a full target, which is under a second.
const CELLS: usize = 8;

/// The least number of tokens that a bucket lacked to be full, cell by cell.
///
/// A token may only come back as far as its bucket has lacked tokens ever since it was granted: had it never been
/// granted, a full bucket would have taken in none in its place.
#[derive(Debug, Clone, Default)]
pub struct History {
    least: [f64; CELLS],
    newest: u64,
}

impl History {
    /// Notes how many tokens the bucket lacks now. Called after each passage of time, when it lacks fewest.
    pub fn note(&mut self, now: Duration, lacking: f64) {
        let cell = cell_of(now);
        if cell <= self.newest {
            let least = &mut self.least[slot(self.newest)];
            *least = least.min(lacking);
            return;
        }
        let skipped = (cell - self.newest).min(CELLS as u64);
        for passed in 0..skipped {
            self.least[slot(cell - passed)] = lacking;
        }
        self.newest = cell;
    }

    /// Takes out tokens that were granted at a time. Returns how many of them count.
    pub fn take_back(&mut self, granted_at: Duration, tokens: f64) -> f64 {
        let first = cell_of(granted_at);
        if first + CELLS as u64 <= self.newest || first > self.newest {
            return 0.0;
        }
        let cells = first..=self.newest;
        let least = cells
            .clone()
            .map(|cell| self.least[slot(cell)])
            .fold(tokens, f64::min);
        for cell in cells {
            self.least[slot(cell)] -= least;
        }
        least
    }
}

fn cell_of(time: Duration) -> u64 {
    (time.as_millis() / CELL.as_millis()) as u64
}

fn slot(cell: u64) -> usize {
    (cell % CELLS as u64) as usize
}
