//! CBOR codec with length-delimited frames and limits.

use std::io::Cursor;
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};
use wingspar_world::NodeId;

use crate::Message;

/// Largest message sent as one datagram, in bytes; fits an Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Largest accepted stream frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
/// Version of the protocol; other versions are refused.
const PROTOCOL_VERSION: u16 = 1;
/// Deepest nesting that the decoder follows.
const MAX_NESTING: usize = 32;

/// Why bytes are no message, or a message can't be sent.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The bytes are no well-formed message.
    #[error("malformed message: {0}")]
    Malformed(String),
    /// The sender speaks another version.
    #[error("protocol version {0} is not understood (this is version {PROTOCOL_VERSION})")]
    Version(u16),
    /// The frame is over the limit.
    #[error("frame of {0} bytes is over the limit of {MAX_FRAME_BYTES}")]
    TooLarge(usize),
    /// The stream failed.
    #[error("stream failed: {0}")]
    Io(#[from] std::io::Error),
}

/// A message with its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Protocol version.
    pub protocol: u16,
    /// The sending process.
    pub sender: NodeId,
    /// Where the sender receives internal messages.
    pub reply_to: SocketAddr,
    /// The message.
    pub message: Message,
}

impl Envelope {
    /// Wraps a message of this protocol version.
    pub fn new(sender: NodeId, reply_to: SocketAddr, message: Message) -> Self {
        Self {
            protocol: PROTOCOL_VERSION,
            sender,
            reply_to,
            message,
        }
    }
}

/// Encodes an envelope as CBOR.
pub fn encode(envelope: &Envelope) -> Result<Bytes, CodecError> {
    let mut buffer = Vec::with_capacity(256);
    ciborium::into_writer(envelope, &mut buffer)
        .map_err(|error| CodecError::Malformed(error.to_string()))?;
    if buffer.len() > MAX_FRAME_BYTES {
        return Err(CodecError::TooLarge(buffer.len()));
    }
    Ok(Bytes::from(buffer))
}

/// Decodes an envelope. Trailing bytes, other versions and deep nesting are errors.
pub fn decode(bytes: &[u8]) -> Result<Envelope, CodecError> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(CodecError::TooLarge(bytes.len()));
    }
    let mut cursor = Cursor::new(bytes);
    let envelope: Envelope =
        ciborium::de::from_reader_with_recursion_limit(&mut cursor, MAX_NESTING)
            .map_err(|error| CodecError::Malformed(error.to_string()))?;
    if cursor.position() != bytes.len() as u64 {
        return Err(CodecError::Malformed("trailing bytes".to_owned()));
    }
    if envelope.protocol != PROTOCOL_VERSION {
        return Err(CodecError::Version(envelope.protocol));
    }
    Ok(envelope)
}

/// Length-delimited frames of encoded envelopes, for streams.
#[derive(Debug)]
pub struct FrameCodec {
    frames: LengthDelimitedCodec,
}

impl Default for FrameCodec {
    fn default() -> Self {
        let frames = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self { frames }
    }
}

impl Decoder for FrameCodec {
    type Item = Envelope;
    type Error = CodecError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Envelope>, CodecError> {
        let Some(frame) = self.frames.decode(source)? else {
            return Ok(None);
        };
        decode(&frame).map(Some)
    }
}

impl Encoder<Bytes> for FrameCodec {
    type Error = CodecError;

    fn encode(&mut self, encoded: Bytes, target: &mut BytesMut) -> Result<(), CodecError> {
        self.frames.encode(encoded, target)?;
        Ok(())
    }
}
