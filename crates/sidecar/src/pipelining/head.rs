//! Heads of requests, read only as far as needed to find the next one and to start it.
//!
//! The HTTP server reads each head again and decides what it means; what is read here never reaches a client.

use std::mem::MaybeUninit;

use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, Version};

/// Headers of one head; more of them make a head that isn't started ahead. The HTTP server takes as many.
const MOST_HEADERS: usize = 100;

/// Why some bytes have no whole head at their beginning.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoHead {
    /// More bytes are to come.
    Partial,
    /// They can't be read.
    Broken,
}

/// What follows a head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behind {
    /// A body of so many bytes, then another head.
    Body(u64),
    /// Nothing that can be told apart: a body without a length, another protocol, or the end of the connection.
    Unknown,
}

/// A head, and the request if nothing stands against starting it before its turn.
#[derive(Debug)]
pub struct Head {
    /// Its length in bytes, with the blank lines before it.
    pub length: usize,
    /// What follows it.
    pub behind: Behind,
    /// The request; nothing if it has a body, asks for more than an answer or can't be read.
    pub request: Option<Request<()>>,
}

/// Reads the head at the beginning of some bytes. The request in it is read only if `with_request`.
pub fn scan(bytes: &[u8], with_request: bool) -> Result<Head, NoHead> {
    let mut headers = [const { MaybeUninit::uninit() }; MOST_HEADERS];
    let mut parsed = httparse::Request::new(&mut []);
    let status = parsed
        .parse_with_uninit_headers(bytes, &mut headers)
        .map_err(|_| NoHead::Broken)?;
    let httparse::Status::Complete(length) = status else {
        return Err(NoHead::Partial);
    };
    Ok(Head {
        length,
        behind: behind(&parsed),
        request: with_request.then(|| plain_request(&parsed)).flatten(),
    })
}

fn behind(parsed: &httparse::Request<'_, '_>) -> Behind {
    let is_last = parsed.version != Some(1) || parsed.method == Some("CONNECT");
    let mut length = None;
    for header in parsed.headers.iter() {
        if is(header, &TRANSFER_ENCODING) || is(header, &UPGRADE) || says_close(header) {
            return Behind::Unknown;
        }
        if is(header, &CONTENT_LENGTH) {
            let told = std::str::from_utf8(header.value).ok();
            let told = told.and_then(|text| text.trim().parse::<u64>().ok());
            if told.is_none() || length.is_some_and(|length| Some(length) != told) {
                return Behind::Unknown;
            }
            length = told;
        }
    }
    if is_last {
        Behind::Unknown
    } else {
        Behind::Body(length.unwrap_or(0))
    }
}

fn is(header: &httparse::Header<'_>, name: &HeaderName) -> bool {
    header.name.eq_ignore_ascii_case(name.as_str())
}

fn says_close(header: &httparse::Header<'_>) -> bool {
    let mut words = header.value.split(|byte| *byte == b',');
    is(header, &CONNECTION) && words.any(|word| word.trim_ascii().eq_ignore_ascii_case(b"close"))
}

/// The request of a head that has no body and asks for nothing but an answer.
fn plain_request(parsed: &httparse::Request<'_, '_>) -> Option<Request<()>> {
    let expects = parsed.headers.iter().any(|header| is(header, &EXPECT));
    if expects || behind(parsed) != Behind::Body(0) {
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
