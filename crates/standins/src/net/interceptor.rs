//! A loopback proxy that reads whole requests and answers some of them with bytes of a test's own, also with such as no
//! server should send.
//!
//! It runs on threads of its own: a connection that is written to without end doesn't hold up the test.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use socket2::SockRef;

/// How often a blocked read or write checks whether the interceptor has been dropped.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long connections are refused after an [`AnswerEnd::Crash`].
const DOWN_TIME: Duration = Duration::from_millis(500);
/// Bytes that are read or written at a time.
const PIECE: usize = 64 * 1024;

/// A whole request that has arrived.
#[derive(Debug)]
pub struct InterceptedRequest {
    /// Path with query.
    pub path: String,
    head: String,
    body: Vec<u8>,
}

impl InterceptedRequest {
    /// A header's value.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }
}

fn header<'head>(head: &'head str, name: &str) -> Option<&'head str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    let line = lines.find(|(known, _)| known.eq_ignore_ascii_case(name));
    line.map(|(_, value)| value.trim())
}

/// The bytes that answer a request.
#[derive(Debug, Clone)]
pub struct RawAnswer {
    /// What is sent first.
    pub start: Vec<u8>,
    /// What follows.
    pub end: AnswerEnd,
}

/// What follows the start of a [`RawAnswer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEnd {
    /// The connection is closed in order.
    Close,
    /// The connection is reset.
    Reset,
    /// The connection is closed in order, and for a short time no other is accepted: as if the server's process had ended
    /// and begun again.
    Crash,
    /// These bytes, again and again until the other side closes the connection.
    Endless(&'static str),
}

/// An answer that was sent without end.
#[derive(Debug, Clone)]
pub struct EndlessAnswer {
    /// Path of the request.
    pub path: String,
    /// When it began.
    pub began: Instant,
    /// When the other side had closed the connection.
    pub ended: Option<Instant>,
    /// Bytes that the connection has taken.
    pub bytes: u64,
}

/// Chooses the answer to a request; `None` passes it on to the server.
type Rule = Arc<dyn Fn(&InterceptedRequest) -> Option<RawAnswer> + Send + Sync>;

struct Shared {
    address: SocketAddr,
    server: Option<SocketAddr>,
    rule: Mutex<Option<Rule>>,
    answered: AtomicUsize,
    endless: Mutex<Vec<EndlessAnswer>>,
    dropped: AtomicBool,
    /// Connections are to be refused for a while.
    crashing: AtomicBool,
    /// Connections are accepted.
    listening: AtomicBool,
}

/// A running interceptor.
pub struct Interceptor {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Drop for Interceptor {
    fn drop(&mut self) {
        self.shared.dropped.store(true, Ordering::Relaxed);
        // Ends the wait for the next connection.
        let _woken = TcpStream::connect(self.address);
    }
}

impl Interceptor {
    /// Starts an interceptor on `listen`. What it doesn't answer itself goes to `server`; without one, the connection is
    /// closed.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub fn start(listen: SocketAddr, server: Option<SocketAddr>) -> Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            address,
            server,
            rule: Mutex::default(),
            answered: AtomicUsize::new(0),
            endless: Mutex::default(),
            dropped: AtomicBool::new(false),
            crashing: AtomicBool::new(false),
            listening: AtomicBool::new(true),
        });
        let accepting = Arc::clone(&shared);
        thread::spawn(move || accept(listener, &accepting));
        Ok(Self { address, shared })
    }

    /// Where it listens.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Chooses answers by this rule from now on.
    pub fn answer_by<Choose>(&self, rule: Choose)
    where
        Choose: Fn(&InterceptedRequest) -> Option<RawAnswer> + Send + Sync + 'static,
    {
        *lock(&self.shared.rule) = Some(Arc::new(rule));
    }

    /// Passes everything on from now on.
    pub fn pass_all(&self) {
        *lock(&self.shared.rule) = None;
    }

    /// How many requests it has answered itself.
    #[must_use]
    pub fn answered(&self) -> usize {
        self.shared.answered.load(Ordering::Relaxed)
    }

    /// The answers without end so far.
    #[must_use]
    pub fn endless_answers(&self) -> Vec<EndlessAnswer> {
        lock(&self.shared.endless).clone()
    }
}

fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn accept(mut listener: TcpListener, shared: &Arc<Shared>) {
    while let Ok((client, _)) = listener.accept()
        && !shared.dropped.load(Ordering::Relaxed)
    {
        if shared.crashing.swap(false, Ordering::SeqCst) {
            drop(listener);
            shared.listening.store(false, Ordering::SeqCst);
            thread::sleep(DOWN_TIME);
            listener = match TcpListener::bind(shared.address) {
                Ok(listener) => listener,
                Err(error) => panic!("{} can't be bound again: {error}", shared.address),
            };
            shared.listening.store(true, Ordering::SeqCst);
            continue;
        }
        let shared = Arc::clone(shared);
        thread::spawn(move || serve(client, &shared));
    }
}

