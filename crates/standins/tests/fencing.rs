//! Fence floors over ranges agree with a plain table, and small writes are not delayed.

use quickcheck::quickcheck;
use salvo::conn::Acceptor;
use tokio::net::{TcpListener, TcpStream};
use wingspar_standins::backend::FenceFloors;
use wingspar_standins::net::{ConnectionSettings, StandInAcceptor};
use wingspar_world::{Fence, KeyHash, SliceRange};

/// Places on the ring that the plain table knows.
const PLACES: usize = 32;

/// Spreads the places over the whole ring, both ends included.
fn hash(place: usize) -> KeyHash {
    match place {
        0 => KeyHash(0),
        place if place == PLACES - 1 => KeyHash(u64::MAX),
        place => KeyHash((place as u64) << 58),
    }
}

fn range(one: u8, other: u8) -> (usize, usize) {
    let (one, other) = (usize::from(one) % PLACES, usize::from(other) % PLACES);
    (one.min(other), one.max(other))
}

quickcheck! {
    fn floors_agree_with_a_plain_table(raises: Vec<(u8, u8, u8)>) -> bool {
        let mut floors = FenceFloors::default();
        let mut table = [Fence::default(); PLACES];
        for (one, other, sequence) in raises {
            let (first, last) = range(one, other);
            let fence = Fence { generation: 1, sequence: u64::from(sequence % 8) };
            let slice = SliceRange { first: hash(first), last: hash(last) };
            floors.raise(slice, fence);
            for floor in &mut table[first..=last] {
                *floor = fence.max(*floor);
            }
            let highest = table[first..=last].iter().max().copied();
            if Some(floors.highest(slice)) != highest || floors.stretches() > 2 * PLACES {
                return false;
            }
        }
        (0..PLACES).all(|place| floors.floor(hash(place)) == table[place])
    }
}

#[tokio::test]
async fn accepted_sockets_have_nagles_delay_off() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let mut acceptor =
        StandInAcceptor::new(listener, ConnectionSettings::default()).expect("an acceptor");
    let _caller = TcpStream::connect(address).await.expect("connected");
    let accepted = acceptor.accept(None).await.expect("accepted");
    assert!(accepted.stream.nodelay().expect("a socket option"));
}
