//! Calls that were withdrawn and may still run at their server.
//!
//! Load pattern: a request that ends servers runs beside others, and all of them are suspected. Their
//! calls are withdrawn, which closes connections but ends no work at the servers. A canary that began
//! at once at such a server would be blamed for the end that the withdrawn call brings about.

use crate::clock::Span;
use crate::clock::Time;

/// Time for which a withdrawn call may go on at its server.
const RUN_ON_MAX: Span = Span::from_ms(100);

/// The calls that were withdrawn from one server.
#[derive(Clone, Debug, Default)]
pub struct Withdrawn {
    /// When the last of them counts as ended; absent before the first one.
    over_at: Option<Time>,
}

impl Withdrawn {
    /// Records that a call was withdrawn.
    pub fn record(&mut self, now: Time) {
        self.over_at = Some(now.after(RUN_ON_MAX));
    }

    /// Whether all of them count as ended.
    pub fn are_over(&self, now: Time) -> bool {
        self.over_at.is_none_or(|over_at| now >= over_at)
    }
}
