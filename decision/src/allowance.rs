//! Allowance of extra requests (hedges and retries) that one entry host may send to a
//! service.
//!
//! All entry hosts together may send, in each window, a fixed ratio of the callers'
//! requests plus a constant. Each host earns the ratio from its own requests and holds
//! its share of the constant. The sum over all hosts thus stays within the limit,
//! whatever each host knows of the load on the others.

use crate::clock::Span;
use crate::clock::Time;

/// Limit on the extra requests of all entry hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Extra requests allowed for each request of a caller.
    pub ratio: f64,
    /// Extra requests allowed in addition, in each window.
    pub slack: f64,
    /// Length of a window; the limit holds in any span of this length.
    pub window: Span,
}

impl Default for Limit {
    fn default() -> Limit {
        Limit {
            ratio: 0.1,
            slack: 10.0,
            window: Span::from_secs(10),
        }
    }
}

/// Share of the limit that is used; the rest is for hosts that are not known yet.
const USED_SHARE: f64 = 0.8;

/// Token bucket of one host for extra requests to one service.
#[derive(Clone, Debug, Default)]
pub struct Allowance {
    tokens: f64,
    refilled: Option<Time>,
}

impl Allowance {
    /// Adds the tokens for one request of a caller. `share` is this host's share of the
    /// limit, from 0 to 1.
    pub fn earn(&mut self, now: Time, limit: &Limit, share: f64) {
        self.refill(now, limit, share);
        self.tokens += limit.ratio * USED_SHARE;
        self.tokens = self.tokens.min(Self::capacity(limit, share));
    }

    /// Takes the token for one extra request. Returns whether there was one.
    pub fn take(&mut self, now: Time, limit: &Limit, share: f64) -> bool {
        self.refill(now, limit, share);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Most tokens kept. Half of the host's share of the constant may be spent at once
    /// and the other half is refilled over a window, so that no window sees more than the
    /// share.
    fn capacity(limit: &Limit, share: f64) -> f64 {
        (limit.slack * USED_SHARE * share / 2.0).max(1.0)
    }

    /// Adds the tokens for the time since the last refill. The first call starts with
    /// half the capacity.
    fn refill(&mut self, now: Time, limit: &Limit, share: f64) {
        let capacity = Self::capacity(limit, share);
        let Some(refilled) = self.refilled.replace(now) else {
            self.tokens = capacity / 2.0;
            return;
        };
        let passed = now.since(refilled).as_us() as f64 / limit.window.as_us().max(1) as f64;
        self.tokens = (self.tokens + capacity * passed).min(capacity);
    }
}
