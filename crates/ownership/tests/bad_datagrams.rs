//! Malformed and unexpected datagrams are rejected and cause no panic.

use std::net::SocketAddr;
use std::time::Duration;

use quickcheck::quickcheck;
use wingspar_ownership::{
    Datagram, Epoch, Incarnation, LeaderReference, NodeContext, NodeIdentity, NodeName,
    Participant, Time, Timing,
};

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 7_000))
}

fn participant(now: Time) -> Participant {
    let identity = NodeIdentity {
        node: NodeName::from("node-1"),
        life: Incarnation(1),
        zone: "a".to_owned(),
        address: address(1),
    };
    Participant::new(identity, Timing::default(), true, now)
}

fn notice() -> Vec<u8> {
    let leader = LeaderReference {
        epoch: Epoch(3),
        node: NodeName::from("node-2"),
        life: Incarnation(2),
        address: address(2),
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&Datagram::Notice(leader, 7, 9), &mut bytes)
        .expect("notices can be encoded");
    bytes
}

/// Passes the datagram to a node if the bytes can be decoded.
fn decode_and_receive(bytes: &[u8]) {
    let Ok(datagram) = ciborium::from_reader::<Datagram, _>(bytes) else {
        return;
    };
    let now = Time(1_000_000);
    let mut node = participant(now);
    let context = NodeContext::default();
    let _actions = node.receive(now, &context, address(9), datagram);
    let _actions = node.tick(now + Duration::from_secs(5), &context);
}

quickcheck! {
    fn arbitrary_bytes_are_harmless(bytes: Vec<u8>) -> bool {
        decode_and_receive(&bytes);
        true
    }

    fn a_corrupted_notice_is_harmless(changes: Vec<(u8, u8)>) -> bool {
        let mut bytes = notice();
        for (place, value) in changes {
            let place = usize::from(place) % bytes.len();
            bytes[place] = value;
        }
        decode_and_receive(&bytes);
        true
    }
}

/// Guards against a datagram that exhausts the stack of its receiver: arrays, maps and tags that are nested deeply, alone
/// and in the place of each byte of a valid one.
#[test]
fn a_deeply_nested_datagram_is_rejected() {
    const LEVELS: usize = 60_000;
    const ARRAY_OF_ONE: u8 = 0x81;
    const MAP_OF_ONE: u8 = 0xa1;
    const TAG: u8 = 0xc1;
    const ENDLESS_ARRAY: u8 = 0x9f;
    let valid = notice();
    for level in [ARRAY_OF_ONE, MAP_OF_ONE, TAG, ENDLESS_ARRAY] {
        let nested = vec![level; LEVELS];
        assert!(ciborium::from_reader::<Datagram, _>(&*nested).is_err());
        for place in 0..valid.len() {
            let bytes = [&valid[..place], &nested].concat();
            decode_and_receive(&bytes);
        }
    }
}

/// Guards against numbers that are too large for what the receiver computes with them.
#[test]
fn a_notice_with_the_largest_numbers_is_harmless() {
    let largest = LeaderReference {
        epoch: Epoch(u64::MAX),
        node: NodeName::from("node-2"),
        life: Incarnation(u64::MAX),
        address: address(2),
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&Datagram::Notice(largest, u64::MAX, u64::MAX), &mut bytes)
        .expect("notices can be encoded");
    decode_and_receive(&bytes);
}
