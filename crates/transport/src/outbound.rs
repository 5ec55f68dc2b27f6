//! Sending streams: one task and one connection for each peer.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::SinkExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::FramedWrite;
use wingspar_wire::FrameCodec;

use crate::{Counters, Settings};

type Frames = FramedWrite<TcpStream, FrameCodec>;

/// Sends queued messages to one peer until the queue rests for the idle time.
///
/// A message that can't be sent in time is dropped with the connection; the next one opens another.
pub(crate) async fn send_to_peer(
    peer: SocketAddr,
    mut queue: mpsc::Receiver<Bytes>,
    settings: Settings,
    counters: Arc<Counters>,
) {
    let mut connection: Option<Frames> = None;
    while let Ok(Some(encoded)) = timeout(settings.idle_timeout, queue.recv()).await {
        let length = encoded.len() as u64;
        if connection.is_none() {
            connection = connect(peer, &settings).await;
        }
        let sent = match &mut connection {
            Some(frames) => write(frames, encoded, &settings).await,
            None => false,
        };
        if sent {
            Counters::add(&counters.frames_sent, 1);
            Counters::add(&counters.bytes_sent, length);
        } else {
            Counters::add(&counters.streams_failed, 1);
            connection = None;
        }
    }
}

async fn connect(peer: SocketAddr, settings: &Settings) -> Option<Frames> {
    let connecting = TcpStream::connect(peer);
    let stream = timeout(settings.stream_timeout, connecting)
        .await
        .ok()?
        .ok()?;
    stream.set_nodelay(true).ok()?;
    Some(FramedWrite::new(stream, FrameCodec::default()))
}

async fn write(frames: &mut Frames, encoded: Bytes, settings: &Settings) -> bool {
    let sending = frames.send(encoded);
    matches!(timeout(settings.stream_timeout, sending).await, Ok(Ok(())))
}
