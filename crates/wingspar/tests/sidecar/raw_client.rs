//! A client that shows byte by byte what a node sends, and whether it ends as if it were whole.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a node may take to end a connection at most before a test fails.
const PATIENCE: Duration = Duration::from_secs(10);

/// An answer as far as it has arrived.
#[derive(Debug)]
pub struct RawReply {
    /// Its status; 0 if there is none.
    pub status: u16,
    /// Its head.
    pub head: String,
    /// Its body, without the framing of chunks.
    pub body: Vec<u8>,
    /// Whether its framing says that it is whole.
    pub whole: bool,
}

impl RawReply {
    /// Whether a client takes it for a success.
    pub fn is_success(&self) -> bool {
        self.whole && (200..300).contains(&self.status)
    }

    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(':'));
        let line = lines.find(|(known, _)| known.eq_ignore_ascii_case(name));
        line.map(|(_, value)| value.trim())
    }
}

/// Sends requests on a connection of its own, the last of which asks for its end, and reads all answers.
pub async fn exchange(node: SocketAddr, requests: &[u8]) -> Vec<RawReply> {
    let mut stream = TcpStream::connect(node).await.expect("a connection");
    stream.write_all(requests).await.expect("it is sent");
    let mut bytes = Vec::new();
    let read = timeout(PATIENCE, stream.read_to_end(&mut bytes)).await;
    let ended_in_order = read.expect("the node ends the connection").is_ok();
    replies(&bytes, ended_in_order)
}

/// The answers in what a connection brought until its end.
pub fn replies(mut bytes: &[u8], ended_in_order: bool) -> Vec<RawReply> {
    let mut replies = Vec::new();
    while !bytes.is_empty() {
        let head_end = bytes.windows(4).position(|four| four == b"\r\n\r\n");
        let (head, rest) = bytes.split_at(head_end.map_or(bytes.len(), |end| end + 4));
        let head = String::from_utf8_lossy(head).into_owned();
        let status = head.get(9..12).and_then(|status| status.parse().ok());
        let mut reply = RawReply {
            status: status.unwrap_or(0),
            head,
            body: Vec::new(),
            whole: head_end.is_some(),
        };
        let length = reply.header("content-length").map(str::parse::<usize>);
        bytes = match length {
            _ if !reply.whole => rest,
            _ if reply.header("transfer-encoding").is_some() => reply.take_chunks(rest),
            Some(length) => reply.take(rest, length.expect("a length")),
            None => {
                reply.whole = ended_in_order;
                reply.take(rest, rest.len())
            }
        };
        replies.push(reply);
    }
    replies
}

impl RawReply {
    /// Takes so many bytes of the body; what follows them.
    fn take<'bytes>(&mut self, bytes: &'bytes [u8], length: usize) -> &'bytes [u8] {
        self.whole &= bytes.len() >= length;
        let (body, rest) = bytes.split_at(length.min(bytes.len()));
        self.body.extend_from_slice(body);
        rest
    }

    /// Takes the chunks of the body; what follows them.
    fn take_chunks<'bytes>(&mut self, mut bytes: &'bytes [u8]) -> &'bytes [u8] {
        loop {
            let line_end = bytes.windows(2).position(|two| two == b"\r\n");
            let size = line_end.and_then(|end| std::str::from_utf8(&bytes[..end]).ok());
            let size = size.and_then(|size| usize::from_str_radix(size, 16).ok());
            let (Some(line_end), Some(size)) = (line_end, size) else {
                self.whole = false;
                return &[];
            };
            bytes = self.take(&bytes[line_end + 2..], size);
            let Some(rest) = bytes.strip_prefix(b"\r\n") else {
                self.whole = false;
                return &[];
            };
            bytes = rest;
            if size == 0 {
                return bytes;
            }
        }
    }
}
