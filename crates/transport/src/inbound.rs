//! Receiving streams: accept connections and read frames until they end or misbehave.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio_util::codec::FramedRead;
use wingspar_wire::{CodecError, Envelope, FrameCodec};

use crate::{Counters, Settings};

/// Rest after a failed accept, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts streams until the receiver of the queue is gone.
pub(crate) async fn accept(
    listener: TcpListener,
    queue: mpsc::Sender<Envelope>,
    settings: Settings,
    counters: Arc<Counters>,
) {
    let permits = Arc::new(Semaphore::new(settings.max_streams));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = queue.closed() => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            Counters::add(&counters.streams_refused, 1);
            continue;
        };
        let queue = queue.clone();
        let counters = counters.clone();
        let idle_timeout = settings.idle_timeout;
        tokio::spawn(async move {
            read_frames(stream, queue, idle_timeout, &counters).await;
            drop(permit);
        });
    }
}

async fn read_frames(
    stream: TcpStream,
    queue: mpsc::Sender<Envelope>,
    idle_timeout: Duration,
    counters: &Counters,
) {
    let mut frames = FramedRead::new(stream, FrameCodec::default());
    while let Ok(Some(frame)) = tokio::time::timeout(idle_timeout, frames.next()).await {
        match frame {
            Ok(envelope) => {
                Counters::add(&counters.frames_received, 1);
                if queue.send(envelope).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                count_error(&error, counters);
                return;
            }
        }
    }
}

fn count_error(error: &CodecError, counters: &Counters) {
    match error {
        CodecError::Malformed(_) | CodecError::Version(_) => {
            Counters::add(&counters.malformed, 1);
        }
        CodecError::TooLarge(_) => Counters::add(&counters.oversized, 1),
        // The length-delimited codec reports a frame over its limit as invalid data.
        CodecError::Io(error) if error.kind() == std::io::ErrorKind::InvalidData => {
            Counters::add(&counters.oversized, 1);
        }
        CodecError::Io(_) => Counters::add(&counters.streams_failed, 1),
    }
}
