//! Binding the sockets, and the sending half that the node's loop uses.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use wingspar_wire::{Channel, Envelope, MAX_DATAGRAM_BYTES, Message, encode};
use wingspar_world::NodeId;

use crate::{Counters, Settings, datagram, inbound, outbound};

/// Attempts to find a port that is free for both UDP and TCP when port 0 is asked for.
const BIND_ATTEMPTS: u32 = 16;

/// Received messages, in order of arrival.
pub type Inbound = mpsc::Receiver<Envelope>;

/// The bound sockets of one process.
#[derive(Debug)]
pub struct Transport {
    listener: TcpListener,
    socket: UdpSocket,
    address: SocketAddr,
    settings: Settings,
}

impl Transport {
    /// Binds UDP and TCP to the same address. Without address reuse, so that a bound port proves
    /// that no earlier process still holds it.
    ///
    /// Errors: those of the operating system, such as an address in use.
    pub async fn bind(address: SocketAddr, settings: Settings) -> io::Result<Self> {
        let mut attempt = 0;
        loop {
            attempt += 1;
            let listener = bind_listener(address)?;
            let bound = listener.local_addr()?;
            match UdpSocket::bind(bound).await {
                Ok(socket) => {
                    // A fresh socket counts as not writable until the runtime has polled it once;
                    // without this wait the first datagrams would be dropped.
                    socket.writable().await?;
                    return Ok(Self {
                        listener,
                        socket,
                        address: bound,
                        settings,
                    });
                }
                Err(error) if address.port() != 0 || attempt == BIND_ATTEMPTS => return Err(error),
                Err(_) => {}
            }
        }
    }

    /// The address that is bound.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Starts the receiving tasks. Messages are sent in the name of `node`.
    pub fn start(self, node: NodeId) -> (Sender, Inbound) {
        let counters = Arc::new(Counters::default());
        let (queue, messages) = mpsc::channel(self.settings.inbound_queue);
        let socket = Arc::new(self.socket);
        tokio::spawn(datagram::receive(
            socket.clone(),
            queue.clone(),
            self.settings.clone(),
            counters.clone(),
        ));
        tokio::spawn(inbound::accept(
            self.listener,
            queue,
            self.settings.clone(),
            counters.clone(),
        ));
        let sender = Sender {
            node,
            address: self.address,
            socket,
            peers: HashMap::new(),
            settings: self.settings,
            counters,
        };
        (sender, messages)
    }
}

/// Binds without `SO_REUSEADDR`'s sharing semantics for live sockets: on Linux the option lets a
/// port be bound again while old connections linger, but never beside another listener.
fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// The sending half. Never blocks: what can't be queued is dropped and counted.
#[derive(Debug)]
pub struct Sender {
    node: NodeId,
    address: SocketAddr,
    socket: Arc<UdpSocket>,
    peers: HashMap<SocketAddr, mpsc::Sender<Bytes>>,
    settings: Settings,
    counters: Arc<Counters>,
}

impl Sender {
    /// Sends a message by the channel that suits it.
    pub fn send(&mut self, to: SocketAddr, message: Message) {
        let channel = message.channel();
        let envelope = Envelope::new(self.node.clone(), self.address, message);
        let Ok(encoded) = encode(&envelope) else {
            Counters::add(&self.counters.oversized, 1);
            return;
        };
        if channel == Channel::Datagram && encoded.len() <= MAX_DATAGRAM_BYTES {
            self.send_datagram(to, &encoded);
        } else {
            self.send_stream(to, encoded);
        }
    }

    /// Counters shared with the receiving tasks.
    pub fn counters(&self) -> Arc<Counters> {
        self.counters.clone()
    }

    fn send_datagram(&self, to: SocketAddr, encoded: &[u8]) {
        match self.socket.try_send_to(encoded, to) {
            Ok(length) => {
                Counters::add(&self.counters.datagrams_sent, 1);
                Counters::add(&self.counters.bytes_sent, length as u64);
            }
            Err(_) => Counters::add(&self.counters.dropped, 1),
        }
    }

    fn send_stream(&mut self, to: SocketAddr, encoded: Bytes) {
        let queue = match self.peers.get(&to) {
            Some(queue) if !queue.is_closed() => queue,
            _ => self.open_peer(to),
        };
        if queue.try_send(encoded).is_err() {
            Counters::add(&self.counters.dropped, 1);
        }
    }

    fn open_peer(&mut self, to: SocketAddr) -> &mpsc::Sender<Bytes> {
        self.peers.retain(|_, queue| !queue.is_closed());
        let (queue, messages) = mpsc::channel(self.settings.stream_queue);
        tokio::spawn(outbound::send_to_peer(
            to,
            messages,
            self.settings.clone(),
            self.counters.clone(),
        ));
        self.peers.entry(to).or_insert(queue)
    }
}
