//! Points in time and lengths of time, in microseconds of one process's clock.

use derive_more::Add;
use derive_more::AddAssign;
use derive_more::From;
use derive_more::Into;
use derive_more::Sum;
use serde::Deserialize;
use serde::Serialize;

/// Microseconds in a millisecond.
const US_PER_MS: u64 = 1_000;

/// Microseconds in a second.
const US_PER_S: u64 = 1_000_000;

/// A length of time in microseconds.
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
    /// No time at all.
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

    /// This span less `other`, or zero.
    pub const fn saturating_sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }

    /// This span `n` times over.
    pub const fn saturating_mul(self, n: u64) -> Span {
        Span(self.0.saturating_mul(n))
    }

    /// This span and `n` steps more.
    pub const fn plus_steps(self, step: Span, n: u8) -> Span {
        Span(self.0 + step.0 * n as u64)
    }

    /// One `n`th of this span; `n` of zero counts as one.
    pub const fn divided_by(self, n: u64) -> Span {
        match self.0.checked_div(n) {
            Some(quotient) => Span(quotient),
            None => self,
        }
    }
}

/// A point in time on one process's monotonic clock.
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

    /// The time passed since `earlier`, or zero when that is later.
    pub const fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }

    /// The point `span` after this one.
    pub const fn after(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}
