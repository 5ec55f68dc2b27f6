//! Settings of the transport.

use std::time::Duration;

/// Bounds and intervals of the transport.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Shortest time between two wakes for datagrams; it is part of the lease budget.
    pub drain_interval: Duration,
    /// Most datagrams taken in one wake.
    pub drain_limit: usize,
    /// Messages that wait for one peer's stream; more are dropped and counted.
    pub stream_queue: usize,
    /// Messages that wait for the node's loop; streams wait when it is full, datagrams are dropped.
    pub inbound_queue: usize,
    /// Longest wait for a peer to accept a connection or a message.
    pub stream_timeout: Duration,
    /// A stream without traffic for this long is closed.
    pub idle_timeout: Duration,
    /// Most inbound streams at once; more are closed at once and counted.
    pub max_streams: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            drain_interval: Duration::from_millis(10),
            drain_limit: 256,
            stream_queue: 64,
            inbound_queue: 1_024,
            stream_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(30),
            max_streams: 1_024,
        }
    }
}
