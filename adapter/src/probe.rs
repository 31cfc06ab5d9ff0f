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
use tokio::time::timeout;

/// Time within which a server that runs accepts a connection; a call waits for the result.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which an accepted connection must stay open. A process that is just ending may
/// still accept one, and then resets it.
const OPEN_MIN: Duration = Duration::from_millis(4);

/// Whether no process listens at `address`, while one of the `others` accepts a connection. Without
/// an answer nothing is known of it, and it counts as running. If there are no others, the links
/// count as sound.
pub async fn has_ended(address: SocketAddr, others: &[SocketAddr]) -> bool {
    let refused = match connect(address).await {
        Ok(stream) => !stays_open(stream).await && is_refused(connect(address).await),
        refused => is_refused(refused),
    };
    refused && are_links_sound(others).await
}

/// Whether one of these servers accepts a connection, or there are none.
async fn are_links_sound(others: &[SocketAddr]) -> bool {
    for other in others {
        if accepts(*other).await {
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

/// Whether the server keeps a connection open for [`OPEN_MIN`].
async fn stays_open(mut stream: TcpStream) -> bool {
    let mut byte = [0];
    timeout(OPEN_MIN, stream.read(&mut byte)).await.is_err()
}

/// Whether a server accepts a connection and keeps it open.
pub async fn accepts(address: SocketAddr) -> bool {
    match connect(address).await {
        Ok(stream) => stays_open(stream).await,
        Err(_) => false,
    }
}
