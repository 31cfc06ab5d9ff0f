//! Log lines about refused keys: one a second at most, whatever the number of refusals.
//!
//! Load pattern: a caller that tries keys sends thousands of requests a second. A line for each of
//! them would take the place of lines about other requests, whose number is limited.

use std::sync::Arc;

use crate::clock::Span;
use crate::clock::Time;
use crate::name::Name;

/// Least time between two lines.
const LINE_INTERVAL: Span = Span::from_secs(1);

/// A request with an unknown key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refused {
    /// Identifier set by the caller.
    pub request: Arc<str>,
    /// Route of the request.
    pub route: Option<Name>,
}

/// A line that is due.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Line {
    /// Refusals since the line before.
    pub refusals: u64,
    /// The latest one.
    pub latest: Refused,
}

/// Refusals that no line has told of.
#[derive(Clone, Debug, Default)]
pub struct Refusals {
    count: u64,
    latest: Option<Refused>,
    line_at: Option<Time>,
}

impl Refusals {
    /// Counts a refusal. Returns the line, if one is due.
    pub fn record(&mut self, now: Time, refused: Refused) -> Option<Line> {
        self.count += 1;
        self.latest = Some(refused);
        self.take(now)
    }

    /// The line about refusals that were counted before, if one is due.
    pub fn take(&mut self, now: Time) -> Option<Line> {
        let early = |at: Time| now.since(at) < LINE_INTERVAL;
        if self.line_at.is_some_and(early) {
            return None;
        }
        let latest = self.latest.take()?;
        self.line_at = Some(now);
        Some(Line {
            refusals: std::mem::take(&mut self.count),
            latest,
        })
    }
}
