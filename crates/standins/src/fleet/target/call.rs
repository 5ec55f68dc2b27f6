//! A call that a target makes through the node beside it while it runs a request.

use std::io::Result;
use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// What a target calls for each request that it runs; the call's own id is the request's with `-call` behind it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetCall {
    /// Where the node takes requests.
    pub node: SocketAddr,
    /// Host of the route.
    pub host: String,
    /// Path of the route; requests for it are run without another call.
    pub path: String,
    /// The credential that the target shows.
    pub credential: String,
}

impl TargetCall {
    /// Makes the call for a request; the first line of its answer.
    pub(super) async fn make(&self, request_id: &str) -> Result<String> {
        let mut stream = TcpStream::connect(self.node).await?;
        let head = format!(
            "GET {} HTTP/1.1\r\nHost: {}\r\nX-Wingspar-Request-Id: {request_id}-call\r\n\
             X-Wingspar-Credential: {}\r\nX-Wingspar-Deadline-Ms: 1000\r\nConnection: close\r\n\r\n",
            self.path, self.host, self.credential
        );
        stream.write_all(head.as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        Ok(answer.lines().next().unwrap_or_default().to_owned())
    }
}
