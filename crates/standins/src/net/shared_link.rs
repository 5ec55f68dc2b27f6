//! A link that several connections share, which carries only so much in a second.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::Mutex;

/// The link. Clones are the same link; one that was never limited carries everything at once.
#[derive(Debug, Clone, Default)]
pub struct SharedLink {
    /// Bytes a second; 0: any number.
    rate: Arc<AtomicU64>,
    /// Bytes carried so far.
    carried: Arc<AtomicU64>,
    /// Held by the connection whose bytes are on the link. Those that wait get it in turn.
    turn: Arc<Mutex<()>>,
}

impl SharedLink {
    /// Carries so many bytes a second from now on.
    pub fn limit(&self, bytes_a_second: u64) {
        self.rate.store(bytes_a_second, Ordering::Relaxed);
    }

    /// Bytes carried so far.
    #[must_use]
    pub fn carried(&self) -> u64 {
        self.carried.load(Ordering::Relaxed)
    }

    /// Waits until some bytes have been carried.
    pub async fn carry(&self, bytes: usize) {
        let counted = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.carried.fetch_add(counted, Ordering::Relaxed);
        if self.rate.load(Ordering::Relaxed) == 0 {
            return;
        }
        let _turn = self.turn.lock().await;
        let rate = self.rate.load(Ordering::Relaxed).max(1);
        let time = Duration::from_secs_f64(bytes as f64 / rate as f64);
        tokio::time::sleep(time).await;
    }
}
