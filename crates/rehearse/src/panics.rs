//! Counts panics of all threads: in the code under rehearsal a panic is a broken invariant.

use std::panic;
use std::sync::atomic::{AtomicU64, Ordering};

static COUNT: AtomicU64 = AtomicU64::new(0);

/// Counts panics from now on; they are printed as before.
pub fn watch() {
    let before = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        COUNT.fetch_add(1, Ordering::Relaxed);
        before(info);
    }));
}

/// Number of panics so far.
#[must_use]
pub fn count() -> u64 {
    COUNT.load(Ordering::Relaxed)
}
