//! Encoding of large values for other nodes: CBOR compressed with DEFLATE. A table of hundreds of nodes repeats
//! zones, services and name prefixes, and is sent to all of them at once.

use std::io::{BufReader, Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum length of a decompressed value, in bytes; a longer one is rejected as invalid.
const MAX_DECOMPRESSED_BYTES: u64 = 64 * 1024 * 1024;
/// Compression level of [`compress_smaller`]. The next higher levels save only 2% more of a complete configuration
/// and take a third longer.
const SMALLER_OUTPUT_LEVEL: Compression = Compression::new(3);

/// Encodes a value; empty if that fails.
pub fn compress(value: &impl Serialize) -> Bytes {
    compress_at(Compression::fast(), value)
}

/// Encodes a value that is sent to many nodes but rarely encoded. A complete configuration is a fifth to a quarter
/// smaller than with [`compress`], and takes three times as long to encode.
pub fn compress_smaller(value: &impl Serialize) -> Bytes {
    compress_at(SMALLER_OUTPUT_LEVEL, value)
}

fn compress_at(level: Compression, value: &impl Serialize) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), level);
    let mut cbor = Vec::new();
    if ciborium::into_writer(value, &mut cbor).is_err() {
        return Bytes::new();
    }
    let written = encoder.write_all(&cbor).and_then(|()| encoder.finish());
    written.map_or_else(|_| Bytes::new(), Bytes::from)
}

/// Decodes a value; `None` if the bytes are invalid.
pub fn decompress<Value: DeserializeOwned>(bytes: &[u8]) -> Option<Value> {
    // Decompressed as a stream, so that no more than the value is inflated and the inflated bytes are never held
    // beside it.
    let inflated = DeflateDecoder::new(bytes).take(MAX_DECOMPRESSED_BYTES);
    ciborium::from_reader(BufReader::new(inflated)).ok()
}
