//! The transport over real loopback sockets: delivery by both channels, and bad input.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use wingspar_transport::{Inbound, Sender, Settings, Transport};
use wingspar_wire::{Envelope, MAX_FRAME_BYTES, Message, Pull, Replication, StateVersion};
use wingspar_world::{GroupId, Incarnation, MachineName, NodeId};

const PATIENCE: Duration = Duration::from_secs(20);

fn node(name: &str) -> NodeId {
    NodeId::new(MachineName::new(name).unwrap(), Incarnation(7))
}

async fn start(name: &str) -> (SocketAddr, Sender, Inbound) {
    let any_port = "127.0.0.1:0".parse().unwrap();
    let transport = Transport::bind(any_port, Settings::default())
        .await
        .unwrap();
    let address = transport.local_address();
    let (sender, inbound) = transport.start(node(name));
    (address, sender, inbound)
}

async fn next(inbound: &mut Inbound) -> Envelope {
    tokio::time::timeout(PATIENCE, inbound.recv())
        .await
        .unwrap()
        .unwrap()
}

fn replication(bytes: usize) -> Message {
    Message::Replication(Replication {
        group: GroupId(0),
        from: node("a"),
        payload: vec![7; bytes].into(),
    })
}

#[tokio::test]
async fn small_and_large_messages_arrive_with_their_sender() {
    let (a_address, mut a, _a_inbound) = start("a").await;
    let (b_address, _b, mut b_inbound) = start("b").await;
    let pull = Message::Pull(Pull::Table {
        have: StateVersion::default(),
    });

    a.send(b_address, pull.clone());
    let small = next(&mut b_inbound).await;
    a.send(b_address, replication(1_000_000));
    let large = next(&mut b_inbound).await;

    assert_eq!(
        (small.sender, small.reply_to, small.message),
        (node("a"), a_address, pull)
    );
    assert_eq!(large.message, replication(1_000_000));
    assert_eq!(a.counters().datagrams_sent.load(Ordering::Relaxed), 1);
    assert_eq!(a.counters().frames_sent.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn a_strangers_bytes_are_counted_and_lose_nothing() {
    let (address, receiver, mut inbound) = start("b").await;
    let stranger = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    stranger
        .send_to(b"GET / HTTP/1.1\r\n\r\n", address)
        .await
        .unwrap();

    let mut oversized = TcpStream::connect(address).await.unwrap();
    let length = u32::try_from(MAX_FRAME_BYTES + 1).unwrap();
    oversized.write_all(&length.to_be_bytes()).await.unwrap();
    assert_closed(&mut oversized).await;

    let mut garbage = TcpStream::connect(address).await.unwrap();
    garbage
        .write_all(&[0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff])
        .await
        .unwrap();
    assert_closed(&mut garbage).await;

    let (_, mut a, _keep) = start("a").await;
    a.send(address, replication(10_000));
    assert_eq!(next(&mut inbound).await.message, replication(10_000));
    let counters = receiver.counters();
    assert_eq!(counters.malformed.load(Ordering::Relaxed), 2);
    assert_eq!(counters.oversized.load(Ordering::Relaxed), 1);
}

async fn assert_closed(stream: &mut TcpStream) {
    let mut buffer = [0; 16];
    let read = tokio::time::timeout(PATIENCE, stream.read(&mut buffer))
        .await
        .unwrap();
    assert!(
        matches!(read, Ok(0) | Err(_)),
        "the connection was not closed: {read:?}"
    );
}

#[tokio::test]
async fn a_peer_that_returns_is_reached_again() {
    let (address, first, inbound) = start("b").await;
    let (_, mut a, _keep) = start("a").await;
    drop((first, inbound));
    a.send(address, replication(10_000));

    let mut bound = None;
    while bound.is_none() {
        tokio::time::sleep(Duration::from_millis(20)).await;
        bound = Transport::bind(address, Settings::default()).await.ok();
    }
    let (_second, mut inbound) = bound.unwrap().start(node("b"));
    let received = async {
        loop {
            a.send(address, replication(20_000));
            let wait = tokio::time::timeout(Duration::from_millis(100), inbound.recv());
            if let Ok(Some(envelope)) = wait.await {
                return envelope;
            }
        }
    };
    let envelope = tokio::time::timeout(PATIENCE, received).await.unwrap();
    assert_eq!(envelope.sender, node("a"));
}
