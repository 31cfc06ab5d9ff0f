//! Socket options that show a silent peer within seconds.

use std::io::Result;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Longest time for which sent bytes may stay unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle time after which a peer is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);

/// Time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which the connection is broken.
const KEEPALIVE_PROBES: u32 = 2;

/// Sends small writes at once, and breaks a connection whose peer is silent.
pub fn tune(stream: &TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
