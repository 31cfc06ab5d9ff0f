//! Finds out whether the process of a server ended, after a connection to it broke.
//!
//! A broken connection alone says little: answers get lost and connections are reset while
//! the server goes on. A process that ended listens no more. But a host whose own links are cut
//! may find each server's port refused, so another server must accept a connection meanwhile.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use wagtailbeam_decision::uplink::Probe;

/// Time within which a server that runs accepts a connection; a call waits for the result.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Connections that a server may accept and close before it counts as running. A process that ends
/// rarely accepts more than one, while a cut link may close all of them.
const CLOSED_MAX: u32 = 3;

/// Time between the first two connections to a server whose port may be closing; it doubles each time,
/// so that a server behind a cut link gets few.
const RETRY_DELAY: Duration = Duration::from_millis(1);

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
    let started = Instant::now();
    let closed = closes_within(patience.duration(), || connect(address)).await;
    let ended = closed && are_links_sound(others).await;
    let took_ms = started.elapsed().as_millis();
    tracing::debug!(%address, ended, took_ms, "looked whether a server ended");
    ended
}

/// Whether new connections are refused within this time. One that is reset or closed may have met
/// a port that was just closing, so another is tried.
pub async fn closes_within<S, F>(time: Duration, connect: impl Fn() -> F) -> bool
where
    S: AsyncRead + Unpin,
    F: Future<Output = std::io::Result<S>>,
{
    let started = Instant::now();
    let mut delay = RETRY_DELAY;
    let mut closed = 0;
    loop {
        let left = time.saturating_sub(started.elapsed());
        match connect().await.map_err(|error| error.kind()) {
            Err(ErrorKind::ConnectionRefused) => return true,
            Err(ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted) => {}
            Err(_) => return false,
            Ok(stream) => {
                closed += 1;
                if stays_open(stream, left).await || closed == CLOSED_MAX {
                    return false;
                }
            }
        }
        if left.is_zero() {
            return false;
        }
        tokio::time::sleep(delay.min(left)).await;
        delay *= 2;
    }
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

/// Whether the server keeps a connection open for this time.
async fn stays_open<S: AsyncRead + Unpin>(mut stream: S, time: Duration) -> bool {
    let mut byte = [0];
    timeout(time, stream.read(&mut byte)).await.is_err()
}

/// Whether a server can be reached: accepts a connection and keeps it open for long enough.
pub async fn accepts(probe: Probe) -> bool {
    accepts_for(probe.server, Duration::from_micros(probe.open_for.as_us())).await
}

/// Starts a task that finds out whether a server can be reached and sends what `result` makes of it.
pub fn start<T: Send + 'static>(
    probe: Probe,
    results: mpsc::Sender<T>,
    result: impl FnOnce(bool) -> T + Send + 'static,
) {
    tokio::spawn(async move {
        let reachable = accepts(probe).await;
        if results.send(result(reachable)).await.is_err() {
            tracing::debug!(server = %probe.server, "result of a probe came after the stop");
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
