//! TCP connections between processes of a group or tier. Each connection carries messages in one
//! direction, from the dialing to the accepting process.
//!
//! [`Links`] holds the outgoing connections of a loop, [`listen`] accepts the incoming ones; both
//! send a [`Report`] to the loop for each event. Both modes use this module.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use wagtailbeam_decision::name::Name;

use crate::event::Event;
use crate::socket;
use crate::wire::Error;
use crate::wire::Hello;
use crate::wire::IoSnafu;
use crate::wire::Key;
use crate::wire::NONCE_BYTES;
use crate::wire::Receiver;
use crate::wire::Result;
use crate::wire::Sender;

/// Capacity of the outgoing queue of one connection, in messages.
const QUEUE_CAPACITY: usize = 8_192;

/// Longest time to connect and complete the handshake as the dialing side.
const DIAL_TIMEOUT: Duration = Duration::from_millis(150);

/// Longest time to write one message before the connection is given up.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Longest time for a dialing process to complete the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// A message type that can be sent over a connection.
pub trait Payload: Serialize + DeserializeOwned + Send + Sync + 'static {}

impl<M: Serialize + DeserializeOwned + Send + Sync + 'static> Payload for M {}

/// Events that connections send to the loop.
#[derive(Debug)]
pub enum Report<M> {
    /// A message from the named host arrived.
    Message(Name, M),
    /// A connection from the named host was accepted.
    Connected(Name),
    /// A connection to or from the named host ended.
    Lost(Name),
    /// The named host refused a connection that was opened at this time, as no process listened
    /// there.
    Refused(Name, Instant),
    /// A queued message was dropped before any byte of it was sent.
    Unsent(Name, M),
    /// The connection to the named host at this address is closed; the loop must call
    /// [`Links::remove_closed`].
    Closed(Name, SocketAddr),
}

/// An outgoing connection and its queue.
struct Link<M> {
    address: SocketAddr,
    queue: mpsc::Sender<M>,
}

/// Outgoing connections by host.
pub struct Links<M> {
    own_host: Name,
    key: Key,
    reports: mpsc::Sender<Report<M>>,
    links: BTreeMap<Name, Link<M>>,
}

impl<M: Payload> Links<M> {
    /// Creates an empty set; connections are opened when the first message is sent.
    pub fn new(own_host: Name, key: Key, reports: mpsc::Sender<Report<M>>) -> Links<M> {
        Links {
            own_host,
            key,
            reports,
            links: BTreeMap::new(),
        }
    }

    /// Queues a message for `host`, and opens a connection if there is none to `address`. Returns
    /// the message if the queue is full or closed.
    pub fn send(&mut self, host: &Name, address: SocketAddr, message: M) -> Option<M> {
        let is_usable = |link: &Link<M>| link.address == address && !link.queue.is_closed();
        if !self.links.get(host).is_some_and(is_usable) {
            self.open(host, address);
        }
        let link = self.links.get(host)?;
        match link.queue.try_send(message) {
            Ok(()) => None,
            Err(mpsc::error::TrySendError::Full(message))
            | Err(mpsc::error::TrySendError::Closed(message)) => Some(message),
        }
    }

    /// Starts a task that connects, sends queued messages, and reports the end of the connection.
    fn open(&mut self, host: &Name, address: SocketAddr) {
        let (queue, messages) = mpsc::channel(QUEUE_CAPACITY);
        self.links.insert(host.clone(), Link { address, queue });
        let (own_host, key, reports) = (
            self.own_host.clone(),
            self.key.clone(),
            self.reports.clone(),
        );
        let host = host.clone();
        tokio::spawn(async move {
            let mut messages = messages;
            let dialed = Instant::now();
            let ending = run_link(&own_host, &key, address, &mut messages).await;
            messages.close();
            while let Some(message) = messages.recv().await {
                drop(reports.send(Report::Unsent(host.clone(), message)).await);
            }
            match ending {
                Ending::Lost => drop(reports.send(Report::Lost(host.clone())).await),
                Ending::Refused => {
                    drop(reports.send(Report::Refused(host.clone(), dialed)).await);
                }
                Ending::Unreachable => {}
            }
            drop(reports.send(Report::Closed(host, address)).await);
        });
    }

    /// Removes a closed connection, unless a newer one has taken its place.
    pub fn remove_closed(&mut self, host: &Name, address: SocketAddr) {
        let is_closed = |link: &Link<M>| link.address == address && link.queue.is_closed();
        if self.links.get(host).is_some_and(is_closed) {
            self.links.remove(host);
        }
    }
}

/// How a connection ended.
enum Ending {
    /// The open connection broke, or its queue was closed.
    Lost,
    /// The remote host refused the connection.
    Refused,
    /// The connection or handshake failed otherwise, or took too long.
    Unreachable,
}

