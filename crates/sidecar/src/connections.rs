//! A pool of HTTP/1.1 connections to one address. Each connection carries one request at a time.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::body::{Body, BodyError};
use crate::bounded_reads::{BoundedReads, ReadAllowance};
use crate::clock::since_boot;

/// An idle connection isn't reused after this time; the server's `Keep-Alive` header can shorten this time.
const MAX_IDLE_TIME: Duration = Duration::from_millis(6_000);
/// Subtracted from the server's own idle timeout, so that a request doesn't cross the server's close on the wire.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_500);
/// A connection is closed if sent bytes stay unacknowledged for this long.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum length of a response to a call, in bytes: what the target responds to orders and health checks is much
/// shorter.
pub const MAX_CALL_RESPONSE: u64 = 64 * 1024;

/// Why a request got no complete response head.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The connection couldn't be opened, or was closed before the request was written. The request has not run.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The connection failed after the request was written, or the response is invalid. The request may have run.
    #[error("may have run: {0}")]
    MayHaveRun(String),
}

/// A pool of connections to one address.
pub struct ConnectionPool {
    address: SocketAddr,
    connect_timeout: Duration,
    /// A connection isn't reused after a request body of more than this many bytes; `None` means no limit.
    reuse_limit: Option<u64>,
    /// Response bodies that are longer than this, in bytes, fail; `None` means no limit.
    response_limit: Option<u64>,
    idle: RefCell<Vec<Connection>>,
    /// Whether the node at the address reads compact headers.
    accepts_compact_headers: Cell<bool>,
}

/// One connection and the task that drives it.
struct Connection {
    sender: SendRequest<Body>,
    driver: JoinHandle<()>,
    allowance: ReadAllowance,
    /// Time since the machine booted when the connection became idle. Boot time also counts while the machine is
    /// suspended; the server may have closed the connection meanwhile.
    idle_since: Duration,
    max_idle: Duration,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl ConnectionPool {
    /// A pool for an address. Opening a connection may take up to `connect_timeout`.
    pub fn new(address: SocketAddr, connect_timeout: Duration) -> Rc<Self> {
        Rc::new(Self::build(address, connect_timeout))
    }

    /// Like [`Self::new`], but a connection isn't reused after a request body of more than `bytes` bytes, or of
    /// unknown length. A server may answer before it has read such a body and read the rest later, and the next
    /// request on that connection would wait for it.
    pub fn with_reuse_limit(
        address: SocketAddr,
        connect_timeout: Duration,
        bytes: u64,
    ) -> Rc<Self> {
        Rc::new(Self {
            reuse_limit: Some(bytes),
            ..Self::build(address, connect_timeout)
        })
    }

    /// Like [`Self::new`], for calls with short responses: a body of more than [`MAX_CALL_RESPONSE`] bytes fails and
    /// closes its connection.
    pub fn for_calls(address: SocketAddr, connect_timeout: Duration) -> Rc<Self> {
        Rc::new(Self {
            response_limit: Some(MAX_CALL_RESPONSE),
            ..Self::build(address, connect_timeout)
        })
    }

    fn build(address: SocketAddr, connect_timeout: Duration) -> Self {
        Self {
            address,
            connect_timeout,
            reuse_limit: None,
            response_limit: None,
            idle: RefCell::new(Vec::new()),
            accepts_compact_headers: Cell::new(false),
        }
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes connections that have been idle for longer than `limit`.
    pub fn close_idle_longer_than(&self, limit: Duration) {
        let now = since_boot();
        self.idle
            .borrow_mut()
            .retain(|connection| now.saturating_sub(connection.idle_since) <= limit);
    }

    /// Whether the node at the address has shown that it reads compact headers.
    pub fn accepts_compact_headers(&self) -> bool {
        self.accepts_compact_headers.get()
    }

    /// Sets whether the node at the address reads compact headers.
    pub fn set_accepts_compact_headers(&self, reads: bool) {
        self.accepts_compact_headers.set(reads);
    }

    /// Sends a request. Dropping the future, or the response body before its end, closes the connection.
    pub async fn send(
        self: &Rc<Self>,
        request: Request<Body>,
    ) -> Result<Response<PooledBody>, SendError> {
        let length = request.body().size_hint().upper();
        let is_kept = self
            .reuse_limit
            .is_none_or(|most| length.is_some_and(|length| length <= most));
        let mut request = request;
        loop {
            let (mut connection, kept) = match self.take_idle() {
                Some(connection) => (connection, true),
                None => (self.open().await?, false),
            };
            connection.allowance.renew();
            match connection.sender.try_send_request(request).await {
                Ok(response) if !is_final(response.status()) => {
                    return Err(SendError::MayHaveRun(format!(
                        "the response has the status {}, which no response can have",
                        response.status().as_u16()
                    )));
                }
                Ok(response) => return Ok(self.wrap(response, connection, is_kept)),
                Err(mut failure) => match failure.take_message() {
                    // The server closed this idle connection meanwhile; retry on another one.
                    Some(unsent) if kept => request = unsent,
                    Some(_) => return Err(SendError::NotSent(failure.into_error().to_string())),
                    None => return Err(SendError::MayHaveRun(failure.into_error().to_string())),
                },
            }
        }
    }

    /// Opens a connection to check whether the address refuses connections, that is, nothing listens there any more.
    pub async fn refuses_connections(&self) -> bool {
        let connected = timeout(self.connect_timeout, TcpStream::connect(self.address)).await;
        matches!(connected, Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused)
    }

    fn take_idle(&self) -> Option<Connection> {
        let now = since_boot();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| {
            !connection.sender.is_closed()
                && now.saturating_sub(connection.idle_since) < connection.max_idle
        });
        let position = idle
            .iter()
            .rposition(|connection| connection.sender.is_ready())?;
        Some(idle.remove(position))
    }

    async fn open(&self) -> Result<Connection, SendError> {
        let not_sent = |error: &dyn std::fmt::Display| SendError::NotSent(error.to_string());
        let stream = timeout(self.connect_timeout, TcpStream::connect(self.address))
            .await
            .map_err(|_| SendError::NotSent("connecting timed out".to_owned()))?
            .map_err(|error| not_sent(&error))?;
        set_options(&stream);
        let allowance = ReadAllowance::default();
        let stream = BoundedReads::new(stream, allowance.clone());
        let (sender, driver) = http1::Builder::new()
            .handshake::<_, Body>(TokioIo::new(stream))
            .await
            .map_err(|error| not_sent(&error))?;
        let driver = tokio::task::spawn_local(async move {
            let _ended = driver.await;
        });
        Ok(Connection {
            sender,
            driver,
            allowance,
            idle_since: since_boot(),
            max_idle: MAX_IDLE_TIME,
        })
    }

    fn wrap(
        self: &Rc<Self>,
        response: Response<Incoming>,
        mut connection: Connection,
        is_kept: bool,
    ) -> Response<PooledBody> {
        let reusable = is_kept && !requests_close(response.headers());
        if let Some(timeout_hint) = keep_alive_timeout(response.headers()) {
            connection.max_idle = timeout_hint
                .saturating_sub(KEEP_ALIVE_MARGIN)
                .min(MAX_IDLE_TIME);
        }
        response.map(|incoming| PooledBody {
            incoming,
            connection: Some(connection),
            pool: reusable.then(|| self.clone()),
            left: self.response_limit,
            ended: false,
        })
    }

    fn return_idle(&self, mut connection: Connection) {
        connection.idle_since = since_boot();
        self.idle.borrow_mut().push(connection);
    }
}

/// Sets the socket options of every connection: no delay, and a timeout for unacknowledged bytes.
pub fn set_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let _nodelay = socket.set_tcp_nodelay(true);
    let _user_timeout = socket.set_tcp_user_timeout(Some(USER_TIMEOUT));
}

