//! A memory budget for buffered bodies, shared by the whole process.
//!
//! A client or target that reads slowly must not fill the memory that others need. A body that exceeds the budget is
//! streamed instead: a slow reader then slows down its sender.

use std::cell::Cell;
use std::rc::Rc;

/// Share of the process's memory that buffered bodies may use.
const MEMORY_SHARE: f64 = 0.2;
/// Memory of the process if the settings don't specify it, in megabytes.
const DEFAULT_MEMORY_MB: f64 = 256.0;
/// Bodies shorter than this many bytes aren't counted: their number is bounded by slots and connections.
const UNCOUNTED_BYTES: u64 = 4 * 1024;

/// The number of buffered bytes and their limit.
#[derive(Debug)]
pub struct BufferBudget {
    used: Cell<u64>,
    limit: u64,
}

impl BufferBudget {
    /// An empty budget for a process with `memory_mb` megabytes of memory.
    pub fn new(memory_mb: Option<f64>) -> Rc<Self> {
        let memory = memory_mb.unwrap_or(DEFAULT_MEMORY_MB) * 1e6;
        Rc::new(Self {
            used: Cell::new(0),
            limit: (memory * MEMORY_SHARE) as u64,
        })
    }

    /// Number of bytes that are buffered.
    pub fn used(&self) -> u64 {
        self.used.get()
    }

    /// How many bytes of one more body may be buffered, at most `most`; always enough for a body that isn't counted.
    pub fn allowance(&self, most: u64) -> u64 {
        let left = self.limit.saturating_sub(self.used.get());
        most.min(left.max(UNCOUNTED_BYTES))
    }

    /// Counts bytes as buffered until the returned guard is dropped.
    pub fn reserve(self: &Rc<Self>, bytes: u64) -> Hold {
        let counted = if bytes < UNCOUNTED_BYTES { 0 } else { bytes };
        self.used.set(self.used.get() + counted);
        Hold {
            held: self.clone(),
            counted,
        }
    }
}

/// Counts bytes as buffered until dropped.
#[derive(Debug)]
pub struct Hold {
    held: Rc<BufferBudget>,
    counted: u64,
}

impl Drop for Hold {
    fn drop(&mut self) {
        let used = self.held.used.get();
        self.held.used.set(used - self.counted);
    }
}