/// Opens a connection and sends messages until the connection fails or the queue closes.
async fn run_link<M: Payload>(
    own_host: &Name,
    key: &Key,
    address: SocketAddr,
    messages: &mut mpsc::Receiver<M>,
) -> Ending {
    let (mut sender, mut read_half) =
        match timeout(DIAL_TIMEOUT, dial(own_host, key, address)).await {
            Ok(Ok(halves)) => halves,
            Ok(Err(Error::Io { source })) if source.kind() == ErrorKind::ConnectionRefused => {
                return Ending::Refused;
            }
            _ => return Ending::Unreachable,
        };
    let mut byte = [0];
    loop {
        tokio::select! {
            _ = read_half.read(&mut byte) => return Ending::Lost,
            message = messages.recv() => {
                let Some(message) = message else { return Ending::Lost };
                if !matches!(timeout(WRITE_TIMEOUT, sender.send(&message)).await, Ok(Ok(()))) {
                    return Ending::Lost;
                }
            }
        }
    }
}

/// Sending half of an outgoing connection, and its read half, which reports the remote close.
type Halves = (
    Sender<tokio::net::tcp::OwnedWriteHalf>,
    tokio::net::tcp::OwnedReadHalf,
);

/// Connects, exchanges nonces and sends the [`Hello`] frame.
async fn dial(own_host: &Name, key: &Key, address: SocketAddr) -> Result<Halves> {
    let stream = TcpStream::connect(address).await.context(IoSnafu)?;
    socket::tune(&stream).context(IoSnafu)?;
    let (mut read, mut write) = stream.into_split();
    let mut peer_nonce = [0; NONCE_BYTES];
    read.read_exact(&mut peer_nonce).await.context(IoSnafu)?;
    let own_nonce = rand::random::<[u8; NONCE_BYTES]>();
    write.write_all(&own_nonce).await.context(IoSnafu)?;
    let mut sender = Sender::new(write, key.session(&peer_nonce, &own_nonce));
    sender
        .send(&Hello {
            host: own_host.clone(),
        })
        .await?;
    Ok((sender, read))
}

/// Accepts connections until the loop ends. A connection that fails the handshake is logged and
/// closed.
pub async fn listen<M: Payload>(listener: TcpListener, key: Key, reports: mpsc::Sender<Report<M>>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = reports.closed() => return,
        };
        let Ok((stream, address)) = accepted else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let (key, reports) = (key.clone(), reports.clone());
        tokio::spawn(async move {
            match timeout(HANDSHAKE_TIMEOUT, accept_handshake(stream, &key)).await {
                Ok(Ok((host, receiver))) => receive(host, receiver, reports).await,
                Ok(Err(error)) => Event::PeerRefused.log(&format!("{address}: {error}")),
                Err(_) => Event::PeerRefused.log(&format!("{address}: silent")),
            }
        });
    }
}

/// Receives frames of an incoming connection.
type FrameReceiver = Receiver<tokio::net::tcp::OwnedReadHalf>;

/// An incoming connection. The write half stays open, so that the dialing side sees the
/// connection close when this process ends.
struct Inbound {
    receiver: FrameReceiver,
    _write: tokio::net::tcp::OwnedWriteHalf,
}

/// Exchanges nonces and reads the [`Hello`] frame; returns the dialing host.
async fn accept_handshake(stream: TcpStream, key: &Key) -> Result<(Name, Inbound)> {
    socket::tune(&stream).context(IoSnafu)?;
    let (mut read, mut write) = stream.into_split();
    let own_nonce = rand::random::<[u8; NONCE_BYTES]>();
    write.write_all(&own_nonce).await.context(IoSnafu)?;
    let mut peer_nonce = [0; NONCE_BYTES];
    read.read_exact(&mut peer_nonce).await.context(IoSnafu)?;
    let mut receiver = Receiver::new(read, key.session(&own_nonce, &peer_nonce));
    let hello: Hello = receiver.receive().await?;
    Ok((
        hello.host,
        Inbound {
            receiver,
            _write: write,
        },
    ))
}

/// Reports the messages of one incoming connection until it ends.
async fn receive<M: Payload>(host: Name, mut inbound: Inbound, reports: mpsc::Sender<Report<M>>) {
    if reports.send(Report::Connected(host.clone())).await.is_err() {
        return;
    }
    let cause = loop {
        let message = tokio::select! {
            message = inbound.receiver.receive() => message,
            () = reports.closed() => return,
        };
        match message {
            Ok(message) => {
                if reports
                    .send(Report::Message(host.clone(), message))
                    .await
                    .is_err()
                {
                    return;
                }
            }
            Err(error) => break error,
        }
    };
    Event::PeerLost.log(&format!("{host}: {cause}"));
    drop(reports.send(Report::Lost(host)).await);
}
