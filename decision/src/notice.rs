//! What a server says of itself in an answer, beside the answer proper.
//!
//! Load patterns: servers that are about to stop, some before any list shows it, and servers that
//! are overloaded and name a time for which they want no requests. What an answer says binds the
//! host that received it: it holds back from that server at once, and tells callers at once if
//! no other server is left. Other hosts hear it with their own next answer.

use derive_more::Display;

use crate::clock::Span;
use crate::quota::Statement;

/// Longest time for which a server can keep requests away; a longer one is cut to this.
pub const PAUSE_MAX: Span = Span::from_secs(3_600);

/// What an answer says of its server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Notice {
    /// The limit on requests from all hosts together.
    pub limit: Statement,
    /// Whether the server is leaving. It stays so until its process ends.
    pub leaving: bool,
    /// Time for which the server wants no requests from this host.
    pub pause: Option<Span>,
}

/// Why a time isn't understood.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Fault {
    /// The text is not a number of seconds, such as a date.
    #[display("not a number of seconds")]
    NotSeconds,
    /// The number is below zero.
    #[display("negative")]
    Negative,
}

/// Result of parsing a time.
pub type Result<T> = std::result::Result<T, Fault>;

/// Parses a time in seconds, fractions included, and cuts it to [`PAUSE_MAX`].
///
/// # Errors
///
/// The text is not a number, or a negative one.
pub fn parse_pause(text: &str) -> Result<Span> {
    let seconds = text.trim().parse::<f64>().ok();
    let seconds = seconds.filter(|seconds| !seconds.is_nan());
    let seconds = seconds.ok_or(Fault::NotSeconds)?;
    if seconds < 0.0 {
        return Err(Fault::Negative);
    }
    let most = PAUSE_MAX.as_us() as f64;
    let micros = (seconds * 1_000_000.0).ceil().min(most);
    Ok(Span::from_us(micros as u64))
}
