//! Receives the body of an answer and counts what has come of it, so that one that is given up can be explained.

use std::cell::Cell;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;

use crate::body::BodyError;
use crate::connections::ConnectionBody;

/// All of a body. `received` counts its bytes as they come, also if the call is given up.
pub async fn whole(mut body: ConnectionBody, received: &Cell<usize>) -> Result<Bytes, BodyError> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            received.set(received.get() + data.len());
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.freeze())
}
