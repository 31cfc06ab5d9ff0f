//! Bounds on what a server may send: the head of an answer, and all unfinished answers together.

use std::io::Error;
use std::io::ErrorKind;
use std::io::Result;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Most bytes from the start of a call to the end of its answer's head, interim answers included.
const HEAD_MAX_BYTES: usize = 512 * 1024;

/// Bytes that a connection may still read.
#[derive(Clone, Debug)]
pub struct Meter(Arc<AtomicUsize>);

impl Default for Meter {
    fn default() -> Meter {
        Meter(Arc::new(AtomicUsize::new(HEAD_MAX_BYTES)))
    }
}

impl Meter {
    /// Bounds the head of the next answer.
    pub fn expect_head(&self) {
        self.0.store(HEAD_MAX_BYTES, Ordering::Relaxed);
    }

    /// Ends the bound: the head is complete, and the reader of the body has one of its own.
    pub fn expect_body(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }
}

/// A connection that fails once it has read more than its [`Meter`] allows.
#[derive(Debug)]
pub struct Metered<S> {
    stream: S,
    meter: Meter,
}

impl<S> Metered<S> {
    /// Bounds a connection.
    pub fn new(stream: S, meter: Meter) -> Metered<S> {
        Metered { stream, meter }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let count = buffer.filled().len() - before;
        let left = self.meter.0.load(Ordering::Relaxed);
        if left == usize::MAX {
            return read;
        }
        let Some(left) = left.checked_sub(count) else {
            let error = Error::new(ErrorKind::InvalidData, "the head of the answer is too long");
            return Poll::Ready(Err(error));
        };
        self.meter.0.store(left, Ordering::Relaxed);
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
