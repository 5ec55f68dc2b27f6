//! Parts of bounded size in which remembered requests travel.

use wingspar_wire::{RememberedOutcome, RememberedRequest};

/// Estimated encoded size at which a part is closed, in bytes.
const PART_BYTES: usize = 400 * 1024;
/// Estimated encoded size of a request without content type and body, in bytes.
const REQUEST_BYTES: usize = 96;

/// Cuts requests into parts of bounded size; at least one part.
pub(crate) fn cut(requests: Vec<RememberedRequest>) -> Vec<Vec<RememberedRequest>> {
    let mut chunks = vec![Vec::new()];
    let mut size = 0;
    for request in requests {
        let bytes = estimated_bytes(&request);
        if size + bytes > PART_BYTES && size > 0 {
            chunks.push(Vec::new());
            size = 0;
        }
        size += bytes;
        if let Some(chunk) = chunks.last_mut() {
            chunk.push(request);
        }
    }
    chunks
}

fn estimated_bytes(request: &RememberedRequest) -> usize {
    match &request.outcome {
        RememberedOutcome::Ran {
            content_type, body, ..
        } => {
            let kind = content_type.as_ref().map_or(0, String::len);
            let body = body.as_ref().map_or(0, bytes::Bytes::len);
            // Byte strings may be written as arrays of numbers, two bytes for most of them.
            REQUEST_BYTES + kind + 2 * body
        }
        RememberedOutcome::Unknown => REQUEST_BYTES,
    }
}
