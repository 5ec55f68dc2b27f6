//! Finding the key in a request's path.

use std::borrow::Cow;

use crate::resolver::Rejection;

/// Placeholder of the key in a template.
const KEY_PLACEHOLDER: &str = "{key}";

/// A parsed template such as `/stock/{key}/price`.
///
/// It matches every path that begins with its segments, so `/stock/{key}` finds the key of
/// `/stock/rosa/price` too.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PathTemplate {
    before: Vec<String>,
    after: Vec<String>,
}

impl PathTemplate {
    /// Parses a template; `None` when it has no `{key}` segment or more than one.
    pub(crate) fn parse(template: &str) -> Option<Self> {
        let segments: Vec<&str> = template.strip_prefix('/')?.split('/').collect();
        let position = segments.iter().position(|one| *one == KEY_PLACEHOLDER)?;
        let owned = |part: &[&str]| part.iter().map(|&one| one.to_owned()).collect::<Vec<_>>();
        let after = owned(&segments[position + 1..]);
        if after.iter().any(|one| one == KEY_PLACEHOLDER) {
            return None;
        }
        Some(Self {
            before: owned(&segments[..position]),
            after,
        })
    }

    /// The key in `path`, with percent-encoding undone so that both spellings of one key have one
    /// owner.
    pub(crate) fn key<'a>(&self, path: &'a str) -> Result<Cow<'a, [u8]>, Rejection> {
        // A back end that resolves dot segments would see another key than the router.
        if path.split('/').any(is_dot_segment) {
            return Err(Rejection::DotSegment);
        }
        let mut segments = path.strip_prefix('/').unwrap_or(path).split('/');
        let matches = |(expected, found): (&String, Option<&str>)| found == Some(expected.as_str());
        let mut prefix = self.before.iter();
        if !prefix.all(|expected| matches((expected, segments.next()))) {
            return Err(Rejection::MissingKey);
        }
        let key = segments.next().filter(|segment| !segment.is_empty());
        let key = key.ok_or(Rejection::MissingKey)?;
        let mut suffix = self.after.iter();
        if !suffix.all(|expected| matches((expected, segments.next()))) {
            return Err(Rejection::MissingKey);
        }
        percent_decode(key)
    }
}

fn is_dot_segment(segment: &str) -> bool {
    if segment.len() > 6 || !segment.contains(['.', '%']) {
        return false;
    }
    let plain = segment.replace("%2e", ".").replace("%2E", ".");
    plain == "." || plain == ".."
}

fn percent_decode(segment: &str) -> Result<Cow<'_, [u8]>, Rejection> {
    if !segment.contains('%') {
        return Ok(Cow::Borrowed(segment.as_bytes()));
    }
    let bytes = segment.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        if bytes[index] != b'%' {
            decoded.push(bytes[index]);
            index += 1;
            continue;
        }
        let digits = bytes.get(index + 1..index + 3);
        let value = digits.and_then(hexadecimal).ok_or(Rejection::BadKey)?;
        decoded.push(value);
        index += 3;
    }
    Ok(Cow::Owned(decoded))
}

fn hexadecimal(digits: &[u8]) -> Option<u8> {
    let digit = |byte: u8| (byte as char).to_digit(16);
    let value = digit(digits[0])? * 16 + digit(digits[1])?;
    u8::try_from(value).ok()
}
