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
    Open,
    /// It passes this much later.
    Late(Duration),
    /// Nothing passes; connections stay open.
    Silent,
    /// Requests pass and answers don't.
    OneWay,
    /// Connections are closed at once.
    Reset,
}

/// Which way bytes go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    In,
    Out,
}

/// Starts a proxy to `target` at a free port of the address `at`; returns where it
/// listens, and what sets its mode.
pub async fn start(
    at: SocketAddr,
    target: SocketAddr,
) -> Result<(SocketAddr, watch::Sender<Mode>)> {
    let listener = TcpListener::bind(at).await?;
    let address = listener.local_addr()?;
    let (sender, mode) = watch::channel(Mode::Open);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(join(stream, target, mode.clone()));
        }
    });
    Ok((address, sender))
}

async fn join(stream: TcpStream, target: SocketAddr, mut mode: watch::Receiver<Mode>) {
    if *mode.borrow() == Mode::Reset {
        return;
    }
    let Ok(other) = TcpStream::connect(target).await else {
        return;
    };
    let (near_in, near_out) = stream.into_split();
    let (far_in, far_out) = other.into_split();
    let modes = mode.clone();
    tokio::select! {
        () = carry(near_in, far_out, Way::In, modes.clone()) => {}
        () = carry(far_in, near_out, Way::Out, modes) => {}
        _ = mode.wait_for(|mode| *mode == Mode::Reset) => {}
    }
}

async fn carry(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    way: Way,
    mut mode: watch::Receiver<Mode>,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 || !pass(way, &mut mode).await {
            return;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

/// Waits until bytes may pass this way; false once the proxy is gone.
async fn pass(way: Way, mode: &mut watch::Receiver<Mode>) -> bool {
    let blocks = |mode: &Mode| match mode {
        Mode::Silent => true,
        Mode::OneWay => way == Way::Out,
        Mode::Open | Mode::Late(_) | Mode::Reset => false,
    };
    let Ok(now) = mode.wait_for(|mode| !blocks(mode)).await.map(|mode| *mode) else {
        return false;
    };
    if let Mode::Late(by) = now {
        tokio::time::sleep(by).await;
    }
    true
}
