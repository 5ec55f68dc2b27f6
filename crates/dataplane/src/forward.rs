//! What router and agent share in forwarding: headers, bodies, and clients that do nothing on
//! their own account.
//!
//! Bodies are streamed both ways. A body that ends early is an error on the way out, so that
//! hyper cuts the receiver's connection and a truncated answer never looks whole.

use std::net::SocketAddr;
use std::time::Duration;

use http::header::{
    CONNECTION, EXPECT, HeaderMap, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{Method, Uri};
use http_body::Body;
use reqwest::Url;
use salvo::http::ReqBody;
use thiserror::Error;

/// Headers that concern one connection only (RFC 9110, section 7.6.1) and never travel on.
/// `Expect` is among them, since each hop's HTTP library answers it.
const HOP_BY_HOP: [HeaderName; 10] = [
    CONNECTION,
    EXPECT,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];
/// Idle connections are closed before common servers close them (five seconds), so that a request
/// rarely meets a connection that is just going away.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest wait for a connection to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a forwarding client or address could not be made.
#[derive(Debug, Error)]
pub enum ForwardError {
    /// The HTTP library refused the settings.
    #[error("HTTP client can't be built: {0}")]
    Client(#[from] reqwest::Error),
    /// The request's target is no address that can be forwarded.
    #[error("request target {0:?} can't be forwarded")]
    Target(String),
}

/// A client that keeps at most `idle_connections` idle connections to each address. It follows no
/// redirects, uses no proxy, decompresses nothing and retries nothing.
pub fn client(idle_connections: usize) -> Result<reqwest::Client, ForwardError> {
    let client = reqwest::Client::builder()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .no_proxy()
        .referer(false)
        .tcp_nodelay(true)
        .http1_only()
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(idle_connections)
        .build()?;
    Ok(client)
}

/// The URL of a request's path and query at another address.
///
/// The URL library resolves dot segments (`/a/../b`), so a path with them would not arrive as it
/// was sent; such paths are refused instead.
pub fn url(address: SocketAddr, uri: &Uri) -> Result<Url, ForwardError> {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let refused = || ForwardError::Target(path.to_owned());
    let url = Url::parse(&format!("http://{address}{path}")).map_err(|_| refused())?;
    let unchanged = url.path() == uri.path() || uri.path().is_empty();
    unchanged.then_some(url).ok_or_else(refused)
}

/// Removes the headers that concern one connection only, those named by `Connection` included.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Turns a received request body into one to send. An empty body is sent as none, so that a `GET`
/// does not grow a `Content-Length` or `Transfer-Encoding`.
pub fn request_body(body: ReqBody) -> reqwest::Body {
    if body.is_end_stream() {
        reqwest::Body::default()
    } else {
        reqwest::Body::wrap(body)
    }
}

/// Builds a request to send on.
pub fn request(
    method: Method,
    url: Url,
    headers: HeaderMap,
    body: reqwest::Body,
) -> reqwest::Request {
    let mut request = reqwest::Request::new(method, url);
    *request.headers_mut() = headers;
    *request.body_mut() = Some(body);
    request
}

/// How sending a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// No connection was made, so nothing was sent: proof that it did not run.
    NoConnection,
    /// It may have been sent.
    AfterSending,
}

/// Tells what a failed send proves.
pub fn send_failure(error: &reqwest::Error) -> SendFailure {
    if error.is_connect() {
        SendFailure::NoConnection
    } else {
        SendFailure::AfterSending
    }
}
