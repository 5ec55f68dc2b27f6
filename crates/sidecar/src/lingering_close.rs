//! Closes connections without losing their last response.
//!
//! Closing a socket resets the connection if received bytes are unread, and so does every byte that arrives afterwards.
//! A reset discards what the peer hasn't received of the response yet, and many HTTP libraries report it instead of a
//! response that they have received. The sending side is therefore shut down first. What the peer still sends is read and
//! discarded until the peer closes the connection too, within limits.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout, timeout_at};

use crate::listen::CountGuard;
use crate::logs::Event;
use crate::node::Node;
use crate::stop::StopPhase;

/// Maximum time for which bytes are discarded.
const MAX_TIME: Duration = Duration::from_secs(10);
/// A peer from which nothing arrives for this long has nothing more to send.
const MAX_QUIET_TIME: Duration = Duration::from_secs(2);
/// Maximum number of connections whose bytes are discarded at once, as each occupies a file descriptor that a new
/// connection may need.
const MAX_CONNECTIONS: usize = 256;
/// Bytes that are discarded at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// Why a connection was finally closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// The peer has closed the connection.
    PeerClosed,
    /// The connection failed.
    Failed,
    /// Nothing has arrived for a while.
    Quiet,
    /// The peer sends for too long.
    TimeLimit,
    /// The peer sends too much.
    ByteLimit,
    /// Too many other connections are being closed.
    ConnectionLimit,
    /// A request arrived on a connection that was closed because it was idle.
    RequestArrived,
}

impl Outcome {
    /// Stable name for logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::PeerClosed => "peer_closed",
            Self::Failed => "failed",
            Self::Quiet => "quiet",
            Self::TimeLimit => "time_limit",
            Self::ByteLimit => "byte_limit",
            Self::ConnectionLimit => "connection_limit",
            Self::RequestArrived => "request_arrived",
        }
    }

    /// Whether the connection was closed although the peer may still have been sending.
    fn is_forced(self) -> bool {
        matches!(
            self,
            Self::TimeLimit | Self::ByteLimit | Self::ConnectionLimit | Self::RequestArrived
        )
    }
}

/// Shuts down the sending side and discards at most `max_bytes` bytes before the connection is closed.
pub async fn close(node: &Rc<Node>, mut stream: TcpStream, max_bytes: u64) {
    let mut discarded = 0;
    let outcome = if node.lingering.get() >= MAX_CONNECTIONS && accepts_connections(node) {
        Outcome::ConnectionLimit
    } else if stream.shutdown().await.is_err() {
        Outcome::Failed
    } else {
        let _lingering = CountGuard::new(node, |node| &node.lingering);
        discard(node, &stream, max_bytes, &mut discarded).await
    };
    report(node, outcome, discarded);
}

/// Closes a connection on which no request is in progress. A request that arrives meanwhile isn't read, so that its
/// client learns by the reset that it hasn't been processed.
pub async fn close_idle(node: &Rc<Node>, mut stream: TcpStream) {
    let outcome = if node.closing_idle.get() >= MAX_CONNECTIONS {
        Outcome::ConnectionLimit
    } else if stream.shutdown().await.is_err() {
        Outcome::Failed
    } else {
        let _closing = CountGuard::new(node, |node| &node.closing_idle);
        match timeout(MAX_QUIET_TIME, stream.peek(&mut [0])).await {
            Ok(Ok(0)) => Outcome::PeerClosed,
            Ok(Ok(_)) => Outcome::RequestArrived,
            Ok(Err(_)) => Outcome::Failed,
            Err(_) => Outcome::Quiet,
        }
    };
    report(node, outcome, 0);
}

/// Counts how a connection was closed, and logs it if that was forced.
fn report(node: &Node, outcome: Outcome, discarded: u64) {
    node.metrics
        .count(&node.metrics.closed_connections, outcome.name());
    if outcome.is_forced() {
        node.log.write_request(Event::CloseForced {
            reason: outcome.name(),
            discarded,
        });
    }
}

/// Whether the process still accepts connections. Once it doesn't, all of them are closed at the same time.
fn accepts_connections(node: &Node) -> bool {
    *node.stop.borrow() < StopPhase::Closing
}

/// Reads until the peer closes the connection or a limit is reached, and adds to `discarded` what was read.
async fn discard(node: &Node, stream: &TcpStream, max_bytes: u64, discarded: &mut u64) -> Outcome {
    let until = Instant::now() + MAX_TIME;
    loop {
        let quiet_until = Instant::now() + MAX_QUIET_TIME;
        match timeout_at(quiet_until.min(until), stream.readable()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return Outcome::Failed,
            Err(_) if quiet_until < until => return Outcome::Quiet,
            Err(_) => return Outcome::TimeLimit,
        }
        match discard_chunk(stream) {
            Ok(0) => return Outcome::PeerClosed,
            Ok(read) => {
                *discarded += read as u64;
                node.discarded_bytes
                    .set(node.discarded_bytes.get() + read as u64);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
            Err(_) => return Outcome::Failed,
        }
        if *discarded > max_bytes {
            return Outcome::ByteLimit;
        }
        if Instant::now() >= until {
            return Outcome::TimeLimit;
        }
        // Other connections get their turn between two chunks.
        yield_now().await;
    }
}

/// Reads bytes that have arrived and discards them; returns how many.
fn discard_chunk(stream: &TcpStream) -> io::Result<usize> {
    let mut chunk = [0; CHUNK_BYTES];
    stream.try_read(&mut chunk)
}
