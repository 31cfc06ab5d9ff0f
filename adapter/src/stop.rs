//! Times of a planned stop.
//!
//! A stopping process takes requests for the drain time, answers all of them some time before the
//! stop must be over, and ends before it would be killed.

use std::time::Duration;
use std::time::Instant;

use wagtailbeam_decision::clock::Span;

/// Share of the longest stop after which all requests are answered; the rest is for sending the last
/// answers and closing connections.
const ANSWERED_BY: f64 = 0.9;

/// Share of the longest stop after which the process ends in any case.
const ENDED_BY: f64 = 0.975;

/// A planned stop in progress.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    since: Instant,
    drain: Duration,
    longest: Duration,
}

impl Stop {
    /// A stop that begins now, takes requests for `drain` and must be over after `longest`.
    pub fn begin(drain: Span, longest: Span) -> Stop {
        Stop {
            since: Instant::now(),
            drain: Duration::from_micros(drain.as_us()),
            longest: Duration::from_micros(longest.as_us()),
        }
    }

    /// Whether no more connections and requests are taken.
    pub fn is_closing(&self) -> bool {
        self.since.elapsed() >= self.drain
    }

    /// Time from now until all requests must be answered.
    pub fn answers_left(&self) -> Span {
        let end = self.longest.mul_f64(ANSWERED_BY);
        let left = end.saturating_sub(self.since.elapsed());
        Span::from_us(left.as_micros() as u64)
    }

    /// Whether the process ends now. An idle one ends `margin` after the drain time.
    pub fn is_over(&self, is_idle: bool, margin: Duration) -> bool {
        let elapsed = self.since.elapsed();
        elapsed >= self.longest.mul_f64(ENDED_BY) || is_idle && elapsed >= self.drain + margin
    }
}
