//! Encoding of messages between processes: frames over TCP and datagrams over UDP, in postcard
//! form with a message authentication code (keyed BLAKE3, cut to 16 bytes).
//!
//! A frame is a 4-byte little-endian length, the code and the payload. The code covers the
//! sequence number of the frame on its connection, so that frames can't be replayed or
//! reordered. Datagrams use the sequence number zero. [`crate::peer`] sends and receives frames.

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

/// Size of a message authentication code on the wire, in bytes.
const MAC_BYTES: usize = 16;

/// Size of a frame's length field on the wire, in bytes.
const LENGTH_BYTES: usize = 4;

/// Largest payload of a frame, in bytes.
const FRAME_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Size of a nonce, in bytes.
pub const NONCE_BYTES: usize = 16;

/// Context string of the key derivation. It ends with the version of the wire format, so peers
/// of different versions reject each other's frames.
const KEY_CONTEXT: &str = "wagtailbeam 2026-12 peer wire 1";

/// Why a frame or datagram can't be sent or received.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The connection failed.
    #[snafu(display("connection: {source}"))]
    Io {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The payload is longer than allowed.
    #[snafu(display("frame of {size} bytes"))]
    Size {
        /// Length of the payload in bytes.
        size: usize,
    },
    /// The message authentication code is wrong: the sender doesn't have the shared key, or the
    /// data was altered.
    #[snafu(display("wrong authentication code"))]
    Mac,
    /// The payload can't be encoded, or can't be decoded as the expected type.
    #[snafu(display("codec: {source}"))]
    Codec {
        /// Error of postcard.
        source: postcard::Error,
    },
}

/// Result of sending or receiving.
pub type Result<T> = std::result::Result<T, Error>;

/// A key for authentication codes: of the whole group, or of one connection.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Derives the group's key from the contents of the key file.
    pub fn new(secret: &[u8]) -> Key {
        Key(blake3::derive_key(KEY_CONTEXT, secret))
    }

    /// Derives the key of one connection from the nonces of both ends.
    pub fn session(&self, acceptor: &[u8; NONCE_BYTES], dialer: &[u8; NONCE_BYTES]) -> Key {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(acceptor);
        hasher.update(dialer);
        Key(*hasher.finalize().as_bytes())
    }

    /// The authentication code of a payload with its sequence number.
    fn mac(&self, sequence: u64, payload: &[u8]) -> [u8; MAC_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&sequence.to_le_bytes());
        hasher.update(payload);
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&hasher.finalize().as_bytes()[..MAC_BYTES]);
        mac
    }

    /// Compares all bytes of the code without an early exit.
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

/// The first frame of a connection, sent by the dialing side.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Host of the dialing process.
    pub host: Name,
}

/// The sending half of a connection.
pub struct Sender<W> {
    stream: W,
    key: Key,
    sequence: u64,
}

impl<W: AsyncWrite + Unpin> Sender<W> {
    /// Creates a sender with the key of its connection.
    pub fn new(stream: W, key: Key) -> Sender<W> {
        Sender {
            stream,
            key,
            sequence: 0,
        }
    }

    /// Encodes and writes one frame.
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
    /// Creates a receiver with the key of its connection.
    pub fn new(stream: R, key: Key) -> Receiver<R> {
        Receiver {
            stream,
            key,
            sequence: 0,
        }
    }

    /// Reads, verifies and decodes one frame.
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

/// The payload of a datagram on the wire: its destination address and content.
#[derive(Debug, Deserialize, Serialize)]
struct Packet {
    to: SocketAddr,
    datagram: Datagram,
}

/// Encodes a datagram to be sent to `to`: the authentication code, then the payload.
pub fn encode_datagram(key: &Key, to: SocketAddr, datagram: Datagram) -> Result<Vec<u8>> {
    let payload = postcard::to_stdvec(&Packet { to, datagram }).context(CodecSnafu)?;
    let mut bytes = key.mac(0, &payload).to_vec();
    bytes.extend_from_slice(&payload);
    Ok(bytes)
}

/// Verifies and decodes a datagram.
pub fn decode_datagram(key: &Key, bytes: &[u8]) -> Result<Datagram> {
    let Some((mac, payload)) = bytes.split_at_checked(MAC_BYTES) else {
        return MacSnafu.fail();
    };
    key.verify(0, payload, mac)?;
    let packet: Packet = postcard::from_bytes(payload).context(CodecSnafu)?;
    Ok(packet.datagram)
}
