//! A back end that speaks HTTP by hand, so that it can also misbehave. The path tells what it does.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// Size of the answer to `/big`, far more than sockets buffer.
pub const BIG: usize = 64 * 1024 * 1024;

/// What the back end has seen.
pub struct BackEnd {
    pub address: SocketAddr,
    heads: Mutex<Vec<String>>,
    /// Connections that were closed while an answer was due.
    gone: Mutex<usize>,
    /// Each permit lets one `/slow` request end.
    pub release: Semaphore,
}

impl BackEnd {
    pub async fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let back_end = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            heads: Mutex::default(),
            gone: Mutex::default(),
            release: Semaphore::new(0),
        });
        let shared = back_end.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(shared.clone().serve(stream));
            }
        });
        back_end
    }

    /// Heads of all requests, in order.
    pub fn heads(&self) -> Vec<String> {
        self.heads.lock().unwrap().clone()
    }

    pub fn runs(&self) -> usize {
        self.heads.lock().unwrap().len()
    }

    pub fn gone(&self) -> usize {
        *self.gone.lock().unwrap()
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        while let Some(head) = read_head(&mut stream).await {
            self.heads.lock().unwrap().push(head.clone());
            let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
            let reads_body = !path.starts_with("/early");
            if reads_body && !read_body(&mut stream, &head).await {
                return;
            }
            if !self.answer(&mut stream, &path).await {
                return;
            }
        }
    }

    /// Answers; false ends the connection.
    async fn answer(&self, stream: &mut TcpStream, path: &str) -> bool {
        let simple = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 2\r\n\
                      keep-alive: timeout=9\r\nwingspar-fence: 9.9\r\n\r\nok";
        let text = match path.split('?').next().unwrap_or_default() {
            "/slow" => return self.answer_slowly(stream, simple).await,
            "/big" => return self.answer_big(stream).await,
            "/close" => return false,
            "/cut" => "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf",
            "/cut-chunks" => "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            "/refuse" => {
                "HTTP/1.1 503 Busy\r\nwingspar-outcome: not-run\r\nwingspar-reason: shed\r\n\
                 retry-after: 3\r\ncontent-length: 0\r\n\r\n"
            }
            "/early" => "HTTP/1.1 413 Too Large\r\ncontent-length: 5\r\n\r\nlarge",
            "/missing" => "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n",
            "/moved" => "HTTP/1.1 302 Found\r\nlocation: /ok\r\ncontent-length: 0\r\n\r\n",
            "/packed" => {
                "HTTP/1.1 200 OK\r\ncontent-encoding: gzip\r\ncontent-length: 3\r\n\r\nraw"
            }
            "/twice" => {
                "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\none\
                 HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\ntwo"
            }
            "/other" => {
                "HTTP/1.1 200 OK\r\nwingspar-request-id: r-0\r\ncontent-length: 3\r\n\r\nnot"
            }
            "/half" => {
                let answer = stream.write_all(simple.as_bytes()).await;
                return answer.is_ok() && stream.shutdown().await.is_ok();
            }
            "/frozen" => {
                // Sees neither the end of the connection nor the deadline until it thaws.
                self.release.acquire().await.unwrap().forget();
                simple.replace("ok", "ICE").leak()
            }
            "/headers" => {
                let filler = "x".repeat(1_000);
                let many = (0..500).map(|number| format!("x-{number}: {filler}\r\n"));
                let head = format!("HTTP/1.1 200 OK\r\n{}\r\n", many.collect::<String>());
                return stream.write_all(head.as_bytes()).await.is_ok();
            }
            "/chunks" => {
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
                 3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n"
            }
            "/drip" => {
                let first = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\none\r\n";
                stream.write_all(first.as_bytes()).await.unwrap();
                self.release.acquire().await.unwrap().forget();
                "3\r\ntwo\r\n0\r\n\r\n"
            }
            "/long" => {
                let body = "x".repeat(5_000);
                let head = "HTTP/1.1 201 Created\r\ncontent-length: 5000\r\n\r\n";
                return stream
                    .write_all((head.to_owned() + &body).as_bytes())
                    .await
                    .is_ok();
            }
            _ => simple,
        };
        stream.write_all(text.as_bytes()).await.is_ok() && !path.contains("cut")
    }

    async fn answer_slowly(&self, stream: &mut TcpStream, text: &str) -> bool {
        let mut byte = [0];
        tokio::select! {
            permit = self.release.acquire() => permit.unwrap().forget(),
            _ = stream.read(&mut byte) => {
                *self.gone.lock().unwrap() += 1;
                return false;
            }
        }
        stream.write_all(text.as_bytes()).await.is_ok()
    }

    async fn answer_big(&self, stream: &mut TcpStream) -> bool {
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {BIG}\r\n\r\n");
        let mut sent = stream.write_all(head.as_bytes()).await;
        let chunk = vec![b'x'; 64 * 1024];
        for _ in 0..BIG / chunk.len() {
            if sent.is_err() {
                *self.gone.lock().unwrap() += 1;
                return false;
            }
            sent = stream.write_all(&chunk).await;
        }
        sent.is_ok()
    }
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(head).ok()
}

/// Reads a body of known length; false when it was cut.
async fn read_body(stream: &mut TcpStream, head: &str) -> bool {
    let length = header(head, "content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.is_ok()
}

/// A header of a head.
pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines()
        .filter_map(|line| line.split_once(": "))
        .find(|(one, _)| one.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.to_owned())
}
