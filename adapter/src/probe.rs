//! Finds out whether the process of a server ended, after a connection to it broke.
//!
//! A broken connection alone says little: answers get lost and connections are reset while
//! the server goes on. A process that ended listens no more. But a host whose own links are cut
//! may find each server's port refused, so another server must accept a connection meanwhile.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Time within which a server that runs accepts a connection; a call waits for the result.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which a connection must stay open to show that a server can be reached. A device on the
/// way may accept connections and reset them a moment later.
const REACHABLE_MIN: Duration = Duration::from_millis(100);

/// How long a call waits for the end of a process whose port still accepts connections. A process
/// that is ending may accept some after its open ones broke, for longer on a busy host.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Patience {
    /// A few milliseconds, for callers with other servers at hand.
    #[default]
    Short,
    /// Long enough for a busy host, so that a request that ends servers is recognised before its
    /// caller can repeat it.
    Long,
}

impl Patience {
    fn duration(self) -> Duration {
        match self {
            Patience::Short => Duration::from_millis(4),
            Patience::Long => Duration::from_millis(80),
        }
    }
}

/// Whether no process listens at `address`, while one of the `others` accepts a connection. Without
/// an answer nothing is known of it, and it counts as running. If there are no others, the links
/// count as sound.
pub async fn has_ended(address: SocketAddr, others: &[SocketAddr], patience: Patience) -> bool {
    let refused = match connect(address).await {
        Ok(stream) => {
            !stays_open(stream, patience.duration()).await && is_refused(connect(address).await)
        }
        refused => is_refused(refused),
    };
    refused && are_links_sound(others).await
}

/// Whether one of these servers accepts a connection, or there are none.
async fn are_links_sound(others: &[SocketAddr]) -> bool {
    for other in others {
        if accepts_for(*other, Patience::Short.duration()).await {
            return true;
        }
    }
    others.is_empty()
}

async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await?
}

fn is_refused(connected: std::io::Result<TcpStream>) -> bool {
    connected.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
}

/// Whether the server keeps a connection open for this time.
async fn stays_open(mut stream: TcpStream, time: Duration) -> bool {
    let mut byte = [0];
    timeout(time, stream.read(&mut byte)).await.is_err()
}

/// Whether a server can be reached: accepts a connection and keeps it open for a while.
pub async fn accepts(address: SocketAddr) -> bool {
    accepts_for(address, REACHABLE_MIN).await
}

/// Starts a task that finds out whether a server can be reached and sends what `result` makes of it.
pub fn start<T: Send + 'static>(
    address: SocketAddr,
    results: mpsc::Sender<T>,
    result: impl FnOnce(bool) -> T + Send + 'static,
) {
    tokio::spawn(async move {
        let reachable = accepts(address).await;
        if results.send(result(reachable)).await.is_err() {
            tracing::debug!(%address, "result of a probe came after the stop");
        }
    });
}

/// Whether a server accepts a connection and keeps it open for this time.
async fn accepts_for(address: SocketAddr, time: Duration) -> bool {
    match connect(address).await {
        Ok(stream) => stays_open(stream, time).await,
        Err(_) => false,
    }
}
