//! Receives a response body with an idle and a total timeout and a maximum length, and counts the bytes received, so that
//! a timeout can be explained.

use std::cell::Cell;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout_at};

use crate::body::BodyError;
use crate::connections::PooledBody;

/// Maximum length of a body. An object of the store and a page of a listing have about 1 MB at most; what other nodes
/// respond is shorter.
pub const MAX_LENGTH: usize = 4 * 1024 * 1024;

/// Timeouts for receiving a body. With a total timeout alone, every large response on a shared link would be aborted,
/// and each retry would load that link again.
#[derive(Debug, Clone, Copy)]
pub struct BodyTimeouts {
    /// Maximum time without any new bytes.
    pub idle: Duration,
    /// Maximum time for the complete body.
    pub whole: Duration,
}

/// Why a body wasn't received completely.
#[derive(Debug, thiserror::Error)]
pub enum ReceiveError {
    /// The next bytes didn't arrive in time. The value is the number of bytes received.
    #[error("timed out after {0} bytes of the response")]
    Late(usize),
    /// The body is longer than [`MAX_LENGTH`].
    #[error("the response has more than {MAX_LENGTH} bytes")]
    TooLong,
    /// The connection failed.
    #[error(transparent)]
    Broken(#[from] BodyError),
}

/// Reads the complete body. `received` is updated with the number of bytes so far.
pub async fn whole(
    mut body: PooledBody,
    timeouts: BodyTimeouts,
    received: &Cell<usize>,
) -> Result<Bytes, ReceiveError> {
    let ends_at = Instant::now() + timeouts.whole;
    let mut bytes = BytesMut::new();
    loop {
        let until = ends_at.min(Instant::now() + timeouts.idle);
        let frame = timeout_at(until, body.frame()).await;
        let Some(frame) = frame.map_err(|_| ReceiveError::Late(bytes.len()))? else {
            return Ok(bytes.freeze());
        };
        if let Ok(data) = frame?.into_data() {
            if data.len() > MAX_LENGTH - bytes.len() {
                return Err(ReceiveError::TooLong);
            }
            bytes.extend_from_slice(&data);
            received.set(bytes.len());
        }
    }
}
