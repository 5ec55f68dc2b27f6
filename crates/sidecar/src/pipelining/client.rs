//! A client connection: the byte stream that the HTTP server reads and writes, and the pipelined requests that are
//! started ahead of their turn.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::{Future, poll_fn};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::{Buf, BytesMut};
use http::header::{CONNECTION, HOST};
use http::{HeaderValue, Request, Response, Uri};
use http_body::Body as HttpBody;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::task::{JoinError, spawn_local};
use tokio::time::{Instant, timeout, timeout_at};

use super::read_ahead::{ReadAhead, StopReason};
use super::server_side::ServerSide;
use super::started::{BufferedBytes, GuardedResponse, StartedRequest};
use crate::blocked_writes::{TrackedWrites, WriteState};
use crate::body::Body;
use crate::listen::{self, Close, ConnectionLimits, CountGuard, is_cut_response, is_rejected_head};
use crate::logs::Event;
use crate::node::Node;
use crate::router;
use crate::stop::FLUSH_TIME;

/// While the completed responses that wait for their turn on one connection hold this many bytes, no further request
/// is started ahead. This bounds the memory that a client which reads slowly can take up.
const MAX_BUFFERED_RESPONSE_BYTES: u64 = 256 * 1024;
/// Bytes that are read at a time while a request is in progress: enough for a few request heads.
const READ_CHUNK_BYTES: usize = 2048;
/// Bytes of a body that nobody reads which may still arrive in the HTTP server's last read, so that it keeps the
/// connection.
const DRAINED_BYTES: u64 = 8 * 1024;

/// How a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// Closed in the regular way.
    Closed,
    /// The HTTP server has rejected a malformed request head.
    HeadRejected,
    /// A response body failed after part of the response had been sent.
    AnswerCut,
    /// The client disconnected, or reading from it failed.
    Broken,
}

impl End {
    /// Classifies the result of the HTTP server's connection future.
    fn of(served: &hyper::Result<()>) -> Self {
        match served {
            Ok(()) => Self::Closed,
            Err(error) if is_cut_response(error) => Self::AnswerCut,
            Err(error) if is_rejected_head(error) => Self::HeadRejected,
            Err(_) => Self::Broken,
        }
    }
}

/// Why the HTTP server's connection future was stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pause {
    /// Every request received so far has been answered.
    Idle,
    /// The connection has ended; no further request is answered.
    Ended(End),
}

/// Serves a client connection until it ends. Returns how it is to be closed.
///
/// The HTTP server keeps 16 KB of buffers for each connection. Where clients hold hundreds of idle connections, these
/// buffers are most of the process's memory. The HTTP server's state is therefore dropped each time the connection
/// becomes idle, and created again when more bytes arrive, which costs a few allocations per request.
///
/// A stopping process leaves idle connections open until it exits: a request that is already on its way when the
/// connection is closed can't be answered any more.
pub async fn serve(node: Rc<Node>, stream: TcpStream, limits: &ConnectionLimits) -> Close {
    let client = Client::new(node, stream, limits.buffer_bytes);
    let (end, was_idle) = loop {
        let in_use = CountGuard::new(&client.node, |node| &node.connections);
        match serve_until_idle(&client, limits).await {
            Pause::Ended(end) => break (end, false),
            Pause::Idle => {}
        }
        if client.node.is_closing() {
            // The end of a response that didn't announce the close may still be on its way.
            let readable = poll_fn(|context| client.poll_readable(context));
            let _is_readable = timeout(FLUSH_TIME, readable).await;
        }
        drop(in_use);
        if !client.becomes_readable_in_time().await {
            break (End::Closed, true);
        }
    };
    client.ended(end);
    match (end, Rc::into_inner(client)) {
        (End::Closed, Some(client)) if was_idle => Close::Idle(client.stream.into_inner()),
        (End::Broken, _) | (_, None) => Close::AtOnce,
        (_, Some(client)) => Close::AfterResponse(client.stream.into_inner()),
    }
}

/// Runs the HTTP server until every request received so far is answered or the connection ends.
async fn serve_until_idle(client: &Rc<Client>, limits: &ConnectionLimits) -> Pause {
    let service = service_fn(|request| {
        let started = client.take_started(&request);
        let client = client.clone();
        async move {
            let answer = match started {
                Some(started) => started.answer().await?,
                None => client.run_now(request).await,
            };
            Ok::<_, JoinError>(client.finish_response(answer))
        }
    });
    let writes = TrackedWrites::new(ServerSide(client.clone()), client.writes.clone());
    let io = TokioIo::new(writes);
    // Boxed, so that the future of an idle connection doesn't reserve space for it.
    let mut connection = Box::new(limits.builder().serve_connection(io, service));
    let pause = poll_fn(|context| {
        loop {
            client.server_wants_data.set(false);
            if let Poll::Ready(served) = Pin::new(&mut *connection).poll(context) {
                return Poll::Ready(Pause::Ended(End::of(&served)));
            }
            if client.poll_read_ahead(context).is_ready() {
                return Poll::Ready(Pause::Ended(End::Broken));
            }
            if client.is_idle() {
                return Poll::Ready(Pause::Idle);
            }
            if !client.server_can_read() {
                return Poll::Pending;
            }
        }
    })
    .await;
    // Bytes that the HTTP server left unread although everything is answered don't belong to any request.
    if pause == Pause::Idle && !connection.into_parts().read_buf.is_empty() {
        return Pause::Ended(End::Closed);
    }
    pause
}

