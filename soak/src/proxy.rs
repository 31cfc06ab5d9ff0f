//! A TCP proxy between the entry hosts and one replica. It forwards, delays, stalls or
//! closes connections, depending on a mode that can change at any time.

use std::io::Result;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use wagtailbeam_fakes::locator::Locator;

/// What the proxy does with connections and the bytes on them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Forwards all bytes.
    #[default]
    Forward,
    /// Waits this long before it forwards each chunk of bytes.
    Delay(Duration),
    /// Forwards nothing; connections stay open.
    Stall,
    /// Forwards requests and holds back answers.
    StallAnswers,
    /// Closes open connections, and new ones as soon as they are accepted.
    Close,
}

/// How an entry host is cut off from all replicas.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cut {
    /// Its connections stay open and silent; new ones too.
    Hang,
    /// Its connections break; new ones are reset.
    Reset,
    /// Its connections go on; new ones are reset.
    Refuse,
}

/// Processes that are cut off from all replicas.
pub type Cuts = Arc<Vec<(u32, Cut)>>;

/// The cuts in effect, and how to find the one that applies to a connection.
#[derive(Clone)]
pub struct Links {
    /// Processes that are cut off.
    pub cuts: watch::Receiver<Cuts>,
    /// Finds the process of a connection.
    pub locator: Locator,
}

impl Links {
    /// The cut that applies now to the connection from `peer`, if any.
    async fn cut_of(&mut self, peer: SocketAddr) -> Option<Cut> {
        let known = self.cuts.borrow_and_update().clone();
        let pids = known.iter().map(|(pid, _)| *pid).collect();
        let opener = self.locator.opener(pids, peer).await?;
        let mut cuts = known.iter();
        cuts.find(|(pid, _)| *pid == opener).map(|(_, cut)| *cut)
    }
}

/// The direction of a byte stream: from the client to the server or back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    Request,
    Answer,
}

/// Starts a proxy to `target` on a free port of `bind_address`. Returns the address that
/// the proxy listens on, and the sender that sets its mode. While `down` is true, its
/// connections break and its port refuses new ones, like those of a process that ended. `links`
/// tells which processes are cut off.
pub async fn start(
    bind_address: SocketAddr,
    target: SocketAddr,
    down: watch::Receiver<bool>,
    links: Links,
) -> Result<(SocketAddr, watch::Sender<Mode>)> {
    let listener = TcpListener::bind(bind_address).await?;
    let address = listener.local_addr()?;
    let (sender, mode) = watch::channel(Mode::Forward);
    tokio::spawn(async move {
        let (mut listener, mut down) = (listener, down);
        loop {
            accept_until_down(listener, target, &mode, down.clone(), &links).await;
            if down.wait_for(|down| !*down).await.is_err() {
                return;
            }
            listener = match TcpListener::bind(address).await {
                Ok(listener) => listener,
                Err(error) => return eprintln!("proxy at {address}: {error}"),
            };
        }
    });
    Ok((address, sender))
}

/// Accepts connections until the replica's process ends; then closes the port.
async fn accept_until_down(
    listener: TcpListener,
    target: SocketAddr,
    mode: &watch::Receiver<Mode>,
    mut down: watch::Receiver<bool>,
    links: &Links,
) {
    let down_updates = down.clone();
    let accept = async {
        while let Ok((stream, peer)) = listener.accept().await {
            let (mode, mut down) = (mode.clone(), down_updates.clone());
            let relay = relay_unless_cut(stream, peer, target, mode, links.clone());
            tokio::spawn(async move {
                tokio::select! {
                    () = relay => {}
                    _ = down.wait_for(|down| *down) => {}
                }
            });
        }
    };
    tokio::select! {
        () = accept => {}
        _ = down.wait_for(|down| *down) => {}
    }
}

/// Relays a connection until it breaks because its process is cut off. One that hangs is held and
/// breaks when the cut ends.
async fn relay_unless_cut(
    stream: TcpStream,
    peer: SocketAddr,
    target: SocketAddr,
    mode: watch::Receiver<Mode>,
    mut links: Links,
) {
    let mut cut = links.cut_of(peer).await;
    if matches!(cut, Some(Cut::Reset | Cut::Refuse)) {
        return;
    }
    let mut relay = std::pin::pin!(relay(stream, target, mode));
    loop {
        match cut {
            Some(Cut::Reset) => return,
            Some(Cut::Hang) => {
                while cut.is_some() && links.cuts.changed().await.is_ok() {
                    cut = links.cut_of(peer).await;
                }
                return;
            }
            Some(Cut::Refuse) | None => {}
        }
        tokio::select! {
            () = &mut relay => return,
            changed = links.cuts.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
        cut = links.cut_of(peer).await;
    }
}

/// Connects to the target and forwards both directions until one ends or the mode becomes
/// [`Mode::Close`].
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

/// Copies bytes in one direction until either end closes.
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

/// Waits until the mode allows bytes in this direction, and for the delay of
/// [`Mode::Delay`]. Returns false if the mode's sender was dropped during the wait.
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
