//! Free ports that stay free while nobody listens on them.
//!
//! They lie below the range from which systems take the ports of outgoing
//! connections, so that a process that starts again finds its port free.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::ops::Range;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// Ports taken.
const PORTS: Range<u16> = 10_000..32_000;

/// Ports left between the first ports of two processes with following numbers.
const PROCESS_STRIDE: u32 = 251;

static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// A port free for TCP and UDP, with the sockets that hold it.
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
    panic!("no free port");
}
