//! Limits how many bytes are read from a connection without any progress of the response.
//!
//! The HTTP library takes any number of informational responses before a head, and any number of bytes in the line of a
//! chunk's size. A server that sends such bytes without end would keep the event loop busy.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that may be read without progress. The HTTP library reads up to 408 KB ahead and holds up to two body frames of
/// that size.
const MAX_BYTES_WITHOUT_PROGRESS: u64 = 2 * 1024 * 1024;

/// How many bytes may be read from a connection before its response makes progress.
#[derive(Debug, Clone)]
pub struct ReadAllowance(Rc<Cell<u64>>);

impl Default for ReadAllowance {
    fn default() -> Self {
        Self(Rc::new(Cell::new(MAX_BYTES_WITHOUT_PROGRESS)))
    }
}

impl ReadAllowance {
    /// A request is sent, or its response has made progress.
    pub fn renew(&self) {
        self.0.set(MAX_BYTES_WITHOUT_PROGRESS);
    }
}

/// A connection on which reads fail once the allowance is used up.
pub struct BoundedReads {
    stream: TcpStream,
    allowance: ReadAllowance,
}

impl BoundedReads {
    /// Limits the reads from `stream` to `allowance`.
    pub fn new(stream: TcpStream, allowance: ReadAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for BoundedReads {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read = (buffer.filled().len() - filled_before) as u64;
        let Some(left) = self.allowance.0.get().checked_sub(read) else {
            return Poll::Ready(Err(io::Error::other("the response makes no progress")));
        };
        self.allowance.0.set(left);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for BoundedReads {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
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
