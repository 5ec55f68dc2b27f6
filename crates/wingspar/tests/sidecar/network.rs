//! Loopback addresses of a test's own.

use std::net::{SocketAddr, TcpListener};

/// A port that is held on a network of loopback addresses while a test uses it.
const CLAIM_PORT: u16 = 7599;
/// Two bytes of a network of loopback addresses that no other test uses, and what holds it.
pub fn claim_network(test: u8) -> (TcpListener, [u8; 2]) {
    let first = u64::from(std::process::id()) * 31 + u64::from(test);
    (first..first + 60_000)
        .map(|number| [(number / 240 % 240) as u8 + 10, (number % 240) as u8 + 10])
        .find_map(|[high, low]| {
            let claim = SocketAddr::from(([127, high, low, 250], CLAIM_PORT));
            Some((TcpListener::bind(claim).ok()?, [high, low]))
        })
        .expect("a free network")
}
