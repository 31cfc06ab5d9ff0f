//! A proxy between entry hosts and a replica: it delays, silences, cuts one way or
//! resets connections as told.

use std::io::Result;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

/// What happens to what passes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// It passes.
    #[default]
    Forward,
    /// It passes this much later.
    Delay(Duration),
    /// Nothing passes; connections stay open.
    Stall,
    /// Requests pass and answers don't.
    StallAnswers,
    /// Connections are closed at once.
    Close,
}

/// Which way bytes go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    Request,
    Answer,
}

/// Starts a proxy to `target` at a free port of the address `bind_address`; returns where it
/// listens, and what sets its mode.
pub async fn start(
    bind_address: SocketAddr,
    target: SocketAddr,
) -> Result<(SocketAddr, watch::Sender<Mode>)> {
    let listener = TcpListener::bind(bind_address).await?;
    let address = listener.local_addr()?;
    let (sender, mode) = watch::channel(Mode::Forward);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(relay(stream, target, mode.clone()));
        }
    });
    Ok((address, sender))
}

async fn relay(stream: TcpStream, target: SocketAddr, mut mode: watch::Receiver<Mode>) {
    if *mode.borrow() == Mode::Close {
        return;
    }
    let Ok(upstream) = TcpStream::connect(target).await else {
        return;
    };
    let (client_read, client_write) = stream.into_split();
    let (server_read, server_write) = upstream.into_split();
    let mode_updates = mode.clone();
    tokio::select! {
        () = forward(client_read, server_write, Direction::Request, mode_updates.clone()) => {}
        () = forward(server_read, client_write, Direction::Answer, mode_updates) => {}
        _ = mode.wait_for(|mode| *mode == Mode::Close) => {}
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    mut mode: watch::Receiver<Mode>,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 || !wait_until_allowed(direction, &mut mode).await {
            return;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

/// Waits until bytes may pass this way; false once the proxy is gone.
async fn wait_until_allowed(direction: Direction, mode: &mut watch::Receiver<Mode>) -> bool {
    let blocks = |mode: &Mode| match mode {
        Mode::Stall => true,
        Mode::StallAnswers => direction == Direction::Answer,
        Mode::Forward | Mode::Delay(_) | Mode::Close => false,
    };
    let Ok(current) = mode.wait_for(|mode| !blocks(mode)).await.map(|mode| *mode) else {
        return false;
    };
    if let Mode::Delay(delay) = current {
        tokio::time::sleep(delay).await;
    }
    true
}
