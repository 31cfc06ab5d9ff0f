//! Extra requests that one entry host may send to a service.
//!
//! All entry hosts together may exceed the requests of callers by a ratio of
//! them and a constant in each window. Each host earns the ratio from its own
//! requests and holds a part of the constant, its share, so that the sum over hosts
//! keeps to the limit whatever each of them knows of the others' load.

use crate::clock::Span;
use crate::clock::Time;

/// The limit that binds all entry hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Extra requests for each request of a caller.
    pub ratio: f64,
    /// Extra requests beside those, in each window.
    pub slack: f64,
    /// Length of a window; any span of that length counts.
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

/// Part of the limit that is used; the rest covers hosts not yet known.
const USED_SHARE: f64 = 0.8;

/// A token bucket of extra requests.
#[derive(Clone, Debug, Default)]
pub struct Allowance {
    tokens: f64,
    refilled: Option<Time>,
}

impl Allowance {
    /// Earns the ratio for one request of a caller.
    pub fn earn(&mut self, now: Time, limit: &Limit, share: f64) {
        self.refill(now, limit, share);
        self.tokens += limit.ratio * USED_SHARE;
        self.tokens = self.tokens.min(Self::capacity(limit, share));
    }

    /// Takes one extra request, if there is any.
    pub fn take(&mut self, now: Time, limit: &Limit, share: f64) -> bool {
        self.refill(now, limit, share);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Half of a host's part of the constant may be spent at once, and the other
    /// half comes back over a window, so that no window sees more than the part.
    fn capacity(limit: &Limit, share: f64) -> f64 {
        (limit.slack * USED_SHARE * share / 2.0).max(1.0)
    }

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