/// The parts of the current request that route selection needs.
struct CurrentRequest {
    uri: Uri,
    host: Option<HeaderValue>,
}

/// The state of one client connection, shared by the HTTP server's I/O and the code that starts requests ahead.
pub struct Client {
    node: Rc<Node>,
    pub(super) stream: RefCell<TcpStream>,
    pub(super) read_ahead: RefCell<ReadAhead>,
    /// Bytes that were read from the socket ahead of the HTTP server's own reads.
    early: RefCell<BytesMut>,
    /// Maximum length of `early`, in bytes.
    max_prefetched: usize,
    /// Whether a read by the HTTP server returned `Pending` since its connection future was last polled.
    pub(super) server_wants_data: Cell<bool>,
    /// The current request, until it is known whether other requests may run concurrently with it.
    current: RefCell<Option<CurrentRequest>>,
    /// Requests that were started ahead of their turn, in the order of arrival.
    started: RefCell<VecDeque<StartedRequest>>,
    /// Bytes of completed responses that wait for their turn.
    held: Rc<Cell<u64>>,
    has_started_any: Cell<bool>,
    /// Whether writes are blocked because the client doesn't read.
    writes: Rc<WriteState>,
}

impl Client {
    fn new(node: Rc<Node>, stream: TcpStream, max_prefetched: usize) -> Rc<Self> {
        let writes = WriteState::new(node.clone());
        Rc::new(Self {
            node,
            stream: RefCell::new(stream),
            read_ahead: RefCell::new(ReadAhead::new(max_prefetched)),
            early: RefCell::new(BytesMut::new()),
            max_prefetched,
            server_wants_data: Cell::new(false),
            current: RefCell::new(None),
            started: RefCell::new(VecDeque::new()),
            held: Rc::default(),
            has_started_any: Cell::new(false),
            writes,
        })
    }

    /// Whether every request received so far is answered and every response is written. The HTTP server must have
    /// tried to read more.
    fn is_idle(&self) -> bool {
        self.server_wants_data.get()
            && !self.writes.is_blocked()
            && self.early.borrow().is_empty()
            && self.read_ahead.borrow().is_idle()
    }

    /// Waits until there are bytes to read, or the client has closed the connection. Returns false if neither happens
    /// within the idle timeout of the configuration in force, which may change meanwhile.
    async fn becomes_readable_in_time(&self) -> bool {
        let idle_since = Instant::now();
        loop {
            let until = idle_since + listen::idle_timeout(&self.node);
            if until <= Instant::now() {
                return false;
            }
            let readable = poll_fn(|context| self.poll_readable(context));
            if timeout_at(until, readable).await.is_ok() {
                return true;
            }
        }
    }

    /// Ready when there are bytes to read, or the client has closed the connection.
    fn poll_readable(&self, context: &mut Context<'_>) -> Poll<()> {
        self.stream.borrow().poll_read_ready(context).map(|_| ())
    }

    /// Called when the HTTP server has read a request. Returns the matching request if it was started ahead.
    fn take_started(&self, request: &Request<Incoming>) -> Option<StartedRequest> {
        let has_no_body = request.body().is_end_stream();
        let was_started = self.read_ahead.borrow_mut().taken(has_no_body);
        if !was_started {
            *self.current.borrow_mut() = has_no_body.then(|| CurrentRequest {
                uri: request.uri().clone(),
                host: request.headers().get(HOST).cloned(),
            });
            return None;
        }
        let started = self.started.borrow_mut().pop_front()?;
        if started.matches(request) {
            return Some(started);
        }
        self.read_ahead.borrow_mut().out_of_step();
        let dropped = self.drop_started() + 1;
        self.log_cut("out_of_step", dropped);
        None
    }

    /// Runs a request that wasn't started ahead.
    async fn run_now(&self, request: Request<Incoming>) -> GuardedResponse {
        let in_flight = CountGuard::new(&self.node, |node| &node.in_flight);
        let request = request.map(Body::Received);
        GuardedResponse {
            response: router::answer(self.node.clone(), request).await,
            in_flight,
            held: None,
        }
    }

    /// Turns a response into the one for the HTTP server and attaches the guards that end with its body.
    fn finish_response(self: &Rc<Self>, answer: GuardedResponse) -> Response<Body> {
        let mut response = answer.response;
        if self.is_last_response() || self.lacks_body() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        let guards = (answer.in_flight, answer.held, ResponseGuard(self.clone()));
        response.map(|body| body.with_guard(guards))
    }

    /// Whether the response in progress is the last one on this connection: the process closes its connections, and
    /// nothing has arrived behind this request that would remain unanswered.
    fn is_last_response(&self) -> bool {
        self.node.is_closing() && self.started.borrow().is_empty() && !self.has_more_requests()
    }

