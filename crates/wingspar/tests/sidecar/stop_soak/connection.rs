//! A client's connection, and the requests that are sent on it.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout_at};

use crate::raw_client::{RawReply, replies};

/// Bytes a second that a slow client reads.
const SLOW_BYTES_PER_S: f64 = 800_000.0;
/// Bytes that are read at a time.
const PIECE: usize = 16 * 1024;

/// A connection, and what has arrived on it.
pub struct Connection {
    stream: TcpStream,
    received: Vec<u8>,
    /// Number of answers at the beginning of what has arrived that were taken.
    taken: usize,
    has_ended: bool,
}

impl Connection {
    /// A connection with a small receive buffer.
    pub async fn open(node: SocketAddr) -> std::io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(32 * 1024)?;
        let stream = socket.connect(node).await?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            received: Vec::new(),
            taken: 0,
            has_ended: false,
        })
    }

    /// Sends bytes; when they were sent, unless the connection had ended.
    pub async fn send(&mut self, bytes: &[u8]) -> Option<Instant> {
        let sent = self.stream.write_all(bytes).await;
        sent.is_ok().then(Instant::now)
    }

    /// Whether the node has already answered or ended the connection: then nothing more is sent on it.
    pub fn is_answered_or_ended(&mut self) -> bool {
        self.next_reply();
        let mut piece = [0; PIECE];
        match self.stream.try_read(&mut piece) {
            Ok(0) => self.has_ended = true,
            Ok(read) => self.received.extend_from_slice(&piece[..read]),
            Err(error) => self.has_ended |= error.kind() != ErrorKind::WouldBlock,
        }
        self.has_ended || !self.received.is_empty()
    }

    /// The next answer as far as it comes until a time, and when it was whole or the connection ended; no answer if
    /// there is no part of one.
    pub async fn reply(&mut self, is_slow: bool, until: Instant) -> (Option<RawReply>, Instant) {
        let began = Instant::now();
        let mut piece = vec![0; PIECE];
        loop {
            let next = self.next_reply();
            if self.has_ended || next.as_ref().is_some_and(|reply| reply.whole) {
                self.taken += 1;
                return (next, Instant::now());
            }
            let read = timeout_at(until.into(), self.stream.read(&mut piece)).await;
            let Ok(read) = read else {
                return (next, Instant::now());
            };
            let read = read.unwrap_or(0);
            self.has_ended = read == 0;
            self.received.extend_from_slice(&piece[..read]);
            if is_slow {
                let due = Duration::from_secs_f64(self.received.len() as f64 / SLOW_BYTES_PER_S);
                sleep(due.saturating_sub(began.elapsed())).await;
            }
        }
    }

    /// The answer behind those that were taken. Bytes are kept while any of it follows them.
    fn next_reply(&mut self) -> Option<RawReply> {
        let mut found = replies(&self.received, false);
        if found.len() <= self.taken {
            self.received.clear();
            self.taken = 0;
            return None;
        }
        Some(found.swap_remove(self.taken))
    }
}

/// A request as it is sent.
pub struct Request {
    /// Its bytes.
    pub bytes: Vec<u8>,
    /// Length of its head.
    pub head: usize,
}

impl Request {
    /// A request without a body.
    pub fn get(path: &str, id: &str, deadline: Duration) -> Self {
        Self::with_head(head("GET", path, id, deadline, ""), &[])
    }

    /// A request with a body of `length` bytes.
    pub fn post(path: &str, id: &str, deadline: Duration, length: usize, chunked: bool) -> Self {
        let body = vec![b'u'; length];
        if !chunked {
            let framing = format!("Content-Length: {length}\r\n");
            return Self::with_head(head("POST", path, id, deadline, &framing), &body);
        }
        let head = head("POST", path, id, deadline, "Transfer-Encoding: chunked\r\n");
        let size = format!("{length:x}\r\n").into_bytes();
        Self::with_head(head, &[size, body, b"\r\n0\r\n\r\n".to_vec()].concat())
    }

    fn with_head(head: Vec<u8>, body: &[u8]) -> Self {
        Self {
            head: head.len(),
            bytes: [head, body.to_vec()].concat(),
        }
    }
}

fn head(method: &str, path: &str, id: &str, deadline: Duration, framing: &str) -> Vec<u8> {
    let deadline = deadline.as_millis();
    let key = if path.starts_with("/stock/") {
        "X-Wingspar-Shard-Key: 32000\r\n"
    } else {
        ""
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Wingspar-Request-Id: {id}\r\n\
         X-Wingspar-Deadline-Ms: {deadline}\r\n{key}{framing}\r\n"
    )
    .into_bytes()
}
