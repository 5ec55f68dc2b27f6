//! HTTP/1.1 and cleartext HTTP/2 on a listener that the caller has bound.
//!
//! Differs from salvo's own acceptor in that accepted sockets get `TCP_NODELAY` (streamed answers
//! would wait 40 ms for delayed acknowledgements), that the listener is closed as soon as a stop
//! begins, and that requests which are answered before any handler sees them are counted.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use salvo::conn::tcp::TcpCoupler;
use salvo::conn::{Accepted, Acceptor, ConnCtrl, Holding, StraightStream};
use salvo::fuse::{ArcFusePolicy, FuseConfig, FuseInfo, TransProto};
use salvo::http::uri::Scheme;
use salvo::{Handler, Router, Server, Service};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

/// Bounds of an HTTP listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenSettings {
    /// Largest head of a request in bytes; larger ones are answered with status 431.
    pub max_head_bytes: usize,
    /// Most headers of a request; more are answered with status 431.
    pub max_headers: usize,
    /// Connections at once; more wait in the listener's backlog.
    pub max_connections: usize,
    /// Requests at once on one HTTP/2 connection.
    pub max_streams: u32,
    /// Longest wait for a request's head, and so for the next request on an idle connection.
    pub head_timeout: Duration,
    /// Longest standstill of a caller that reads or sends a body.
    pub stall_timeout: Duration,
    /// Longest time that a planned stop waits for requests in flight.
    pub stop_timeout: Duration,
}

impl Default for ListenSettings {
    fn default() -> Self {
        Self {
            max_head_bytes: 32 * 1024,
            max_headers: 100,
            max_connections: 10_000,
            max_streams: 200,
            head_timeout: Duration::from_secs(60),
            stall_timeout: Duration::from_secs(30),
            stop_timeout: Duration::from_secs(65),
        }
    }
}

/// Counts of one listener.
#[derive(Debug, Default)]
pub struct ListenCounters {
    /// Connections accepted.
    pub connections: AtomicU64,
    /// Connections open now.
    pub open: AtomicU64,
    /// Requests refused for a malformed or oversized head.
    pub malformed: AtomicU64,
}

/// Serves until `stop` ends and the requests in flight are over (at most `stop_timeout` later).
pub async fn serve(
    listener: TcpListener,
    handler: impl Handler,
    settings: ListenSettings,
    counters: Arc<ListenCounters>,
    stop: impl Future<Output = ()>,
) -> io::Result<()> {
    let acceptor = NodelayAcceptor::new(listener, counters)?;
    let listener = acceptor.listener.clone();
    let mut server = Server::new(acceptor)
        .fuse_config(fuses(&settings))
        .max_connections(settings.max_connections);
    server
        .http1_mut()
        .max_buf_size(settings.max_head_bytes)
        .max_headers(settings.max_headers);
    let head_bytes = u32::try_from(settings.max_head_bytes).unwrap_or(u32::MAX);
    server
        .http2_mut()
        .max_header_list_size(head_bytes)
        .max_concurrent_streams(settings.max_streams);
    let handle = server.handle();
    // As a hoop the handler sees every request without a match of its path.
    let service = Service::new(Router::new()).hoop(handler);
    let serving = server.try_serve(service);
    tokio::pin!(serving, stop);
    tokio::select! {
        result = &mut serving => return result,
        () = &mut stop => {}
    }
    listener.lock().expect("no panic while locked").take();
    handle.stop_graceful(settings.stop_timeout);
    serving.await
}

fn fuses(settings: &ListenSettings) -> FuseConfig {
    FuseConfig::default()
        .with_http1_header_timeout(settings.head_timeout)
        .with_write_stall_timeout(settings.stall_timeout)
        .with_request_body_timeout(settings.stall_timeout)
}

/// The listener, until a stop takes it away.
type SharedListener = Arc<Mutex<Option<Arc<TcpListener>>>>;

struct NodelayAcceptor {
    listener: SharedListener,
    holdings: Vec<Holding>,
    counters: Arc<ListenCounters>,
}

impl NodelayAcceptor {
    fn new(listener: TcpListener, counters: Arc<ListenCounters>) -> io::Result<Self> {
        let holding = Holding {
            local_addr: listener.local_addr()?.into(),
            http_versions: vec![http::Version::HTTP_11, http::Version::HTTP_2],
            http_scheme: Scheme::HTTP,
        };
        Ok(Self {
            listener: Arc::new(Mutex::new(Some(Arc::new(listener)))),
            holdings: vec![holding],
            counters,
        })
    }

    /// The next connection; waits for ever once the listener is gone.
    async fn next(&self) -> io::Result<(TcpStream, std::net::SocketAddr)> {
        let listener = self.listener.lock().expect("no panic while locked").clone();
        match listener {
            Some(listener) => listener.accept().await,
            None => std::future::pending().await,
        }
    }
}

impl Acceptor for NodelayAcceptor {
    type Coupler = TcpCoupler<Self::Stream>;
    type Stream = StraightStream<WatchedStream>;

    fn holdings(&self) -> &[Holding] {
        &self.holdings
    }

    async fn accept(
        &mut self,
        fuse_policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        let (stream, remote) = self.next().await?;
        stream.set_nodelay(true)?;
        let local_addr = self.holdings[0].local_addr.clone();
        let conn_ctrl = ConnCtrl::new();
        let info = FuseInfo {
            trans_proto: TransProto::Tcp,
            remote_addr: remote.into(),
            local_addr: local_addr.clone(),
        };
        let fuse_config = match &fuse_policy {
            Some(policy) => match policy.decide(&info).await {
                salvo::fuse::FuseAction::Accept(config) => Some(config),
                salvo::fuse::FuseAction::Reject => {
                    return Err(io::ErrorKind::ConnectionRefused.into());
                }
            },
            None => None,
        };
        let watched = WatchedStream::new(stream, self.counters.clone());
        Ok(Accepted {
            coupler: TcpCoupler::new(),
            stream: StraightStream::new(watched, fuse_config, conn_ctrl.clone(), None),
            fuse_config,
            conn_ctrl,
            local_addr,
            remote_addr: remote.into(),
            http_scheme: Scheme::HTTP,
        })
    }
}

/// A connection that notices answers which the HTTP library gave by itself.
///
/// Every answer of a handler carries the outcome header; a client error without it is the
/// library's word on a head it could not accept.
struct WatchedStream {
    inner: TcpStream,
    counters: Arc<ListenCounters>,
}

impl WatchedStream {
    fn new(inner: TcpStream, counters: Arc<ListenCounters>) -> Self {
        counters.connections.fetch_add(1, Ordering::Relaxed);
        counters.open.fetch_add(1, Ordering::Relaxed);
        Self { inner, counters }
    }

    fn note(&self, written: &[u8]) {
        const CLIENT_ERROR: &[u8] = b"HTTP/1.1 4";
        if !written.starts_with(CLIENT_ERROR) {
            return;
        }
        let outcome = wingspar_wire::headers::OUTCOME.as_bytes();
        let by_handler = written.windows(outcome.len()).any(|part| part == outcome);
        if !by_handler {
            self.counters.malformed.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Drop for WatchedStream {
    fn drop(&mut self) {
        self.counters.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(context, bytes);
        if result.is_ready() {
            self.note(bytes);
        }
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        if let (Poll::Ready(_), Some(first)) = (&result, slices.first()) {
            self.note(first);
        }
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
