//! Frames between daemons: postcard with a message authentication code.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use wagtailbeam_decision::message::Datagram;
use wagtailbeam_decision::name::Name;

/// Bytes of a message authentication code on the wire.
const MAC_BYTES: usize = 16;

/// Bytes of a frame's length on the wire.
const LENGTH_BYTES: usize = 4;

/// Largest frame, in bytes.
const FRAME_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Bytes of a nonce.
pub const NONCE_BYTES: usize = 16;

/// Context string of the key derivation, which also carries the wire version.
const KEY_CONTEXT: &str = "wagtailbeam 2026-12 peer wire 1";

/// Why a frame can't be sent or taken.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The connection failed.
    #[snafu(display("connection: {source}"))]
    Io {
        /// The cause.
        source: std::io::Error,
    },
    /// The frame is longer than allowed.
    #[snafu(display("frame of {size} bytes"))]
    Size {
        /// Its length in bytes.
        size: usize,
    },
    /// The sender doesn't have the shared key, or the frame was changed.
    #[snafu(display("wrong authentication code"))]
    Mac,
    /// The frame isn't what was expected.
    #[snafu(display("codec: {source}"))]
    Codec {
        /// The cause.
        source: postcard::Error,
    },
}

/// A frame, or why it can't be had.
pub type Result<T> = std::result::Result<T, Error>;

/// The key shared by all daemons, or by the two ends of one connection.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// The key of all daemons, from the bytes of its file.
    pub fn new(secret: &[u8]) -> Key {
        Key(blake3::derive_key(KEY_CONTEXT, secret))
    }

    /// The key of one connection, from the nonces of both ends.
    pub fn session(&self, acceptor: &[u8; NONCE_BYTES], dialer: &[u8; NONCE_BYTES]) -> Key {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(acceptor);
        hasher.update(dialer);
        Key(*hasher.finalize().as_bytes())
    }

    fn mac(&self, sequence: u64, payload: &[u8]) -> [u8; MAC_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&sequence.to_le_bytes());
        hasher.update(payload);
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&hasher.finalize().as_bytes()[..MAC_BYTES]);
        mac
    }

    fn verify(&self, sequence: u64, payload: &[u8], mac: &[u8]) -> Result<()> {
        let expected = self.mac(sequence, payload);
        let difference = expected
            .iter()
            .zip(mac)
            .fold(0, |bits, (a, b)| bits | (a ^ b));
        if difference != 0 || mac.len() != MAC_BYTES {
            return MacSnafu.fail();
        }
        Ok(())
    }
}

/// The first frame of a connection.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Host of the dialing daemon.
    pub host: Name,
}

/// The sending half of a connection.
pub struct Sender<W> {
    stream: W,
    key: Key,
    sequence: u64,
}

impl<W: AsyncWrite + Unpin> Sender<W> {
    /// A sender under a connection's key.
    pub fn new(stream: W, key: Key) -> Sender<W> {
        Sender {
            stream,
            key,
            sequence: 0,
        }
    }

    /// Writes one frame.
    pub async fn send<T: Serialize>(&mut self, value: &T) -> Result<()> {
        let payload = postcard::to_stdvec(value).context(CodecSnafu)?;
        if payload.len() > FRAME_MAX_BYTES {
            return SizeSnafu {
                size: payload.len(),
            }
            .fail();
        }
        let mut frame = Vec::with_capacity(LENGTH_BYTES + MAC_BYTES + payload.len());
        frame.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        frame.extend_from_slice(&self.key.mac(self.sequence, &payload));
        frame.extend_from_slice(&payload);
        self.sequence += 1;
        self.stream.write_all(&frame).await.context(IoSnafu)
    }
}

/// The receiving half of a connection.
pub struct Receiver<R> {
    stream: R,
    key: Key,
    sequence: u64,
}

impl<R: AsyncRead + Unpin> Receiver<R> {
    /// A receiver under a connection's key.
    pub fn new(stream: R, key: Key) -> Receiver<R> {
        Receiver {
            stream,
            key,
            sequence: 0,
        }
    }

    /// Reads one frame.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<T> {
        let mut header = [0; LENGTH_BYTES + MAC_BYTES];
        self.stream.read_exact(&mut header).await.context(IoSnafu)?;
        let (length, mac) = header.split_at(LENGTH_BYTES);
        let size = length
            .iter()
            .rev()
            .fold(0, |size, byte| size << 8 | usize::from(*byte));
        if size > FRAME_MAX_BYTES {
            return SizeSnafu { size }.fail();
        }
        let mut payload = vec![0; size];
        self.stream
            .read_exact(&mut payload)
            .await
            .context(IoSnafu)?;
        self.key.verify(self.sequence, &payload, mac)?;
        self.sequence += 1;
        postcard::from_bytes(&payload).context(CodecSnafu)
    }
}

/// A datagram with its sender, as it travels.
#[derive(Debug, Deserialize, Serialize)]
struct Packet {
    to: SocketAddr,
    datagram: Datagram,
}

/// Writes a datagram to be sent to `to`.
pub fn encode_datagram(key: &Key, to: SocketAddr, datagram: Datagram) -> Result<Vec<u8>> {
    let payload = postcard::to_stdvec(&Packet { to, datagram }).context(CodecSnafu)?;
    let mut bytes = key.mac(0, &payload).to_vec();
    bytes.extend_from_slice(&payload);
    Ok(bytes)
}

/// Reads a datagram.
pub fn decode_datagram(key: &Key, bytes: &[u8]) -> Result<Datagram> {
    let Some((mac, payload)) = bytes.split_at_checked(MAC_BYTES) else {
        return MacSnafu.fail();
    };
    key.verify(0, payload, mac)?;
    let packet: Packet = postcard::from_bytes(payload).context(CodecSnafu)?;
    Ok(packet.datagram)
}
