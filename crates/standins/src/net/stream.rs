//! An accepted connection that costs something to set up and stops at a gate.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use super::gate::Gate;

/// Counts a connection as open for as long as it lives.
#[derive(Debug)]
pub(super) struct OpenConnection(Arc<AtomicU64>);

impl OpenConnection {
    pub(super) fn new(open: Arc<AtomicU64>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(open)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A TCP stream whose first read waits for the set-up cost, and which neither reads nor writes while
/// the gate is frozen. A frozen stream doesn't notice that its peer has gone.
#[derive(Debug)]
pub struct StandInStream {
    inner: TcpStream,
    gate: Gate,
    setup: Option<Pin<Box<Sleep>>>,
    _open: OpenConnection,
}

impl StandInStream {
    pub(super) fn new(
        inner: TcpStream,
        gate: Gate,
        setup_cost: Duration,
        open: OpenConnection,
    ) -> Self {
        let setup = (!setup_cost.is_zero()).then(|| Box::pin(tokio::time::sleep(setup_cost)));
        Self {
            inner,
            gate,
            setup,
            _open: open,
        }
    }

    /// Whether small writes are sent at once, without Nagle's delay.
    ///
    /// # Errors
    /// When the socket can't be asked.
    pub fn nodelay(&self) -> Result<bool> {
        self.inner.nodelay()
    }

    fn poll_setup(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if let Some(sleep) = self.setup.as_mut() {
            ready!(sleep.as_mut().poll(context));
            self.setup = None;
        }
        Poll::Ready(())
    }
}

impl AsyncRead for StandInStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        ready!(self.gate.poll_pass(context));
        ready!(self.poll_setup(context));
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for StandInStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        ready!(self.gate.poll_pass(context));
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        ready!(self.gate.poll_pass(context));
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        ready!(self.gate.poll_pass(context));
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