/// Whether a response can end with this status (RFC 9110, section 15). Switching protocols is none, since no request asks
/// for it.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Whether the headers contain `Connection: close`.
fn requests_close(headers: &HeaderMap) -> bool {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|word| word.trim().eq_ignore_ascii_case("close"))
}

/// The idle timeout in a `Keep-Alive` header.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?
        .parse::<u64>()
        .ok()?;
    Some(Duration::from_secs(seconds))
}

/// The body of a response. At its end the connection returns to the pool; if dropped earlier, the connection is
/// closed.
pub struct PooledBody {
    incoming: Incoming,
    connection: Option<Connection>,
    pool: Option<Rc<ConnectionPool>>,
    /// Bytes that the body may still have; `None` means no limit.
    left: Option<u64>,
    ended: bool,
}

impl PooledBody {
    /// Reads the rest of the body and discards it.
    pub async fn read_to_end(mut self) -> Result<(), BodyError> {
        while let Some(frame) = self.frame().await {
            frame?;
        }
        Ok(())
    }

    /// Counts a frame against the length limit; closes the connection and fails if the limit is exceeded.
    fn count(&mut self, frame: &Frame<Bytes>) -> Result<(), BodyError> {
        let Some(left) = self.left else {
            return Ok(());
        };
        let length = frame.data_ref().map_or(0, Bytes::len) as u64;
        self.left = left.checked_sub(length);
        if self.left.is_some() {
            return Ok(());
        }
        self.ended = true;
        self.connection = None;
        Err("the response is too long".into())
    }

    fn end(&mut self) {
        self.ended = true;
        if let (Some(connection), Some(pool)) = (self.connection.take(), self.pool.take()) {
            pool.return_idle(connection);
        }
    }
}

impl HttpBody for PooledBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(context);
        if let (Poll::Ready(_), Some(connection)) = (&polled, &self.connection) {
            connection.allowance.renew();
        }
        if let Poll::Ready(Some(Ok(frame))) = &polled
            && let Err(error) = self.count(frame)
        {
            return Poll::Ready(Some(Err(error)));
        }
        match &polled {
            Poll::Ready(None) => self.end(),
            Poll::Ready(Some(Ok(_))) if self.incoming.is_end_stream() => self.end(),
            _ => {}
        }
        polled.map_err(BodyError::from)
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
