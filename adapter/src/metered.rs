//! Bounds on what a peer may send: bytes without progress in a message, and all unfinished answers
//! together.

use std::io::Error;
use std::io::ErrorKind;
use std::io::Result;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use hyper::http::Extensions;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Most bytes of a head where little is read ahead; for an answer, interim answers included.
const HEAD_MAX_BYTES: usize = 512 * 1024;

/// Most bytes that the HTTP library reads ahead; also the longest head of a single answer.
pub const READ_AHEAD_MAX_BYTES: usize = 128 * 1024;

/// Most bytes of a body beyond its data, as a multiple of what is read ahead.
const FRAMING_READS: usize = 3;

/// Bytes that each byte of data allows again: one of its own, and those around a chunk of one byte.
const BYTES_PER_DATA: usize = 8;

/// Bytes that a connection may read before its task gives way to others.
const TURN_MAX_BYTES: usize = 64 * 1024;

/// Bytes that a connection may still read without progress in its message.
#[derive(Clone, Debug)]
pub struct Meter(Arc<Allowance>);

#[derive(Debug)]
struct Allowance {
    left: AtomicUsize,
    /// Most bytes that the HTTP library reads ahead.
    ahead: usize,
}

impl Default for Meter {
    fn default() -> Meter {
        Meter::new(READ_AHEAD_MAX_BYTES)
    }
}

impl Meter {
    /// A meter of a connection on which up to `ahead` bytes are read ahead. Expects a head.
    pub fn new(ahead: usize) -> Meter {
        let left = AtomicUsize::default();
        let meter = Meter(Arc::new(Allowance { left, ahead }));
        meter.expect_head();
        meter
    }

    /// The meter of the connection on which a request came, from the request's extensions.
    pub fn of(extensions: &Extensions) -> Meter {
        extensions.get::<Meter>().cloned().unwrap_or_default()
    }

    /// Bounds the next head.
    pub fn expect_head(&self) {
        let max = HEAD_MAX_BYTES.max(self.framing_max());
        self.0.left.store(max, Ordering::Relaxed);
    }

    /// Bounds what is no data in the body that begins: lengths of chunks, extensions and trailers.
    pub fn expect_body(&self) {
        self.0.left.store(self.framing_max(), Ordering::Relaxed);
    }

    /// Records data of the body, which is progress.
    pub fn record_data(&self, bytes: usize) {
        let left = self.0.left.load(Ordering::Relaxed);
        let left = left.saturating_add(bytes.saturating_mul(BYTES_PER_DATA));
        self.0
            .left
            .store(left.min(self.framing_max()), Ordering::Relaxed);
    }

    /// Records bytes that were read. Returns whether they are within the bound.
    fn record_read(&self, bytes: usize) -> bool {
        let left = self.0.left.load(Ordering::Relaxed).checked_sub(bytes);
        self.0.left.store(left.unwrap_or(0), Ordering::Relaxed);
        left.is_some()
    }

    fn framing_max(&self) -> usize {
        self.0.ahead.saturating_mul(FRAMING_READS)
    }
}

/// A connection that fails once it has read more than its [`Meter`] allows, and whose task gives way
/// to others again and again while bytes come in without end.
#[derive(Debug)]
pub struct Metered<S> {
    stream: S,
    meter: Meter,
    /// Bytes read since the task last gave way.
    turn_bytes: usize,
}

impl<S> Metered<S> {
    /// Bounds a connection.
    pub fn new(stream: S, meter: Meter) -> Metered<S> {
        Metered {
            stream,
            meter,
            turn_bytes: 0,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        if self.turn_bytes >= TURN_MAX_BYTES {
            self.turn_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let count = buffer.filled().len() - before;
        self.turn_bytes = match read {
            Poll::Ready(_) => self.turn_bytes + count,
            Poll::Pending => 0,
        };
        if !self.meter.record_read(count) {
            let error = Error::new(ErrorKind::InvalidData, "too many bytes without progress");
            return Poll::Ready(Err(error));
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Bytes that the unfinished answers of all calls may take together.
#[derive(Clone, Debug)]
pub struct Buffer {
    used: Arc<AtomicUsize>,
    max: usize,
}

/// Bytes that one answer takes, given back when it is dropped.
#[derive(Debug)]
pub struct Reserved {
    buffer: Buffer,
    bytes: usize,
}

impl Buffer {
    /// A buffer of at most `max` bytes.
    pub fn new(max: usize) -> Buffer {
        Buffer {
            used: Arc::default(),
            max,
        }
    }

    /// Bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Nothing, for an answer that begins.
    pub fn reserve(&self) -> Reserved {
        Reserved {
            buffer: self.clone(),
            bytes: 0,
        }
    }
}

impl Reserved {
    /// Takes more bytes. Returns whether they are within the limit.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let used = self.buffer.used.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.bytes += bytes;
        used <= self.buffer.max
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        self.buffer.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
