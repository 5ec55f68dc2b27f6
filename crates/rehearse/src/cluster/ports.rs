//! Free loopback ports, found before the processes that use them start.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

/// Attempts to find a port that is free for both TCP and UDP.
const ATTEMPTS: u32 = 32;

/// Any free port of the loopback address.
pub const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Finds `count` different loopback addresses whose ports are free for TCP and UDP now. Another
/// process may take one before it is used; then the process that wanted it fails to start.
///
/// # Errors
/// When no free port is found.
pub fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    // All are held until the last is found, so that none is found twice.
    let held = (0..count)
        .map(|_| hold_port())
        .collect::<io::Result<Vec<_>>>()?;
    held.iter()
        .map(|(listener, _)| listener.local_addr())
        .collect()
}

fn hold_port() -> io::Result<(TcpListener, UdpSocket)> {
    let mut attempt = 0;
    loop {
        attempt += 1;
        let listener = TcpListener::bind(ANY)?;
        match UdpSocket::bind(listener.local_addr()?) {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if attempt == ATTEMPTS => return Err(error),
            Err(_) => {}
        }
    }
}
