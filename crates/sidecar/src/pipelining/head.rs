//! Parses request heads only as far as is needed to find the next head and to start the request.
//!
//! The HTTP server parses each head again, and only its interpretation counts; nothing parsed here reaches a client.

use std::mem::MaybeUninit;

use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, Version};

/// Maximum number of headers in a head; a request with more of them isn't started ahead. The HTTP server has the same
/// limit.
const MAX_HEADERS: usize = 100;

/// Why bytes don't start with a complete request head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadError {
    /// More bytes are needed.
    Partial,
    /// The bytes aren't a valid head.
    Broken,
}

/// What follows a head on the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterHead {
    /// A body of this many bytes (0 if there is none), then another head.
    Body(u64),
    /// A body in chunks, then another head.
    Chunks,
    /// Unknown: a body in another encoding, another protocol, or the end of the connection.
    Unknown,
}

/// A request head, with the request if it may be started ahead of its turn.
#[derive(Debug)]
pub struct Head {
    /// Length of the head in bytes, including blank lines before it.
    pub length: usize,
    /// What follows the head.
    pub behind: AfterHead,
    /// The request, or `None` if it has a body, expects an interim response or can't be parsed.
    pub request: Option<Request<()>>,
}

/// Parses the head at the start of `bytes`. The request itself is only built if `with_request` is set.
pub fn scan(bytes: &[u8], with_request: bool) -> Result<Head, HeadError> {
    let mut headers = [const { MaybeUninit::uninit() }; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut []);
    let status = parsed
        .parse_with_uninit_headers(bytes, &mut headers)
        .map_err(|_| HeadError::Broken)?;
    let httparse::Status::Complete(length) = status else {
        return Err(HeadError::Partial);
    };
    Ok(Head {
        length,
        behind: behind(&parsed),
        request: with_request.then(|| plain_request(&parsed)).flatten(),
    })
}

fn behind(parsed: &httparse::Request<'_, '_>) -> AfterHead {
    let is_last = parsed.version != Some(1) || parsed.method == Some("CONNECT");
    let mut length = None;
    let mut is_chunked = false;
    for header in parsed.headers.iter() {
        if is(header, &UPGRADE) || requests_close(header) {
            return AfterHead::Unknown;
        }
        if is(header, &TRANSFER_ENCODING) {
            if is_chunked || !header.value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                return AfterHead::Unknown;
            }
            is_chunked = true;
        }
        if is(header, &CONTENT_LENGTH) {
            let told = std::str::from_utf8(header.value).ok();
            let told = told.and_then(|text| text.trim().parse::<u64>().ok());
            if told.is_none() || length.is_some_and(|length| Some(length) != told) {
                return AfterHead::Unknown;
            }
            length = told;
        }
    }
    match (is_chunked, length) {
        _ if is_last => AfterHead::Unknown,
        (false, length) => AfterHead::Body(length.unwrap_or(0)),
        (true, None) => AfterHead::Chunks,
        (true, Some(_)) => AfterHead::Unknown,
    }
}

fn is(header: &httparse::Header<'_>, name: &HeaderName) -> bool {
    header.name.eq_ignore_ascii_case(name.as_str())
}

fn requests_close(header: &httparse::Header<'_>) -> bool {
    let mut words = header.value.split(|byte| *byte == b',');
    is(header, &CONNECTION) && words.any(|word| word.trim_ascii().eq_ignore_ascii_case(b"close"))
}

/// Builds the request if it has no body and expects no interim response.
fn plain_request(parsed: &httparse::Request<'_, '_>) -> Option<Request<()>> {
    let expects = parsed.headers.iter().any(|header| is(header, &EXPECT));
    if expects || behind(parsed) != AfterHead::Body(0) {
        return None;
    }
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(header.value).ok()?);
    }
    let mut request = Request::new(());
    *request.method_mut() = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    *request.uri_mut() = parsed.path?.parse::<Uri>().ok()?;
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = headers;
    Some(request)
}
