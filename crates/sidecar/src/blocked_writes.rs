//! Tracks the connections whose peer reads too slowly: a part of a response is still to be written to the socket.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::node::Node;

/// Whether writes to one connection are blocked by its peer. The node counts the connections that are blocked.
pub struct WriteState {
    node: Rc<Node>,
    is_blocked: Cell<bool>,
}

impl WriteState {
    /// The state of a connection to which nothing has been written.
    pub fn new(node: Rc<Node>) -> Rc<Self> {
        Rc::new(Self {
            node,
            is_blocked: Cell::new(false),
        })
    }

    /// Whether the last write is still to be completed.
    pub fn is_blocked(&self) -> bool {
        self.is_blocked.get()
    }

    fn set_blocked(&self, is_blocked: bool) {
        let was_blocked = self.is_blocked.replace(is_blocked);
        let count = &self.node.blocked_writes;
        match (was_blocked, is_blocked) {
            (false, true) => count.set(count.get() + 1),
            (true, false) => count.set(count.get() - 1),
            _ => {}
        }
    }
}

impl Drop for WriteState {
    fn drop(&mut self) {
        self.set_blocked(false);
    }
}

/// A stream that records whether its writes are blocked.
pub struct TrackedWrites<Stream> {
    stream: Stream,
    state: Rc<WriteState>,
}

impl<Stream> TrackedWrites<Stream> {
    /// Records the writes to `stream` in `state`.
    pub fn new(stream: Stream, state: Rc<WriteState>) -> Self {
        Self { stream, state }
    }

    fn record(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.state.set_blocked(polled.is_pending());
        polled
    }
}

impl<Stream: AsyncRead + Unpin> AsyncRead for TrackedWrites<Stream> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<Stream: AsyncWrite + Unpin> AsyncWrite for TrackedWrites<Stream> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record(polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