/// Waits until connections are refused.
fn crash(shared: &Shared) {
    shared.crashing.store(true, Ordering::SeqCst);
    // Ends the wait for the next connection.
    let _woken = TcpStream::connect(shared.address);
    while shared.listening.load(Ordering::SeqCst) && !shared.dropped.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(1));
    }
}

/// Answers the requests of one connection.
fn serve(client: TcpStream, shared: &Shared) -> Option<()> {
    let mut client = Stream::new(client, shared).ok()?;
    let request = client.request().ok()?;
    let rule = lock(&shared.rule).clone();
    let Some(answer) = rule.and_then(|rule| rule(&request)) else {
        return pass_on(&request, client, shared).ok();
    };
    shared.answered.fetch_add(1, Ordering::Relaxed);
    client.write(&answer.start).ok()?;
    match answer.end {
        AnswerEnd::Close => {}
        AnswerEnd::Crash => crash(shared),
        AnswerEnd::Reset => {
            let socket = SockRef::from(&client.stream);
            socket.set_linger(Some(Duration::ZERO)).ok()?;
        }
        AnswerEnd::Endless(bytes) => write_without_end(&mut client, &request, bytes, shared),
    }
    Some(())
}

/// Passes a request on over a connection of its own, and its answer back; then the connection is closed.
fn pass_on(request: &InterceptedRequest, mut client: Stream<'_>, shared: &Shared) -> Result<()> {
    let server = shared.server.ok_or(ErrorKind::NotConnected)?;
    let mut server = Stream::new(TcpStream::connect(server)?, shared)?;
    let head = request
        .head
        .replacen("\r\n", "\r\nconnection: close\r\n", 1);
    server.write(&[head.as_bytes(), &request.body].concat())?;
    loop {
        let read = server.read()?;
        if read.is_empty() {
            return Ok(());
        }
        client.write(&read)?;
    }
}

fn write_without_end(
    client: &mut Stream<'_>,
    request: &InterceptedRequest,
    bytes: &str,
    shared: &Shared,
) {
    let number = {
        let mut endless = lock(&shared.endless);
        endless.push(EndlessAnswer {
            path: request.path.clone(),
            began: Instant::now(),
            ended: None,
            bytes: 0,
        });
        endless.len() - 1
    };
    let piece = bytes.repeat(PIECE / bytes.len());
    while client.write(piece.as_bytes()).is_ok() {
        lock(&shared.endless)[number].bytes += piece.len() as u64;
    }
    lock(&shared.endless)[number].ended = Some(Instant::now());
}

/// A connection whose blocking calls end when the interceptor is dropped.
struct Stream<'shared> {
    stream: TcpStream,
    shared: &'shared Shared,
}

impl<'shared> Stream<'shared> {
    fn new(stream: TcpStream, shared: &'shared Shared) -> Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(CHECK_INTERVAL))?;
        stream.set_write_timeout(Some(CHECK_INTERVAL))?;
        Ok(Self { stream, shared })
    }

    /// Repeats a call that timed out, unless the interceptor has been dropped.
    fn retried(&mut self, mut call: impl FnMut(&mut TcpStream) -> Result<usize>) -> Result<usize> {
        loop {
            match call(&mut self.stream) {
                Err(error)
                    if is_timeout(&error) && !self.shared.dropped.load(Ordering::Relaxed) => {}
                ended => return ended,
            }
        }
    }

    /// Some bytes; none at the connection's end.
    fn read(&mut self) -> Result<Vec<u8>> {
        let mut buffer = vec![0; PIECE];
        let length = self.retried(|stream| stream.read(&mut buffer))?;
        buffer.truncate(length);
        Ok(buffer)
    }

    fn write(&mut self, mut bytes: &[u8]) -> Result<()> {
        while !bytes.is_empty() {
            let written = self.retried(|stream| stream.write(bytes))?;
            bytes = &bytes[written..];
        }
        Ok(())
    }

    /// Reads a whole request.
    fn request(&mut self) -> Result<InterceptedRequest> {
        let mut bytes = Vec::new();
        let head_end = loop {
            if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
                break end + 4;
            }
            self.read_more(&mut bytes)?;
        };
        let mut body = bytes.split_off(head_end);
        let head = String::from_utf8_lossy(&bytes).into_owned();
        let length = header(&head, "content-length").and_then(|length| length.parse().ok());
        let is_chunked = header(&head, "transfer-encoding").is_some();
        while body.len() < length.unwrap_or(0) || (is_chunked && !body.ends_with(b"0\r\n\r\n")) {
            self.read_more(&mut body)?;
        }
        let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
        Ok(InterceptedRequest { path, head, body })
    }

    fn read_more(&mut self, bytes: &mut Vec<u8>) -> Result<()> {
        let read = self.read()?;
        if read.is_empty() {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        bytes.extend(read);
        Ok(())
    }
}

fn is_timeout(error: &Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}
