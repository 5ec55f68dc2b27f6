//! HTTP/1.1 as far as the stand-ins need it: one thread a connection.

use std::io::{ErrorKind, Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The head of a request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// The words of the first line.
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(known, _)| known == name);
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.first().map_or("", String::as_str)
    }

    /// Path and query.
    pub fn target(&self) -> &str {
        self.first.get(1).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        query.split('&').find_map(|pair| {
            let (known, value) = pair.split_once('=')?;
            (known == name).then_some(value)
        })
    }

    pub fn status(&self) -> u16 {
        self.first
            .get(1)
            .and_then(|word| word.parse().ok())
            .unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Conn {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

fn ended() -> std::io::Error {
    std::io::Error::new(ErrorKind::UnexpectedEof, "the connection ended")
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _nodelay = stream.set_nodelay(true);
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    fn more(&mut self) -> Result<()> {
        let mut chunk = [0; 16 * 1024];
        match self.stream.read(&mut chunk)? {
            0 => Err(ended()),
            length => {
                self.ahead.extend_from_slice(&chunk[..length]);
                Ok(())
            }
        }
    }

    /// Reads a head; `None` if the peer closed the connection before it.
    pub fn head(&mut self) -> Result<Option<Head>> {
        loop {
            if let Some(end) = self.ahead.windows(4).position(|four| four == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
                self.ahead.drain(..end + 4);
                return Ok(Some(parse(&text)));
            }
            match self.more() {
                Ok(()) => {}
                Err(error) if error.kind() == ErrorKind::UnexpectedEof && self.ahead.is_empty() => {
                    return Ok(None);
                }
                Err(error) => return Err(error),
            }
        }
    }

    fn exactly(&mut self, length: usize) -> Result<Vec<u8>> {
        while self.ahead.len() < length {
            self.more()?;
        }
        Ok(self.ahead.drain(..length).collect())
    }

    fn line(&mut self) -> Result<String> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|two| two == b"\r\n") {
                let text = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
                self.ahead.drain(..end + 2);
                return Ok(text);
            }
            self.more()?;
        }
    }

    /// Reads the body that follows a head. `until_close` is for answers without a length.
    pub fn body(&mut self, head: &Head, until_close: bool) -> Result<Vec<u8>> {
        if head
            .header("transfer-encoding")
            .is_some_and(|value| value.contains("chunked"))
        {
            let mut body = Vec::new();
            loop {
                let line = self.line()?;
                let size = line.split(';').next().unwrap_or("").trim().to_owned();
                let size = usize::from_str_radix(&size, 16).map_err(|_| ended())?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.exactly(size)?);
                self.line()?;
            }
        }
        if let Some(length) = head.header("content-length") {
            return self.exactly(length.trim().parse().map_err(|_| ended())?);
        }
        if until_close {
            while self.more().is_ok() {}
            return Ok(std::mem::take(&mut self.ahead));
        }
        Ok(Vec::new())
    }

    /// Writes an answer with a body of known length.
    pub fn answer(&mut self, status: u16, headers: &[(&str, String)], body: &[u8]) -> Result<()> {
        self.stream.write_all(&answer_bytes(status, headers, body))
    }
}

/// An answer with a body of known length.
pub fn answer_bytes(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        404 => "Not Found",
        409 => "Conflict",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Other",
    }
}

fn parse(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let first = lines
        .next()
        .unwrap_or("")
        .splitn(3, ' ')
        .map(str::to_owned)
        .collect();
    let headers = lines.filter_map(|line| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
    });
    Head {
        first,
        headers: headers.collect(),
    }
}

/// A listening socket whose connections can all be ended at once, as the end of a process does.
pub struct Server {
    stop: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    acceptor: Option<JoinHandle<()>>,
}

impl Server {
    pub fn start(
        address: SocketAddr,
        serve: impl Fn(&mut Conn) -> Result<()> + Send + Sync + 'static,
    ) -> Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let stop = Arc::new(AtomicBool::new(false));
        let open = Arc::new(Mutex::new(Vec::new()));
        let serve = Arc::new(serve);
        let (stopped, connections) = (stop.clone(), open.clone());
        let acceptor = thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _blocking = stream.set_nonblocking(false);
                if let Ok(copy) = stream.try_clone() {
                    connections.lock().unwrap().push(copy);
                }
                let serve = serve.clone();
                let connections = connections.clone();
                let peer = stream.peer_addr().ok();
                let _thread = thread::Builder::new()
                    .stack_size(256 * 1024)
                    .spawn(move || {
                        let mut conn = Conn::new(stream);
                        let _ended = serve(&mut conn);
                        let _shut = conn.stream.shutdown(Shutdown::Both);
                        let mut connections = connections.lock().unwrap();
                        connections.retain(|known| known.peer_addr().ok() != peer);
                    });
            }
        });
        Ok(Self {
            stop,
            open,
            acceptor: Some(acceptor),
        })
    }

    /// Closes the socket, then all connections.
    pub fn end(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(acceptor) = self.acceptor.take() {
            let _joined = acceptor.join();
        }
        for stream in self.open.lock().unwrap().drain(..) {
            let _shut = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.end();
    }
}

/// An answer as a client saw it.
#[derive(Debug, Clone)]
pub struct Seen {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
}

/// Sends a request on a new connection and reads the answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    time: Duration,
) -> Result<Seen> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(time))?;
    stream.set_read_timeout(Some(time))?;
    stream.set_write_timeout(Some(time))?;
    let mut conn = Conn::new(stream);
    let head = request_head(address, method, path, headers, body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    conn.stream.write_all(&bytes)?;
    read_answer(&mut conn)
}

pub fn request_head(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    length: usize,
) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        text.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if length > 0 || method == "POST" || method == "PUT" {
        text.push_str(&format!("Content-Length: {length}\r\n"));
    }
    text.push_str("\r\n");
    text
}

pub fn read_answer(conn: &mut Conn) -> Result<Seen> {
    loop {
        let head = conn.head()?.ok_or_else(ended)?;
        if (100..200).contains(&head.status()) {
            continue;
        }
        let body = conn.body(&head, true)?;
        return Ok(Seen {
            status: head.status(),
            head,
            body,
        });
    }
}
