//! A compact encoding of the headers that nodes add to requests and responses between each other.
//!
//! The names of these headers are longer than their values, and together longer than most requests. A node joins them
//! into one header for a node that has shown that it reads this encoding. A header without a letter, such as one
//! added by a later version, is sent as it is.

use http::{HeaderMap, HeaderName, HeaderValue};

/// The header that carries the joined values.
pub const COMPACT_HEADERS: HeaderName = HeaderName::from_static("wingspar-hop");

/// Single-letter codes of the headers. Other nodes may run other versions, so the meaning of a letter must never
/// change.
static HEADER_LETTERS: [(char, HeaderName); 11] = [
    ('s', HeaderName::from_static("wingspar-service")),
    ('l', HeaderName::from_static("wingspar-left-ms")),
    ('p', HeaderName::from_static("wingspar-patience-ms")),
    ('t', HeaderName::from_static("wingspar-transfer-ms")),
    ('d', HeaderName::from_static("wingspar-due-ms")),
    ('f', HeaderName::from_static("wingspar-fingerprint")),
    ('r', HeaderName::from_static("wingspar-priority")),
    ('o', HeaderName::from_static("wingspar-outcome")),
    ('u', HeaderName::from_static("wingspar-load")),
    ('b', HeaderName::from_static("wingspar-objective-ms")),
    ('n', HeaderName::from_static("wingspar-tenant-priority")),
];

/// Separates the values; a header whose value contains it is sent as it is.
const SEPARATOR: char = ';';

/// Joins all headers that have a letter into one.
pub fn compact(headers: &mut HeaderMap) {
    let mut joined = String::new();
    for (letter, name) in &HEADER_LETTERS {
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        let Some(value) = value.filter(|value| !value.contains(SEPARATOR)) else {
            continue;
        };
        if !joined.is_empty() {
            joined.push(SEPARATOR);
        }
        joined.push(*letter);
        joined.push_str(value);
        headers.remove(name);
    }
    // Always succeeds: joined header values are a valid header value.
    if let Ok(value) = HeaderValue::try_from(joined) {
        headers.insert(COMPACT_HEADERS, value);
    }
}

/// Restores the joined headers; returns whether there were any.
pub fn expand(headers: &mut HeaderMap) -> bool {
    let Some(joined) = headers.remove(COMPACT_HEADERS) else {
        return false;
    };
    let parts = joined.to_str().unwrap_or_default().split(SEPARATOR);
    for part in parts {
        let mut rest = part.chars();
        let letter = rest.next();
        let known = HEADER_LETTERS
            .iter()
            .find(|(known, _)| Some(*known) == letter);
        if let (Some((_, name)), Ok(value)) = (known, HeaderValue::from_str(rest.as_str())) {
            headers.insert(name.clone(), value);
        }
    }
    true
}
