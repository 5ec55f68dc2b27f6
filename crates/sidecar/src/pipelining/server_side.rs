//! The byte stream of a client connection as the HTTP server reads and writes it.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::client::Client;

/// The stream that the HTTP server uses. Reads return prefetched bytes first; every byte read from the socket is also
/// passed to the read-ahead scanner.
pub struct ServerSide(pub Rc<Client>);

impl AsyncRead for ServerSide {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let client = &self.0;
        if client.read_prefetched(buffer) {
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        let mut stream = client.stream.borrow_mut();
        let polled = Pin::new(&mut *stream).poll_read(context, buffer);
        client.server_wants_data.set(polled.is_pending());
        ready!(polled)?;
        let bytes = &buffer.filled()[before..];
        client.read_ahead.borrow_mut().arrived(bytes);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ServerSide {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut stream = self.0.stream.borrow_mut();
        Pin::new(&mut *stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut stream = self.0.stream.borrow_mut();
        Pin::new(&mut *stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut stream = self.0.stream.borrow_mut();
        Pin::new(&mut *stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut stream = self.0.stream.borrow_mut();
        Pin::new(&mut *stream).poll_shutdown(context)
    }
}
