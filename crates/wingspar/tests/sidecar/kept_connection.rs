//! A client's connection that is kept for many requests.

use std::net::SocketAddr;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// One connection to a node.
pub struct KeptConnection(BufReader<TcpStream>);

impl KeptConnection {
    /// Opens it.
    pub async fn open(node: SocketAddr) -> Self {
        Self(BufReader::new(
            TcpStream::connect(node).await.expect("a connection"),
        ))
    }

    /// Sends a request with more lines for its head; the status of its answer.
    pub async fn get(&mut self, path: &str, id: &str, lines: &str) -> u16 {
        let head = format!(
            "GET {path} HTTP/1.1\r\nhost: shop.example\r\nx-wingspar-request-id: {id}\r\n\
             x-wingspar-deadline-ms: 2000\r\n{lines}\r\n"
        );
        let stream = self.0.get_mut();
        stream.write_all(head.as_bytes()).await.expect("it is sent");
        let mut status = None;
        let mut length = 0;
        loop {
            let mut line = String::new();
            self.0.read_line(&mut line).await.expect("a line");
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            let words = line.split_once(' ').expect("two words");
            if status.is_none() {
                status = words.1.get(..3).and_then(|status| status.parse().ok());
            } else if words.0.eq_ignore_ascii_case("content-length:") {
                length = words.1.trim().parse().expect("a length");
            }
        }
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).await.expect("a body");
        status.expect("a status")
    }
}
