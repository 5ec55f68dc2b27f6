//! Listening sockets and the connections accepted on them.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use wingspar_routes::Limits;

use crate::blocked_writes::{TrackedWrites, WriteState};
use crate::body::Body;
use crate::connections::set_options;
use crate::lingering_close;
use crate::node::Node;
use crate::pipelining::client;

/// Maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: i32 = 1024;
/// Delay after a failed accept, so that a shortage of file descriptors doesn't cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Idle timeout of a connection before the first configuration; added to the configured timeout
/// otherwise.
const IDLE_MARGIN: Duration = Duration::from_secs(4);
/// The minimum buffer size that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// Opens a listening socket.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Serves client connections.
pub async fn serve_clients(node: Rc<Node>, listener: TcpListener) {
    accept(node, listener, client_connection).await;
}

/// Serves the connections of a socket, passing each request to `handler`.
pub async fn serve<Handler, ResponseFuture>(node: Rc<Node>, listener: TcpListener, handler: Handler)
where
    Handler: Fn(Rc<Node>, Request<Incoming>) -> ResponseFuture + Copy + 'static,
    ResponseFuture: Future<Output = Response<Body>> + 'static,
{
    accept(node, listener, move |node, stream| {
        connection(node, stream, handler)
    })
    .await;
}

/// Accepts connections and serves each in its own task. A stopping process accepts them until it exits: closing the
/// socket resets the connections that wait to be accepted, whose clients or nodes may have sent requests. Requests that
/// come too late are refused.
async fn accept<Serve, Served>(node: Rc<Node>, listener: TcpListener, serve: Serve)
where
    Serve: Fn(Rc<Node>, TcpStream) -> Served,
    Served: Future<Output = ()> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                set_options(&stream);
                tokio::task::spawn_local(serve(node.clone(), stream));
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Increments a counter of the node until dropped.
pub struct CountGuard {
    node: Rc<Node>,
    number: fn(&Node) -> &Cell<usize>,
}

impl CountGuard {
    /// Increments the counter that `number` selects.
    pub fn new(node: &Rc<Node>, number: fn(&Node) -> &Cell<usize>) -> Self {
        let counted = number(node);
        counted.set(counted.get() + 1);
        Self {
            node: node.clone(),
            number,
        }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        let counted = (self.number)(&self.node);
        counted.set(counted.get() - 1);
    }
}

/// Limits of a connection, from the configuration in force.
pub struct ConnectionLimits {
    /// Maximum time between two request heads.
    pub idle_timeout: Duration,
    /// Size limit of the read buffer, in bytes.
    pub buffer_bytes: usize,
    /// Maximum number of bytes that are discarded while the connection is being closed: twice the maximum length of a
    /// body, so that a rejection also reaches clients whose body is too long.
    pub max_discarded_bytes: u64,
}

impl ConnectionLimits {
    fn of(node: &Node) -> Self {
        let limits = limits_in_force(node);
        Self {
            idle_timeout: idle_timeout(node),
            buffer_bytes: limits.header_bytes.saturating_mul(2).max(MIN_BUFFER_BYTES),
            max_discarded_bytes: limits.body_bytes.saturating_mul(2),
        }
    }

    /// An HTTP server builder with these limits.
    pub fn builder(&self) -> http1::Builder {
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(self.idle_timeout)
            .max_buf_size(self.buffer_bytes);
        builder
    }
}

/// The limits in the configuration in force.
fn limits_in_force(node: &Node) -> Limits {
    let routes = node.routes.borrow();
    let limits = routes
        .as_ref()
        .map(|routes| routes.configuration().limits.clone());
    limits.unwrap_or_default()
}

/// Maximum time between two request heads of a connection, by the configuration in force.
pub fn idle_timeout(node: &Node) -> Duration {
    let limits = limits_in_force(node);
    limits.idle_time.max(limits.header_time) + IDLE_MARGIN
}

/// How a connection is to be closed.
pub enum Close {
    /// At once: the peer has disconnected.
    AtOnce,
    /// No request was in progress, and the connection has been idle for too long.
    Idle(TcpStream),
    /// The last response has been written, or as much of it as there is. Its framing shows whether it is whole.
    AfterResponse(TcpStream),
}

async fn client_connection(node: Rc<Node>, stream: TcpStream) {
    let limits = ConnectionLimits::of(&node);
    let close = client::serve(node.clone(), stream, &limits).await;
    close_connection(&node, close, &limits).await;
}

async fn connection<Handler, ResponseFuture>(node: Rc<Node>, stream: TcpStream, handler: Handler)
where
    Handler: Fn(Rc<Node>, Request<Incoming>) -> ResponseFuture + Copy + 'static,
    ResponseFuture: Future<Output = Response<Body>> + 'static,
{
    let limits = ConnectionLimits::of(&node);
    let close = serve_requests(&node, stream, &limits, handler).await;
    close_connection(&node, close, &limits).await;
}

/// Closes a connection. A stopping process waits for those whose last response may still be on its way.
async fn close_connection(node: &Rc<Node>, close: Close, limits: &ConnectionLimits) {
    match close {
        Close::AtOnce => {}
        Close::Idle(stream) => lingering_close::close_idle(node, stream).await,
        Close::AfterResponse(stream) => {
            let _open = CountGuard::new(node, |node| &node.connections);
            lingering_close::close(node, stream, limits.max_discarded_bytes).await;
        }
    }
}

/// Serves the requests of a connection one after the other.
async fn serve_requests<Handler, ResponseFuture>(
    node: &Rc<Node>,
    mut stream: TcpStream,
    limits: &ConnectionLimits,
    handler: Handler,
) -> Close
where
    Handler: Fn(Rc<Node>, Request<Incoming>) -> ResponseFuture + Copy + 'static,
    ResponseFuture: Future<Output = Response<Body>> + 'static,
{
    let service = service_fn(|request| {
        let in_flight = CountGuard::new(node, |node| &node.in_flight);
        let answer = handler(node.clone(), request);
        let node = node.clone();
        async move {
            let mut response = answer.await;
            if node.is_closing() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, std::convert::Infallible>(response.map(|body| body.with_guard(in_flight)))
        }
    });
    let writes = TrackedWrites::new(&mut stream, WriteState::new(node.clone()));
    let connection = limits
        .builder()
        .serve_connection(TokioIo::new(writes), service);
    match connection.await {
        Err(error) if !is_rejected_head(&error) && !is_cut_response(&error) => Close::AtOnce,
        _ => Close::AfterResponse(stream),
    }
}

/// Whether a response ended early.
pub fn is_cut_response(error: &hyper::Error) -> bool {
    // On the server side only response bodies can cause user errors.
    error.is_user()
}

/// Whether the HTTP server has itself rejected a malformed or too long request head, with a response.
pub fn is_rejected_head(error: &hyper::Error) -> bool {
    error.is_parse()
}
