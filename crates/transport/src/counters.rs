//! Counters of the transport.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts since the process started. Shared by the tasks of one transport.
#[derive(Debug, Default)]
pub struct Counters {
    /// Datagrams received.
    pub datagrams_received: AtomicU64,
    /// Datagrams sent.
    pub datagrams_sent: AtomicU64,
    /// Stream frames received.
    pub frames_received: AtomicU64,
    /// Stream frames sent.
    pub frames_sent: AtomicU64,
    /// Bytes received by either way, without headers of the network.
    pub bytes_received: AtomicU64,
    /// Bytes sent by either way, without headers of the network.
    pub bytes_sent: AtomicU64,
    /// Messages that could not be decoded: a stranger, another version, or damage.
    pub malformed: AtomicU64,
    /// Frames over the limit.
    pub oversized: AtomicU64,
    /// Messages dropped since a queue was full.
    pub dropped: AtomicU64,
    /// Streams that could not be opened or broke.
    pub streams_failed: AtomicU64,
    /// Inbound streams refused since too many were open.
    pub streams_refused: AtomicU64,
}

impl Counters {
    pub(crate) fn add(counter: &AtomicU64, amount: u64) {
        counter.fetch_add(amount, Ordering::Relaxed);
    }

    /// All counters with their stable names.
    pub fn snapshot(&self) -> [(&'static str, u64); 11] {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        [
            ("datagrams_received", read(&self.datagrams_received)),
            ("datagrams_sent", read(&self.datagrams_sent)),
            ("frames_received", read(&self.frames_received)),
            ("frames_sent", read(&self.frames_sent)),
            ("bytes_received", read(&self.bytes_received)),
            ("bytes_sent", read(&self.bytes_sent)),
            ("malformed", read(&self.malformed)),
            ("oversized", read(&self.oversized)),
            ("dropped", read(&self.dropped)),
            ("streams_failed", read(&self.streams_failed)),
            ("streams_refused", read(&self.streams_refused)),
        ]
    }
}
