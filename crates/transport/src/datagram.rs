//! Receiving datagrams: drain the socket, then rest for one interval.

use std::io::ErrorKind;
use std::sync::Arc;

use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use wingspar_wire::{Envelope, decode};

use crate::{Counters, Settings};

/// Largest datagram that is read whole; longer ones fail to decode.
const RECEIVE_BUFFER_BYTES: usize = 2_048;

/// Receives datagrams until the receiver of the queue is gone.
pub(crate) async fn receive(
    socket: Arc<UdpSocket>,
    queue: mpsc::Sender<Envelope>,
    settings: Settings,
    counters: Arc<Counters>,
) {
    let mut buffer = vec![0_u8; RECEIVE_BUFFER_BYTES];
    loop {
        tokio::select! {
            _ = socket.readable() => {}
            () = queue.closed() => return,
        }
        drain(&socket, &queue, &settings, &counters, &mut buffer);
        tokio::time::sleep(settings.drain_interval).await;
    }
}

fn drain(
    socket: &UdpSocket,
    queue: &mpsc::Sender<Envelope>,
    settings: &Settings,
    counters: &Counters,
    buffer: &mut [u8],
) {
    for _ in 0..settings.drain_limit {
        match socket.try_recv_from(buffer) {
            Ok((length, _)) => accept(&buffer[..length], queue, counters),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return,
            // A peer's closed port shows up here as a refused connection; it concerns that peer only.
            Err(_) => {}
        }
    }
}

fn accept(bytes: &[u8], queue: &mpsc::Sender<Envelope>, counters: &Counters) {
    Counters::add(&counters.datagrams_received, 1);
    Counters::add(&counters.bytes_received, bytes.len() as u64);
    let Ok(envelope) = decode(bytes) else {
        Counters::add(&counters.malformed, 1);
        return;
    };
    if queue.try_send(envelope).is_err() {
        Counters::add(&counters.dropped, 1);
    }
}
