//! Finds the end of a request body in chunks. The HTTP server decodes the chunks and rejects malformed ones.

/// A place within a body in chunks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    /// Before the size of a chunk.
    Start,
    /// In the digits of a chunk's size, which are this much so far.
    Size(u64),
    /// Behind the digits, in a line that ends before a chunk of this many bytes.
    SizeLine(u64),
    /// In a chunk of which this many bytes are left.
    Data(u64),
    /// In the line break behind a chunk.
    ChunkEnd,
    /// In the lines behind the last chunk; whether the current one is empty so far.
    Trailer { is_empty_line: bool },
}

/// What [`ChunkedBody::skip`] found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Skipped {
    /// All bytes belong to the body, which goes on.
    All,
    /// The body ends after this many bytes.
    Until(usize),
    /// The chunks are malformed.
    Broken,
}

/// A body in chunks of which a part has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChunkedBody {
    place: Place,
}

impl ChunkedBody {
    /// A body of which nothing has arrived.
    pub fn new() -> Self {
        Self {
            place: Place::Start,
        }
    }

    /// Skips the part of the body at the start of `bytes`.
    pub fn skip(&mut self, bytes: &[u8]) -> Skipped {
        let mut position = 0;
        while let Some(byte) = bytes.get(position) {
            position += match self.place {
                Place::Data(left) => {
                    let arrived = (bytes.len() - position) as u64;
                    let skipped = left.min(arrived);
                    self.place = match left - skipped {
                        0 => Place::ChunkEnd,
                        left => Place::Data(left),
                    };
                    usize::try_from(skipped).unwrap_or(usize::MAX)
                }
                Place::Trailer {
                    is_empty_line: true,
                } if *byte == b'\n' => return Skipped::Until(position + 1),
                place => {
                    let Some(next) = after_byte(place, *byte) else {
                        return Skipped::Broken;
                    };
                    self.place = next;
                    1
                }
            };
        }
        Skipped::All
    }
}

/// The place behind a byte of a line; `None` if a size is missing or too large.
fn after_byte(place: Place, byte: u8) -> Option<Place> {
    Some(match (place, byte) {
        (Place::Size(0) | Place::SizeLine(0), b'\n') => Place::Trailer {
            is_empty_line: true,
        },
        (Place::Size(size) | Place::SizeLine(size), b'\n') => Place::Data(size),
        (Place::Start, _) => Place::Size(digit(byte)?),
        (Place::Size(size), _) => match digit(byte) {
            Some(digit) => Place::Size(size.checked_mul(16)?.checked_add(digit)?),
            None => Place::SizeLine(size),
        },
        (Place::ChunkEnd, b'\n') => Place::Start,
        (Place::Trailer { .. }, b'\n') => Place::Trailer {
            is_empty_line: true,
        },
        (Place::Trailer { is_empty_line }, _) => Place::Trailer {
            is_empty_line: is_empty_line && byte == b'\r',
        },
        (place @ (Place::SizeLine(_) | Place::ChunkEnd | Place::Data(_)), _) => place,
    })
}

fn digit(byte: u8) -> Option<u64> {
    char::from(byte).to_digit(16).map(u64::from)
}
