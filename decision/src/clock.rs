//! Durations and points in time, in microseconds of one process's monotonic clock.
//!
//! The state machines of this package get every point in time as an argument.

use derive_more::Add;
use derive_more::AddAssign;
use derive_more::From;
use derive_more::Into;
use derive_more::Sum;
use serde::Deserialize;
use serde::Serialize;

const US_PER_MS: u64 = 1_000;

const US_PER_S: u64 = 1_000_000;

/// A duration in whole microseconds.
#[derive(
    Add,
    AddAssign,
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Eq,
    From,
    Hash,
    Into,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Sum,
)]
pub struct Span(u64);

impl Span {
    /// Longer than any other length of time.
    pub const MAX: Span = Span(u64::MAX);

    /// A duration of zero.
    pub const ZERO: Span = Span(0);

    /// A span of `us` microseconds.
    pub const fn from_us(us: u64) -> Span {
        Span(us)
    }

    /// A span of `ms` milliseconds.
    ///
    /// # Examples
    ///
    /// ```
    /// use wagtailbeam_decision::clock::Span;
    ///
    /// assert_eq!(Span::from_ms(2).as_us(), 2_000);
    /// ```
    pub const fn from_ms(ms: u64) -> Span {
        Span(ms * US_PER_MS)
    }

    /// A span of `s` seconds.
    pub const fn from_secs(s: u64) -> Span {
        Span(s * US_PER_S)
    }

    /// The span in whole microseconds.
    pub const fn as_us(self) -> u64 {
        self.0
    }

    /// The span in whole milliseconds, rounded down.
    pub const fn as_ms(self) -> u64 {
        self.0 / US_PER_MS
    }

    /// The span in seconds, rounded up, as `Retry-After` needs it.
    pub const fn as_secs_ceil(self) -> u64 {
        self.0.div_ceil(US_PER_S)
    }

    /// Subtracts `other`; zero if `other` is longer.
    pub const fn saturating_sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }

    /// Multiplies the span by `n`; the longest span on overflow.
    pub const fn saturating_mul(self, n: u64) -> Span {
        Span(self.0.saturating_mul(n))
    }

    /// Adds `n` times `step`, for example to give each member of a group a different
    /// timeout.
    pub const fn plus_steps(self, step: Span, n: u8) -> Span {
        Span(self.0 + step.0 * n as u64)
    }

    /// Divides the span by `n`, rounded down; a divisor of zero leaves the span
    /// unchanged.
    pub const fn divided_by(self, n: u64) -> Span {
        match self.0.checked_div(n) {
            Some(quotient) => Span(quotient),
            None => self,
        }
    }
}

/// A point in time on one process's monotonic clock. Points of different processes can't
/// be compared.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Eq,
    From,
    Hash,
    Into,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub struct Time(u64);

impl Time {
    /// The point `us` microseconds after the clock's origin.
    pub const fn from_us(us: u64) -> Time {
        Time(us)
    }

    /// Microseconds since the clock's origin.
    pub const fn as_us(self) -> u64 {
        self.0
    }

    /// The span from `earlier` to this point; zero if `earlier` is the later one.
    pub const fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }

    /// The point that lies `span` before this one; the origin if there is none.
    pub const fn before(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }

    /// The point that lies `span` after this one; the last point on overflow.
    pub const fn after(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

/// A reading of the clock of one run of a process. Only readings of the same run can be compared;
/// other processes send them back unchanged, or moved by a span of their own clock.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reading {
    /// Random number of the run.
    pub run: u64,
    /// The time that the clock showed.
    pub at: Time,
}
