//! Answers whose every byte can be checked: the request id, line after line.

use std::io;

use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream};
use salvo::Response;
use salvo::http::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue};
use salvo::http::{ResBody, StatusCode};
use tokio::sync::OwnedSemaphorePermit;
use wingspar_wire::headers;

use super::terms::RequestTerms;

/// Size of one piece of a streamed answer, in bytes.
const CHUNK_BYTES: u64 = 16 * 1024;

/// The bytes of an answer: a line with the request id, repeated and cut to the length asked for.
#[derive(Debug, Clone)]
pub struct AnswerPattern {
    line: Vec<u8>,
}

impl AnswerPattern {
    /// The pattern of a request.
    #[must_use]
    pub fn new(request_id: &str) -> Self {
        Self {
            line: format!("{request_id}\n").into_bytes(),
        }
    }

    /// The bytes from `offset` on.
    #[must_use]
    pub fn bytes(&self, offset: u64, length: u64) -> Bytes {
        let line_length = self.line.len() as u64;
        let skip = usize::try_from(offset % line_length).unwrap_or(0);
        let take = usize::try_from(length).unwrap_or(usize::MAX);
        self.line
            .iter()
            .copied()
            .cycle()
            .skip(skip)
            .take(take)
            .collect()
    }

    /// Whether `body` is the whole answer of `length` bytes, and this request's.
    #[must_use]
    pub fn matches(&self, body: &[u8], length: u64) -> bool {
        body.len() as u64 == length && self.bytes(0, length) == body
    }
}

/// Writes the answer to a request that ran. A long answer keeps the slot until it was sent.
pub(super) fn render(
    response: &mut Response,
    terms: &RequestTerms,
    server: &str,
    truncate: bool,
    slot: OwnedSemaphorePermit,
) {
    let status = terms
        .answer
        .status
        .and_then(|code| StatusCode::from_u16(code).ok());
    response.status_code(status.unwrap_or(StatusCode::OK));
    set_header(response, headers::OUTCOME, "ran");
    set_header(response, headers::REQUEST_ID, &terms.request_id);
    let pattern = AnswerPattern::new(&terms.request_id);
    match terms.answer.bytes {
        Some(length) => render_pattern(response, terms, pattern, length, truncate, slot),
        None => render_report(response, terms, server, truncate, slot),
    }
}

/// Sets a header, leaving out a value that can't stand in one.
pub(super) fn set_header(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

fn render_report(
    response: &mut Response,
    terms: &RequestTerms,
    server: &str,
    truncate: bool,
    slot: OwnedSemaphorePermit,
) {
    let report = serde_json::json!({
        "server": server,
        "service": terms.service,
        "request_id": terms.request_id,
        "key_hash": terms.keyed.map(|keyed| keyed.key.to_string()),
        "fence": terms.keyed.map(|keyed| keyed.grant.fence.to_string()),
    });
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    let bytes = Bytes::from(report.to_string());
    if !truncate {
        response.body(bytes);
        return;
    }
    set_length(response, bytes.len() as u64);
    let half = bytes.slice(..bytes.len() / 2);
    let pieces = stream::iter([Ok(half)]).chain(break_off());
    response.body(ResBody::stream(holding_slot(pieces, slot)));
}

fn render_pattern(
    response: &mut Response,
    terms: &RequestTerms,
    pattern: AnswerPattern,
    length: u64,
    truncate: bool,
    slot: OwnedSemaphorePermit,
) {
    let text = HeaderValue::from_static("text/plain");
    response.headers_mut().insert(CONTENT_TYPE, text);
    let streamed = terms.answer.chunked || truncate || length > CHUNK_BYTES;
    if !streamed {
        response.body(pattern.bytes(0, length));
        return;
    }
    if !terms.answer.chunked {
        set_length(response, length);
    }
    let end = if truncate { length / 2 } else { length };
    let offsets = (0..end).step_by(usize::try_from(CHUNK_BYTES).unwrap_or(usize::MAX));
    let chunk = move |offset| Ok(pattern.bytes(offset, CHUNK_BYTES.min(end - offset)));
    let pieces = stream::iter(offsets.map(chunk));
    if truncate {
        response.body(ResBody::stream(holding_slot(
            pieces.chain(break_off()),
            slot,
        )));
    } else {
        response.body(ResBody::stream(holding_slot(pieces, slot)));
    }
}

/// Passes a stream through and lets the slot go when the stream ends or is dropped.
fn holding_slot<S>(
    pieces: S,
    slot: OwnedSemaphorePermit,
) -> impl Stream<Item = Result<Bytes, io::Error>> + Send + 'static
where
    S: Stream<Item = Result<Bytes, io::Error>> + Send + 'static,
{
    pieces.inspect(move |_| {
        let _held_until_the_stream_is_dropped = &slot;
    })
}

fn set_length(response: &mut Response, length: u64) {
    response
        .headers_mut()
        .insert(CONTENT_LENGTH, HeaderValue::from(length));
}

/// Ends a body with an error. The pause before lets the server send what it has so far; otherwise it
/// would cut the connection with the head of the answer still in its buffer.
fn break_off() -> impl Stream<Item = Result<Bytes, io::Error>> + Send + 'static {
    stream::once(async {
        tokio::task::yield_now().await;
        Err(io::Error::other("the answer breaks off on purpose"))
    })
}