    /// Whether a part of the request's body is missing that the HTTP server doesn't wait for: it reads once more, and
    /// closes the connection after the response if the body doesn't end there.
    fn lacks_body(&self) -> bool {
        let read_ahead = self.read_ahead.borrow();
        read_ahead.lacks_body(DRAINED_BYTES) || read_ahead.lacks_body(0) && !self.has_unread_bytes()
    }

    /// Whether another request, or a part of one, has arrived.
    fn has_more_requests(&self) -> bool {
        let read_ahead = self.read_ahead.borrow();
        let is_between_requests = read_ahead.wants_more();
        is_between_requests && (read_ahead.has_unscanned() || self.has_unread_bytes())
    }

    /// Whether the socket has bytes that haven't been read.
    fn has_unread_bytes(&self) -> bool {
        let stream = self.stream.borrow();
        let peeked = SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_ok_and(|length| length > 0)
    }

    /// Starts requests ahead of their turn, as many as the limits allow.
    fn start_ahead(&self) {
        if self.node.is_closing() || !self.read_ahead.borrow().may_start() {
            return;
        }
        if let Some(current) = self.current.take()
            && !router::may_run_concurrently(&self.node, &current.uri, current.host.as_ref())
        {
            self.read_ahead.borrow_mut().require_exclusive();
            return;
        }
        while self.held.get() < MAX_BUFFERED_RESPONSE_BYTES {
            let next = self.read_ahead.borrow_mut().start(|request| {
                let host = request.headers().get(HOST);
                router::may_run_concurrently(&self.node, request.uri(), host)
            });
            match next {
                Some(request) => self.start(request),
                None => return,
            }
        }
    }

    fn start(&self, request: Request<()>) {
        self.node.metrics.started_ahead.inc();
        self.has_started_any.set(true);
        let in_flight = CountGuard::new(&self.node, |node| &node.in_flight);
        let sent = request.clone().map(|()| Body::empty());
        let answer = router::answer(self.node.clone(), sent);
        let held = self.held.clone();
        let task = spawn_local(async move {
            let response = answer.await;
            GuardedResponse {
                held: Some(BufferedBytes::new(held, response.body())),
                response,
                in_flight,
            }
        });
        let started = StartedRequest::new(request, task);
        self.started.borrow_mut().push_back(started);
    }

    /// Reads ahead while requests are in progress and starts the requests found. Ready when the client has
    /// disconnected.
    fn poll_read_ahead(&self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            self.start_ahead();
            let has_space = self.early.borrow().len() < self.max_prefetched;
            if !has_space || !self.read_ahead.borrow().wants_more() {
                return Poll::Pending;
            }
            let stream = self.stream.borrow();
            if ready!(stream.poll_read_ready(context)).is_err() {
                return Poll::Ready(());
            }
            let mut early = self.early.borrow_mut();
            let before = early.len();
            early.reserve(READ_CHUNK_BYTES);
            match stream.try_read_buf(&mut *early) {
                Ok(0) => return Poll::Ready(()),
                Ok(_) => self.read_ahead.borrow_mut().arrived(&early[before..]),
                // The readiness event was spurious.
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return Poll::Ready(()),
            }
        }
    }

    /// Whether the HTTP server, whose last read returned `Pending`, could now read prefetched bytes.
    fn server_can_read(&self) -> bool {
        self.server_wants_data.get() && !self.early.borrow().is_empty()
    }

    /// Copies prefetched bytes into the HTTP server's buffer. Returns whether there were any.
    pub(super) fn read_prefetched(&self, buffer: &mut ReadBuf<'_>) -> bool {
        let mut early = self.early.borrow_mut();
        if early.is_empty() {
            return false;
        }
        let length = early.len().min(buffer.remaining());
        buffer.put_slice(&early[..length]);
        early.advance(length);
        if early.is_empty() {
            // Frees the allocation, so that an idle connection keeps no buffer.
            *early = BytesMut::new();
        }
        true
    }

    fn drop_started(&self) -> usize {
        let started = std::mem::take(&mut *self.started.borrow_mut());
        started.len()
    }

    /// Cancels the requests that still run ahead once the connection has ended.
    fn ended(&self, end: End) {
        let dropped = self.drop_started();
        let is_broken_head = self.read_ahead.borrow().stopped() == Some(StopReason::BrokenHead);
        if dropped > 0 {
            let reason = match end {
                End::Closed => "answer_closed",
                End::HeadRejected => "broken_head",
                End::AnswerCut => "answer_cut",
                End::Broken => "client_left",
            };
            self.log_cut(reason, dropped);
        } else if is_broken_head && self.has_started_any.get() {
            self.log_cut("broken_head", dropped);
        }
    }

    fn log_cut(&self, reason: &'static str, dropped: usize) {
        let metrics = &self.node.metrics;
        metrics.count(&metrics.pipelines_cut, reason);
        self.node
            .log
            .write_request(Event::PipelineCut { reason, dropped });
    }
}

/// Reports the end of a response to its connection when dropped.
struct ResponseGuard(Rc<Client>);

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        self.0.read_ahead.borrow_mut().answered();
    }
}
