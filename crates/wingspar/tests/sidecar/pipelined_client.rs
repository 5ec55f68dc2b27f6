//! A client that sends several requests on one connection before the first is answered.

use std::io;
use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Bytes of an answer's head at most.
const LONGEST_HEAD: usize = 16 * 1024;

/// One answer.
#[derive(Debug)]
pub struct PipelinedAnswer {
    /// Its status.
    pub status: u16,
    head: String,
    /// Its body.
    pub body: String,
}

impl PipelinedAnswer {
    /// A header of it.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(':'));
        let (_, value) = lines.find(|(found, _)| found.eq_ignore_ascii_case(name))?;
        Some(value.trim())
    }

    /// The id of the request that it answers; nothing if no target answered.
    pub fn id(&self) -> Option<&str> {
        self.header("x-wingspar-request-id")
    }

    /// Whether it ends the connection.
    pub fn closes(&self) -> bool {
        self.header("connection") == Some("close")
    }
}

/// A connection.
pub struct PipelinedClient {
    stream: TcpStream,
    unread: Vec<u8>,
}

/// The bytes of a request without a body; `more` are further lines of its head.
pub fn request(method: &str, path: &str, id: &str, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Wingspar-Request-Id: {id}\r\n\
         X-Wingspar-Deadline-Ms: 4000\r\n{more}\r\n"
    )
}

impl PipelinedClient {
    /// Opens a connection.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            unread: Vec::new(),
        })
    }

    /// Sends bytes.
    pub async fn send(&mut self, bytes: &str) -> io::Result<()> {
        self.stream.write_all(bytes.as_bytes()).await
    }

    /// The next answer; nothing if the connection has ended in order.
    pub async fn answer(&mut self) -> io::Result<Option<PipelinedAnswer>> {
        let Some(head_end) = self.head_end().await? else {
            return Ok(None);
        };
        let head = self.unread.drain(..head_end).collect::<Vec<_>>();
        let head = String::from_utf8_lossy(&head).into_owned();
        let status = head.get(9..12).and_then(|status| status.parse().ok());
        let mut answer = PipelinedAnswer {
            status: status.ok_or(io::ErrorKind::InvalidData)?,
            head,
            body: String::new(),
        };
        let length = answer
            .header("content-length")
            .and_then(|length| length.parse().ok());
        let length = length.unwrap_or(0);
        while self.unread.len() < length {
            if self.read().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        let body = self.unread.drain(..length).collect::<Vec<_>>();
        answer.body = String::from_utf8_lossy(&body).into_owned();
        Ok(Some(answer))
    }

    async fn head_end(&mut self) -> io::Result<Option<usize>> {
        loop {
            let end = self.unread.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(end) = end {
                return Ok(Some(end + 4));
            }
            if self.unread.len() > LONGEST_HEAD {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if self.read().await? == 0 {
                return match self.unread.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    async fn read(&mut self) -> io::Result<usize> {
        self.stream.read_buf(&mut self.unread).await
    }
}
