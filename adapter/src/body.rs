//! Bodies of messages, read within bounds.

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use snafu::ResultExt;
use snafu::Snafu;

use crate::metered::Meter;

/// Why a body can't be read.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The body is longer than allowed.
    #[snafu(display("length limit exceeded"))]
    TooLong,
    /// The connection ended within the body, or the body is malformed.
    #[snafu(display("{source}"))]
    Broken {
        /// Error of the HTTP library.
        source: hyper::Error,
    },
}

/// Result of reading a body.
pub type Result<T> = std::result::Result<T, Error>;

/// Reads a whole body of at most `max` bytes from a connection with this meter.
///
/// # Errors
///
/// The body is too long, malformed or cut short.
pub async fn read(incoming: Incoming, max: usize, meter: &Meter) -> Result<Bytes> {
    read_with(incoming, max, meter, |_| true).await
}

/// Reads a body as [`read`] does. `reserve` is told the length of each piece, and ends the body as too
/// long by returning false.
///
/// # Errors
///
/// As for [`read`].
pub async fn read_with(
    mut incoming: Incoming,
    max: usize,
    meter: &Meter,
    mut reserve: impl FnMut(usize) -> bool,
) -> Result<Bytes> {
    meter.expect_body();
    let mut body = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.context(BrokenSnafu)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        meter.record_data(data.len());
        if body.len() + data.len() > max || !reserve(data.len()) {
            return TooLongSnafu.fail();
        }
        body.extend_from_slice(&data);
    }
    meter.expect_head();
    Ok(body.freeze())
}
