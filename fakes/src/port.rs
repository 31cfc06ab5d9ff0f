//! Local ports for fake servers and daemons.
//!
//! The ports are below the range that systems use for outgoing connections. A port
//! therefore stays free while a process restarts.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::ops::Range;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// Ports to choose from.
const PORTS: Range<u16> = 10_000..32_000;

/// Distance between the first ports that processes with consecutive identifiers try.
const PROCESS_STRIDE: u32 = 251;

/// Offset of the next port to try from the first port of this process.
static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Binds a port that is free for both TCP and UDP on the loopback address. The port stays
/// reserved while the returned sockets are open.
///
/// # Panics
///
/// If no port is free.
pub fn reserve() -> (SocketAddr, TcpListener, UdpSocket) {
    let count = u32::from(PORTS.end - PORTS.start);
    let first = std::process::id().wrapping_mul(PROCESS_STRIDE) % count;
    for _ in 0..count {
        let offset = u32::from(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + ((first + offset) % count) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let (tcp, udp) = (TcpListener::bind(address), UdpSocket::bind(address));
        if let (Ok(tcp), Ok(udp)) = (tcp, udp) {
            return (address, tcp, udp);
        }
    }
    panic!("no free port in {PORTS:?}");
}
